"""HTTP interface to callers: chats and plain services."""
