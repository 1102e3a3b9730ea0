"""What a process takes in on all its listeners together, and its bound.

Each connection has a :class:`Share` of the one :class:`Intake` of its process.
Limits on single requests do not bound their sum: many requests, each within
its limit, could fill the memory of a small VM, or use up its descriptors.
"""

import asyncio
import dataclasses
import enum
import resource
import time
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import logs
from amaranthring.core import refusals
from amaranthring.core import turns as turns_module

__all__ = ["Intake", "Share", "State", "do_nothing", "for_process"]

log = logbook.Logger(__name__)

# Share of a process's memory for what it takes in. A body is copied once when
# it is whole, and answers and the process itself need the rest.
MEMORY_SHARE = 1 / 6
DEFAULT_BYTES = 32 * 1024 * 1024
# Share of the descriptors for connections from outside: those to targets and
# other processes need the rest.
DESCRIPTORS_SHARE = 0.6
# What an open connection takes by itself: objects of tornado and of asyncio.
# All of them together may take half as much as what has arrived on them.
CONNECTION_BYTES = 8 * 1024
CONNECTIONS_SHARE = 0.5
# A sender that was silent for longer gives way before one that is not.
SILENT_SECONDS = 0.5
# A request up to this size gives way only if its sender is silent.
SMALL_BYTES = 16 * 1024
CHECK_SECONDS = 1.0
# A client that took nothing for longer gives way when answers need memory.
STALLED_SECONDS = 2.0
# Time after which a refused caller may come back: others end meanwhile.
RETRY_SECONDS = 0.5

GiveUp = t.Callable[[errors.AmaranthringError], None]


class State(enum.Enum):
    """What a connection is used for at the moment."""

    IDLE = "idle"
    RECEIVING = "receiving"
    # A whole request is being answered, or the peer has proved who it is.
    HELD = "held"


def _ignore(_error: errors.AmaranthringError) -> None:
    """Leave a connection that has closed as it is."""


def do_nothing() -> None:
    """Have nothing to let go of."""


@dataclasses.dataclass(eq=False)
class Share:
    """What one connection takes.

    Attributes
    ----------
    give_up : callable
        Ends the connection with an error for its client.
    size : int
        Bytes that were taken in since the last request ended.
    pending : int
        Bytes that may have arrived and are not read for now.
    head_most : float
        Greatest length in bytes of the head that is being received; without
        a bound while none is.
    heard_at : float
        Monotonic seconds at which bytes last arrived.
    head_seconds : callable
        Returns how long a head may take.
    due : float
        Monotonic seconds at which what is being received must be whole.
    late : errors.AmaranthringError, optional
        What a client that is late is told.
    steps : int
        Steps of work that are left before others have their turn.
    drop : callable
        Lets go of what was received of a request.
    turn : asyncio.Future, optional
        Turn that is waited for.
    has_unsent : bool
        Whether its client has not taken all that was written.
    taken_at : float
        Monotonic seconds at which the client last took something.
    is_open : bool
        Whether the connection is open.
    is_authenticated : bool
        Whether the peer has proved who it is, so that nothing is counted.
    """

    intake: "Intake"
    give_up: GiveUp
    state: State = State.IDLE
    size: int = 0
    pending: int = 0
    head_most: float = float("inf")
    heard_at: float = dataclasses.field(default_factory=time.monotonic)
    head_seconds: t.Callable[[], float] = lambda: float("inf")
    due: float = float("inf")
    late: errors.AmaranthringError | None = None
    steps: int = turns_module.FIRST_STEPS
    drop: t.Callable[[], None] = do_nothing
    turn: asyncio.Future | None = None
    has_unsent: bool = False
    taken_at: float = 0.0
    is_open: bool = True
    is_authenticated: bool = False

    def take(self, size: int) -> bool:
        """Take `size` bytes that have arrived.

        Returns
        -------
        bool
            Whether the connection is still open: it is not if it is the one
            that gave way.
        """
        if self.is_authenticated or not self.is_open:
            return self.is_open
        self.heard_at = time.monotonic()
        if self.state is State.IDLE:
            self.due = self.heard_at + self.head_seconds()
            self.late = None
            self._move(State.RECEIVING)
        elif self.state is State.RECEIVING:
            self.intake.touch(self)
        self._add(size)
        return self.is_open

    def begin(self, size: int) -> None:
        """Begin with the next request, of which `size` bytes have arrived."""
        if not self.is_open:
            return
        self.intake.used += size - self.size
        self.size = size
        self.drop = do_nothing
        self.due = float("inf")
        self.steps = turns_module.FIRST_STEPS
        self._move(State.RECEIVING if size else State.IDLE)
        if size:
            self.due = time.monotonic() + self.head_seconds()
            self.late = None

    def expect(self, due: float, late: errors.AmaranthringError) -> None:
        """Give the rest of a request until `due`, or else end with `late`."""
        self.due, self.late = due, late

    def hold(self) -> None:
        """Keep this connection, whose request is whole."""
        if self.is_open:
            self._move(State.HELD)

    def mark_authenticated(self) -> None:
        """Keep this connection, whose peer has proved who it is."""
        if not self.is_open:
            return
        self.is_authenticated = True
        self.intake.used -= self.size
        self.size = 0
        self.hold()

    def end(self) -> None:
        """Give all back, as the connection has closed."""
        if not self.is_open:
            return
        self.is_open = False
        # What reads the connection learns of its end in a later turn only.
        self.drop()
        self.drop = do_nothing
        self.give_up = _ignore
        self.intake.used -= self.size
        self._read_on()
        if self.turn is not None and not self.turn.done():
            # What still waits for its turn keeps parts of a body.
            self.turn.set_result(None)
        self.intake.unsent.pop(self, None)
        self.intake.forget(self)

    def note_unsent(self) -> None:
        """Note that the client has not taken all that was written."""
        if self.is_open:
            self.has_unsent = True
            self.taken_at = time.monotonic()
            self.intake.unsent.pop(self, None)
            self.intake.unsent[self] = None

    def note_sent(self) -> None:
        """Note that the client has taken all."""
        self.has_unsent = False
        self.intake.unsent.pop(self, None)

    async def wait(self, pending: int) -> None:
        """Wait for the next steps, or until the connection has closed.

        Parameters
        ----------
        pending : int
            Bytes that may arrive meanwhile, while nothing is read.
        """
        if not self.is_open:
            return
        self.turn = self.intake.turns.ask()
        self.pending = pending
        self.intake.add(pending)
        try:
            await self.turn
        finally:
            self.turn = None
            self._read_on()
        self.steps = turns_module.STEPS

    def _read_on(self) -> None:
        self.intake.used -= self.pending
        self.pending = 0

    def _add(self, size: int) -> None:
        self.size += size
        self.intake.add(size)

    def _move(self, state: State) -> None:
        if state is not self.state:
            self.intake.forget(self)
            self.state = state
            self.intake.remember(self)


def _count_nothing(_name: str) -> None:
    """Leave ended connections uncounted."""


class Intake:
    """Bound on what all connections to this process take together.

    When the bytes are too many, unfinished requests give way: first the one
    whose client has been silent for longest, then the largest. When the
    connections are too many, the one that has been silent for longest does.
    Requests that are whole are kept.

    Parameters
    ----------
    most_bytes : float
        Greatest sum of what connections take.
    most_connections : float
        Greatest number of connections.
    count : callable, optional
        Counts connections that were ended, by the reason.

    Attributes
    ----------
    used : int
        Bytes that are taken.
    shares : dict
        Connections of each state, those that were silent for longest first.
    unsent : dict
        Connections whose clients have not taken all that was written, those
        that have taken nothing for longest first.
    is_short : callable
        Returns whether answers wait for memory that others take.
    turns : turns.Turns
        Divides the turns of the event loop among the connections.
    lingering : refusals.Lingering
        Connections whose clients are still reading a refusal.
    """

    def __init__(
        self,
        most_bytes: float = DEFAULT_BYTES,
        most_connections: float = float("inf"),
        count: t.Callable[[str], None] = _count_nothing,
    ):
        self.count = count
        self.most_bytes = most_bytes
        self.most_connections = most_connections
        self.used = 0
        self.shares: dict[State, dict[Share, None]] = {
            state: {} for state in State
        }
        self.unsent: dict[Share, None] = {}
        self.is_short: t.Callable[[], bool] = lambda: False
        self.turns = turns_module.Turns()
        self.lingering = refusals.Lingering()

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        count = sum(len(shares) for shares in self.shares.values())
        return count + len(self.lingering.open)

    async def run(self) -> None:
        """End regularly what should have been whole."""
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            self.check_due()
            if self.is_short():
                self.end_stalled()

    def admit(self, give_up: GiveUp) -> Share | None:
        """Return the share of a new connection.

        Parameters
        ----------
        give_up : callable
            Ends the connection with an error for its client.

        Returns
        -------
        Share or None
            None if it must be turned away, as none gives way to it.
        """
        while self.connections >= self.most_connections:
            if self.lingering.close_oldest():
                continue
            oldest = self._longest_silent()
            if oldest is None:
                return None
            self.give_up(oldest)
        share = Share(self, give_up)
        self.remember(share)
        return share

    def remember(self, share: Share) -> None:
        """Add a share to those of its state."""
        self.shares[share.state][share] = None

    def forget(self, share: Share) -> None:
        """Remove a share from those of its state."""
        self.shares[share.state].pop(share, None)

    def touch(self, share: Share) -> None:
        """Note that something of a share has arrived."""
        self.forget(share)
        self.remember(share)

    def add(self, size: int) -> None:
        """Add `size` bytes; others give way if they do not fit."""
        self.used += size
        while size > 0 and self.used > self.most_bytes:
            victim = self._next_to_end()
            if victim is None:
                return
            self.give_up(victim)

    def give_up(self, share: Share) -> None:
        """End a connection so that others have what it takes."""
        self._end(
            share,
            "intake.given-up",
            errors.IntakeFullError(
                "this process takes in as much as it may",
                given=f"{share.size} bytes so far",
                expected="the rest of the request sooner, or fewer at once",
                retry_after=RETRY_SECONDS,
            ),
        )

    def refuse_head(self, share: Share, received: int) -> None:
        """End a connection whose head is too long.

        Parameters
        ----------
        received : int
            Bytes that have arrived without the end of the head.
        """
        self._end(
            share,
            "intake.head-too-large",
            errors.HeadersTooLargeError(
                "headers",
                given=f"{received} bytes without their end",
                expected=f"{share.head_most:g} bytes at most",
            ),
        )

    def check_due(self) -> None:
        """End connections whose request should have been whole by now."""
        now = time.monotonic()
        for share in [
            share for share in self.shares[State.RECEIVING] if share.due <= now
        ]:
            self._end(share, "intake.late", share.late or _head_error(share))

    def end_stalled(self) -> None:
        """End connections whose clients take nothing of their answers."""
        late = time.monotonic() - STALLED_SECONDS
        for share in list(self.unsent):
            if share.taken_at > late:
                return
            self._end(
                share,
                "intake.stalled",
                errors.CallerDisconnectedError("the caller reads nothing"),
            )

    def _end(
        self, share: Share, name: str, error: errors.AmaranthringError
    ) -> None:
        self.count(name)
        logs.event(
            log,
            name,
            state=share.state.value,
            bytes=share.size,
            silent=round(time.monotonic() - share.heard_at, 3),
            used=self.used,
            connections=self.connections,
        )
        share.give_up(error)
        share.end()

    def _longest_silent(self) -> Share | None:
        oldest = [
            next(iter(self.shares[state]))
            for state in (State.IDLE, State.RECEIVING)
            if self.shares[state]
        ]
        return min(oldest, key=lambda share: share.heard_at, default=None)

    def _next_to_end(self) -> Share | None:
        receiving = self.shares[State.RECEIVING]
        if not receiving:
            return None
        oldest = next(iter(receiving))
        if time.monotonic() - oldest.heard_at >= SILENT_SECONDS:
            return oldest
        largest = max(receiving, key=_held_bytes)
        return largest if _held_bytes(largest) > SMALL_BYTES else None


def _held_bytes(share: Share) -> int:
    return share.size + share.pending


def _head_error(share: Share) -> errors.HeadersTimeoutError:
    return errors.HeadersTimeoutError(
        "the headers arrived too slowly",
        given=f"{share.size} bytes in {share.head_seconds():g} s",
        expected="complete headers",
        retry_after=RETRY_SECONDS,
    )


def for_process(
    memory: float = 0.0,
    descriptors: int = 0,
    count: t.Callable[[str], None] = _count_nothing,
) -> Intake:
    """Return the intake of a process.

    Parameters
    ----------
    memory : float
        Bytes that the process may use; 0 if not known.
    descriptors : float
        Descriptors that it may open beside its files; 0 if not known.
    count : callable, optional
        As in :class:`Intake`.
    """
    files, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    known = [
        count
        for count in (descriptors, files)
        if count and count != resource.RLIM_INFINITY
    ]
    most_bytes = memory * MEMORY_SHARE or DEFAULT_BYTES
    return Intake(
        most_bytes,
        min(
            min(known, default=float("inf")) * DESCRIPTORS_SHARE,
            most_bytes * CONNECTIONS_SHARE / CONNECTION_BYTES,
        ),
        count,
    )
