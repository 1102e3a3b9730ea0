"""Benchmarks with regression bounds, one command each."""
