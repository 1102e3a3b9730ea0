"""Settings of one process: INI files, validated whole at the border."""

from amaranthring.settings.files import check_files
from amaranthring.settings.ini import read
from amaranthring.settings.models import CallersSection
from amaranthring.settings.models import KeeperSection
from amaranthring.settings.models import OperatorSettings
from amaranthring.settings.models import PeerAddress
from amaranthring.settings.models import peers
from amaranthring.settings.models import ROLES
from amaranthring.settings.models import Settings
from amaranthring.settings.reference import example
from amaranthring.settings.reference import reference
from amaranthring.settings.secrets import check_private
from amaranthring.settings.secrets import keys
from amaranthring.settings.secrets import secret_lines

__all__ = [
    "ROLES",
    "CallersSection",
    "KeeperSection",
    "OperatorSettings",
    "PeerAddress",
    "Settings",
    "check_files",
    "check_private",
    "example",
    "keys",
    "peers",
    "read",
    "reference",
    "secret_lines",
]
