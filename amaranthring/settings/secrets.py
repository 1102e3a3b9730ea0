"""Reads secrets from files that only their owner can access."""

import os
import pathlib
import stat

from amaranthring import errors

MIN_KEY_BYTES = 16


def read_secrets(path: str) -> dict[str, str]:
    """Return the ``name value`` lines of the secret file at `path`.

    Raises
    ------
    errors.SettingsError
        If the file is missing, empty, malformed, or accessible to others.
        The error never contains a value from the file.
    """
    text = _private_text(path)
    secrets = {}
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = line.split()
        if len(parts) != 2:
            raise errors.SettingsError(
                f"{path}: line {number} is malformed",
                given=f"{len(parts)} words",
                expected="name value",
            )
        secrets[parts[0]] = parts[1]
    if not secrets:
        raise errors.SettingsError(
            f"{path}: contains no secrets",
            given="nothing",
            expected="name value",
        )
    return secrets


def read_keys(path: str) -> dict[str, bytes]:
    """Return keys by id, in the order of the file at `path`.

    Raises
    ------
    errors.SettingsError
        As in :func:`read_secrets`, or if a key is not hexadecimal or has
        fewer than 32 digits.
    """
    keys = {}
    for key_id, text in read_secrets(path).items():
        try:
            keys[key_id] = bytes.fromhex(text)
        except ValueError:
            keys[key_id] = b""
        if len(keys[key_id]) < MIN_KEY_BYTES:
            raise errors.SettingsError(
                f"{path}: key {key_id} is too short or not hex",
                given=f"{len(text)} characters",
                expected="32 hex digits or more",
            )
    return keys


def check_file_mode(path: str) -> None:
    """Check that only the owner can access the file at `path`.

    Raises
    ------
    errors.SettingsError
        If the file is missing or accessible to others.
    """
    try:
        mode = os.stat(path).st_mode
    except OSError as error:
        raise errors.SettingsError(
            f"{path}: secret file cannot be read",
            given=error.strerror,
            expected="a readable file",
        ) from error
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        raise errors.SettingsError(
            f"{path}: secret file is open to others",
            given=oct(mode & 0o777),
            expected="0o600",
        )


def _private_text(path: str) -> str:
    check_file_mode(path)
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(
            f"{path}: secret file cannot be read",
            given=type(error).__name__,
            expected="UTF-8 text",
        ) from error
