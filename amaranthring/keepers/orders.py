"""Replicated state of the orders to targets.

An order is recorded in the log under its own fencing number before it is
sent. Fencing numbers grow across leaders, so a target that checks them
rejects orders of a deposed leader. At most one order is open for a target.

A failed order is retried with exponential backoff and a limited number of
attempts, until the desired state changes. This keeps a model that cannot be
loaded from occupying the weight store.
"""

import collections
import dataclasses
import typing as t

from amaranthring import errors
from amaranthring.core import config_parts
from amaranthring.keepers import commands

MAX_FINISHED = 500
MAX_ATTEMPTS = 3
MAX_MODEL_FAILURES = 6
INITIAL_BACKOFF_SECONDS = 30.0
MAX_BACKOFF_SECONDS = 600.0
ATTEMPTS_RETENTION_SECONDS = 3600.0
MAX_DETAIL_CHARS = 200
LOAD_WINDOW_SECONDS = 60.0


@dataclasses.dataclass
class Order:
    """One order.

    Attributes
    ----------
    fencing : int
        Fencing number, which also identifies the order.
    began, ended : float
        Log timestamps; `ended` is 0 while the order is open.
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
class Attempts:
    """Attempts of the same order at one incarnation of a target.

    Attributes
    ----------
    count : int
        Number of attempts since the desired state changed.
    failed : bool
        Whether the last attempt failed.
    until : float
        Log timestamp before which the order is not retried.
    """

    count: int = 0
    failed: bool = False
    until: float = 0.0


def attempts_key(target: str, incarnation: int, kind: str, wanted: str) -> str:
    """Return the key under which attempts are counted."""
    return f"{target}\0{incarnation}\0{kind}\0{wanted}"


class Orders:
    """All open orders and the last finished ones.

    Attributes
    ----------
    fencing : int
        Highest fencing number assigned so far.
    open : dict
        Open order of each target.
    finished : deque
        Finished orders, oldest first.
    busy_until : dict
        Log timestamp until which a target may still be executing an order
        whose result is unknown.
    """

    def __init__(self):
        self.fencing = 0
        self.open: dict[str, Order] = {}
        self.finished: collections.deque[Order]
        self.finished = collections.deque(maxlen=MAX_FINISHED)
        self.attempts: dict[str, Attempts] = {}
        self.failures: collections.Counter[str] = collections.Counter()
        self.busy_until: dict[str, float] = {}
        self.load_times: collections.deque[float] = collections.deque()
        self.desired = ""

    def begin(self, stamp: float, command) -> commands.OrderBegun:
        """Record an order and assign its fencing number.

        Raises
        ------
        errors.RefusedError
            If another order is open for the target, or the order must not
            be retried now.
        errors.RateLimitedError
            If the limits of the weight store are reached.
        """
        self._drop_expired(stamp)
        current = self.open.get(command.target)
        if (current.fencing if current else 0) != command.supersedes:
            raise errors.RefusedError(
                f"another order is open for {command.target}",
                given=command.supersedes,
                expected=current.fencing if current else 0,
            )
        if current is None:
            self._check_allowed(stamp, command)
        if current is not None:
            self._finish(current, stamp, commands.OrderState.SUPERSEDED, "")
        if command.kind == commands.OrderKind.LOAD:
            self.load_times.append(stamp)
        self.fencing += 1
        self.open[command.target] = Order(
            self.fencing,
            command.target,
            command.incarnation,
            str(command.kind),
            command.wanted,
            stamp,
        )
        key = attempts_key(
            command.target, command.incarnation, command.kind, command.wanted
        )
        self.attempts.setdefault(key, Attempts()).count += 1
        return commands.OrderBegun(self.fencing)

    def end(self, stamp: float, command) -> commands.OrderEnded:
        """Record the result of an order.

        Raises
        ------
        errors.NotFoundError
            If no such order is open, as when the result is recorded again.
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
        self._count_attempt(order, stamp, command)
        return commands.OrderEnded(state)

    def blocked_reason(self, stamp, target, incarnation, kind, wanted) -> str:
        """Return why the order must not be sent now, or an empty string."""
        if self.busy_until.get(target, 0.0) > stamp:
            return "the target may still be at an earlier order"
        if self.failures[wanted] >= MAX_MODEL_FAILURES:
            return "failed on several targets"
        attempts = self.attempts.get(
            attempts_key(target, incarnation, kind, wanted)
        )
        if attempts is None:
            return ""
        if attempts.count >= MAX_ATTEMPTS:
            return "failed too often"
        return "waits for its next try" if attempts.until > stamp else ""

    def set_desired(self, desired: str) -> None:
        """Reset the attempt counts if the desired state has changed."""
        if desired != self.desired:
            self.desired = desired
            self.attempts.clear()
            self.failures.clear()

    def view(self) -> list[dict[str, t.Any]]:
        """Return all known orders as rows, newest first."""
        all_orders = [*self.finished, *self.open.values()]
        rows = []
        for order in sorted(all_orders, key=lambda o: -o.fencing):
            row = dataclasses.asdict(order)
            row["order"] = str(order.fencing)
            row["action"] = f"{order.kind} {order.wanted}"
            rows.append(row)
        return rows

    def dump(self) -> dict[str, t.Any]:
        """Return the state as plain data for :meth:`load`."""
        return config_parts.to_plain(
            {
                "fencing": self.fencing,
                "open": list(self.open.values()),
                "finished": list(self.finished),
                "tries": self.attempts,
                "failures": dict(self.failures),
                "quiet": self.busy_until,
                "loads": list(self.load_times),
                "desired": self.desired,
            }
        )

    def load(self, values: dict[str, t.Any]) -> None:
        """Replace the state by that from :meth:`dump`."""
        self.fencing = values["fencing"]
        self.open = {v["target"]: Order(**v) for v in values["open"]}
        self.finished.clear()
        self.finished.extend(Order(**v) for v in values["finished"])
        self.attempts = {k: Attempts(**v) for k, v in values["tries"].items()}
        self.failures = collections.Counter(values["failures"])
        self.busy_until = values["quiet"]
        self.load_times = collections.deque(values["loads"])
        self.desired = values["desired"]

    def _check_allowed(self, stamp: float, command) -> None:
        reason = self.blocked_reason(
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
                expected="a later attempt or a changed desired state",
            )
        if command.kind != commands.OrderKind.LOAD:
            return
        kinds = [order.kind for order in self.open.values()]
        if (
            kinds.count(commands.OrderKind.LOAD) >= command.loads_at_once
            or len(self.load_times) >= command.loads_per_minute
        ):
            raise errors.RateLimitedError(
                "the load limit of the weight store is reached",
                retry_after=1.0,
            )

    def _finish(self, order, stamp, state, detail) -> None:
        del self.open[order.target]
        order.state = str(state)
        order.ended = stamp
        order.detail = detail[:MAX_DETAIL_CHARS]
        self.finished.append(order)

    def _count_attempt(self, order: Order, stamp: float, command) -> None:
        key = attempts_key(
            order.target, order.incarnation, order.kind, order.wanted
        )
        attempts = self.attempts.setdefault(key, Attempts(1))
        attempts.failed = not command.done
        # The backoff applies after a success too, as reports reflect what
        # the target serves only after a delay.
        backoff = INITIAL_BACKOFF_SECONDS * 2 ** (attempts.count - 1)
        attempts.until = stamp + min(backoff, MAX_BACKOFF_SECONDS)
        if command.quiet_seconds:
            self.busy_until[order.target] = stamp + command.quiet_seconds
        if command.done:
            self.failures.pop(order.wanted, None)
        else:
            self.failures[order.wanted] += 1

    def _drop_expired(self, stamp: float) -> None:
        while (
            self.load_times
            and self.load_times[0] <= stamp - LOAD_WINDOW_SECONDS
        ):
            self.load_times.popleft()
        self.busy_until = {
            k: v for k, v in self.busy_until.items() if v > stamp
        }
        oldest = stamp - ATTEMPTS_RETENTION_SECONDS
        self.attempts = {
            key: attempts
            for key, attempts in self.attempts.items()
            if attempts.failed or attempts.until > oldest
        }
