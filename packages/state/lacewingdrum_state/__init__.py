"""What a daemon holds: ids, states and small immutable facts.

Every other package shares these types, and this package imports none of
them, so that a fact means the same thing in each layer.
"""
