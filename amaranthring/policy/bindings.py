"""What streams are bound to: the service and software version that began them.

What two software versions write does not fit together, so a stream goes on
only where its binding allows it; see ``docs/design/stream-versions.md``.
"""

import collections
import dataclasses
import typing as t

from amaranthring.core import hashing

__all__ = [
    "HISTORY_SECONDS",
    "Binding",
    "BindingTable",
    "Found",
    "of_target",
    "stream_key",
]

# Bindings are kept for two to three generations after they were last recorded.
GENERATION_SECONDS = 30.0
MAX_GENERATIONS = 3
KEY_BYTES = 16
# A stream may be taken up for so long after its release has left or its route
# was moved. Its own binding is kept for a shorter time, as thousands of them
# are recorded a second.
HISTORY_SECONDS = 600.0


class Target(t.Protocol):
    """What a binding looks at in a target."""

    service: str
    release: str


@dataclasses.dataclass(frozen=True)
class Binding:
    """Service and software version of a stream's events.

    Attributes
    ----------
    release : str
        Software version; empty if unknown, which fits no target.
    """

    service: str
    release: str

    def fits(self, target: Target) -> bool:
        """Return whether `target` may go on with the stream."""
        return (
            bool(self.release)
            and target.release == self.release
            and target.service == self.service
        )


# Of an id under which two different bindings were recorded.
AMBIGUOUS = Binding("", "")


def of_target(target: Target) -> Binding:
    """Return the binding of a stream that `target` begins."""
    return Binding(target.service, target.release)


def stream_key(account: str, request_id: str) -> bytes:
    """Return the key of the stream that a caller's attempt began.

    Callers choose their ids; the account keeps those of others apart.
    """
    return bytes.fromhex(hashing.digest(account, request_id))


@dataclasses.dataclass
class Found:
    """A binding from a table.

    Attributes
    ----------
    age : float
        Seconds since it was last recorded, or up to a generation more.
    """

    binding: Binding
    age: float


@dataclasses.dataclass
class _Generation:
    begun_at: float
    by_key: dict[bytes, Binding] = dataclasses.field(default_factory=dict)


class BindingTable:
    """Bindings by key, bounded in number and age.

    Parameters
    ----------
    clock : callable
        Seconds; continues while the VM is suspended.
    max_entries : int
        Of one generation; a full one gives way to the next early.
    """

    def __init__(self, clock: t.Callable[[], float], max_entries: int):
        self.clock = clock
        self.max_entries = max_entries
        self.generations: collections.deque[_Generation] = collections.deque(
            [_Generation(clock())], maxlen=MAX_GENERATIONS
        )

    def __len__(self) -> int:
        return sum(len(g.by_key) for g in self.generations)

    def record(self, key: bytes, binding: Binding) -> None:
        """Record the binding of a stream, or that it is still in use."""
        self._expire()
        found = self.find(key)
        if found is not None and found.binding != binding:
            binding = AMBIGUOUS
        self.generations[-1].by_key[key] = binding

    def find(self, key: bytes) -> Found | None:
        """Return the binding under `key`, if there is one."""
        self._expire()
        for generation in reversed(self.generations):
            binding = generation.by_key.get(key)
            if binding is not None:
                return Found(binding, self.clock() - generation.begun_at)
        return None

    def _expire(self) -> None:
        now = self.clock()
        newest = self.generations[-1]
        if (
            now - newest.begun_at >= GENERATION_SECONDS
            or len(newest.by_key) >= self.max_entries
        ):
            self.generations.append(_Generation(now))
        oldest = now - MAX_GENERATIONS * GENERATION_SECONDS
        while self.generations[0].begun_at < oldest:
            self.generations.popleft()
