"""Fakes, stand-ins and fleets for tests, demo and benchmarks."""
