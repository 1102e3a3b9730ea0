"""How a stand-in announces itself to the routers.

One task announces, renews and reports over HTTP. When a router does not
answer, the next configured one is tried. Every body is signed with the
targets' shared key.
"""

import asyncio
import dataclasses
import json
import time
import typing as t

import tornado.httpclient

from amaranthring.core import records
from amaranthring.targets import protocol

FIRST_RENEW_SECONDS = 0.5
TRY_SECONDS = 1.0
REPORT_SLACK_SECONDS = 0.25


class Announcer:
    """Keeps one target announced, with one task.

    Parameters
    ----------
    target : records.Target
        What to announce.
    routers : list of str
        Base URLs of the routers' internal listeners.
    key_id, key
        Key of the targets.
    load : callable
        Returns ``(running, waiting, kv_used)``.
    report_seconds : float
        Time between reports; a report tells the load as it was at the
        report before, so that it lags.
    serves : callable, optional
        Returns what it serves now; a change is announced.
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
        self.sequence = 0
        self.spoken = 0
        self.renew_seconds = FIRST_RENEW_SECONDS
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
                answer = await self.client.fetch(
                    self.routers[0] + path,
                    method="POST",
                    body=body,
                    headers=headers,
                    request_timeout=TRY_SECONDS,
                    connect_timeout=TRY_SECONDS,
                    raise_error=False,
                )
                status = answer.code
                if status == 200:
                    said = json.loads(answer.body)
                    self.renew_seconds = said["renew_seconds"]
            except (OSError, tornado.httpclient.HTTPError):
                status = 599
            if status < 500:
                break
            self.routers.append(self.routers.pop(0))
        return status

    async def announce(self) -> bool:
        """Announce the target; return whether a router took it."""
        record = dataclasses.asdict(self.target) | self._named()
        return await self.post("/targets/announce", record) == 200

    async def leave(self) -> None:
        """Tell that the target leaves; renewals stop."""
        if self.task:
            self.task.cancel()
        await self.post("/targets/leave", self._named())

    def start(self) -> None:
        """Start the task that announces, renews and reports."""
        self.task = asyncio.ensure_future(self._run())

    def changed(self) -> bool:
        """Take over what the target serves now; return whether it changed."""
        serves = tuple(self.serves()) if self.serves else self.target.serves
        if serves == self.target.serves:
            return False
        self.target = dataclasses.replace(self.target, serves=serves)
        return True

    def _named(self) -> dict[str, t.Any]:
        self.spoken += 1
        return {
            "name": self.target.name,
            "incarnation": self.target.incarnation,
            "sequence": self.spoken,
        }

    async def _run(self) -> None:
        status = 0
        reported = time.monotonic()
        lagging = self.load()
        due = self.report_seconds - REPORT_SLACK_SECONDS
        while True:
            if self.changed():
                status = 0
            if status != 200:
                status = 200 if await self.announce() else 0
            elif time.monotonic() - reported >= due:
                # A report renews as well; one message does for both.
                reported = time.monotonic()
                status = await self._report(lagging)
                lagging = self.load()
            else:
                status = await self.post("/targets/renew", self._named())
            await asyncio.sleep(self.renew_seconds)

    async def _report(self, load: tuple[int, int, float]) -> int:
        self.sequence += 1
        running, waiting, kv_used = load
        report = records.LoadReport(
            self.target.name,
            self.target.incarnation,
            self.sequence,
            running,
            waiting,
            kv_used,
        )
        return await self.post("/targets/report", dataclasses.asdict(report))
