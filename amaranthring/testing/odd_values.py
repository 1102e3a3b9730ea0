"""Values that are valid JSON and that few programs expect.

Used to change sound documents, so that what a border accepts can be compared
with what all processes behind it can carry on.
"""

import copy
import json
import random
import typing as t

__all__ = ["ODD_VALUES", "change", "encode", "leaves", "replace"]

# Stands for nesting that parsers do not follow; see :func:`encode`.
DEEP = "deep nesting"
DEPTH = 100_000

ODD_VALUES: tuple[t.Any, ...] = (
    "\ud800",
    "/\udfff/",
    "",
    "x" * 100_000,
    "a b\r\nX-Y: z",
    "\x00",
    "\u4e00\U0001f600",
    None,
    True,
    [],
    {},
    ["x"],
    {"x": 1},
    -1,
    0,
    2**63,
    2**64,
    -(10**400),
    10**400,
    0.5,
    1e308,
    float("inf"),
    float("-inf"),
    float("nan"),
    DEEP,
)

Path = tuple[t.Any, ...]


def leaves(value: t.Any, path: Path = ()) -> t.Iterator[tuple[Path, t.Any]]:
    """Yield the path and the value of each scalar in a JSON value."""
    if isinstance(value, dict):
        items: t.Iterable = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    else:
        yield path, value
        return
    for key, item in items:
        yield from leaves(item, (*path, key))


def replace(value: t.Any, path: Path, item: t.Any) -> t.Any:
    """Return a copy of a JSON value with `item` at `path`."""
    if not path:
        return item
    changed = copy.deepcopy(value)
    inner = changed
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = item
    return changed


def change(
    document: t.Any, rng: random.Random, keep: t.Container = ()
) -> t.Any:
    """Return `document` with an odd value at a random place.

    Parameters
    ----------
    keep : container of str
        Names of top-level fields that stay as they are.
    """
    paths = [path for path, _ in leaves(document) if path[0] not in keep]
    path = rng.choice(paths)
    # Sometimes a whole part of the document instead of a scalar.
    path = path[: rng.randint(1, len(path))]
    return replace(document, path, rng.choice(ODD_VALUES))


def encode(document: t.Any) -> bytes:
    """Return `document` as JSON, with deep nesting where it is asked for."""
    nested = "[" * DEPTH + "]" * DEPTH
    return json.dumps(document).replace(json.dumps(DEEP), nested).encode()
