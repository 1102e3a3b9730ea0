"""Which runs of suspected requests may go on, one of each at a time.

A request that has been on several crashes may be their cause. It runs again
only once at a time, so that a further crash is that of one target.
"""

import collections
import dataclasses
import typing as t

# Bounds the memory; the oldest trials are forgotten first.
MAX_TRIALS = 4096


@dataclasses.dataclass
class Trial:
    """A run of a suspected request.

    Attributes
    ----------
    holder : str
        Router and number of the run.
    until : float
        Time until which no other run may begin, in seconds.
    """

    holder: str
    until: float


class TrialTable:
    """Trials in progress by the fingerprint of the request.

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
        self.trials[fingerprint] = Trial(holder, now + seconds)
        self.trials.move_to_end(fingerprint)
        while len(self.trials) > MAX_TRIALS:
            self.trials.popitem(last=False)
        return True

    def end(self, fingerprint: str, holder: str, hold_seconds: float) -> None:
        """End a trial; no other begins for another `hold_seconds`."""
        known = self.trials.get(fingerprint)
        if known is None or known.holder != holder:
            return
        if hold_seconds:
            known.until = self.clock() + hold_seconds
        else:
            del self.trials[fingerprint]

    def clear(self, fingerprint: str) -> None:
        """Forget the trial of a request that is no longer a suspect."""
        self.trials.pop(fingerprint, None)
