"""Tests, one module per subject."""
