"""Adapter to the users' platform: its names, formats and calls.

Everything that comes from the platform is decoded here, once, into
Amaranthring's own types. Other packages do not use the platform's names, and
this one makes no decisions.
"""
