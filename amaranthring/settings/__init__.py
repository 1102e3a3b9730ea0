"""Settings of one process, read from INI files and validated."""

from amaranthring.settings.file_checks import check_files
from amaranthring.settings.ini import read
from amaranthring.settings.models import CallersSection
from amaranthring.settings.models import KeeperSection
from amaranthring.settings.models import OperatorSettings
from amaranthring.settings.models import parse_peers
from amaranthring.settings.models import PeerAddress
from amaranthring.settings.models import ROLES
from amaranthring.settings.models import Settings
from amaranthring.settings.reference import example
from amaranthring.settings.reference import reference
from amaranthring.settings.secrets import check_file_mode
from amaranthring.settings.secrets import read_keys
from amaranthring.settings.secrets import read_secrets

__all__ = [
    "ROLES",
    "CallersSection",
    "KeeperSection",
    "OperatorSettings",
    "PeerAddress",
    "Settings",
    "check_file_mode",
    "check_files",
    "example",
    "parse_peers",
    "read",
    "read_keys",
    "read_secrets",
    "reference",
]
