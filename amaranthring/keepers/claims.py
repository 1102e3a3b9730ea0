"""Router side of the ledger: claims and settlements of one router.

Errors of the keepers pass through. A claim whose answer was lost may have
been granted; the same attempt may ask again, and as long as it sent nothing
to a target it may settle as not run.
"""

import time
import typing as t

from amaranthring import errors
from amaranthring.core import records
from amaranthring.keepers import commands

CLAIM_SECONDS = 2.0
SETTLE_SECONDS = 5.0
GRACE_SECONDS = 5.0

Propose = t.Callable[[t.Any, float], t.Awaitable[t.Any]]


class Claims:
    """Claims and settles through the keepers.

    Parameters
    ----------
    propose : callable
        ``KeeperClient.propose``.
    metrics : metrics.Metrics
        Counters.
    """

    def __init__(self, propose: Propose, metrics: t.Any, clock=time.monotonic):
        self.propose = propose
        self.metrics = metrics
        self.clock = clock

    async def claim(
        self, request: records.Request, attempt: str, target: str
    ) -> records.Claim:
        """Ask for the right to run `request` once.

        The claim is held until the deadline of `request` and a grace, and
        counts as unknown after that.

        Raises
        ------
        errors.NoQuorumError
            If nothing was accepted; the call was not run.
        errors.CommitUnknownError, errors.LinkError
            If the answer was lost; this attempt sent nothing all the same.
        """
        left = max(0.0, request.deadline - self.clock())
        command = commands.Claim(
            request.account,
            request.key,
            request.body_digest,
            attempt,
            target,
            left + GRACE_SECONDS,
        )
        timeout = min(CLAIM_SECONDS, left) or CLAIM_SECONDS
        result = await self.propose(command, timeout)
        self.metrics.count(f"claims.{result.claim.state}")
        return result.claim

    async def settle(
        self,
        request: records.Request,
        attempt: str,
        outcome: errors.Outcome,
        answer: records.StoredAnswer | None = None,
    ) -> records.Claim:
        """State what became of a claim that `attempt` holds.

        Raises
        ------
        errors.AmaranthringError
            If the ledger did not take it, or its answer was lost; settling
            again is harmless.
        """
        command = commands.Settle(
            request.account, request.key, attempt, str(outcome), answer
        )
        result = await self.propose(command, SETTLE_SECONDS)
        self.metrics.count(f"claims.settled-{outcome}")
        return result.claim
