"""Keepers: consensus, durable log, presets, claims, orders."""
