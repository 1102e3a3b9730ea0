"""Keeper processes: consensus, durable log, presets, claims and orders."""
