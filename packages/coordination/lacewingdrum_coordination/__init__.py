"""Decision logic without I/O: maps data and time to actions."""
