"""Planned stops, reloads, changes and departures beside callers, in series.

``ANSWERS_SOAK_SEED`` chooses the series, ``ANSWERS_SOAK_SECONDS`` its length,
``ANSWERS_SOAK_ROUTERS`` and ``ANSWERS_SOAK_CALLERS`` its size.
"""

import asyncio
import os
import random
import select
import signal
import sys
import time

from amaranthring.testing import compliance
from tests import platform_case

SEED = os.environ.get("ANSWERS_SOAK_SEED", "1")
SECONDS = float(os.environ.get("ANSWERS_SOAK_SECONDS", "12"))
ROUTERS = int(os.environ.get("ANSWERS_SOAK_ROUTERS", "3"))
CALLERS = int(os.environ.get("ANSWERS_SOAK_CALLERS", str(8 * ROUTERS)))
# A request may cross the close of its connection for this long.
SLACK_SECONDS = 0.2
HALF_CLOSED_SHARE = 0.1
# Part of the grace period in which a stopping router closes connections.
END_SECONDS = 1.0
# By then the request is written.
HALF_CLOSE_SECONDS = 0.005
# Later than this after its start a router handles signals.
START_SECONDS = 0.5
# Program that prints when the process named by its argument has gone.
WATCH_END = """
import os, select, sys, time
pidfd = os.pidfd_open(int(sys.argv[1]))
print(flush=True)
select.select([pidfd], [], [])
print(time.monotonic())
"""


def half_close(writer):
    """Close the sending side of a connection, unless it is closed."""
    if not writer.is_closing():
        writer.write_eof()


def is_closed(writer):
    """Return whether the peer has closed a connection.

    Asks the kernel, as a late event loop has not read that yet.
    """
    if writer.is_closing():
        return True
    poller = select.poll()
    poller.register(writer.get_extra_info("socket"), select.POLLRDHUP)
    return bool(poller.poll(0))


class Replica(platform_case.Replica):
    """A replica whose answers take up to a second."""

    async def answer(self, seen, writer):
        await asyncio.sleep(random.choice((0.01, 0.03, 0.1, 1.0)))
        await super().answer(seen, writer)


class TestSeries(platform_case.FaultCase):
    """Callers that go on using each router until its process is gone."""

    routers = ROUTERS
    replicas = 4

    async def asyncSetUp(self):
        self.rng = random.Random(SEED)
        self.sent_at = {}
        self.unread = set()
        self.unanswered = []
        self.stop_seconds = []
        self.started_at = {}
        self.ends_at = {}
        self.names = 0
        await super().asyncSetUp()

    def make_replica(self, name):
        return Replica(name)

    def start(self, name):
        super().start(name)
        self.started_at[name] = time.monotonic()

    async def test_all_requests_are_answered(self):
        """Guards against requests that end unanswered around planned work."""
        callers = [
            asyncio.ensure_future(self.call_until_stopped(number))
            for number in range(CALLERS)
        ]
        kinds = (
            self.stop_router, self.stop_router, self.stop_all_but_one,
            self.reload, self.reload, self.configure, self.leave,
        )  # fmt: skip
        await self.inject(kinds, SECONDS)
        self.stopped = True
        await asyncio.wait_for(asyncio.gather(*callers), 20.0)
        self.assertEqual([], self.unanswered)
        grace = self.settings("router-0")["bounds"]["grace_s"]
        self.assertLess(max(self.stop_seconds, default=0.0), grace)
        conclusive = compliance.is_conclusive(self.statuses)
        self.assertTrue(conclusive, self.statuses)

    async def call(self, connection, incarnation, request_id, path="/a/x"):
        """Send a request; note when, and whether no router can read it."""
        self.sent_at[request_id] = time.monotonic()
        if is_closed(connection[1]):
            self.unread.add(request_id)
        return await super().call(connection, incarnation, request_id, path)

    async def call_once(self, connection, incarnation, request_id, path):
        """Send a request, and note it if it is not answered."""
        half_closes = self.rng.random() < HALF_CLOSED_SHARE
        if half_closes:
            loop = asyncio.get_running_loop()
            loop.call_later(HALF_CLOSE_SECONDS, half_close, connection[1])
        response = await super().call_once(
            connection, incarnation, request_id, path
        )
        if response is None or not response.status or not response.complete:
            seconds = time.monotonic() - self.sent_at[request_id]
            ran = any(r.ran[request_id] for r in self.all_replicas)
            ends_at = self.ends_at.get(incarnation, float("inf"))
            is_unread = request_id in self.unread
            # The kernel resets a connection that is closed unread.
            is_reset = connection[0].exception() is not None
            is_late = seconds > SLACK_SECONDS and not is_unread
            is_silent = (
                half_closes
                and time.monotonic() < ends_at
                and not (is_unread or is_reset)
            )
            if ran or is_silent or is_late:
                case = incarnation, request_id, ran, round(seconds, 2)
                self.unanswered.append((*case, half_closes))
        # The connection cannot be used again.
        return None if half_closes else response

    # -- faults ----------------------------------------------------------

    async def stop_router(self):
        async with self.undisturbed_router() as name:
            if name:
                await self.stop_in_time(name)

    async def stop_all_but_one(self):
        await asyncio.gather(*(self.stop_router() for _ in range(ROUTERS - 1)))

    async def stop_in_time(self, name):
        process = self.processes[name]
        watcher = await asyncio.create_subprocess_exec(
            sys.executable, "-S", "-c", WATCH_END, str(process.pid),
            stdout=asyncio.subprocess.PIPE,
        )  # fmt: skip
        await watcher.stdout.readline()
        began = time.monotonic()
        grace = self.settings(name)["bounds"]["grace_s"]
        self.ends_at[self.incarnation(name)] = began + grace - END_SECONDS
        process.send_signal(signal.SIGTERM)
        # This process may hear of the end late.
        output, _ = await watcher.communicate()
        self.stop_seconds.append(float(output) - began)
        await asyncio.to_thread(process.wait)
        self.start(name)
        await self.wait_ready(name)

    async def reload(self):
        name = self.rng.choice([*self.router_names, "keeper"])
        if time.monotonic() > self.started_at[name] + START_SECONDS:
            self.processes[name].send_signal(signal.SIGHUP)

    async def leave(self):
        """Replace a replica; its answers tell that it leaves."""
        staying = [r for r in self.all_replicas if not r.leaving]
        replica = self.rng.choice(staying)
        self.names += 1
        await self.add_replica(f"n{self.names}")
        await asyncio.sleep(1.0)
        replica.leaving = True
