"""Claims of this router's non-idempotent calls, asked of the keepers.

A claim whose answer was lost is given up: the call is refused as not run,
which is certain, since nothing is sent before the claim is known to be
granted. The claim may have been committed all the same and would then hold
its key with nobody behind it, so this router goes on telling the keepers
that it was not run until they have heard.
"""

import asyncio
import collections
import time
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import records
from amaranthring.keepers import commands

log = logbook.Logger(__name__)

# Above the time without a leader after a loss; a caller waits for it.
CLAIM_SECONDS = 3.0
SETTLE_SECONDS = 5.0
# A claim is held past the caller's deadline by what settling may take.
GRACE_SECONDS = 15.0
RETRY_SECONDS = 1.0
GIVEN_UP_MOST = 10_000

Propose = t.Callable[[t.Any, float], t.Awaitable[t.Any]]
# What leaves open whether a proposal was committed.
FATE_UNKNOWN = (errors.CommitUnknownError, errors.LinkError)


class Claims:
    """Claims and settles through the keepers.

    Parameters
    ----------
    propose : callable
        ``KeeperClient.propose``.
    metrics : metrics.Metrics
        Counters.
    clock : callable, optional
        Monotonic seconds, as in ``records.Request.deadline``.

    Attributes
    ----------
    given_up : deque of commands.Settle
        Claims that the keepers must still hear were not run.
    """

    def __init__(self, propose: Propose, metrics: t.Any, clock=time.monotonic):
        self.propose = propose
        self.metrics = metrics
        self.clock = clock
        self.given_up: collections.deque[commands.Settle]
        self.given_up = collections.deque()
        self.waiting = asyncio.Event()

    async def claim(
        self, request: records.Request, attempt: str, target: str
    ) -> records.Claim:
        """Ask for the right to run `request` once.

        Raises
        ------
        errors.NoQuorumError
            The call is not run: the keepers refused or did not answer.
        errors.RefusedError
            The keepers refused for another reason.
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
        try:
            result = await self.propose(command, CLAIM_SECONDS)
        except asyncio.CancelledError:
            self._give_up(request, attempt)
            raise
        except FATE_UNKNOWN as error:
            self._give_up(request, attempt)
            raise errors.NoQuorumError(
                "the keepers did not answer", retry_after=1.0
            ) from error
        self.metrics.count(f"claims.{result.claim.state}")
        return result.claim

    async def settle(
        self,
        request: records.Request,
        attempt: str,
        outcome: errors.Outcome,
        answer: records.StoredAnswer | None = None,
    ) -> None:
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
        await self.propose(command, SETTLE_SECONDS)
        self.metrics.count(f"claims.settled-{outcome}")

    async def run(self) -> None:
        """Settle what was given up, until cancelled."""
        while True:
            await self.waiting.wait()
            command = self.given_up[0]
            try:
                await self.propose(command, SETTLE_SECONDS)
            except (errors.ForbiddenError, errors.NotFoundError):
                # Another attempt holds the key; nothing is to be freed.
                pass
            except errors.AmaranthringError:
                await asyncio.sleep(RETRY_SECONDS)
                continue
            self.metrics.count("claims.given-up-settled")
            if self.given_up and self.given_up[0] is command:
                self.given_up.popleft()
            if not self.given_up:
                self.waiting.clear()

    def _give_up(self, request: records.Request, attempt: str) -> None:
        self.metrics.count("claims.given-up")
        if len(self.given_up) >= GIVEN_UP_MOST:
            # The oldest key stays held and reads as unknown: nothing is
            # run twice, its caller has to ask its operator.
            self.given_up.popleft()
            self.metrics.count("claims.given-up-dropped")
        not_run = str(errors.Outcome.NOT_RUN)
        self.given_up.append(
            commands.Settle(request.account, request.key, attempt, not_run)
        )
        self.waiting.set()
