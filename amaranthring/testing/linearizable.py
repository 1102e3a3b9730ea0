"""Linearizability check for histories of one register.

Sources: J. Wing and C. Gong, "Testing and Verifying Concurrent Objects",
J. Parallel Distrib. Comput. 17, 1993; G. Lowe, "Testing for
linearizability", Concurr. Comput. 29(4), 2017 (memoization).
"""

import dataclasses
import math


@dataclasses.dataclass
class Call:
    """One call to a register, as its client observed it.

    Attributes
    ----------
    started_at, ended_at : float
        Seconds; `ended_at` is infinite if the outcome is unknown.
    kind : str
        ``read``, ``write``, ``swap`` (successful compare-and-set) or
        ``held`` (failed compare-and-set).
    value : str
        Value read, written, or found by a failed compare-and-set.
    expected : str
        Value that a successful compare-and-set expected.
    """

    started_at: float
    ended_at: float
    kind: str
    value: str
    expected: str = ""

    @property
    def completed(self) -> bool:
        """Return whether the outcome is known."""
        return self.ended_at < math.inf


def _after(call: Call, state: str) -> str | None:
    """Return the state after `call`, or None if it cannot follow `state`."""
    if call.kind == "write":
        return call.value
    if call.kind == "swap":
        return call.value if call.expected == state else None
    return state if call.value == state else None


def is_linearizable(calls: list[Call], first: str = "") -> bool:
    """Return whether some linearization of `calls` explains every reply.

    A call with unknown outcome may have taken effect at any time after it
    started, or never.
    """
    calls = sorted(calls, key=lambda call: call.started_at)
    completed = frozenset(i for i, c in enumerate(calls) if c.completed)
    seen = set()
    stack = [(frozenset(), first)]
    while stack:
        applied, state = stack.pop()
        if completed <= applied:
            return True
        if (applied, state) in seen:
            continue
        seen.add((applied, state))
        pending = [i for i in range(len(calls)) if i not in applied]
        first_end = min(calls[i].ended_at for i in pending)
        for i in pending:
            if calls[i].started_at > first_end:
                break
            after = _after(calls[i], state)
            if after is not None:
                stack.append((applied | {i}, after))
    return False
