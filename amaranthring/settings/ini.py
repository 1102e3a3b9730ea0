"""Reads INI files, reporting all faults together."""

import configparser
import difflib
import typing as t

import pydantic

from amaranthring import errors
from amaranthring.settings import models

M = t.TypeVar("M", bound=pydantic.BaseModel)


def read(path: str, model: type[M] = models.Settings) -> M:
    """Return the validated settings in the INI file at `path`.

    Raises
    ------
    errors.SettingsError
        With all faults of the file, one per line: file, section, key, the
        value given and what was expected, or the nearest known key.
    """
    raw = _read_sections(path)
    try:
        return model.model_validate(raw)
    except pydantic.ValidationError as error:
        faults = [
            _format_fault(path, model, fault) for fault in error.errors()
        ]
        raise errors.SettingsError("\n".join(faults)) from error


def _read_sections(path: str) -> dict[str, dict[str, str]]:
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
    except OSError as error:
        raise errors.SettingsError(
            f"{path}: cannot be read",
            given=error.strerror,
            expected="a readable INI file",
        ) from error
    except (configparser.Error, UnicodeDecodeError) as error:
        first_line = str(error).splitlines()[0]
        raise errors.SettingsError(
            f"{path}: not an INI file",
            given=first_line,
            expected="[section] lines and key = value lines",
        ) from error
    return {name: dict(parser[name]) for name in parser.sections()}


def _format_fault(
    path: str, model: type[pydantic.BaseModel], fault: t.Any
) -> str:
    location = [str(part) for part in fault["loc"]]
    text = path + ":"
    if location:
        text += f" [{location[0]}]"
    if len(location) > 1:
        text += f" {location[1]}"
    if fault["type"] == "extra_forbidden":
        return text + " is not known" + _known_keys_hint(model, location)
    if fault["type"] == "missing":
        return text + " is missing"
    given = fault["input"]
    if isinstance(given, pydantic.BaseModel):
        return f"{text} {fault['msg']}"
    return f"{text}: given {given!r}, expected: {fault['msg']}"


def _known_keys_hint(
    model: type[pydantic.BaseModel], location: list[str]
) -> str:
    known = model.model_fields
    if len(location) > 1:
        known = known[location[0]].annotation.model_fields
    matches = difflib.get_close_matches(
        location[-1], list(known), n=1, cutoff=0.4
    )
    if matches:
        return f"; nearest known: {matches[0]}"
    return f"; known: {', '.join(known)}"
