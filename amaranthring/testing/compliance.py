"""Whether a router keeps what targets have asked it for in their answers."""

import contextlib
import dataclasses
import typing as t

from amaranthring.core import notices

# Bounds of the users' rules: no more than two requests from half a second
# after a target has asked for rest, and none that a caller sent two seconds
# after a router was told that the target leaves.
REACTION_SECONDS = 0.5
MAX_DURING_REST = 2
DRAIN_SECONDS = 2.0
# A series with fewer answers shows nothing.
MIN_ANSWERS = 100
# All targets rest for parts of a series; callers are refused then.
MIN_ANSWERED_SHARE = 1 / 3


@dataclasses.dataclass
class Told:
    """What a target told one router process, and what it got from it since.

    Times are monotonic seconds.

    Attributes
    ----------
    rests : list of tuple
        Start and seconds of each rest.
    arrivals : list of tuple
        When each request arrived, and when its caller sent it.
    leaving_at : float
        When it first told that it leaves.
    """

    rests: list[tuple[float, float]] = dataclasses.field(default_factory=list)
    arrivals: list[tuple[float, float]] = dataclasses.field(
        default_factory=list
    )
    leaving_at: float = float("inf")

    def ask_for_rest(self, now: float, value: str) -> None:
        """Record an answer with ``Retry-After``, unless it is malformed."""
        with contextlib.suppress(ValueError):
            seconds = float(value)
            if 0 < seconds <= notices.MAX_REST_SECONDS:
                self.rests.append((now, seconds))

    def most_during_rests(self, stops: t.Collection[float] = ()) -> int:
        """Return how many requests arrived in the rest that had most.

        Parameters
        ----------
        stops : collection of float
            When the router was stopped and continued, which excuses it.
        """
        return max(
            (
                self._during(start, seconds)
                for start, seconds in self.rests
                if not any(start <= at <= start + seconds for at in stops)
            ),
            default=0,
        )

    def _during(self, start: float, seconds: float) -> int:
        first = start + REACTION_SECONDS
        return sum(first < at <= start + seconds for at, _ in self.arrivals)

    def after_departure(self, stops: t.Collection[float] = ()) -> int:
        """Return how many requests callers sent long after it was told."""
        excused = [at for at in stops if at > self.leaving_at]
        end = min(excused, default=float("inf"))
        first = self.leaving_at + DRAIN_SECONDS
        return sum(first < sent and at < end for at, sent in self.arrivals)


def is_conclusive(statuses: t.Mapping[int, int]) -> bool:
    """Return whether callers got enough answers for a series to count.

    Parameters
    ----------
    statuses : mapping
        Number of responses by HTTP status.
    """
    answers = statuses.get(200, 0)
    share = answers / max(1, sum(statuses.values()))
    return answers >= MIN_ANSWERS and share >= MIN_ANSWERED_SHARE
