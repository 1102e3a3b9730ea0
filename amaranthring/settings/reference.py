"""Generates example files and the reference page from the models."""

import textwrap

import pydantic

from amaranthring import errors
from amaranthring.settings import models

COMMENT_WIDTH = 76
KEEPER_SECTIONS = ("keeper",)
ROUTER_SECTIONS = ("callers",)


def example(role: str) -> str:
    """Return an example INI file with all keys of `role`, documented.

    Raises
    ------
    errors.UsageError
        If `role` is unknown.
    """
    if role not in models.ROLES:
        raise errors.UsageError(
            "unknown role", given=role, expected=", ".join(models.ROLES)
        )
    excluded = ROUTER_SECTIONS if role == "keeper" else KEEPER_SECTIONS
    parts = []
    for name, field in models.ROLES[role].model_fields.items():
        if name not in excluded:
            parts.append(_example_section(name, field.annotation))
    return "\n".join(parts)


def reference() -> str:
    """Return the reference of all settings as Markdown tables."""
    parts = []
    fields = dict(models.Settings.model_fields)
    fields |= models.OperatorSettings.model_fields
    for name, field in fields.items():
        parts.append(f"## `[{name}]`\n\n{field.annotation.__doc__}\n")
        parts.append("| key | default | meaning |\n|---|---|---|")
        for key, key_field in field.annotation.model_fields.items():
            default = (
                "required" if key_field.is_required() else key_field.default
            )
            shown = f"`{default}`" if default != "" else "empty"
            parts.append(f"| `{key}` | {shown} | {key_field.description} |")
        parts.append("")
    return "\n".join(parts)


def _example_section(name: str, model: type[pydantic.BaseModel]) -> str:
    lines = [f"# {model.__doc__}", f"[{name}]"]
    for key, field in model.model_fields.items():
        description = textwrap.wrap(field.description or "", COMMENT_WIDTH)
        lines.extend(f"# {line}" for line in description)
        required = field.is_required()
        lines.append(f"{key} =" if required else f"# {key} = {field.default}")
    return "\n".join(lines) + "\n"
