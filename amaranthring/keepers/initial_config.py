"""Initial configuration, read from a file while the state is empty.

The file is JSON in the format of the operator API, or INI with sections such
as ``[fleet]``, ``[preset.peak]``, ``[preset.peak.accounts.NAME]`` and
``[account.NAME]``.
"""

import configparser
import pathlib
import typing as t

from amaranthring import errors
from amaranthring.keepers import commands
from amaranthring.operators import schemas


def load(path: str) -> commands.Bootstrap:
    """Return the initial configuration from the JSON or INI file at `path`.

    Raises
    ------
    errors.SettingsError
        With all errors in the file, one per line.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        is_json = text.lstrip().startswith("{")
        raw = (
            schemas.parse_json_body(text.encode())
            if is_json
            else _parse_ini(text)
        )
    except OSError as error:
        raise errors.SettingsError(
            f"{path}: cannot be read",
            given=error.strerror,
            expected="a readable file",
        ) from error
    except (
        ValueError,
        configparser.Error,
        errors.BadRequestError,
    ) as error:
        raise errors.SettingsError(
            f"{path}: malformed", given=str(error), expected="JSON or INI"
        ) from error
    try:
        return schemas.parse_bootstrap(raw)
    except errors.BadRequestError as error:
        raise errors.SettingsError(f"{path}: {error.detail}") from error


def _parse_ini(text: str) -> dict[str, t.Any]:
    """Return nested dicts for INI sections such as ``preset.peak``."""
    parser = configparser.ConfigParser(interpolation=None)
    # Model names are keys here and are case-sensitive.
    parser.optionxform = str
    parser.read_string(text)
    config: dict[str, t.Any] = {"presets": {}, "accounts": {}}
    for section in parser.sections():
        values: dict[str, t.Any] = dict(parser[section])
        names = section.split(".", 3)
        if section == "fleet":
            config |= values
        elif names[0] == "account" and len(names) > 1:
            account = section.removeprefix("account.")
            hashes = values.get("token_hashes", "").split()
            config["accounts"][account] = values | {"token_hashes": hashes}
        elif names[0] == "preset" and len(names) == 2:
            config["presets"].setdefault(names[1], {}).update(values)
        elif names[0] == "preset" and len(names) == 4:
            preset = config["presets"].setdefault(names[1], {})
            if "idempotent_methods" in values:
                methods = values["idempotent_methods"].split()
                values["idempotent_methods"] = methods
            preset.setdefault(names[2], {})[names[3]] = values
        elif names[0] == "preset" and len(names) == 3:
            preset = config["presets"].setdefault(names[1], {})
            preset[names[2]] = values
        else:
            config[section] = values
    return config
