"""amaranthring: a fleet of routers for returning chats.

The public API of the library. Its modules are imported on first use, so that
a process loads only what it needs. This one loads nothing: a daemon cannot
handle signals before its own first line. The command line that runs the
daemons is in :mod:`amaranthring.cli`.
"""

import importlib

__all__ = ["errors", "fleet", "read_settings", "records"]

__version__ = "0.1.0"

_EXPORTS = {
    "errors": ("amaranthring.errors", ""),
    "fleet": ("amaranthring.core.fleet", ""),
    "read_settings": ("amaranthring.settings", "read"),
    "records": ("amaranthring.core.records", ""),
}


def __getattr__(name: str) -> object:
    """Return a public name, importing its module."""
    if name not in _EXPORTS:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module, attribute = _EXPORTS[name]
    loaded = importlib.import_module(module)
    return getattr(loaded, attribute) if attribute else loaded
