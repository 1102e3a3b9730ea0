"""Calls to the shards that hold suspects and crash records.

See :mod:`amaranthring.routers.suspect_shard` for the shards.
"""

import asyncio
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import logs
from amaranthring.policy import suspects
from amaranthring.routers import admission_messages as messages
from amaranthring.routers import directory

log = logbook.Logger(__name__)

CALL_TIMEOUT_SECONDS = suspects.REPORT_DELAY_SECONDS


class SuspectClient:
    """Sends what a router learns of suspects to their shards.

    Parameters
    ----------
    mesh : object
        Links to the other routers.
    regions : Regions
        Live routers by region.
    """

    def __init__(self, mesh, regions):
        self.mesh = mesh
        self.regions = regions

    async def report(
        self, key: str, fingerprint: str, crash: suspects.Crash
    ) -> messages.SuspectUpdated | None:
        """Report a crash; None if no holder acknowledged it.

        Otherwise return all crashes of the suspect, and whether this one
        condemned it.
        """
        message = messages.SuspectCrashed(key, fingerprint, crash)
        replies = await self._call_all(self._holders(key), message)
        if not replies:
            return None
        crashes = [crash for reply in replies for crash in reply.crashes]
        condemned = any(reply.condemned for reply in replies)
        return messages.SuspectUpdated(condemned, crashes)

    async def settle(
        self, key: str, fingerprint: str, crash: suspects.Crash
    ) -> bool:
        """Update a reported crash; return whether it condemned the suspect."""
        message = messages.CrashSettled(key, fingerprint, crash)
        replies = await self._call_all(self._holders(key), message)
        return any(reply.condemned for reply in replies)

    def withdraw(
        self, key: str, fingerprint: str, crash: suspects.Crash
    ) -> None:
        """Remove a reported crash that was never proven."""
        message = messages.CrashWithdrawn(key, fingerprint, crash.target)
        self._send(self._holders(key), message)

    def discard_record(self, crash: suspects.Crash) -> None:
        """Remove the crash record of a process that is alive."""
        message = messages.CrashRecordWithdrawn(
            crash.target, crash.incarnation
        )
        self._send(self._own_holders(crash.target), message)

    def clear(self, key: str, fingerprint: str) -> None:
        """Remove a suspect whose run ended without a crash."""
        message = messages.SuspectCleared(key, fingerprint)
        self._send(self._holders(key), message)

    async def add_running(
        self, crash: suspects.Crash, fingerprint: str, seconds: float
    ) -> bool:
        """Report a request that ran on a process when it crashed.

        Returns whether the request may have caused the crash.

        Parameters
        ----------
        seconds : float
            Time since the request was sent.
        """
        message = messages.RunningAtCrash(crash, fingerprint, seconds)
        holders = self._own_holders(crash.target)
        replies = await self._call_all(holders, message)
        return all(reply.plausible for reply in replies)

    def explain(self, crash: suspects.Crash, fingerprint: str) -> None:
        """Report that `fingerprint` was condemned for a crash."""
        message = messages.CrashExplained(crash, fingerprint)
        self._send(self._own_holders(crash.target), message)

    async def crash_record(
        self, crash: suspects.Crash
    ) -> messages.CrashRecordFound:
        """Return the requests that ran on the process, as far as known."""
        message = messages.CrashRecordRequest(crash.target, crash.incarnation)
        holders = self._own_holders(crash.target)
        replies = await self._call_all(holders, message)
        names = {name for reply in replies for name in reply.fingerprints}
        causes = [reply.cause for reply in replies if reply.cause]
        return messages.CrashRecordFound(sorted(names), "".join(causes[:1]))

    async def _call_all(self, holders: list[str], message) -> list[t.Any]:
        """Call `holders` at once; return the replies of those that answer."""
        replies = await asyncio.gather(
            *(self._call(holder, message) for holder in holders)
        )
        return [reply for reply in replies if reply is not None]

    async def _call(self, holder: str, message) -> t.Any:
        try:
            return await self.mesh.call(holder, message, CALL_TIMEOUT_SECONDS)
        except errors.AmaranthringError as error:
            logs.event(
                log, "suspects.unanswered", holder=holder, error=error.code
            )
            return None

    def _send(self, holders: list[str], message) -> None:
        for holder in holders:
            self.mesh.send(holder, message)

    def _own_holders(self, key: str) -> list[str]:
        """Return the holders of `key` in this region."""
        return directory.Shards(self.regions.own).holders_of(key)

    def _holders(self, key: str) -> list[str]:
        """Return the holders of `key` in all regions."""
        holders = []
        for live in [self.regions.own(), *self.regions.others()]:
            shards = directory.Shards(lambda live=live: live)
            holders.extend(shards.holders_of(key))
        return holders
