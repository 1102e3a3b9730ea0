"""Output formats of the command line: tables and JSON."""

import collections.abc
import json
import typing as t


def render(
    value: t.Any, as_json: bool, to_text: t.Callable[[t.Any], str]
) -> str:
    """Return `value` as JSON, or formatted by `to_text`."""
    if as_json:
        return json.dumps(value, indent=2, sort_keys=True)
    return to_text(value)


def format_table(
    rows: collections.abc.Sequence[collections.abc.Mapping[str, t.Any]],
    columns: collections.abc.Sequence[str],
) -> str:
    """Return `rows` as aligned columns under a header line."""
    cells = [[name.replace("_", " ") for name in columns]]
    cells += [
        [_format_cell(row.get(name)) for name in columns] for row in rows
    ]
    widths = [max(len(line[i]) for line in cells) for i in range(len(columns))]
    lines = []
    for line in cells:
        padded = [
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ]
        lines.append("  ".join(padded).rstrip())
    if not rows:
        lines.append("(none)")
    return "\n".join(lines)


def format_mapping(
    value: collections.abc.Mapping[str, t.Any], indent: int = 0
) -> str:
    """Return a mapping as indented ``name: value`` lines."""
    lines = []
    margin = "  " * indent
    for key, item in value.items():
        if isinstance(item, collections.abc.Mapping) and item:
            lines.append(f"{margin}{key}:")
            lines.append(format_mapping(item, indent + 1))
        else:
            lines.append(f"{margin}{key}: {_format_cell(item)}")
    return "\n".join(lines)


def _format_cell(value: t.Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.4g}"
    if isinstance(value, list | tuple):
        return ", ".join(_format_cell(item) for item in value) or "-"
    return str(value)
