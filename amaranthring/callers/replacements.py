"""Replacement of targets that are silent for too long.

A silent target is given up only once another attempt is certain: it is
permitted, its grant is held and its retry is taken. Until then, or until the
deadline of the caller, the silent target may go on.
"""

import asyncio
import time
import typing as t

from amaranthring import errors
from amaranthring.core import records
from amaranthring.targets import upstream

if t.TYPE_CHECKING:
    from amaranthring.callers import execution

# Interval at which a replacement that was refused is asked for again.
ASK_AGAIN_SECONDS = 0.5
Granted = tuple[records.Grant, bool]


async def _admit_none() -> Granted:
    raise errors.NoTargetError("no other attempt may follow")


def _lacks_attempts() -> str:
    return "attempts"


class Replacement:
    """The next attempt of a request, while the present one runs.

    Without :meth:`prepare`, no attempt may follow, and a watched exchange
    waits until the deadline.

    Attributes
    ----------
    granted : tuple of Grant and bool, or None
        Grant of the next attempt, and whether it is a trial.
    paid : bool
        Whether the next attempt has been charged to the retry budget.
    asking : asyncio.Task or None
        Waits for a grant.
    lacking : str
        What the next attempt lacked when it was last asked for.
    """

    def __init__(
        self, deps: "execution.Dependencies", request: records.Request
    ):
        self.deps = deps
        self.request = request
        self.admit: t.Callable[[], t.Awaitable[Granted]] = _admit_none
        self.find_lacking: t.Callable[[], str] = _lacks_attempts
        self.granted: Granted | None = None
        self.paid = False
        self.asking: asyncio.Task | None = None
        self.lacking = ""

    def prepare(
        self,
        admit: t.Callable[[], t.Awaitable[Granted]],
        find_lacking: t.Callable[[], str],
    ) -> None:
        """Prepare the attempt after one that begins now.

        Parameters
        ----------
        admit : callable
            Obtains the grant.
        find_lacking : callable
            Names what else another attempt lacks; empty for nothing.
        """
        self.stop()
        self.release()
        self.paid = False
        self.lacking = ""
        self.admit = admit
        self.find_lacking = find_lacking

    def watch(
        self,
        exchange: upstream.Exchange,
        may_follow: t.Callable[[], bool],
    ) -> None:
        """End `exchange` when it is silent and another attempt is certain.

        Parameters
        ----------
        may_follow : callable
            Whether another target could complete the answer.
        """

        def on_timeout(_silent: float, _late: float) -> float | None:
            left = self.request.deadline - time.monotonic()
            if left <= 0:
                return None
            if self.asking is None or self.asking.done():
                self._ask(exchange, may_follow)
            return min(ASK_AGAIN_SECONDS, left)

        exchange.on_timeout = on_timeout

    def _ask(self, exchange, may_follow) -> None:
        lacking = self.find_lacking()
        if not lacking and not may_follow():
            lacking = "continuation"
        if not lacking and not self.deps.has_retry(self.request.account):
            lacking = "retry-budget"
        if lacking:
            self._record(exchange, lacking)
            return
        self.asking = asyncio.ensure_future(self._replace(exchange))

    async def _replace(self, exchange) -> None:
        silent_since = exchange.progress_at
        try:
            granted = await self.admit()
        except errors.AmaranthringError as error:
            self._record(exchange, error.code)
            return
        lacking = self.find_lacking()
        if exchange.paused or exchange.progress_at > silent_since:
            lacking = "silence"
        if not lacking and not self.deps.may_retry(self.request.account):
            lacking = "retry-budget"
        if lacking:
            self.deps.release(granted[0], records.AttemptEnd.NOT_SENT)
            self._record(exchange, lacking)
            return
        self.granted = granted
        self.paid = True
        self._record(exchange, "", granted[0].target.name)
        exchange.abort(
            errors.UpstreamTimeoutError(
                "the target took too long and is replaced",
                given=f"{time.monotonic() - silent_since:.1f} s",
                expected="a token earlier",
                retry_after=1.0,
            )
        )

    def _record(self, exchange, lacking: str, replaced_by: str = "") -> None:
        """Record whether the target is replaced, unless nothing changed."""
        if lacking and lacking == self.lacking:
            return
        self.lacking = lacking
        result = "kept" if lacking else "replaced"
        self.deps.metrics.count(f"way.silent-{result}")
        self.deps.record_decision(
            self.request.request_id,
            "replacement",
            allowed=not lacking,
            lacking=lacking,
            target=exchange.target.name,
            replaced_by=replaced_by,
            silent=round(time.monotonic() - exchange.progress_at, 3),
        )

    def stop(self) -> None:
        """Withdraw a request for a grant: the target goes on, or has ended."""
        if self.asking is not None:
            self.asking.cancel()
            self.asking = None

    def take(self) -> Granted | None:
        """Return the grant of the next attempt, which now belongs to it."""
        granted, self.granted = self.granted, None
        return granted

    def release(self) -> None:
        """Release a grant that no attempt has taken."""
        granted = self.take()
        if granted is not None:
            self.deps.release(granted[0], records.AttemptEnd.NOT_SENT)

    def close(self) -> None:
        """Release what no attempt will use; record a retry among it."""
        self.stop()
        self.release()
        if self.paid:
            self.paid = False
            self.deps.metrics.count("way.retry-unused")
            self.deps.record_decision(self.request.request_id, "retry-unused")
