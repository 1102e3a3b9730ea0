"""Replicas of several software versions behind a fleet of processes.

Callers read streams whose events name the version that made them, and take
broken streams up again at any router.
"""

import asyncio
import collections
import random
import re
import signal
import time
import uuid

from amaranthring.platform import headers
from amaranthring.testing import scripted_target
from tests import platform_case
from tests import test_severed_routers

# A second service, to which routes may be split or moved.
OTHER_SERVICE = "other"
EVENTS = 20
PACE_SECONDS = 0.05
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\S+)\n\n")
END = b"0\r\n\r\n"
TIMEOUT_SECONDS = 8.0
# Callers give a stream up after so long without an event.
MOST_PAUSE_SECONDS = 2.0
# Callers take a stream up so often, and for so long after it began.
MOST_TRIES = 5
PATIENCE_SECONDS = 6.0
# Stated by the users: streams of two versions, tries from which on their share
# counts, and the least share of these against that of new streams.
MOST_MIXED = 2
MIN_TRIES = 12
MIN_SHARE = 0.5
CRASH_SECONDS = 0.4
BACK_SECONDS = 2.0


class Replica(platform_case.Replica):
    """A replica that streams events of its version.

    Attributes
    ----------
    version : str
        Of its software; None to leave it out of the heartbeats.
    service : str
        Service that it announces itself for.
    is_severed : callable
        Returns whether the router at the other end of a connection is cut
        off from all replicas.
    crashed : bool
        Whether its process has ended.
    """

    def __init__(self, name, version, rng, service, is_severed):
        super().__init__(name)
        self.version = version
        self.rng = rng
        self.service = service
        self.is_severed = is_severed
        self.crashed = False
        self.writers = set()

    async def _serve(self, reader, writer):
        if self.crashed or self.is_severed(writer):
            scripted_target.abort_connection(writer)
            return
        self.writers.add(writer)
        try:
            await super()._serve(reader, writer)
        except OSError:
            # The router has gone.
            writer.close()
        finally:
            self.writers.discard(writer)

    async def answer(self, seen, writer):
        """Stream the events after the last one that the caller has."""
        self.ran[seen.headers[headers.REQUEST_ID]] += 1
        lines = [f"{headers.REQUEST_ID}: {seen.headers[headers.REQUEST_ID]}"]
        if seen.headers[headers.EXPECTED_TARGET] != self.name:
            lines = ["HTTP/1.1 421 Status", *lines, "Content-Length: 0"]
            writer.write("\r\n".join([*lines, "", ""]).encode())
            return
        lines += [
            f"{headers.SIGNATURE}: {self.name}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        head = "\r\n".join(["HTTP/1.1 200 Status", *lines, "", ""])
        writer.write(head.encode())
        last = int(seen.headers.get(headers.LAST_EVENT, "0"))
        for number in range(last + 1, EVENTS + 1):
            data = f"id: {number}\ndata: {self.label} {self.name}\n\n"
            writer.write(b"%x\r\n%s\r\n" % (len(data), data.encode()))
            await asyncio.sleep(PACE_SECONDS)
            if self.crashed:
                return
            if self.is_severed(writer):
                scripted_target.abort_connection(writer)
                return
        writer.write(END)

    @property
    def label(self):
        """Return the service and version that its events name."""
        return f"{self.service}:{self.version}"

    def crash(self):
        """End, in the middle of some events."""
        self.crashed = True
        self.stop()
        for writer in list(self.writers):
            if self.rng.random() < 0.5:
                writer.write(b"8\r\nid: 99")
            try:
                scripted_target.abort_connection(writer)
            except OSError:
                # The router has closed it.
                continue


class Stream:
    """One stream as its caller sees it, over all its tries.

    Attributes
    ----------
    events : list of tuple
        Number, label (service and version) and replica of each event.
    first : str
        Id of the attempt that brought the first event.
    whole : bool
        Whether it is complete.
    statuses : list of int
        Of each try; 0 if no router answered.
    """

    def __init__(self):
        self.events = []
        self.first = ""
        self.whole = False
        self.statuses = []

    @property
    def label(self):
        """Return the service and version that its last event names."""
        return self.events[-1][1] if self.events else ""

    @property
    def is_mixed(self):
        """Return whether events of two versions or services are joined."""
        return len({label for _, label, _ in self.events}) > 1

    @property
    def is_wrong(self):
        """Return whether events are missing or came twice."""
        numbers = [number for number, _, _ in self.events]
        return numbers != list(range(1, len(numbers) + 1))


class VersionCase(platform_case.FaultCase):
    """A fleet before replicas of several versions.

    Attributes
    ----------
    versions : dict of str to int
        Number of replicas of each version.
    services : tuple of str
        Services to which the plan's routes lead.
    streams : list of Stream
        All streams that were begun.
    begun : list of bool
        Whether each first try brought events.
    resumed : list of bool
        Whether each try that took a stream up went on, of those during which
        two replicas of its version served.
    severed : set of str
        Routers that are cut off from all replicas.
    names_first : bool
        Whether callers name the attempt that brought the first event.
    needs_tries : bool
        Whether the users' least number of tries must take streams up.
    """

    routers = 3
    replicas = 0
    versions = {"v1": 4, "v1.1": 4}
    services = (platform_case.SERVICE,)
    seed = 1
    names_first = True
    needs_tries = False

    async def asyncSetUp(self):
        """Start the fleet; no stream has been read."""
        self.rng = random.Random(self.seed)
        self.severed = set()
        self.owners = {}
        self.streams = []
        self.begun = []
        self.resumed = []
        self.added = 0
        self.backs = []
        self.callers = set()
        await super().asyncSetUp()
        for version, number in self.versions.items():
            for _ in range(number):
                await self.add(version)
        await asyncio.sleep(1.0)

    def configuration(self):
        """Return the next configuration, whose streams may be resumed."""
        document = super().configuration()
        [known] = document["backends"]
        document["backends"].append(known | {"name": OTHER_SERVICE})
        for route in document["routes"]:
            del route["backend"]
            route.update(
                split=[
                    {"backend": service, "weight": 1}
                    for service in self.services
                ],
                route_type="streaming",
                resumable=True,
                timeout_ms=TIMEOUT_SECONDS * 1e3,
                max_attempts=3,
                itl_target_ms=400,
            )
        return document

    def heartbeat_body(self, replica, sequence):
        """Return what a replica says, with its version."""
        body = super().heartbeat_body(replica, sequence)
        body["backend"] = replica.service
        body["version"] = replica.version
        if replica.version is None:
            del body["version"]
        return body | {"batch_slots": 64}

    async def announce(self, replica):
        """Send heartbeats until the replica crashes."""
        sequence = 0
        while not replica.crashed:
            sequence += 1
            body = self.heartbeat_body(replica, sequence)
            await self.heartbeat(replica, body)
            await asyncio.sleep(platform_case.HEARTBEAT_SECONDS)

    async def add(self, version, service=platform_case.SERVICE):
        """Start a replica under a new name."""
        self.added += 1
        replica = Replica(
            f"t{self.added}", version, self.rng, service, self.is_severed
        )
        await replica.start()
        self.all_replicas.append(replica)
        self.heartbeats[replica.name] = asyncio.ensure_future(
            self.announce(replica)
        )
        return replica

    def is_severed(self, writer):
        """Return whether a connection comes from a router that is cut off."""
        if not self.severed:
            return False
        # Searching all connections of the VM takes milliseconds.
        if writer not in self.owners:
            self.owners[writer] = test_severed_routers.owner_of(
                writer,
                {name: self.processes[name] for name in self.router_names},
            )
        return self.owners[writer] in self.severed

    def serving(self, label):
        """Return the replicas of a service and version that serve."""
        return [
            replica
            for replica in self.all_replicas
            if replica.label == label and not replica.crashed
        ]

    # -- callers ---------------------------------------------------------

    async def connect(self, router, kept):
        """Return a connection of its own, or one that its caller has kept."""
        if router in kept:
            return kept.pop(router)
        return await asyncio.wait_for(
            asyncio.open_connection(self.ip(router), self.port), 1.0
        )

    async def attempt(
        self, router, request_id, stream, break_after=0, kept=None
    ):
        """Send one try of a stream; return its status and Retry-After.

        Parameters
        ----------
        kept : dict, optional
            Open connections of the caller, by router.
        """
        status, retry = 0, 0.1
        kept = {} if kept is None else kept
        try:
            reader, writer = await self.connect(router, kept)
        except (OSError, TimeoutError):
            return status, retry
        try:
            writer.write(self.request(request_id, stream))
            head = await asyncio.wait_for(
                reader.readuntil(b"\r\n\r\n"), TIMEOUT_SECONDS
            )
            status = int(head.split()[1])
            told = re.search(rb"Retry-After: ([0-9.]+)", head, re.IGNORECASE)
            retry = float(told[1]) if told else retry
            if status == 200:
                await self.read_events(reader, stream, break_after)
            if stream.whole:
                kept[router] = reader, writer
        except (OSError, EOFError, TimeoutError):
            return status, retry
        finally:
            if router not in kept:
                writer.close()
        return status, retry

    def request(self, request_id, stream):
        """Return the bytes of one try."""
        body = uuid.uuid4().hex
        lines = [
            "POST /a/x HTTP/1.1",
            f"Host: {platform_case.HOST}",
            f"{headers.REQUEST_ID}: {request_id}",
            f"{headers.DEADLINE}: {TIMEOUT_SECONDS * 1e3:.0f}",
            f"{headers.AUTHORIZATION}: Bearer key-alba",
            f"Content-Length: {len(body)}",
        ]
        if stream.events:
            lines.append(f"{headers.LAST_EVENT}: {stream.events[-1][0]}")
        if stream.events and self.names_first:
            lines.append(f"{headers.RESUMES}: {stream.first}")
        return "\r\n".join([*lines, "", body]).encode()

    async def read_events(self, reader, stream, break_after):
        """Read events until the stream ends, or the caller breaks it off."""
        before = list(stream.events)
        data = b""
        while more := await asyncio.wait_for(
            reader.read(65536), MOST_PAUSE_SECONDS
        ):
            data += more
            stream.events = before + [
                (int(number), version.decode(), name.decode())
                for number, version, name in EVENT.findall(data)
            ]
            stream.whole = data.endswith(END)
            if stream.whole or 0 < break_after <= len(stream.events):
                return

    async def read_stream(self, break_after=0, kept=None):
        """Read a stream to its end, taking it up at any router."""
        stream = Stream()
        self.streams.append(stream)
        started_at = time.monotonic()
        while len(stream.statuses) < MOST_TRIES:
            router = self.rng.choice(self.router_names)
            retry = await self.try_once(router, stream, break_after, kept)
            break_after = 0
            if stream.whole or not stream.first:
                return
            if time.monotonic() > started_at + PATIENCE_SECONDS:
                return
            await asyncio.sleep(min(retry, 1.5))

    async def try_once(self, router, stream, break_after=0, kept=None):
        """Send the next try of a stream, note how it went; return its wait."""
        request_id = uuid.uuid4().hex[:16]
        is_new = not stream.events
        label = stream.label
        enough = len(self.serving(label)) >= 2
        received = len(stream.events)
        status, retry = await self.attempt(
            router, request_id, stream, break_after, kept
        )
        stream.statuses.append(status)
        goes_on = len(stream.events) > received or stream.whole
        if not stream.first and stream.events:
            stream.first = request_id
        enough = enough and len(self.serving(label)) >= 2
        if status and is_new:
            self.begun.append(goes_on)
        elif status and enough:
            self.resumed.append(goes_on)
        return retry

    async def read_until_stopped(self, break_share):
        """Read streams one after the other, on connections that stay open."""
        kept = {}
        while not self.stopped:
            breaks = self.rng.random() < break_share
            after = self.rng.randrange(2, EVENTS - 2) if breaks else 0
            await self.read_stream(after, kept)
            await asyncio.sleep(self.rng.uniform(0.0, 0.05))
        for _, writer in kept.values():
            writer.close()

    def has_read_enough(self, spent, seconds):
        """Return whether no more streams are begun after `spent` seconds."""
        if not self.needs_tries or len(self.resumed) >= MIN_TRIES:
            return spent >= seconds
        return spent >= 3 * seconds

    async def read_streams(self, seconds, break_share=0.0):
        """Begin streams for a while, and read them all to their ends.

        A busy machine is slow to begin them: up to three times as long, until
        as many tries have taken a stream up as the users count.
        """
        started_at = time.monotonic()
        while not self.has_read_enough(time.monotonic() - started_at, seconds):
            breaks = self.rng.random() < break_share
            after = self.rng.randrange(2, EVENTS - 2) if breaks else 0
            self.callers.add(asyncio.ensure_future(self.read_stream(after)))
            await asyncio.sleep(0.05)
        await asyncio.gather(*self.callers)

    # -- faults ----------------------------------------------------------

    async def crash_replicas(self, seconds):
        """Crash replicas in turn; each version keeps two."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            await asyncio.sleep(CRASH_SECONDS)
            able = [
                replica
                for replica in self.all_replicas
                if not replica.crashed and len(self.serving(replica.label)) > 2
            ]
            if able:
                replica = self.rng.choice(able)
                replica.crash()
                self.backs.append(
                    asyncio.ensure_future(self.bring_back(replica))
                )
        await asyncio.gather(*self.backs)

    async def bring_back(self, crashed):
        """Start a replica like the one that crashed, some seconds later."""
        await asyncio.sleep(BACK_SECONDS)
        await self.add(crashed.version, crashed.service)

    async def kill_routers(self):
        """Kill routers in turn until cancelled."""
        number = 0
        while True:
            await asyncio.sleep(1.5)
            await self.restart(
                self.router_names[number % self.routers], signal.SIGKILL
            )
            number += 1

    # -- checks ----------------------------------------------------------

    def check(self):
        """Check what the users ask of streams."""
        if self.needs_tries:
            self.assertGreaterEqual(len(self.resumed), MIN_TRIES)
        wrong = [stream.events for stream in self.streams if stream.is_wrong]
        self.assertEqual([], wrong)
        mixed = [stream.events for stream in self.streams if stream.is_mixed]
        self.assertLessEqual(
            len(mixed), MOST_MIXED, f"of {len(self.streams)} streams"
        )
        if len(self.resumed) < MIN_TRIES:
            return
        share = sum(self.resumed) / len(self.resumed)
        begun = sum(self.begun) / len(self.begun)
        self.assertGreaterEqual(
            share,
            MIN_SHARE * begun,
            f"{len(self.resumed)} tries, {self.statuses_of_tries()}",
        )

    def statuses_of_tries(self):
        """Return how often tries that took a stream up had each status."""
        return collections.Counter(
            status for stream in self.streams for status in stream.statuses[1:]
        )
