"""amaranthring: a router fleet for very many returning chats.

The public API of the library; the daemons are thin and live in
:mod:`amaranthring.cli`. Its parts are loaded when they are first used, so a
daemon pays only for what it needs.
"""

import importlib
import typing as t

__all__ = ["errors", "fleet", "read_settings", "records"]

__version__ = "0.1.0"

_HOMES = {
    "errors": ("amaranthring.errors", ""),
    "fleet": ("amaranthring.core.fleet", ""),
    "read_settings": ("amaranthring.settings", "read"),
    "records": ("amaranthring.core.records", ""),
}


def __getattr__(name: str) -> t.Any:
    """Return a public name, loading its module."""
    if name not in _HOMES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module, attribute = _HOMES[name]
    home = importlib.import_module(module)
    return getattr(home, attribute) if attribute else home
