"""Targets: announcements, leases, and requests to them."""
