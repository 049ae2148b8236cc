"""What the programs run on: decision log, metrics, tasks, settings files."""
