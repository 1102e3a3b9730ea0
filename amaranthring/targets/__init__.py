"""Targets: announcements, leases, and the requests we send them."""
