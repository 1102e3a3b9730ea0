"""Authenticated msgpack streams between the fleet's own processes.

A :class:`Link` is one connection with one reading task. Both ends may send
one-way messages and call each other; a handler that returns an awaitable is
run in a task of its own so that a call that waits does not hold up the
stream. A :class:`Dialler` keeps one link to one peer up, with one task.
"""

import asyncio
import collections
import inspect
import itertools
import random
import time
import typing as t

import logbook
import msgpack
import tornado.iostream
import tornado.tcpclient
import tornado.tcpserver

from amaranthring import errors
from amaranthring.core import handshake
from amaranthring.core import wire

log = logbook.Logger(__name__)

HANDSHAKE_SECONDS = 2.0
SEND_BUFFER_BYTES = 4 * 1024 * 1024
INITIAL_BACKOFF_SECONDS = 0.05
# Where all have lost power, routers are back 0.9 s before the keepers: each
# dials on at this pace, and who dials seldom is linked late. An attempt costs
# a packet and, while nobody listens, its refusal.
MAX_BACKOFF_SECONDS = 0.4
STABLE_SECONDS = 1.0

STREAM_ERRORS = (
    tornado.iostream.StreamClosedError,
    tornado.iostream.UnsatisfiableReadError,
    OSError,
    asyncio.TimeoutError,
)


Identity = handshake.Identity
Keys = handshake.Keys

Handler = t.Callable[["Link", t.Any], t.Any]


class Handlers:
    """Handlers by message class; a package adds its own at construction.

    Attributes
    ----------
    sent : Counter
        Bytes handed to all links that use these handlers, by message tag;
        errors under ``error``, answers without a body under ``done``.
    received : Counter
        Frames that came over all these links, by message tag.
    received_bytes : int
        Bytes that came over all these links.
    """

    def __init__(self):
        self.by_class: dict[type, Handler] = {}
        self.sent: collections.Counter[str] = collections.Counter()
        self.received: collections.Counter[str] = collections.Counter()
        self.received_bytes = 0

    def add(self, kind: type, handler: Handler) -> None:
        """Route messages of class `kind` to `handler`."""
        if kind in self.by_class:
            raise ValueError(f"{kind.__name__} has a handler already")
        self.by_class[kind] = handler


class Link:
    """One authenticated stream to a peer.

    Attributes
    ----------
    peer : Identity
        The other end, proved by the handshake.
    sent_bytes, received_bytes : int
        Traffic so far.
    sent_frames : int
        Frames written so far.
    """

    def __init__(self, stream, peer: Identity, handlers: Handlers):
        self.stream = stream
        self.peer = peer
        self.handlers = handlers
        self.sent_bytes = 0
        self.sent_frames = 0
        self.received_bytes = 0
        self.closed = False
        self._ids = itertools.count(1)
        self._waiting: dict[int, asyncio.Future] = {}
        self._tasks: set[asyncio.Task] = set()

    def send(self, message: t.Any) -> None:
        """Send a one-way message; delivery is not promised.

        Raises
        ------
        errors.LinkClosedError, errors.LinkOverloadedError
            If the message surely was not handed to the stream.
        """
        frame = wire.encode(wire.ONE_WAY, 0, message)
        self._write(frame, wire.tag_of(type(message)))

    def send_encoded(self, frame: bytes, tag: str) -> None:
        """Send the bytes of a one-way frame, encoded once for many links.

        Parameters
        ----------
        tag : str
            Of the message in it.

        Raises
        ------
        errors.LinkClosedError, errors.LinkOverloadedError
            As :meth:`send`.
        """
        self._write(frame, tag)

    async def call(self, message: t.Any, timeout: float) -> t.Any:
        """Send a request and return its reply.

        Parameters
        ----------
        message : object
            A registered message.
        timeout : float
            Seconds to wait for the reply.

        Raises
        ------
        errors.AmaranthringError
            What the peer's handler raised, under the same type.
        errors.LinkClosedError, errors.LinkTimeoutError
            If no reply came; the peer may have acted all the same.
        """
        call_id = next(self._ids)
        future = asyncio.get_running_loop().create_future()
        self._waiting[call_id] = future
        try:
            frame = wire.encode(wire.REQUEST, call_id, message)
            self._write(frame, wire.tag_of(type(message)))
            return await asyncio.wait_for(future, timeout)
        except TimeoutError as error:
            raise errors.LinkTimeoutError(
                f"no reply from {self.peer.name} in {timeout} s"
            ) from error
        finally:
            self._waiting.pop(call_id, None)

    def close(self) -> None:
        """Close the stream; calls that wait fail with LinkClosedError."""
        if self.closed:
            return
        self.closed = True
        self.stream.close()
        for future in self._waiting.values():
            if not future.done():
                future.set_exception(
                    errors.LinkClosedError(f"link to {self.peer.name} closed")
                )
                # The waiter may itself be gone; then nobody reads it.
                future.exception()
        for task in list(self._tasks):
            task.cancel()

    async def serve(self, unpacker: msgpack.Unpacker) -> None:
        """Read and handle frames until the stream ends, then close."""
        try:
            while True:
                for parts in unpacker:
                    self._handle(wire.decode(parts))
                data = await self.stream.read_bytes(
                    handshake.READ_BYTES, partial=True
                )
                self.received_bytes += len(data)
                self.handlers.received_bytes += len(data)
                unpacker.feed(data)
        except STREAM_ERRORS:
            pass
        except (errors.FrameError, msgpack.UnpackException, ValueError) as e:
            log.warning("link.bad-frame peer={} fault={}", self.peer.name, e)
        finally:
            self.close()

    def has_unsent_bytes(self) -> bool:
        """Return whether bytes wait that the system has not taken yet."""
        return not self.closed and self.stream.writing()

    def _write(self, data: bytes, tag: str) -> None:
        if self.closed:
            raise errors.LinkClosedError(f"link to {self.peer.name} closed")
        try:
            self.stream.write(data)
        except tornado.iostream.StreamBufferFullError as error:
            raise errors.LinkOverloadedError(
                f"send buffer to {self.peer.name} is full", retry_after=1.0
            ) from error
        except tornado.iostream.StreamClosedError as error:
            raise errors.LinkClosedError(
                f"link to {self.peer.name} closed"
            ) from error
        self.sent_bytes += len(data)
        self.sent_frames += 1
        self.handlers.sent[tag] += len(data)

    def _handle(self, frame: wire.Frame) -> None:
        if frame.kind in (wire.REPLY, wire.ERROR):
            self._resolve(frame)
            return
        if frame.message is not None:
            self.handlers.received[wire.tag_of(type(frame.message))] += 1
        handler = self.handlers.by_class.get(type(frame.message))
        if handler is None:
            self._answer(
                frame,
                errors.FrameError(
                    "no handler here",
                    given=type(frame.message).__name__,
                    expected="a message for this role",
                ),
            )
            return
        try:
            result = handler(self, frame.message)
        except errors.AmaranthringError as error:
            self._answer(frame, error)
            return
        except Exception:
            log.exception("link.handler-failed peer={}", self.peer.name)
            self._answer(frame, errors.InternalError("handler failed"))
            return
        if inspect.isawaitable(result):
            task = asyncio.ensure_future(self._finish(frame, result))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            if inspect.iscoroutine(result):
                # A task that is cancelled before its first step never awaits
                # it, of which Python would warn on standard error.
                task.add_done_callback(lambda _: result.close())
        else:
            self._answer(frame, result)

    async def _finish(self, frame: wire.Frame, pending) -> None:
        try:
            self._answer(frame, await pending)
        except errors.AmaranthringError as error:
            self._answer(frame, error)
        except Exception:
            log.exception("link.handler-failed peer={}", self.peer.name)
            self._answer(frame, errors.InternalError("handler failed"))

    def _answer(self, frame: wire.Frame, result: t.Any) -> None:
        if frame.kind != wire.REQUEST:
            return
        failed = isinstance(result, errors.AmaranthringError)
        kind = wire.ERROR if failed else wire.REPLY
        tag = "error" if failed else "done"
        if not failed and result is not None:
            tag = wire.tag_of(type(result))
        try:
            self._write(wire.encode(kind, frame.call_id, result), tag)
        except errors.LinkError:
            # The caller sees its link close and treats the call as unknown.
            self.close()

    def _resolve(self, frame: wire.Frame) -> None:
        future = self._waiting.pop(frame.call_id, None)
        if future is None or future.done():
            return
        if frame.kind == wire.ERROR:
            future.set_exception(frame.message)
        else:
            future.set_result(frame.message)


async def open_link(
    stream, identity, keys, side, handlers
) -> tuple[Link, t.Any]:
    """Authenticate both ends and return the link with its unpacker.

    Raises
    ------
    errors.HandshakeError
        If the peer cannot prove itself in time; the stream is closed.
    """
    unpacker = wire.unpacker()
    try:
        peer = await asyncio.wait_for(
            handshake.authenticate(stream, identity, keys, side, unpacker),
            HANDSHAKE_SECONDS,
        )
    except errors.AmaranthringError:
        stream.close()
        raise
    except (*STREAM_ERRORS, msgpack.UnpackException, ValueError) as error:
        stream.close()
        raise errors.HandshakeError("handshake broke off") from error
    return Link(stream, peer, handlers), unpacker


class LinkServer(tornado.tcpserver.TCPServer):
    """Accepts links from peers, one task each.

    Parameters
    ----------
    identity : Identity
        This process.
    keys : Keys
        Fleet keys.
    handlers : Handlers
        What answers incoming messages.
    on_link, on_gone : callable, optional
        Called with each link after its handshake and after its end.
    """

    def __init__(self, identity, keys, handlers, on_link=None, on_close=None):
        super().__init__(max_buffer_size=wire.MAX_FRAME_BYTES * 2)
        self.identity = identity
        self.keys = keys
        self.handlers = handlers
        self.on_link = on_link
        self.on_close = on_close
        self.links: set[Link] = set()
        self.closed = False

    async def handle_stream(self, stream, address):
        """Serve one connection until it ends."""
        stream.set_nodelay(True)
        stream.max_write_buffer_size = SEND_BUFFER_BYTES
        try:
            link, unpacker = await open_link(
                stream, self.identity, self.keys, "server", self.handlers
            )
        except errors.HandshakeError as error:
            log.warning("link.refused address={} fault={}", address, error)
            return
        if self.closed:
            # The handshake ended after `close_all`, or swallowed the
            # cancellation that came with its last frame: served now, this
            # link would outlive the process's end and hold it up.
            link.close()
            return
        self.links.add(link)
        try:
            if self.on_link:
                self.on_link(link)
            await link.serve(unpacker)
        finally:
            link.close()
            self.links.discard(link)
            if self.on_close:
                self.on_close(link)

    def close_all(self) -> None:
        """Stop listening and close every link."""
        self.closed = True
        self.stop()
        for link in list(self.links):
            link.close()


class Dialler:
    """Keeps one link to one peer up, reconnecting with a bounded backoff.

    Parameters
    ----------
    address : str
        ``host:port`` of the peer's fleet listener.
    on_link, on_gone : callable, optional
        Called with each new link, before any other use of it, and after
        its end.
    """

    def __init__(
        self, address, identity, keys, handlers, on_link=None, on_close=None
    ):
        self.address = address
        self.identity = identity
        self.keys = keys
        self.handlers = handlers
        self.on_link = on_link
        self.on_close = on_close
        self.link: Link | None = None
        self.client = tornado.tcpclient.TCPClient()
        self.task: asyncio.Task | None = None
        self.stopped = False

    def start(self) -> None:
        """Start the task that keeps the link up."""
        self.task = asyncio.ensure_future(self.run())

    def stop(self) -> None:
        """End the task and the link."""
        # A cancellation that comes in the very step in which the handshake
        # ends is swallowed by wait_for; the task would dial for ever.
        self.stopped = True
        if self.task:
            self.task.cancel()
        if self.link:
            self.link.close()

    async def run(self) -> None:
        """Connect, serve, and connect again until stopped."""
        wait = INITIAL_BACKOFF_SECONDS
        while not self.stopped:
            try:
                link, unpacker = await self._connect()
            except (errors.HandshakeError, *STREAM_ERRORS):
                # Jitter, so that all routers do not return at one instant
                # to a peer that restarted.
                await asyncio.sleep(wait * random.uniform(0.5, 1.0))
                wait = min(wait * 2, MAX_BACKOFF_SECONDS)
                continue
            if self.stopped:
                link.close()
                return
            began = time.monotonic()
            self.link = link
            if self.on_link:
                self.on_link(link)
            try:
                await link.serve(unpacker)
            finally:
                self.link = None
                if self.on_close:
                    self.on_close(link)
            if time.monotonic() - began > STABLE_SECONDS:
                wait = INITIAL_BACKOFF_SECONDS
            # A peer that accepts and closes at once must not be dialled in
            # a tight loop; only a link that lasted resets the backoff.
            await asyncio.sleep(wait * random.uniform(0.5, 1.0))
            wait = min(wait * 2, MAX_BACKOFF_SECONDS)

    def send(self, message: t.Any) -> bool:
        """Send one-way if the link is up; return whether it was handed on."""
        if self.link is None:
            return False
        try:
            self.link.send(message)
        except errors.LinkError:
            return False
        return True

    async def call(self, message: t.Any, timeout: float) -> t.Any:
        """Call the peer.

        Raises
        ------
        errors.LinkClosedError
            With outcome ``not-run`` if there is no link.
        """
        if self.link is None:
            raise errors.LinkClosedError(
                f"no link to {self.address}", outcome=errors.Outcome.NOT_RUN
            )
        return await self.link.call(message, timeout)

    async def _connect(self):
        host, port = self.address.rsplit(":", 1)
        stream = await asyncio.wait_for(
            self.client.connect(
                host, int(port), max_buffer_size=wire.MAX_FRAME_BYTES * 2
            ),
            HANDSHAKE_SECONDS,
        )
        stream.set_nodelay(True)
        stream.max_write_buffer_size = SEND_BUFFER_BYTES
        return await open_link(
            stream, self.identity, self.keys, "client", self.handlers
        )
