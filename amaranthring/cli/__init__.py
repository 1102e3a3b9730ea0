"""The ``amaranthring`` command."""

from amaranthring.cli.program import main

__all__ = ["main"]
