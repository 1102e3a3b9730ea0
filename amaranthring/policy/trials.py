"""Which runs with suspected features may go on, one of each at a time.

A feature that has been on several crashes may be their cause. Requests with it
run again only one at a time, so that a further crash is that of one target.
"""

import collections
import dataclasses
import typing as t

# Bounds the memory; the oldest trials are forgotten first.
MAX_TRIALS = 4096
# Each trial that was broken off, and after which the feature is still a
# suspect, lengthens the time until the next one by this factor.
HOLD_FACTOR = 4.0
MAX_HOLD_SECONDS = 60.0


@dataclasses.dataclass
class Trial:
    """A run of a request with a suspected feature.

    Attributes
    ----------
    holder : str
        Router and number of the run.
    until : float
        Time until which no other run may begin, in seconds.
    broken_off : int
        Number of trials of the feature that were broken off.
    """

    holder: str
    until: float
    broken_off: int = 0


class TrialTable:
    """Trials by the fingerprint of the feature.

    Parameters
    ----------
    clock : callable
        Seconds; continues while the VM is suspended.
    """

    def __init__(self, clock: t.Callable[[], float]):
        self.clock = clock
        self.trials: collections.OrderedDict[str, Trial] = (
            collections.OrderedDict()
        )

    def begin(self, fingerprint: str, holder: str, seconds: float) -> bool:
        """Begin a trial; return False if another one is in progress.

        Parameters
        ----------
        seconds : float
            After this time it counts as ended.
        """
        now = self.clock()
        known = self.trials.get(fingerprint)
        if known is not None and known.holder != holder and known.until > now:
            return False
        broken_off = known.broken_off if known is not None else 0
        self.trials[fingerprint] = Trial(holder, now + seconds, broken_off)
        self.trials.move_to_end(fingerprint)
        while len(self.trials) > MAX_TRIALS:
            self.trials.popitem(last=False)
        return True

    def end(self, fingerprint: str, holder: str, hold_seconds: float) -> None:
        """End a trial; no other begins for another `hold_seconds`."""
        known = self.trials.get(fingerprint)
        if known is None or known.holder != holder:
            return
        now = self.clock()
        if hold_seconds:
            factor = HOLD_FACTOR**known.broken_off
            known.until = now + min(hold_seconds * factor, MAX_HOLD_SECONDS)
            known.broken_off += 1
        elif known.broken_off:
            known.until = now
        else:
            del self.trials[fingerprint]

    def clear(self, fingerprint: str) -> None:
        """Forget the trials of a feature that is no longer a suspect."""
        self.trials.pop(fingerprint, None)
