"""Operators: the HTTP interface behind the command line."""
