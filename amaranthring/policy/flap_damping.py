"""Damping of targets that come and go.

Every departure adds to a penalty that halves with time. A target that comes
back while its penalty is above the threshold waits before it gets work, and
each further return waits twice as long, up to a bound. The scheme is that of
route flap damping.

Source: C. Villamizar, R. Chandra, R. Govindan, "BGP Route Flap Damping",
RFC 2439, 1998.
"""

import dataclasses

HALF_LIFE_SECONDS = 60.0
PENALTY_MOST = 12.0
CRASH_PENALTY = 1.0
ORDERLY_PENALTY = 0.5
THRESHOLD = 1.5
FIRST_WAIT_SECONDS = 2.0
LONGEST_WAIT_SECONDS = 60.0


@dataclasses.dataclass
class History:
    """What is remembered of a target's departures.

    Attributes
    ----------
    penalty : float
        Sum of departures, as it stood at `at`.
    at : float
        Time of the last departure, in seconds of the caller's clock.
    """

    penalty: float = 0.0
    at: float = 0.0


def penalty(history: History, now: float) -> float:
    """Return the penalty decayed to time `now`, in seconds."""
    elapsed = max(0.0, now - history.at)
    return history.penalty * 0.5 ** (elapsed / HALF_LIFE_SECONDS)


def record_departure(history: History, now: float, orderly: bool) -> History:
    """Return the history after one more departure at time `now`."""
    added = ORDERLY_PENALTY if orderly else CRASH_PENALTY
    total = min(PENALTY_MOST, penalty(history, now) + added)
    return History(total, now)


def readmission_delay(history: History, now: float) -> float:
    """Return how many seconds a target that returns at `now` waits."""
    current = penalty(history, now)
    if current < THRESHOLD:
        return 0.0
    doubled = FIRST_WAIT_SECONDS * 2.0 ** (current - THRESHOLD)
    return min(LONGEST_WAIT_SECONDS, doubled)
