"""Shared basics: streams, identifiers, clocks, metrics and logs."""
