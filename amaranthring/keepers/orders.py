"""Orders to targets, as the log holds them.

An order is in the log, under a fencing number of its own, before it is sent.
Numbers grow over all leaders, so a target that checks them refuses an order
of a leader that was replaced. One order at most is open for a target.

A pair of target and model that failed is tried again after a growing pause
and a few times only; then it stays failed until the desired state changes,
so that a model which does not load does not keep the fleet loading it.
"""

import collections
import dataclasses
import typing as t

from amaranthring import errors
from amaranthring.core import parts
from amaranthring.keepers import commands

FINISHED_MOST = 500
MAX_ATTEMPTS = 3
MAX_MODEL_FAILURES = 6
PAUSE_FIRST_SECONDS = 30.0
PAUSE_MOST_SECONDS = 600.0
FORGET_SECONDS = 3600.0
DETAIL_MOST = 200
MINUTE = 60.0


@dataclasses.dataclass
class Order:
    """One order.

    Attributes
    ----------
    fencing : int
        Its number, which also names it.
    began, ended : float
        Stamps; `ended` is 0 while it is open.
    """

    fencing: int
    target: str
    incarnation: int
    kind: str
    wanted: str
    began: float
    state: str = commands.OrderState.OPEN
    ended: float = 0.0
    detail: str = ""


@dataclasses.dataclass
class Tries:
    """Tries of one order at one incarnation of a target.

    Attributes
    ----------
    count : int
        Orders begun in this desired state.
    failed : bool
        Whether the last one failed.
    until : float
        Stamp before which it is not tried again.
    """

    count: int = 0
    failed: bool = False
    until: float = 0.0


def tries_key(target: str, incarnation: int, kind: str, wanted: str) -> str:
    """Return the key under which tries are counted."""
    return f"{target}\0{incarnation}\0{kind}\0{wanted}"


class Orders:
    """All open orders and the last finished ones.

    Attributes
    ----------
    fencing : int
        Highest number given out.
    open : dict
        Target to its open order.
    finished : deque
        Orders that ended, oldest first.
    quiet : dict
        Target to the stamp until which it may still be at an order whose
        end is unknown.
    """

    def __init__(self):
        self.fencing = 0
        self.open: dict[str, Order] = {}
        self.finished: collections.deque[Order]
        self.finished = collections.deque(maxlen=FINISHED_MOST)
        self.tries: dict[str, Tries] = {}
        self.failures: collections.Counter[str] = collections.Counter()
        self.quiet: dict[str, float] = {}
        self.loads: collections.deque[float] = collections.deque()
        self.desired = ""

    def begin(self, stamp: float, command) -> commands.OrderBegun:
        """Take an order down and give it a number.

        Raises
        ------
        errors.RefusedError
            If another order is open for the target, or it failed too often.
        errors.RateLimitedError
            If the weight store is busy.
        """
        self._forget(stamp)
        known = self.open.get(command.target)
        if (known.fencing if known else 0) != command.supersedes:
            raise errors.RefusedError(
                f"another order is open for {command.target}",
                given=command.supersedes,
                expected=known.fencing if known else 0,
            )
        if known is None:
            self._check(stamp, command)
        if known is not None:
            self._finish(known, stamp, commands.OrderState.SUPERSEDED, "")
        if command.kind == commands.OrderKind.LOAD:
            self.loads.append(stamp)
        self.fencing += 1
        self.open[command.target] = Order(
            self.fencing,
            command.target,
            command.incarnation,
            str(command.kind),
            command.wanted,
            stamp,
        )
        key = tries_key(
            command.target, command.incarnation, command.kind, command.wanted
        )
        self.tries.setdefault(key, Tries()).count += 1
        return commands.OrderBegun(self.fencing)

    def end(self, stamp: float, command) -> commands.OrderEnded:
        """Take down how an order ended; a repeat changes nothing.

        Raises
        ------
        errors.NotFoundError
            If no such order is open.
        """
        self.fencing = max(self.fencing, command.seen)
        order = next(
            (o for o in self.open.values() if o.fencing == command.fencing),
            None,
        )
        if order is None:
            raise errors.NotFoundError(
                "no such open order",
                given=command.fencing,
                expected="an open order",
            )
        states = commands.OrderState
        state = states.DONE if command.done else states.FAILED
        self._finish(order, stamp, state, command.detail)
        self._count(order, stamp, command)
        return commands.OrderEnded(state)

    def blocked(self, stamp, target, incarnation, kind, wanted) -> str:
        """Return why this must not be ordered now, or an empty string."""
        if self.quiet.get(target, 0.0) > stamp:
            return "the target may still be at an earlier order"
        if self.failures[wanted] >= MAX_MODEL_FAILURES:
            return "failed on several targets"
        tries = self.tries.get(tries_key(target, incarnation, kind, wanted))
        if tries is None:
            return ""
        if tries.count >= MAX_ATTEMPTS:
            return "failed too often"
        return "waits for its next try" if tries.until > stamp else ""

    def set_desired(self, desired: str) -> None:
        """Start counting tries anew if the desired state changed."""
        if desired != self.desired:
            self.desired = desired
            self.tries.clear()
            self.failures.clear()

    def view(self) -> list[dict[str, t.Any]]:
        """Return every order known, newest first."""
        known = [*self.finished, *self.open.values()]
        rows = []
        for order in sorted(known, key=lambda o: -o.fencing):
            row = dataclasses.asdict(order)
            row["order"] = str(order.fencing)
            row["action"] = f"{order.kind} {order.wanted}"
            rows.append(row)
        return rows

    def dump(self) -> dict[str, t.Any]:
        """Return the plain form that :meth:`load` reads."""
        return parts.plain(
            {
                "fencing": self.fencing,
                "open": list(self.open.values()),
                "finished": list(self.finished),
                "tries": self.tries,
                "failures": dict(self.failures),
                "quiet": self.quiet,
                "loads": list(self.loads),
                "desired": self.desired,
            }
        )

    def load(self, values: dict[str, t.Any]) -> None:
        """Take over the orders that :meth:`dump` wrote."""
        self.fencing = values["fencing"]
        self.open = {v["target"]: Order(**v) for v in values["open"]}
        self.finished.clear()
        self.finished.extend(Order(**v) for v in values["finished"])
        self.tries = {k: Tries(**v) for k, v in values["tries"].items()}
        self.failures = collections.Counter(values["failures"])
        self.quiet = values["quiet"]
        self.loads = collections.deque(values["loads"])
        self.desired = values["desired"]

    def _check(self, stamp: float, command) -> None:
        reason = self.blocked(
            stamp,
            command.target,
            command.incarnation,
            command.kind,
            command.wanted,
        )
        if reason:
            raise errors.RefusedError(
                f"{command.kind} {command.wanted} on {command.target}",
                given=reason,
                expected="a later try or another desired state",
            )
        if command.kind != commands.OrderKind.LOAD:
            return
        kinds = [order.kind for order in self.open.values()]
        if (
            kinds.count(commands.OrderKind.LOAD) >= command.loads_at_once
            or len(self.loads) >= command.loads_per_minute
        ):
            raise errors.RateLimitedError(
                "the weight store is at its limit", retry_after=1.0
            )

    def _finish(self, order, stamp, state, detail) -> None:
        del self.open[order.target]
        order.state = str(state)
        order.ended = stamp
        order.detail = detail[:DETAIL_MOST]
        self.finished.append(order)

    def _count(self, order: Order, stamp: float, command) -> None:
        key = tries_key(
            order.target, order.incarnation, order.kind, order.wanted
        )
        tries = self.tries.setdefault(key, Tries(1))
        tries.failed = not command.done
        # A target that says "done" shows what it serves a little later.
        pause = PAUSE_FIRST_SECONDS * 2 ** (tries.count - 1)
        tries.until = stamp + min(pause, PAUSE_MOST_SECONDS)
        if command.quiet_seconds:
            self.quiet[order.target] = stamp + command.quiet_seconds
        if command.done:
            self.failures.pop(order.wanted, None)
        else:
            self.failures[order.wanted] += 1

    def _forget(self, stamp: float) -> None:
        while self.loads and self.loads[0] <= stamp - MINUTE:
            self.loads.popleft()
        self.quiet = {k: v for k, v in self.quiet.items() if v > stamp}
        old = stamp - FORGET_SECONDS
        self.tries = {
            key: tries
            for key, tries in self.tries.items()
            if tries.failed or tries.until > old
        }
