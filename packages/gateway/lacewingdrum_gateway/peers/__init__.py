"""How daemons find, hear and inform each other."""
