"""The daemon, one on each entry VM."""
