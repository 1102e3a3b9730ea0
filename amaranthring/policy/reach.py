"""Whether one router still reaches the targets of a service.

Judged from the requests that it sends. A target that fails may have ended, so
a service counts as unreached only if several of its targets have failed with
no answer of any of them in between.
"""

import collections
import typing as t

# A single target may fail by itself.
MIN_FAILED = 2
# Of the service's targets that announce themselves.
MIN_FAILED_SHARE = 0.5


class Reach:
    """Failures to reach the targets of each service since its last answer.

    Attributes
    ----------
    failed : dict of str to set of str
        Ids of the targets that failed, by service.
    """

    def __init__(self):
        self.failed: dict[str, set[str]] = collections.defaultdict(set)

    def record_answer(self, service: str) -> None:
        """Record that a target of the service has answered."""
        self.failed.pop(service, None)

    def record_failure(self, service: str, target_id: str) -> None:
        """Record a connection that failed, broke or stayed silent."""
        self.failed[service].add(target_id)

    def is_lost(self, service: str, ready: t.Collection[str]) -> bool:
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
