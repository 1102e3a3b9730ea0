"""Other routers: membership, admission owners, directory, revisions."""
