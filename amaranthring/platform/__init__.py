"""The users' platform: its names, formats and calls, and nothing else.

Everything that comes from the platform is decoded here, once, into the
product's own types. What these types mean, and everything that is decided,
lies in the product; no other package knows a name of the platform's.
"""
