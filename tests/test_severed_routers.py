"""Routers that lose their paths to all targets, as processes.

Keepers, callers and the other routers still reach them.
"""

import asyncio
import collections
import os
import time

from amaranthring.testing import scripted_target
from tests import platform_case

# From this long after the cut began callers are served.
SETTLED_SECONDS = 3.0
CALM_SECONDS = 1.5
# Requests a second to each router.
RATE = 10.0
# As often as at the other routers.
MIN_SERVED_SHARE = 2 / 3
HANG_SECONDS = 30.0


def owner_of(writer, processes):
    """Return which of `processes` holds the other end of a connection."""
    ip, port = writer.get_extra_info("peername")[:2]
    number = "".join(f"{int(part):02X}" for part in reversed(ip.split(".")))
    end = f"{number}:{port:04X}"
    with open("/proc/net/tcp") as table:
        rows = [line.split() for line in table if end in line]
    inodes = {f"socket:[{row[9]}]" for row in rows if row[1] == end}
    for name, process in processes.items():
        if inodes & _sockets(process.pid):
            return name
    return ""


def _sockets(pid):
    folder = f"/proc/{pid}/fd"
    try:
        names = os.listdir(folder)
    except OSError:
        # The process has ended.
        return set()
    found = set()
    for name in names:
        try:
            found.add(os.readlink(f"{folder}/{name}"))
        except OSError:
            # Closed meanwhile.
            continue
    return found


class Replica(platform_case.Replica):
    """A replica that some routers do not reach.

    Attributes
    ----------
    case : SeveredCase
        Says which routers are cut off, and how.
    """

    def __init__(self, name, case):
        super().__init__(name)
        self.case = case
        self.open_before = set()
        self.owners = {}

    async def _serve(self, reader, writer):
        if self.case.severed:
            if self.case.how == "refuse" and self.case.owner(writer):
                scripted_target.abort_connection(writer)
                return
        else:
            self.open_before.add(writer)
        await super()._serve(reader, writer)

    async def answer(self, seen, writer):
        """Answer a request, unless it comes from a router that is cut off."""
        if self.case.severed and self.case.how != "refuse":
            if writer not in self.owners:
                self.owners[writer] = self.case.owner(writer)
            if self.owners[writer] in self.case.severed:
                if self.case.how == "hang":
                    await asyncio.sleep(HANG_SECONDS)
                scripted_target.abort_connection(writer)
                return
        await super().answer(seen, writer)


class SeveredCase(platform_case.PlatformCase):
    """Callers that send to all routers while some are cut off.

    Attributes
    ----------
    how : str
        ``reset`` and ``hang``: of all connections; ``refuse``: of new ones.
    cut_off : int
        Number of routers to cut off.
    severed : set of str
        Routers that are cut off now.
    """

    routers = 3
    replicas = 4
    cut_off = 1
    how = "reset"
    cut_seconds = 9.0

    async def asyncSetUp(self):
        self.severed = set()
        self.answers = collections.defaultdict(list)
        self.calls = set()
        await super().asyncSetUp()

    def owner(self, writer):
        """Return the router that is cut off and holds a connection, if any."""
        return owner_of(
            writer, {name: self.processes[name] for name in self.severed}
        )

    def make_replica(self, name):
        return Replica(name, self)

    async def note_answer(self, router, path):
        """Send one request on a new connection, and note its answer."""
        self.answers[router].append(await self.send_once(router, path))

    async def call_all(self, seconds, path="/a/x"):
        """Send to all routers for a while."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for router in self.router_names:
                task = asyncio.ensure_future(self.note_answer(router, path))
                self.calls.add(task)
                task.add_done_callback(self.calls.discard)
            await asyncio.sleep(1 / RATE)

    def served(self, routers, since, until=float("inf")):
        """Return the share of requests that were answered with success."""
        statuses = [
            status
            for router in routers
            for sent_at, status in self.answers[router]
            if since <= sent_at < until
        ]
        self.assertLess(10, len(statuses))
        return statuses.count(200) / len(statuses)

    async def cut(self, path):
        """Cut routers off; return when it began."""
        await self.call_all(CALM_SECONDS, path)
        cut_at = time.monotonic()
        self.severed.update(self.router_names[: self.cut_off])
        await self.call_all(self.cut_seconds, path)
        return cut_at

    async def check(self, path):
        cut_at = await self.cut(path)
        await asyncio.gather(*self.calls)
        settled = cut_at + SETTLED_SECONDS
        there = self.served(self.router_names[: self.cut_off], settled)
        elsewhere = self.served(self.router_names[self.cut_off :], settled)
        self.assertLess(0.9, elsewhere)
        self.assertLess(MIN_SERVED_SHARE * elsewhere, there)
        runs = collections.Counter()
        for replica in self.all_replicas:
            runs.update(replica.ran)
        if path.startswith(platform_case.ROUTES["unsafe"]):
            self.assertEqual(1, max(runs.values()))


class TestReset(SeveredCase):
    """Connections to targets are reset."""

    async def test_callers_are_served_by_way_of_others(self):
        """Guards against refusing callers for a lost path to all targets."""
        await self.check("/a/x")

    async def test_requests_that_run_once_are_served_by_way_of_others(self):
        """Guards against refusing, or running twice, what may run once."""
        await self.check("/b/x")

    async def test_router_serves_by_itself_again(self):
        """Guards against a router that leaves its requests to others."""
        await self.cut("/a/x")
        self.severed.clear()
        ended_at = time.monotonic()
        await self.call_all(2 * SETTLED_SECONDS)
        await asyncio.gather(*self.calls)
        late = ended_at + SETTLED_SECONDS
        self.assertEqual(1.0, self.served(self.router_names, late))
        log = (self.folder / "router-0.log").read_text()
        last = [line for line in log.splitlines() if '"request"' in line][-1]
        self.assertNotIn("router-", last.partition('"trail"')[2])


class TestHang(SeveredCase):
    """Connections to targets go silent."""

    how = "hang"

    async def test_callers_are_served_by_way_of_others(self):
        """Guards against callers that wait for targets out of reach."""
        await self.check("/a/x")

    async def test_requests_that_run_once_are_served_by_way_of_others(self):
        """Guards against requests without a timeout that show no lost path."""
        await self.check("/b/x")


class TestNewRefused(SeveredCase):
    """Connections live on, new ones are refused."""

    how = "refuse"

    async def test_callers_are_served_by_way_of_others(self):
        """Guards against a few kept connections that hide a lost path."""
        await self.check("/a/x")


class TestMostRouters(SeveredCase):
    """Three of four routers are cut off."""

    routers = 4
    cut_off = 3

    async def test_callers_are_served_by_way_of_others(self):
        """Guards against cut-off routers that ask one another."""
        await self.check("/a/x")
