"""Stand-ins for the systems around lacewingdrum, for tests and experiments.

They are scaffolding and are never shipped.
"""
