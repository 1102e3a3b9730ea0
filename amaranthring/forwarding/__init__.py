"""Forwarding of any HTTP request to a target of its route's service."""
