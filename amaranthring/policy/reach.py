"""Whether one router still reaches the targets of a service.

Judged from the requests that it sends. A target that fails may have ended, so
a service counts as unreached only if several of its targets have failed with
no answer of any of them in between. Targets that take too long may be busy;
that counts only once the service has not answered for a while.
"""

import collections
import time
import typing as t

# A single target may fail by itself.
MIN_FAILED = 2
# Of the service's targets that announce themselves.
MIN_FAILED_SHARE = 0.5
# A service of which a target has answered within this time is reached.
RECENT_ANSWER_SECONDS = 1.0


class Reach:
    """Failures to reach the targets of each service since its last answer.

    Attributes
    ----------
    failed : dict of str to set of str
        Ids of the targets that failed, by service.
    answered_at : dict of str to float
        Monotonic seconds of the last answer of each service.
    """

    def __init__(self, clock: t.Callable[[], float] = time.monotonic):
        self.clock = clock
        self.failed: dict[str, set[str]] = collections.defaultdict(set)
        self.answered_at: dict[str, float] = {}

    def record_answer(self, service: str) -> None:
        """Record that a target of the service has answered."""
        self.answered_at[service] = self.clock()
        self.failed.pop(service, None)

    def record_timeout(self, service: str, target_id: str) -> None:
        """Record a target that took too long."""
        answered_at = self.answered_at.get(service, float("-inf"))
        if self.clock() - answered_at > RECENT_ANSWER_SECONDS:
            self.record_failure(service, target_id)

    def record_failure(self, service: str, target_id: str) -> None:
        """Record a connection that failed or broke."""
        self.failed[service].add(target_id)

    def is_unreached(self, service: str, ready: t.Collection[str]) -> bool:
        """Return whether none of the service's targets is reached.

        Parameters
        ----------
        ready : collection of str
            Ids of the targets that announce themselves as ready.
        """
        if service not in self.failed or not ready:
            return False
        failed = len(self.failed[service].intersection(ready))
        if failed == len(ready):
            return True
        return failed >= max(MIN_FAILED, MIN_FAILED_SHARE * len(ready))
