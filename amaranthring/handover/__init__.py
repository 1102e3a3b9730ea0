"""Requests that a router without a path to targets hands to another one."""
