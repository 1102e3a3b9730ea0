"""Which connections give way when a process takes in too much."""

import asyncio
import socket
import time
import unittest

from tornado import iostream

from amaranthring import errors
from amaranthring.core import bounded_streams
from amaranthring.core import intake as intakes
from amaranthring.core import refusals
from amaranthring.core import turns


class IntakeCase(unittest.TestCase):
    """An intake, and what its connections were told."""

    def setUp(self):
        self.intake = intakes.Intake(100_000, 4)
        self.told = {}

    def admit(self, name, size=0, silent=0.0):
        """Open a connection on which `size` bytes have arrived."""
        share = self.intake.admit(
            lambda error: self.told.setdefault(name, error)
        )
        if size:
            share.take(size)
        share.heard_at -= silent
        return share


class TestBytes(IntakeCase):
    """Which requests give way when their sum is too large."""

    def test_silent_sender_gives_way_first(self):
        """Guards against refusing who sends for one who does not."""
        silent = self.admit("silent", 30_000, silent=1.0)
        self.admit("sends", 60_000)
        self.assertTrue(self.admit("next", 20_000).is_open)
        self.assertEqual(list(self.told), ["silent"])
        self.assertFalse(silent.is_open)
        self.assertEqual(self.intake.used, 80_000)

    def test_largest_gives_way_if_all_send(self):
        """Guards against refusing small requests for large ones."""
        self.admit("large", 90_000)
        self.admit("small", 5_000)
        self.admit("next", 8_000)
        self.assertEqual(list(self.told), ["large"])

    def test_refusal_promises_that_the_request_has_not_run(self):
        """Guards against a refusal after which nobody may try again."""
        share = self.admit("too large", 100_001)
        self.assertFalse(share.is_open)
        error = self.told["too large"]
        self.assertEqual(error.status, 503)
        self.assertIs(error.outcome, errors.Outcome.NOT_RUN)
        self.assertGreater(error.retry_after, 0.0)

    def test_whole_requests_stay(self):
        """Guards against ending what is being answered."""
        self.admit("whole", 95_000, silent=9.0).hold()
        self.assertTrue(self.admit("small", 8_000).is_open)
        self.assertFalse(self.admit("large", 20_000).is_open)
        self.assertEqual(list(self.told), ["large"])

    def test_ended_connections_take_nothing(self):
        """Guards against a sum that grows for ever."""
        share = self.admit("gone", 50_000)
        share.end()
        share.take(9_000)
        share.end()
        self.assertEqual(self.intake.used, 0)
        self.assertEqual(self.intake.connections, 0)

    def test_next_request_counts_only_what_has_arrived(self):
        """Guards against counting requests that have ended."""
        share = self.admit("again", 50_000)
        share.hold()
        share.begin(10)
        self.assertEqual(self.intake.used, 10)
        self.assertIs(share.state, intakes.State.RECEIVING)

    def test_proved_peers_are_not_counted(self):
        """Guards against ending links of a keeper or router."""
        link = self.admit("link", 1_000)
        link.mark_authenticated()
        self.assertTrue(link.take(500_000))
        self.assertEqual(self.intake.used, 0)


class TestHeads(unittest.IsolatedAsyncioTestCase):
    """What counts as the head of a request."""

    def connect(self, head_most):
        """Open a connection; return the client's socket and the stream."""
        client, server = socket.socketpair()
        client.setblocking(False)
        self.addCleanup(client.close)
        stream = bounded_streams.accept(
            iostream.IOStream(server), intakes.Intake()
        )
        self.addCleanup(stream.close)
        stream.share.head_most = head_most
        return client, stream

    async def read_head(self, stream):
        return await asyncio.wait_for(stream.read_until(b"\r\n\r\n"), 5.0)

    async def test_head_without_end(self):
        """Guards against heads that are held although they must fail."""
        client, stream = self.connect(1_000)
        client.send(b"x" * 1_001)
        with self.assertRaises(iostream.StreamClosedError):
            await self.read_head(stream)
        self.assertIn(b" 431 ", client.recv(4096))

    async def test_head_that_ends_too_late(self):
        """Guards against heads that are parsed although they must fail."""
        client, stream = self.connect(1_000)
        client.send(b"x" * 1_001 + b"\r\n\r\n")
        with self.assertRaises(iostream.StreamClosedError):
            await self.read_head(stream)
        self.assertIn(b" 431 ", client.recv(4096))

    async def test_bytes_behind_a_head_are_not_of_it(self):
        """Guards against refusing a head for the body that follows it."""
        client, stream = self.connect(1_000)
        head = b"x" * 990 + b"\r\n\r\n"
        client.send(head + b"y" * 60_000)
        self.assertEqual(head, await self.read_head(stream))
        self.assertTrue(stream.share.is_open)
        self.assertGreater(stream.share.size, 1_000)

    async def test_memory_of_a_parsed_head_is_not_its_length(self):
        """Guards against refusing a head for the number of its lines."""
        _client, stream = self.connect(1_000)
        self.assertTrue(stream.share.take(5_000))
        self.assertEqual(5_000, stream.share.intake.used)


class TestConnections(IntakeCase):
    """Which connections give way when they are too many."""

    def test_longest_silent_connection_gives_way(self):
        """Guards against silent connections that shut callers out."""
        self.admit("running", 10).hold()
        self.admit("oldest", silent=5.0)
        self.admit("half", 10, silent=3.0)
        self.admit("new")
        self.assertIsNotNone(self.admit("caller"))
        self.assertEqual(list(self.told), ["oldest"])

    def test_none_gives_way_to_more_than_can_be_served(self):
        """Guards against ending a running request for a connection."""
        for number in range(4):
            self.admit(f"running-{number}", 10).hold()
        self.assertIsNone(self.intake.admit(print))
        self.assertEqual(self.told, {})

    def test_files_are_left_for_targets(self):
        """Guards against callers that take all files of the process."""
        intake = intakes.for_process(300 * 2**20, 1000)
        self.assertEqual(intake.most_connections, 600)

    def test_connections_fit_into_small_memory(self):
        """Guards against idle connections that fill the memory."""
        intake = intakes.for_process(12 * 2**20, 100_000)
        taken = intake.most_connections * intakes.CONNECTION_BYTES
        self.assertLessEqual(taken, 2**20)


class TestTimes(IntakeCase):
    """Requests that should be whole by now."""

    def test_late_head_and_late_body(self):
        """Guards against requests that are received for ever."""
        head = self.intake.admit(
            lambda error: self.told.setdefault("head", error)
        )
        head.head_seconds = lambda: 0.0
        head.take(10)
        body = self.admit("body", 10)
        late = errors.BodyTimeoutError("late")
        body.expect(time.monotonic(), late)
        self.admit("in time", 10)
        self.intake.check_due()
        self.assertEqual(set(self.told), {"head", "body"})
        self.assertEqual(self.told["head"].status, 408)
        self.assertIs(self.told["body"], late)

    def test_who_reads_nothing_is_ended(self):
        """Guards against answers that keep the memory of others."""
        stalled, reads = self.admit("stalled"), self.admit("reads")
        stalled.note_unsent()
        reads.note_unsent()
        stalled.taken_at -= 10.0
        self.intake.end_stalled()
        self.assertEqual(list(self.told), ["stalled"])


class TestTurns(unittest.IsolatedAsyncioTestCase):
    """How turns of the event loop are divided."""

    async def test_few_go_on_in_one_turn(self):
        """Guards against turns that grow with the number of connections."""
        shared = turns.Turns()
        tasks = [shared.ask() for _ in range(20)]
        gone_on, steps = [], 0
        while not all(task.done() for task in tasks):
            await asyncio.sleep(0)
            gone_on.append(sum(task.done() for task in tasks) - steps)
            steps += gone_on[-1]
        self.assertLessEqual(max(gone_on), turns.GRANTS)
        self.assertFalse(shared.waiting)

    async def test_closed_connections_do_not_wait(self):
        """Guards against parts of bodies that a long queue keeps."""
        intake = intakes.Intake()
        shares = [intake.admit(print) for _ in range(100)]
        waits = [asyncio.ensure_future(share.wait(1000)) for share in shares]
        await asyncio.sleep(0)
        self.assertEqual(intake.used, 100_000)
        for share in shares:
            share.end()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertTrue(all(wait.done() for wait in waits))
        self.assertEqual(intake.used, 0)


class TestLingering(unittest.IsolatedAsyncioTestCase):
    """Connections that are refused while their clients send."""

    async def test_client_that_goes_on_sending_reads_the_refusal(self):
        """Guards against a reset that destroys the refusal."""
        lingering = refusals.Lingering()
        error = errors.TooLargeError("body")
        loop = asyncio.get_running_loop()
        client, server = socket.socketpair()
        for sock in (client, server):
            sock.setblocking(False)
        lingering.refuse(server, refusals.encode(error))
        server.close()
        for _ in range(64):
            await loop.sock_sendall(client, b"x" * 65536)
        answer = await loop.sock_recv(client, 65536)
        self.assertIn(b" 413 ", answer)
        client.close()
        async with asyncio.timeout(1.0):
            while lingering.open:  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def test_their_number_is_bounded(self):
        """Guards against descriptors that refused clients keep."""
        lingering = refusals.Lingering()
        pairs = [socket.socketpair() for _ in range(80)]
        for client, server in pairs:
            lingering.refuse(server, b"refused")
            server.close()
            self.addCleanup(client.close)
        self.assertEqual(len(lingering.open), refusals.MAX_LINGERING)
        while lingering.close_oldest():
            pass
