"""Example files and the reference page, made from the models."""

import textwrap

import pydantic

from amaranthring import errors
from amaranthring.settings import models

WIDTH = 76
KEEPER_ONLY = ("keeper",)
ROUTER_ONLY = ("callers",)


def example(role: str) -> str:
    """Return an INI file with every key of `role`, its meaning and default.

    Raises
    ------
    errors.UsageError
        If there is no such role.
    """
    if role not in models.ROLES:
        raise errors.UsageError(
            "no such role", given=role, expected=", ".join(models.ROLES)
        )
    hidden = ROUTER_ONLY if role == "keeper" else KEEPER_ONLY
    parts = []
    for name, field in models.ROLES[role].model_fields.items():
        if name not in hidden:
            parts.append(_section(name, field.annotation))
    return "\n".join(parts)


def reference() -> str:
    """Return the reference page as Markdown tables."""
    parts = []
    fields = dict(models.Settings.model_fields)
    fields |= models.OperatorSettings.model_fields
    for name, field in fields.items():
        parts.append(f"## `[{name}]`\n\n{field.annotation.__doc__}\n")
        parts.append("| key | default | meaning |\n|---|---|---|")
        for key, inner in field.annotation.model_fields.items():
            default = "required" if inner.is_required() else inner.default
            shown = f"`{default}`" if default != "" else "empty"
            parts.append(f"| `{key}` | {shown} | {inner.description} |")
        parts.append("")
    return "\n".join(parts)


def _section(name: str, model: type[pydantic.BaseModel]) -> str:
    lines = [f"# {model.__doc__}", f"[{name}]"]
    for key, field in model.model_fields.items():
        meaning = textwrap.wrap(field.description or "", WIDTH)
        lines.extend(f"# {line}" for line in meaning)
        required = field.is_required()
        lines.append(f"{key} =" if required else f"# {key} = {field.default}")
    return "\n".join(lines) + "\n"
