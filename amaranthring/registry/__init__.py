"""Distributes the routing plan and the target table from keepers to routers.

Targets and operators talk to keepers. A router holds a link to every keeper,
receives each change as it happens, and checks a few times a second that its
plan is still the newest.
"""
