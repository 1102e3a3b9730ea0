"""Secrets: from files only, and only files that others cannot read."""

import os
import pathlib
import stat

from amaranthring import errors

MIN_KEY_BYTES = 16


def read_secrets(path: str) -> dict[str, str]:
    """Return ``name value`` lines of the secret file at `path`, in order.

    Raises
    ------
    errors.SettingsError
        If the file is missing, empty, malformed, or open to others. The
        error never holds a value of the file.
    """
    text = _private_text(path)
    found = {}
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
        found[parts[0]] = parts[1]
    if not found:
        raise errors.SettingsError(
            f"{path}: holds no secret", given="nothing", expected="name value"
        )
    return found


def read_keys(path: str) -> dict[str, bytes]:
    """Return keys by id from the file at `path`, in its order.

    Raises
    ------
    errors.SettingsError
        As :func:`secret_lines`, or if a key is not 32 hex digits or more.
    """
    found = {}
    for key_id, text in read_secrets(path).items():
        try:
            found[key_id] = bytes.fromhex(text)
        except ValueError:
            found[key_id] = b""
        if len(found[key_id]) < MIN_KEY_BYTES:
            raise errors.SettingsError(
                f"{path}: key {key_id} is too short or not hex",
                given=f"{len(text)} characters",
                expected="32 hex digits or more",
            )
    return found


def check_file_mode(path: str) -> None:
    """Check that only the owner of the file at `path` can read it.

    Raises
    ------
    errors.SettingsError
        If the file is missing or open to others.
    """
    try:
        mode = os.stat(path).st_mode
    except OSError as error:
        raise errors.SettingsError(
            f"{path}: secret file cannot be read",
            given=error.strerror,
            expected="a file that only its owner reads",
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
