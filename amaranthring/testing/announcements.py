"""Announcements of a stand-in target to the routers, over HTTP.

When a router fails to answer, the next configured one is tried. Every body
is signed with the targets' shared key.
"""

import asyncio
import dataclasses
import json
import time
import typing as t

import tornado.httpclient

from amaranthring.core import records
from amaranthring.targets import protocol

INITIAL_RENEW_SECONDS = 0.5
REQUEST_TIMEOUT_SECONDS = 1.0
REPORT_SLACK_SECONDS = 0.25


class Announcer:
    """Announces one target, renews it and reports its load.

    Parameters
    ----------
    target : records.Target
        Target to announce.
    routers : list of str
        Base URLs of the routers' internal listeners.
    key_id, key
        Identifier of the targets' shared key, and the key.
    load : callable
        Returns ``(running, waiting, kv_used)``.
    report_seconds : float
        Seconds between reports. Each report carries the load sampled at the
        previous one, to simulate lag.
    serves : callable, optional
        Returns the names that it serves now; a change is announced.
    """

    def __init__(
        self,
        target: records.Target,
        routers: list[str],
        key_id: str,
        key: bytes,
        load: t.Callable[[], tuple[int, int, float]],
        report_seconds: float = 1.0,
        serves: t.Callable[[], list[str]] | None = None,
    ):
        self.serves = serves
        self.target = target
        self.routers = list(routers)
        self.key_id = key_id
        self.key = key
        self.load = load
        self.report_seconds = report_seconds
        self.report_sequence = 0
        self.message_sequence = 0
        self.renew_seconds = INITIAL_RENEW_SECONDS
        self.client = tornado.httpclient.AsyncHTTPClient(force_instance=True)
        self.task: asyncio.Task | None = None

    async def post(self, path: str, record: dict[str, t.Any]) -> int:
        """Post `record` to the first router that answers; return its status.

        The status is 599 when none answers.
        """
        body = json.dumps(record).encode()
        headers = {
            "Content-Type": "application/json",
            protocol.KEY_HEADER: protocol.sign(self.key_id, self.key, body),
        }
        status = 599
        for _ in range(len(self.routers)):
            try:
                response = await self.client.fetch(
                    self.routers[0] + path,
                    method="POST",
                    body=body,
                    headers=headers,
                    request_timeout=REQUEST_TIMEOUT_SECONDS,
                    connect_timeout=REQUEST_TIMEOUT_SECONDS,
                    raise_error=False,
                )
                status = response.code
                if status == 200:
                    reply = json.loads(response.body)
                    self.renew_seconds = reply["renew_seconds"]
            except (OSError, tornado.httpclient.HTTPError):
                status = 599
            if status < 500:
                break
            self.routers.append(self.routers.pop(0))
        return status

    async def announce(self) -> bool:
        """Announce the target; return whether a router accepted it."""
        record = dataclasses.asdict(self.target) | self._message_header()
        return await self.post("/targets/announce", record) == 200

    async def leave(self) -> None:
        """Announce that the target leaves, and stop renewing."""
        if self.task:
            self.task.cancel()
        await self.post("/targets/leave", self._message_header())

    def start(self) -> None:
        """Start the task that announces, renews and reports."""
        self.task = asyncio.ensure_future(self._run())

    def refresh_serves(self) -> bool:
        """Update the served names; return whether they changed."""
        serves = tuple(self.serves()) if self.serves else self.target.serves
        if serves == self.target.serves:
            return False
        self.target = dataclasses.replace(self.target, serves=serves)
        return True

    def _message_header(self) -> dict[str, t.Any]:
        self.message_sequence += 1
        return {
            "name": self.target.name,
            "incarnation": self.target.incarnation,
            "sequence": self.message_sequence,
        }

    async def _run(self) -> None:
        status = 0
        reported_at = time.monotonic()
        previous_load = self.load()
        due = self.report_seconds - REPORT_SLACK_SECONDS
        while True:
            if self.refresh_serves():
                status = 0
            if status != 200:
                status = 200 if await self.announce() else 0
            elif time.monotonic() - reported_at >= due:
                # A report also renews, so no separate renewal is sent.
                reported_at = time.monotonic()
                status = await self._report(previous_load)
                previous_load = self.load()
            else:
                status = await self.post(
                    "/targets/renew", self._message_header()
                )
            await asyncio.sleep(self.renew_seconds)

    async def _report(self, load: tuple[int, int, float]) -> int:
        self.report_sequence += 1
        running, waiting, kv_used = load
        report = records.LoadReport(
            self.target.name,
            self.target.incarnation,
            self.report_sequence,
            running,
            waiting,
            kv_used,
        )
        return await self.post("/targets/report", dataclasses.asdict(report))
