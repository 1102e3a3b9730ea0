"""Callers: HTTP for chats and plain services."""
