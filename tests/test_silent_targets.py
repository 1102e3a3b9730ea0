"""Targets that fall silent for a second and go on."""

import asyncio
import socket

from amaranthring.forwarding import attempts
from amaranthring.targets import pool
from amaranthring.testing import scripted_target
from tests import test_forwarding

SILENT_SECONDS = 1.2
EVENTS = b"".join(scripted_target.event(n) for n in range(1, 6))


class Relay:
    """Passes bytes on between a router and a target, and holds them back.

    Attributes
    ----------
    passing : asyncio.Event
        Cleared while nothing passes.
    address : str
        ``host:port`` for the router.
    """

    def __init__(self, target):
        self.target = target
        self.passing = asyncio.Event()
        self.passing.set()
        self.tasks = set()
        self.address = ""

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", 0, family=socket.AF_INET
        )
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def serve(self, reader, writer):
        host, port = self.target.address.split(":")
        far_reader, far_writer = await asyncio.open_connection(host, port)
        await asyncio.gather(
            self.pass_on(reader, far_writer), self.pass_on(far_reader, writer)
        )

    async def pass_on(self, reader, writer):
        try:
            while data := await reader.read(4096):
                await self.passing.wait()
                writer.write(data)
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def hold(self):
        """Hold everything back for a while."""
        self.passing.clear()
        await asyncio.sleep(SILENT_SECONDS)
        self.passing.set()


class TestSilence(test_forwarding.RouterCase):
    """Requests whose target is silent for a while."""

    async def begin_relay(self, script):
        await self.begin(script)
        [target] = self.targets
        self.relay = Relay(target)
        await self.relay.start()
        self.addCleanup(self.relay.server.close)
        record = target.record()
        record.address = self.relay.address
        record.sequence += 1
        self.router.targets.merge(record)

    async def test_request_that_was_just_sent_is_answered(self):
        """Guards against giving up a target that is silent for a second."""
        await self.begin_relay(scripted_target.respond())
        held = asyncio.ensure_future(self.relay.hold())
        got = await self.ask("/b/x", "POST")
        self.assertEqual((200, b"good"), (got.status, got.body))
        self.assertGreater(got.seconds, SILENT_SECONDS - 0.2)
        await held

    async def test_stream_goes_on(self):
        """Guards against streams that end as their target pauses."""

        async def pause(seen, writer):
            held = asyncio.ensure_future(self.relay.hold())
            await scripted_target.stream_events(5)(seen, writer)
            await held

        await self.begin_relay(pause)
        for path in ("/d/x", "/c/x"):
            got = await self.ask(path, "POST")
            self.assertEqual((200, EVENTS), (got.status, got.body))
        self.assertEqual(2, self.ran())

    async def test_kernel_waits_longer_than_that(self):
        """Guards against connections that end before the target goes on."""
        seen = []
        set_timeout = pool.set_ack_timeout

        def note(writer):
            set_timeout(writer)
            sock = writer.get_extra_info("socket")
            seen.append(
                sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
            )

        self.addCleanup(setattr, attempts.pool, "set_ack_timeout", set_timeout)
        attempts.pool.set_ack_timeout = note
        await self.begin_relay(scripted_target.respond())
        await self.ask("/b/x", "POST")
        self.assertLess(SILENT_SECONDS * 1e3, seen[0])
