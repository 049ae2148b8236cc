"""Typed messages and codecs for callers, runners, the platform and peers."""
