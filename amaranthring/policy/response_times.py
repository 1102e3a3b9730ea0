"""How long a target's first word is awaited before another one is asked.

A target behind a cut, or one that hangs, shows by its silence only. How long
is unusual is learned from the answers before, for each service and by what
the target has to read first; a caller's objective says how long there is to
find out.

Sources: V. Jacobson, "Congestion Avoidance and Control", SIGCOMM 1988 (bound
by mean and mean deviation); J. Dean and L. Barroso, "The Tail at Scale",
CACM 56(2), 2013 (a second request after an unusual time).
"""

import collections
import dataclasses

# Jacobson's gains for the mean and the mean deviation, and the deviations
# above the mean that count as unusual.
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATIONS = 4.0
# Answers from which a bound is taken, as the first ones are of a cold start.
SAMPLES_LEAST = 8
# An answer that was not awaited counts as one that took this multiple of the
# time: otherwise targets that all turn slow would never be found out, and
# every request would be sent twice.
EXPIRED_FACTOR = 2.0
# Seconds that turning to a second target takes beside its own time: a new
# connection to another data centre, and what it copies of the prompt.
TURN_SECONDS = 0.03
# Prompts within a factor of two of each other are read in about a time.
READING_STEP_TOKENS = 1024


@dataclasses.dataclass
class LatencyEstimate:
    """Time to the first word, in seconds."""

    samples: int = 0
    mean: float = 0.0
    deviation: float = 0.0

    def note(self, seconds: float) -> None:
        """Take in one time."""
        self.samples += 1
        if self.samples == 1:
            self.mean, self.deviation = seconds, seconds / 2
            return
        error = seconds - self.mean
        self.mean += MEAN_GAIN * error
        self.deviation += DEVIATION_GAIN * (abs(error) - self.deviation)

    @property
    def bound(self) -> float:
        """Return the time above which a silence is unusual."""
        return self.mean + DEVIATIONS * self.deviation


class ResponseTimes:
    """Learned times to the first word, by service and tokens to read."""

    def __init__(self):
        self.estimates: dict[tuple[str, int], LatencyEstimate] = (
            collections.defaultdict(LatencyEstimate)
        )

    def record(self, service: str, reading: int, seconds: float) -> None:
        """Note that a target began to answer after `seconds`."""
        self._estimate(service, reading).note(seconds)

    def record_timeout(
        self, service: str, reading: int, seconds: float
    ) -> None:
        """Note that an answer was awaited for `seconds` and did not come."""
        self._estimate(service, reading).note(seconds * EXPIRED_FACTOR)

    def timeout(
        self, service: str, reading: int, objective_left: float
    ) -> float | None:
        """Return how long to await the first word; None if not known.

        The latest moment at which a second target, in its usual time, still
        meets the objective: whoever turns away sooner has more requests run
        twice for nothing. Where there is no such moment, the time that is
        usual.

        Parameters
        ----------
        reading : int
            Tokens that the target has to read first.
        objective_left : float
            Seconds until the caller's objective.
        """
        estimate = self._estimate(service, reading)
        if estimate.samples < SAMPLES_LEAST:
            return None
        second = estimate.bound + TURN_SECONDS
        return max(estimate.bound, objective_left - second)

    def _estimate(self, service: str, reading: int) -> LatencyEstimate:
        step = (max(0, reading) // READING_STEP_TOKENS).bit_length()
        return self.estimates[service, step]
