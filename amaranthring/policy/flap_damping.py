"""Damping of targets that repeatedly leave and return.

As in route flap damping, every departure adds to a penalty that decays
exponentially. A target that returns while its penalty is above the threshold
gets requests only after a delay. The delay doubles with each further return,
up to a maximum.

Source: C. Villamizar, R. Chandra, R. Govindan, "BGP Route Flap Damping",
RFC 2439, 1998.
"""

import dataclasses

HALF_LIFE_SECONDS = 60.0
MAX_PENALTY = 12.0
CRASH_PENALTY = 1.0
ORDERLY_PENALTY = 0.5
THRESHOLD = 1.5
INITIAL_DELAY_SECONDS = 2.0
MAX_DELAY_SECONDS = 60.0


@dataclasses.dataclass
class History:
    """Past departures of a target.

    Attributes
    ----------
    penalty : float
        Penalty at time `at`.
    at : float
        Time of the last departure, in seconds on the caller's clock.
    """

    penalty: float = 0.0
    at: float = 0.0


def penalty(history: History, now: float) -> float:
    """Return the penalty decayed to time `now`."""
    elapsed = max(0.0, now - history.at)
    return history.penalty * 0.5 ** (elapsed / HALF_LIFE_SECONDS)


def record_departure(history: History, now: float, orderly: bool) -> History:
    """Return the history with a departure added at time `now`."""
    added = ORDERLY_PENALTY if orderly else CRASH_PENALTY
    total = min(MAX_PENALTY, penalty(history, now) + added)
    return History(total, now)


def readmission_delay(history: History, now: float) -> float:
    """Return the delay in seconds for a target that returns at `now`."""
    current = penalty(history, now)
    if current < THRESHOLD:
        return 0.0
    doubled = INITIAL_DELAY_SECONDS * 2.0 ** (current - THRESHOLD)
    return min(MAX_DELAY_SECONDS, doubled)
