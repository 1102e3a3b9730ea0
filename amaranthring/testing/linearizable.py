"""Checks that a history of one register could have happened in one order.

Sources: J. Wing and C. Gong, "Testing and Verifying Concurrent Objects",
J. Parallel Distrib. Comput. 17, 1993; G. Lowe, "Testing for
linearizability", Concurr. Comput. 29(4), 2017 (remembering visited states).
"""

import dataclasses
import math


@dataclasses.dataclass
class Call:
    """One call to a register as its client saw it.

    Attributes
    ----------
    began, ended : float
        Seconds; `ended` is infinite if its fate is not known.
    kind : str
        ``read``, ``write``, ``swap`` (compare-and-set that was told to have
        succeeded) or ``held`` (compare-and-set that was refused).
    value : str
        What was read, written, or found to be held.
    expected : str
        What a swap expected.
    """

    began: float
    ended: float
    kind: str
    value: str
    expected: str = ""

    @property
    def completed(self) -> bool:
        """Return whether the client was told that it took effect."""
        return self.ended < math.inf


def _after(call: Call, state: str) -> str | None:
    """Return the register after `call`, or None if `state` excludes it."""
    if call.kind == "write":
        return call.value
    if call.kind == "swap":
        return call.value if call.expected == state else None
    return state if call.value == state else None


def is_linearizable(calls: list[Call], first: str = "") -> bool:
    """Return whether one order of `calls` explains every answer.

    A call of unknown fate may have taken effect at any time after it began,
    or never.
    """
    calls = sorted(calls, key=lambda call: call.began)
    certain = frozenset(i for i, c in enumerate(calls) if c.completed)
    seen = set()
    stack = [(frozenset(), first)]
    while stack:
        done, state = stack.pop()
        if certain <= done:
            return True
        if (done, state) in seen:
            continue
        seen.add((done, state))
        left = [i for i in range(len(calls)) if i not in done]
        horizon = min(calls[i].ended for i in left)
        for i in left:
            if calls[i].began > horizon:
                break
            after = _after(calls[i], state)
            if after is not None:
                stack.append((done | {i}, after))
    return False
