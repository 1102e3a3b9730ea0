"""Tests, one module a subject."""
