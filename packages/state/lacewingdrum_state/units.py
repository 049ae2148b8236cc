"""Conversion factors between units."""

MS_PER_S = 1_000
NS_PER_MS = 1_000_000
