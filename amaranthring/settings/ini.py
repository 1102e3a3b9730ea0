"""Reading INI files, with every fault reported at once."""

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
        With every fault of the file, one a line: file, section, key, what
        was given and expected, and the nearest known key.
    """
    raw = _sections(path)
    try:
        return model.model_validate(raw)
    except pydantic.ValidationError as error:
        faults = [_fault(path, model, fault) for fault in error.errors()]
        raise errors.SettingsError("\n".join(faults)) from error


def _sections(path: str) -> dict[str, dict[str, str]]:
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
        first = str(error).splitlines()[0]
        raise errors.SettingsError(
            f"{path}: not an INI file",
            given=first,
            expected="[section] lines and key = value lines",
        ) from error
    return {name: dict(parser[name]) for name in parser.sections()}


def _fault(path: str, model: type[pydantic.BaseModel], fault: t.Any) -> str:
    where = [str(part) for part in fault["loc"]]
    text = path + ":"
    if where:
        text += f" [{where[0]}]"
    if len(where) > 1:
        text += f" {where[1]}"
    if fault["type"] == "extra_forbidden":
        return text + " is not known" + _nearest(model, where)
    if fault["type"] == "missing":
        return text + " is missing"
    given = fault["input"]
    if isinstance(given, pydantic.BaseModel):
        return f"{text} {fault['msg']}"
    return f"{text}: given {given!r}, expected: {fault['msg']}"


def _nearest(model: type[pydantic.BaseModel], where: list[str]) -> str:
    known = model.model_fields
    if len(where) > 1:
        known = known[where[0]].annotation.model_fields
    near = difflib.get_close_matches(where[-1], list(known), n=1, cutoff=0.4)
    if near:
        return f"; nearest known: {near[0]}"
    return f"; known: {', '.join(known)}"
