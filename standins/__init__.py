"""Stand-ins for the systems around lacewingdrum, for tests and experiments.

They are not part of the product and are never shipped.
"""
