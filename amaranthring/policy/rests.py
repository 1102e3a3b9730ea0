"""Targets that have asked this process to send them nothing for a while.

A target that asks for rest when it turns a request away may be overloaded, or
the request may be the reason: one that is too large for any target is turned
away by all of them, and must not make a service unavailable to others. Which
of the two it is shows only when another target accepts the request, so until
then a rest is charged to the caller of the request:

* a caller that is charged with several rests at once is a suspect for a while
  and can make only one target rest at a time;
* if all targets of a service rest, those that do so on account of one caller
  may be tried once by others.
"""

import collections.abc
import dataclasses

from amaranthring.core import clocks

# A caller is suspected if its requests made this many targets rest and no
# target accepted them.
SUSPICIOUS_RESTS = 2
SUSPECT_SECONDS = 30.0
# A target allows its routers half a second until they keep a rest, and two
# requests after that. A trial leaves the rest of it to requests on their way.
TRIAL_SECONDS = 0.3
MAX_LATE_TRIALS = 1

Caller = collections.abc.Hashable


@dataclasses.dataclass
class Rest:
    """Rest of one target.

    Attributes
    ----------
    begun, until : float
        Time between which it gets no requests.
    charged_to : Caller or None
        Caller whose requests alone led to it; None if the rest is the
        target's own need.
    late_trials : int
        Trials later than TRIAL_SECONDS after its beginning.
    """

    begun: float
    until: float
    charged_to: Caller | None
    late_trials: int = 0


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
        now = self.clock()
        rest = self._active(target)
        if rest is None:
            self.by_target[target] = Rest(now, now + seconds, caller)
            return
        rest.until = max(rest.until, now + seconds)
        if rest.charged_to != caller:
            # It turns away more than the requests of one caller.
            rest.charged_to = None

    def left(self, target: str) -> float:
        """Return the seconds for which `target` still rests, or 0."""
        rest = self._active(target)
        return 0.0 if rest is None else rest.until - self.clock()

    def may_try(self, target: str, caller: Caller) -> bool:
        """Return whether `caller` may try a target that rests for another.

        Only if all targets of a service rest.
        """
        rest = self._active(target)
        if rest is None or rest.charged_to in (None, caller):
            return False
        is_early = self.clock() - rest.begun < TRIAL_SECONDS
        return is_early or rest.late_trials < MAX_LATE_TRIALS

    def count_trial(self, target: str) -> None:
        """Count a request that is sent to a resting target as a trial."""
        rest = self._active(target)
        if rest is not None and self.clock() - rest.begun >= TRIAL_SECONDS:
            rest.late_trials += 1

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

    def request_failed(self, caller: Caller) -> None:
        """Suspect `caller`, whose request no target accepted, of its rests."""
        if len(self._charged(caller)) >= SUSPICIOUS_RESTS:
            self.suspects[caller] = self.clock() + SUSPECT_SECONDS

    def held_back(self, caller: Caller) -> float:
        """Return the seconds for which a suspect may send nothing, or 0."""
        if self.suspects.get(caller, 0.0) <= self.clock():
            return 0.0
        return min(self._charged(caller), default=0.0)

    def _active(self, target: str) -> Rest | None:
        rest = self.by_target.get(target)
        return rest if rest and rest.until > self.clock() else None

    def _charged(self, caller: Caller) -> list[float]:
        """Return the seconds left of the rests charged to `caller`."""
        now = self.clock()
        return [
            rest.until - now
            for rest in self.by_target.values()
            if rest.charged_to == caller and rest.until > now
        ]

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
