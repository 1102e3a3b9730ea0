"""Targets that have asked this process to send them nothing for a while.

A target that asks for rest when it turns a request away may be overloaded, or
the request may be the reason: one that is too large for any target is turned
away by all of them. A rest is therefore charged to the caller of the request
until another target has accepted the request, and a caller that is charged
with the rests of too many targets is held back until the first of them ends.
Otherwise one caller could make all targets of a service rest.
"""

import collections.abc
import dataclasses
import math

from amaranthring.core import clocks

# Targets that a caller may be charged with before it is held back: half of
# the service, and two of a small one, so that a request which one target
# turns away can still go to another.
MAX_CHARGED_SHARE = 0.5
MIN_CHARGED = 2
# A request was turned away by this many targets and accepted by none: until
# the suspicion ends, its caller may be charged with SUSPECT_CHARGED only.
SUSPICIOUS_REFUSALS = 2
SUSPECT_CHARGED = 1
SUSPECT_SECONDS = 30.0

Caller = collections.abc.Hashable


@dataclasses.dataclass
class Rest:
    """Rest of one target.

    Attributes
    ----------
    until : float
        Time before which it gets no requests.
    charged_to : Caller or None
        Caller whose requests alone led to it; None if the rest is the
        target's own need.
    """

    until: float
    charged_to: Caller | None


class Rests:
    """Rests of targets, and the callers that are charged with them.

    Parameters
    ----------
    clock : callable
        Seconds; continues while the VM is suspended, as a rest does.
    """

    def __init__(
        self, clock: collections.abc.Callable[[], float] = clocks.boottime
    ):
        self.clock = clock
        self.by_target: dict[str, Rest] = {}
        self.suspects: dict[Caller, float] = {}

    def begin(self, target: str, seconds: float, caller: Caller) -> None:
        """Let `target` rest from now on, or longer than it does already.

        Parameters
        ----------
        caller : Caller
            Whose request the target turned away.
        """
        until = self.clock() + seconds
        rest = self.by_target.get(target)
        if rest is None or rest.until <= self.clock():
            self.by_target[target] = Rest(until, caller)
            return
        rest.until = max(rest.until, until)
        if rest.charged_to != caller:
            # It turns away more than the requests of one caller.
            rest.charged_to = None

    def left(self, target: str) -> float:
        """Return the seconds for which `target` still rests, or 0."""
        rest = self.by_target.get(target)
        return 0.0 if rest is None else max(0.0, rest.until - self.clock())

    def request_accepted(
        self, caller: Caller, targets: collections.abc.Iterable[str]
    ) -> None:
        """Clear `caller`, whose request `targets` had turned away.

        Another target accepted the request, so it was not the reason.
        """
        for target in targets:
            rest = self.by_target.get(target)
            if rest is not None and rest.charged_to == caller:
                rest.charged_to = None
        self.suspects.pop(caller, None)

    def request_failed(self, caller: Caller, refusals: int) -> None:
        """Suspect `caller` if its request led to several rests.

        Parameters
        ----------
        refusals : int
            Targets that asked for rest instead of running the request, while
            no target accepted it.
        """
        if refusals >= SUSPICIOUS_REFUSALS:
            self.suspects[caller] = self.clock() + SUSPECT_SECONDS

    def held_back(self, caller: Caller, targets: int) -> float:
        """Return the seconds for which `caller` is held back, or 0.

        Parameters
        ----------
        targets : int
            Targets of the service, resting or not.
        """
        now = self.clock()
        charged = [
            rest.until - now
            for rest in self.by_target.values()
            if rest.charged_to == caller and rest.until > now
        ]
        if len(charged) < self._max_charged(caller, targets):
            return 0.0
        return min(charged)

    def _max_charged(self, caller: Caller, targets: int) -> int:
        if self.suspects.get(caller, 0.0) > self.clock():
            return SUSPECT_CHARGED
        return max(MIN_CHARGED, math.ceil(MAX_CHARGED_SHARE * targets))

    def prune(self) -> None:
        """Drop rests and suspicions that have ended."""
        now = self.clock()
        self.by_target = {
            target: rest
            for target, rest in self.by_target.items()
            if rest.until > now
        }
        self.suspects = {
            caller: until
            for caller, until in self.suspects.items()
            if until > now
        }
