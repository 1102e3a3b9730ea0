"""Decisions: plain functions over data classes, clock passed in."""
