"""Immutable data types shared by all packages: ids, states and records.

This package imports no other package of the project, so that every layer can
use the same types.
"""
