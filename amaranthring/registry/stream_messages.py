"""Messages about what streams are bound to."""

import dataclasses
import typing as t

from amaranthring.core import wire
from amaranthring.policy import bindings


@dataclasses.dataclass
class BoundStreams:
    """Streams with the same binding.

    Attributes
    ----------
    keys : bytes
        Their keys, ``bindings.KEY_BYTES`` each.
    """

    service: str
    release: str
    keys: bytes


@wire.message("stream-bound")
class StreamsBound:
    """A router tells its home keeper of streams ahead of its next report.

    Attributes
    ----------
    moved : dict of str to float
        As in :class:`sharing.Report`.
    """

    streams: list[BoundStreams]
    moved: dict[str, float] = dataclasses.field(default_factory=dict)


@wire.message("stream-find")
class FindStream:
    """A router asks a keeper which version began a stream.

    Attributes
    ----------
    service : str
        Service whose versions are asked for, too.
    route : str
        Key of the route, of which is asked whether it was moved.
    """

    key: bytes
    service: str
    route: str


@wire.message("stream-found")
class StreamFound:
    """Reply to :class:`FindStream`.

    Attributes
    ----------
    known : bool
        Whether the stream's binding is known.
    service, release : str
        Its binding, if known.
    age : float
        Seconds since it was recorded, or some more.
    releases : list of str
        All versions of the service's targets, with those that have left.
    complete : bool
        Whether no other keeper can know of further versions.
    moved : bool
        Whether the route led to other services of late.
    settles_in : float
        Seconds until all targets have announced themselves to this keeper,
        which has just started.
    keepers : list of str
        Names of all keepers, with this one; empty if they are not known.
    """

    known: bool
    service: str = ""
    release: str = ""
    age: float = 0.0
    releases: list[str] = dataclasses.field(default_factory=list)
    complete: bool = False
    moved: bool = False
    settles_in: float = 0.0
    keepers: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class History:
    """What a keeper knows of the last minutes, for the other keepers.

    Attributes
    ----------
    releases : dict of str to dict of str to float
        By service, the releases that served so many seconds ago.
    moved : dict of str to float
        Routes that began to lead to other services so many seconds ago.
    is_known : bool
        Whether these are complete as far as the sender has heard.
    """

    releases: dict[str, dict[str, float]]
    moved: dict[str, float]
    is_known: bool


def pack(
    streams: dict[bindings.Binding, list[bytes]],
) -> list[BoundStreams]:
    """Return the keys of streams by binding, as sent."""
    return [
        BoundStreams(binding.service, binding.release, b"".join(keys))
        for binding, keys in streams.items()
    ]


def unpack(
    groups: list[BoundStreams],
) -> t.Iterator[tuple[bytes, bindings.Binding]]:
    """Yield the key and the binding of each stream."""
    size = bindings.KEY_BYTES
    for group in groups:
        binding = bindings.Binding(group.service, group.release)
        for start in range(0, len(group.keys) - size + 1, size):
            yield group.keys[start : start + size], binding
