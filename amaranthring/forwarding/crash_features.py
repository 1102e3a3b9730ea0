"""Features of requests that may crash the targets that run them.

A crash is blamed on whatever its request shares with those of other crashes.
Each feature has a fingerprint, which is the same in all requests that have it.
``docs/design/crash-causes.md`` has the reasons for the scope of each.
"""

import typing as t

from amaranthring.core import hashing
from amaranthring.forwarding import records

Kind = t.Callable[[records.RequestContext], list[str]]

PART = "part:"
PATH = "path:"


def _prompt_parts(context: records.RequestContext) -> list[str]:
    # The last part is the request's own.
    return [f"{PART}{part.id}" for part in context.incoming.parts[:-1]]


def _path(context: records.RequestContext) -> list[str]:
    incoming = context.incoming
    digest = hashing.digest(
        context.account, incoming.method, incoming.host, incoming.path
    )
    return [f"{PATH}{digest}"]


def _request(context: records.RequestContext) -> list[str]:
    return [context.fingerprint]


# The first ones are shared by the most requests.
KINDS: tuple[Kind, ...] = (
    _prompt_parts,
    _path,
    _request,
)
SHARED_KINDS = KINDS[:-1]


def _unique(
    kinds: tuple[Kind, ...], context: records.RequestContext
) -> tuple[str, ...]:
    # A prompt may repeat a part.
    names = (name for kind in kinds for name in kind(context))
    return tuple(dict.fromkeys(names))


def of_request(context: records.RequestContext) -> tuple[str, ...]:
    """Return the fingerprints of all features of a request."""
    return _unique(KINDS, context)


def shared(context: records.RequestContext) -> tuple[str, ...]:
    """Return the fingerprints of the features that other requests have too."""
    return _unique(SHARED_KINDS, context)


def is_shared(fingerprint: str) -> bool:
    """Return whether the feature is one that requests share."""
    return fingerprint.startswith((PART, PATH))
