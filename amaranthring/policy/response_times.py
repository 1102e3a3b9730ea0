"""Timeout for the first byte of a response, learned from response times.

A target that hangs or is partitioned off shows it only by not responding.
The usual time is learned per service and number of tokens to prefill; the
caller's objective limits how long to wait for it.

Sources: V. Jacobson, "Congestion Avoidance and Control", SIGCOMM 1988 (bound
by mean and mean deviation); J. Dean and L. Barroso, "The Tail at Scale",
CACM 56(2), 2013 (a second request after an unusual time).
"""

import collections
import dataclasses

# Jacobson's gains for the mean and the mean deviation, and the number of
# deviations above the mean that counts as unusual.
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATIONS = 4.0
# Samples needed for a bound: the first ones are of a cold start.
MIN_SAMPLES = 8
# A timeout is recorded as this multiple of the time waited. Otherwise the
# estimate would never follow targets that all become slow, and every request
# would be sent twice.
TIMEOUT_FACTOR = 2.0
# Overhead of switching to a second target: connection setup to another data
# centre, and copying of the cached prefix.
SWITCH_SECONDS = 0.03
# Prompts are grouped by prefill size in powers of two of this unit.
PREFILL_STEP_TOKENS = 1024


@dataclasses.dataclass
class LatencyEstimate:
    """Estimated time to the first byte, in seconds."""

    samples: int = 0
    mean: float = 0.0
    deviation: float = 0.0

    def add(self, seconds: float) -> None:
        """Add one sample."""
        self.samples += 1
        if self.samples == 1:
            self.mean, self.deviation = seconds, seconds / 2
            return
        error = seconds - self.mean
        self.mean += MEAN_GAIN * error
        self.deviation += DEVIATION_GAIN * (abs(error) - self.deviation)

    @property
    def bound(self) -> float:
        """Return the time above which a response is unusually late."""
        return self.mean + DEVIATIONS * self.deviation


class ResponseTimes:
    """Learned times to the first byte, by service and prefill size."""

    def __init__(self):
        self.estimates: dict[tuple[str, int], LatencyEstimate] = (
            collections.defaultdict(LatencyEstimate)
        )

    def record(
        self, service: str, prefill_tokens: int, seconds: float
    ) -> None:
        """Record that a response began after `seconds`."""
        self._estimate(service, prefill_tokens).add(seconds)

    def record_timeout(
        self, service: str, prefill_tokens: int, seconds: float
    ) -> None:
        """Record that no response came within `seconds`."""
        self._estimate(service, prefill_tokens).add(seconds * TIMEOUT_FACTOR)

    def usual(self, service: str, prefill_tokens: int) -> float | None:
        """Return the time above which a response is unusually late.

        Returns None if it is not yet known.
        """
        estimate = self._estimate(service, prefill_tokens)
        return estimate.bound if estimate.samples >= MIN_SAMPLES else None

    def timeout(
        self, service: str, prefill_tokens: int, objective_left: float
    ) -> float | None:
        """Return the timeout for the first byte; None if not yet known.

        This is the latest time at which a second target usually still meets
        the objective, as switching earlier only adds duplicate requests. If
        that time is too short, it is the usual response time instead.

        Parameters
        ----------
        prefill_tokens : int
            Tokens that the target has to prefill.
        objective_left : float
            Seconds until the caller's objective.
        """
        estimate = self._estimate(service, prefill_tokens)
        if estimate.samples < MIN_SAMPLES:
            return None
        second_attempt = estimate.bound + SWITCH_SECONDS
        return max(estimate.bound, objective_left - second_attempt)

    def _estimate(self, service: str, prefill_tokens: int) -> LatencyEstimate:
        step = (max(0, prefill_tokens) // PREFILL_STEP_TOKENS).bit_length()
        return self.estimates[service, step]
