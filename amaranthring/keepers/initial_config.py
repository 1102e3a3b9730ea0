"""The first configuration, read from a file when the state is empty.

JSON as operators send it, or INI with sections such as ``[fleet]``,
``[preset.peak]``, ``[preset.peak.accounts.NAME]`` and ``[account.NAME]``.
"""

import configparser
import json
import pathlib
import typing as t

from amaranthring import errors
from amaranthring.keepers import commands
from amaranthring.operators import conventions


def load(path: str) -> commands.Bootstrap:
    """Return the first configuration from the JSON or INI file at `path`.

    Raises
    ------
    errors.SettingsError
        With every fault of the file, one a line.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        is_json = text.lstrip().startswith("{")
        raw = json.loads(text) if is_json else _ini(text)
    except OSError as error:
        raise errors.SettingsError(
            f"{path}: cannot be read",
            given=error.strerror,
            expected="a readable file",
        ) from error
    except (ValueError, configparser.Error) as error:
        raise errors.SettingsError(
            f"{path}: malformed", given=str(error), expected="JSON or INI"
        ) from error
    try:
        return conventions.bootstrap(raw)
    except errors.BadRequestError as error:
        raise errors.SettingsError(f"{path}: {error.detail}") from error


def _ini(text: str) -> dict[str, t.Any]:
    """Return the nested form of INI sections such as ``preset.peak``."""
    parser = configparser.ConfigParser(interpolation=None)
    # Names of models are keys here and keep their case.
    parser.optionxform = str
    parser.read_string(text)
    found: dict[str, t.Any] = {"presets": {}, "accounts": {}}
    for section in parser.sections():
        values: dict[str, t.Any] = dict(parser[section])
        names = section.split(".", 3)
        if section == "fleet":
            found |= values
        elif names[0] == "account" and len(names) > 1:
            account = section.removeprefix("account.")
            hashes = values.get("token_hashes", "").split()
            found["accounts"][account] = values | {"token_hashes": hashes}
        elif names[0] == "preset" and len(names) == 2:
            found["presets"].setdefault(names[1], {}).update(values)
        elif names[0] == "preset" and len(names) == 4:
            preset = found["presets"].setdefault(names[1], {})
            if "idempotent_methods" in values:
                methods = values["idempotent_methods"].split()
                values["idempotent_methods"] = methods
            preset.setdefault(names[2], {})[names[3]] = values
        elif names[0] == "preset" and len(names) == 3:
            preset = found["presets"].setdefault(names[1], {})
            preset[names[2]] = values
        else:
            found[section] = values
    return found
