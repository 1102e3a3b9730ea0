"""Links between processes: calls, errors, handshakes, invalid frames."""

import asyncio
import contextlib
import unittest

import tornado.testing

from amaranthring import errors
from amaranthring.core import handshake
from amaranthring.core import links
from amaranthring.core import silence
from amaranthring.core import wire
from amaranthring.testing import tcp_relay

# Silence after which the links of these tests are replaced.
SILENCE_SECONDS = 0.2
# More than one read of a stream takes.
LONG_BYTES = 200_000
LONG_SECONDS = 5.0
KEYS = links.Keys({"a": b"k" * 32})


@wire.message("test-echo")
class Echo:
    """Message used by these tests."""

    text: str
    number: int = 0


@wire.message("test-slow")
class Slow:
    """Message that its handler does not answer for a long time."""


def identity(name):
    return links.Identity(name, "router", "dc1")


class LinkCase(unittest.IsolatedAsyncioTestCase):
    """One client and one server over the loopback interface."""

    async def asyncSetUp(self):
        self.handlers = links.Handlers()
        self.server = links.LinkServer(identity("s"), KEYS, self.handlers)
        sock, port = tornado.testing.bind_unused_port()
        self.server.add_sockets([sock])
        self.address = f"127.0.0.1:{port}"
        self.dialler = None

    async def asyncTearDown(self):
        if self.dialler:
            self.dialler.stop()
        self.server.close_all()
        await asyncio.sleep(0)

    async def dial(self, keys=KEYS):
        self.dialler = links.Dialler(
            self.address, identity("c"), keys, links.Handlers()
        )
        self.dialler.start()
        for _ in range(100):
            if self.dialler.link:
                return self.dialler
            await asyncio.sleep(0.01)
        return self.dialler


class TestLink(LinkCase):
    """Calls, errors and handshakes."""

    async def test_handshake_in_progress_does_not_outlive_server(self):
        # A link whose handshake completes after the server was closed must
        # not be served, as it would keep the process from exiting.
        relay = tcp_relay.Relay(self.address)
        await relay.start()
        self.addAsyncCleanup(relay.stop)
        relay.block(to_target=False, to_client=True)
        self.address = relay.address
        dialling = asyncio.ensure_future(self.dial())
        await asyncio.sleep(0.1)
        self.server.close_all()
        relay.heal()
        await dialling
        await asyncio.sleep(0.2)
        self.assertEqual(self.server.links, set())

    async def test_call_returns_the_reply(self):
        self.handlers.add(Echo, lambda link, m: Echo(m.text + "!", 2))
        dialler = await self.dial()
        reply = await dialler.call(Echo("a"), timeout=1)
        self.assertEqual(reply, Echo("a!", 2))

    async def test_error_from_peer_keeps_its_type(self):
        async def refuse(link, message):
            raise errors.QueueFullError("full", retry_after=2.0)

        self.handlers.add(Echo, refuse)
        dialler = await self.dial()
        with self.assertRaises(errors.QueueFullError) as caught:
            await dialler.call(Echo("a"), timeout=1)
        self.assertEqual(caught.exception.retry_after, 2.0)
        self.assertEqual(caught.exception.outcome, errors.Outcome.NOT_RUN)

    async def test_wrong_key_is_rejected_by_both_ends(self):
        dialler = await self.dial(links.Keys({"a": b"x" * 32}))
        self.assertIsNone(dialler.link)
        self.assertEqual(self.server.links, set())

    async def test_second_key_is_accepted_during_rotation(self):
        self.server.keys = links.Keys({"b": b"n" * 32, "a": b"k" * 32})
        self.handlers.add(Echo, lambda link, m: m)
        rotated = links.Keys({"a": b"k" * 32, "b": b"n" * 32})
        dialler = await self.dial(rotated)
        reply = await dialler.call(Echo("a"), timeout=1)
        self.assertEqual(reply, Echo("a"))

    async def test_invalid_message_closes_the_link(self):
        dialler = await self.dial()
        link = dialler.link
        invalid_frame = wire.encode_value(
            (wire.ONE_WAY, 0, "test-echo", {"text": 5})
        )
        link.stream.write(invalid_frame)
        for _ in range(100):
            if link.closed:
                break
            await asyncio.sleep(0.01)
        self.assertTrue(link.closed)

    async def test_call_in_flight_fails_when_peer_closes(self):
        async def never(link, message):
            await asyncio.sleep(30)

        self.handlers.add(Echo, never)
        dialler = await self.dial()
        call = asyncio.ensure_future(dialler.call(Echo("a"), timeout=5))
        await asyncio.sleep(0.05)
        self.server.close_all()
        with self.assertRaises(errors.LinkClosedError) as caught:
            await call
        self.assertEqual(caught.exception.outcome, errors.Outcome.UNKNOWN)


class TestHandshake(LinkCase):
    """What a peer sends before and right after its proof."""

    async def connect(self):
        """Connect to the server; return the reader and the writer."""
        reader, writer = await asyncio.open_connection(
            *self.address.split(":")
        )
        self.addCleanup(writer.close)
        return reader, writer

    async def test_long_message_behind_the_proof(self):
        """Guards against a link that its first long message ends."""
        received = asyncio.get_running_loop().create_future()
        self.handlers.add(Echo, lambda _, echo: received.set_result(echo))
        reader, writer = await self.connect()
        nonce = b"n" * handshake.NONCE_BYTES
        hello = handshake.Hello(wire.VERSION, nonce)
        writer.write(wire.encode(wire.ONE_WAY, 0, hello))
        unpacker = wire.unpacker()
        unpacker.feed(await reader.read(4096))
        theirs = wire.decode(next(unpacker)).message
        key_id, key = KEYS.signing
        mac = handshake._mac(key, "client", identity("c"), nonce, theirs.nonce)
        proof = handshake.Proof(identity("c"), key_id, mac)
        writer.write(
            wire.encode(wire.ONE_WAY, 0, proof)
            + wire.encode(wire.ONE_WAY, 0, Echo("x" * LONG_BYTES))
        )
        echo = await asyncio.wait_for(received, LONG_SECONDS)
        self.assertEqual(LONG_BYTES, len(echo.text))

    async def test_proof_without_end(self):
        """Guards against a bound on handshakes that bounds nothing."""
        reader, writer = await self.connect()
        hello = handshake.Hello(wire.VERSION, b"x" * 2 * LONG_BYTES)
        writer.write(wire.encode(wire.ONE_WAY, 0, hello)[:LONG_BYTES])
        async with asyncio.timeout(links.HANDSHAKE_SECONDS / 2):
            with contextlib.suppress(ConnectionError):
                while await reader.read(4096):
                    continue


class TestSilence(LinkCase):
    """Links that are watched, through a relay."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.handlers.add(Echo, lambda link, m: m)
        self.handlers.add(Slow, lambda link, m: asyncio.sleep(30))
        self.relay = tcp_relay.Relay(self.address)
        await self.relay.start()
        self.addAsyncCleanup(self.relay.stop)
        self.address = self.relay.address

    async def watched(self):
        dialler = await self.dial()
        watching = silence.watch(dialler, Echo("probe"), SILENCE_SECONDS)
        task = asyncio.ensure_future(watching)
        self.addCleanup(task.cancel)
        return dialler

    async def test_silent_link_is_replaced(self):
        """A link that carries nothing any more must be dialled anew.

        Nothing else closes it until TCP gives up, after minutes.
        """
        dialler = await self.watched()
        silent = dialler.link
        call = asyncio.ensure_future(dialler.call(Slow(), timeout=30))
        self.assertEqual(1, self.relay.silence())
        with self.assertRaises(errors.LinkClosedError):
            await asyncio.wait_for(call, 2.5 * SILENCE_SECONDS)
        await asyncio.sleep(0.01)
        self.assertIsNot(silent, dialler.link)
        reply = await dialler.call(Echo("a"), timeout=1)
        self.assertEqual(Echo("a"), reply)

    async def test_slow_reply_does_not_make_a_link_silent(self):
        """A link to a peer with a slow disk must stay open.

        The peer answers the probes.
        """
        dialler = await self.watched()
        link = dialler.link
        call = asyncio.ensure_future(dialler.call(Slow(), timeout=30))
        await asyncio.sleep(5 * SILENCE_SECONDS)
        self.assertFalse(call.done())
        self.assertIs(link, dialler.link)
        call.cancel()

    async def test_link_stays_until_its_peer_is_reached_anew(self):
        """A silent link must stay open while no new one can be made.

        Closing it would cost more than its silence if packets are lost.
        """
        dialler = await self.watched()
        link = dialler.link
        self.relay.block()
        await asyncio.sleep(3 * SILENCE_SECONDS)
        self.assertIs(link, dialler.link)
        self.assertFalse(link.closed)
