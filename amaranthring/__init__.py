"""amaranthring: a router fleet for very many returning chats.

The public API of the library; the daemons are thin and live in
:mod:`amaranthring.cli`.
"""

from amaranthring import errors
from amaranthring.core import fleet
from amaranthring.core import records
from amaranthring.settings import read as read_settings

__all__ = ["errors", "fleet", "read_settings", "records"]

__version__ = "0.1.0"
