"""The operators' HTTP API, which the command line uses."""
