"""Authenticated msgpack streams between the processes of the fleet.

A :class:`Link` is one connection with one reading task. Both ends may send
one-way messages and requests. A handler that returns an awaitable runs in its
own task, so that it does not block the stream. A :class:`Dialler` maintains
one link to one peer and reconnects when it breaks.
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
from amaranthring.core import background
from amaranthring.core import bounded_streams
from amaranthring.core import handshake
from amaranthring.core import intake as intakes
from amaranthring.core import wire

log = logbook.Logger(__name__)

HANDSHAKE_SECONDS = 2.0
SEND_BUFFER_BYTES = 4 * 1024 * 1024
INITIAL_BACKOFF_SECONDS = 0.05
# Bounds the delay until a link is back: after a power loss of the whole fleet
# routers start 0.9 s before keepers, and retry at this interval. An attempt
# costs one packet and its refusal.
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
    """Registry of handlers by message class, with traffic counters.

    Attributes
    ----------
    sent : Counter
        Bytes sent on all links with these handlers, by message tag; errors
        count under ``error``, replies without a body under ``done``.
    received : Counter
        Frames received on these links, by message tag.
    received_bytes : int
        Bytes received on these links.
    """

    def __init__(self):
        self.by_class: dict[type, Handler] = {}
        self.sent: collections.Counter[str] = collections.Counter()
        self.received: collections.Counter[str] = collections.Counter()
        self.received_bytes = 0

    def add(self, message_class: type, handler: Handler) -> None:
        """Register `handler` for messages of class `message_class`."""
        if message_class in self.by_class:
            raise ValueError(f"{message_class.__name__} already has a handler")
        self.by_class[message_class] = handler


class Link:
    """One authenticated stream to a peer.

    Attributes
    ----------
    peer : Identity
        Identity of the other end, proved by the handshake.
    sent_bytes, received_bytes : int
        Bytes so far.
    sent_frames : int
        Frames written so far.
    received_at : float
        Monotonic time in seconds at which bytes last arrived.
    asked : bool
        Whether a request was sent since then.
    """

    def __init__(self, stream, peer: Identity, handlers: Handlers):
        self.stream = stream
        self.peer = peer
        self.handlers = handlers
        self.sent_bytes = 0
        self.sent_frames = 0
        self.received_bytes = 0
        self.received_at = time.monotonic()
        self.asked = False
        self.closed = False
        self._ids = itertools.count(1)
        self._pending: dict[int, asyncio.Future] = {}
        self._tasks: set[asyncio.Task] = set()

    def send(self, message: t.Any) -> None:
        """Send a one-way message without a guarantee of delivery.

        Raises
        ------
        errors.LinkClosedError, errors.LinkOverloadedError
            If the message was certainly not written to the stream.
        """
        frame = wire.encode(wire.ONE_WAY, 0, message)
        self._write(frame, wire.tag_of(type(message)))

    def send_encoded(self, frame: bytes, tag: str) -> None:
        """Send a one-way frame that was encoded once for many links.

        Parameters
        ----------
        tag : str
            Tag of the message in the frame.

        Raises
        ------
        errors.LinkClosedError, errors.LinkOverloadedError
            As :meth:`send`.
        """
        self._write(frame, tag)

    async def call(self, message: t.Any, timeout: float | None) -> t.Any:
        """Send a request and return its reply.

        Parameters
        ----------
        message : object
            A registered message.
        timeout : float or None
            Seconds to wait for the reply; None to wait until the link closes.

        Raises
        ------
        errors.AmaranthringError
            Whatever the peer's handler raised, as the same type.
        errors.LinkClosedError, errors.LinkTimeoutError
            If no reply arrived; the peer may still have run the request.
        """
        call_id = next(self._ids)
        future = asyncio.get_running_loop().create_future()
        self._pending[call_id] = future
        try:
            self._ask(call_id, message)
            # Unlike wait_for, it does not swallow a cancellation in the step
            # in which the reply arrives; unlike asyncio.timeout, it leaves a
            # reply that arrives in the step of the timeout.
            await asyncio.wait({future}, timeout=timeout)
            if not future.done():
                raise errors.LinkTimeoutError(
                    f"no reply from {self.peer.name} in {timeout} s"
                )
            return future.result()
        finally:
            self._pending.pop(call_id, None)

    def request_encoded(self, tag: str, body: bytes) -> asyncio.Future:
        """Send a request whose body was encoded once for many links.

        Parameters
        ----------
        tag : str
            Tag of the message in `body`.

        Returns
        -------
        asyncio.Future
            Reply; or the error of the peer's handler, or ``LinkClosedError``.

        Raises
        ------
        errors.LinkClosedError, errors.LinkOverloadedError
            As :meth:`send`.
        """
        call_id = next(self._ids)
        frame = wire.encode_frame(wire.REQUEST, call_id, tag, body)
        self._write(frame, tag)
        reply = asyncio.get_running_loop().create_future()
        self._pending[call_id] = reply
        self.asked = True
        return reply

    def ask(self, message: t.Any) -> None:
        """Send a request whose reply only shows that the peer answers.

        Raises
        ------
        errors.LinkClosedError, errors.LinkOverloadedError
            As :meth:`send`.
        """
        self._ask(next(self._ids), message)

    def _ask(self, call_id: int, message: t.Any) -> None:
        frame = wire.encode(wire.REQUEST, call_id, message)
        self._write(frame, wire.tag_of(type(message)))
        self.asked = True

    def close(self) -> None:
        """Close the stream; pending calls fail with LinkClosedError."""
        if self.closed:
            return
        self.closed = True
        self.stream.close()
        for future in self._pending.values():
            if not future.done():
                future.set_exception(
                    errors.LinkClosedError(f"link to {self.peer.name} closed")
                )
                # Marks the exception as retrieved, as the caller may have
                # been cancelled.
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
                self.received_at = time.monotonic()
                self.asked = False
                self.handlers.received_bytes += len(data)
                unpacker.feed(data)
        except STREAM_ERRORS:
            pass
        except (errors.FrameError, msgpack.UnpackException, ValueError) as e:
            log.warning("link.bad-frame peer={} fault={}", self.peer.name, e)
        except Exception:
            # The peers link anew, and bring each other up to date.
            log.exception("link.failed peer={}", self.peer.name)
        finally:
            self.close()

    def has_unsent_bytes(self) -> bool:
        """Return whether the send buffer holds unsent bytes."""
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
            self._reply(
                frame,
                errors.FrameError(
                    "no handler for this message",
                    given=type(frame.message).__name__,
                    expected="a message for this role",
                ),
            )
            return
        try:
            result = handler(self, frame.message)
        except errors.AmaranthringError as error:
            self._reply(frame, error)
            return
        except Exception:
            log.exception("link.handler-failed peer={}", self.peer.name)
            self._reply(frame, errors.InternalError("handler failed"))
            return
        if inspect.isawaitable(result):
            task = asyncio.ensure_future(self._reply_when_done(frame, result))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            if inspect.iscoroutine(result):
                # A task cancelled before its first step never awaits the
                # coroutine; closing it avoids a warning on standard error.
                task.add_done_callback(lambda _: result.close())
        else:
            self._reply(frame, result)

    async def _reply_when_done(self, frame: wire.Frame, pending) -> None:
        try:
            self._reply(frame, await pending)
        except errors.AmaranthringError as error:
            self._reply(frame, error)
        except Exception:
            log.exception("link.handler-failed peer={}", self.peer.name)
            self._reply(frame, errors.InternalError("handler failed"))

    def _reply(self, frame: wire.Frame, result: t.Any) -> None:
        if frame.kind != wire.REQUEST:
            return
        try:
            tag, data = _encode_reply(frame.call_id, result)
        except Exception:
            log.exception("link.reply-failed peer={}", self.peer.name)
            error = errors.InternalError("the reply cannot be encoded")
            tag, data = _encode_reply(frame.call_id, error)
        try:
            self._write(data, tag)
        except errors.LinkError:
            # Closing the link tells the peer that the outcome is unknown.
            self.close()

    def _resolve(self, frame: wire.Frame) -> None:
        future = self._pending.pop(frame.call_id, None)
        if future is None or future.done():
            return
        if frame.kind == wire.ERROR:
            future.set_exception(frame.message)
        else:
            future.set_result(frame.message)


def _encode_reply(call_id: int, result: t.Any) -> tuple[str, bytes]:
    """Return the tag and the frame of a reply, or of an error."""
    if isinstance(result, errors.AmaranthringError):
        return "error", wire.encode(wire.ERROR, call_id, result)
    tag = "done" if result is None else wire.tag_of(type(result))
    return tag, wire.encode(wire.REPLY, call_id, result)


async def open_link(
    stream, identity, keys, side, handlers
) -> tuple[Link, t.Any]:
    """Authenticate both ends and return the link with its unpacker.

    Raises
    ------
    errors.HandshakeError
        If the handshake fails or takes too long; the stream is closed.
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
        raise errors.HandshakeError("handshake did not complete") from error
    return Link(stream, peer, handlers), unpacker


class LinkServer(tornado.tcpserver.TCPServer):
    """Accepts links from peers, each served by its own task.

    Parameters
    ----------
    identity : Identity
        Identity of this process.
    keys : Keys
        Fleet keys.
    handlers : Handlers
        Handlers of incoming messages.
    on_link, on_close : callable, optional
        Called with each link after its handshake and after its close.
    intake : intake.Intake, optional
        Of the process.
    """

    def __init__(
        self,
        identity,
        keys,
        handlers,
        on_link=None,
        on_close=None,
        intake=None,
    ):
        super().__init__(max_buffer_size=wire.MAX_FRAME_BYTES * 2)
        self.intake = intake or intakes.Intake()
        self.identity = identity
        self.keys = keys
        self.handlers = handlers
        self.on_link = on_link
        self.on_close = on_close
        self.links: set[Link] = set()
        self.closed = False

    async def handle_stream(self, stream, address):
        """Authenticate and serve one connection until it closes."""
        unbounded = stream
        stream = bounded_streams.accept(
            stream, self.intake, bounded_streams.BoundedLinkStream
        )
        if stream is None:
            log.warning("link.turned-away address={}", address)
            unbounded.close()
            return
        stream.set_nodelay(True)
        stream.max_write_buffer_size = SEND_BUFFER_BYTES
        try:
            link, unpacker = await open_link(
                stream, self.identity, self.keys, "server", self.handlers
            )
        except errors.HandshakeError as error:
            log.warning("link.refused address={} fault={}", address, error)
            return
        stream.share.mark_authenticated()
        if self.closed:
            # The handshake completed after `close_all`; a link served now
            # would keep the process from exiting.
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
    """Maintains one link to one peer, reconnecting with bounded backoff.

    Parameters
    ----------
    address : str
        ``host:port`` of the peer's fleet listener.
    on_link, on_close : callable, optional
        Called with each new link, before any other use of it, and after
        its close.
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
        self.replacement: tuple[Link, msgpack.Unpacker] | None = None
        self.client = tornado.tcpclient.TCPClient()
        self.task: asyncio.Task | None = None
        self.stopped = False

    def start(self) -> None:
        """Start the task that maintains the link."""
        self.task = background.keep_running(f"link {self.address}", self.run)

    def stop(self) -> None:
        """Cancel the task and close the link."""
        # wait_for swallows a cancellation that arrives in the step in which
        # the handshake completes; without this flag the task would go on.
        self.stopped = True
        if self.task:
            self.task.cancel()
        if self.link:
            self.link.close()
        if self.replacement:
            self.replacement[0].close()

    async def replace(self, link: Link) -> bool:
        """Dial anew beside `link`, which is silent, then close it.

        It stays open if the peer cannot be reached anew, or if bytes arrive
        on it meanwhile: a new connection may need longer than the next
        retransmission on the old one.

        Returns
        -------
        bool
            Whether `link` was replaced.
        """
        received_at = link.received_at
        try:
            replacement = await self._connect()
        except (errors.HandshakeError, *STREAM_ERRORS):
            return False
        heard = link.received_at != received_at
        if self.stopped or heard or self.link is not link:
            replacement[0].close()
            return False
        self.replacement = replacement
        link.close()
        return True

    async def run(self) -> None:
        """Connect, serve the link, and reconnect until stopped."""
        backoff = INITIAL_BACKOFF_SECONDS
        while not self.stopped:
            try:
                link, unpacker = await self._next_link()
            except (errors.HandshakeError, *STREAM_ERRORS):
                # Jitter keeps routers from reconnecting to a restarted peer
                # all at once.
                await asyncio.sleep(backoff * random.uniform(0.5, 1.0))
                backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)
                continue
            if self.stopped:
                link.close()
                return
            connected_at = time.monotonic()
            self.link = link
            try:
                if self.on_link:
                    self.on_link(link)
                await link.serve(unpacker)
            finally:
                link.close()
                self.link = None
                if self.on_close:
                    self.on_close(link)
            if self.replacement:
                continue
            if time.monotonic() - connected_at > STABLE_SECONDS:
                backoff = INITIAL_BACKOFF_SECONDS
            # Only a link that lasted resets the backoff, so a peer that
            # accepts and closes at once is not retried in a tight loop.
            await asyncio.sleep(backoff * random.uniform(0.5, 1.0))
            backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)

    def send(self, message: t.Any) -> bool:
        """Send a one-way message; return whether it was written to a link."""
        if self.link is None:
            return False
        try:
            self.link.send(message)
        except errors.LinkError:
            return False
        return True

    async def call(self, message: t.Any, timeout: float | None) -> t.Any:
        """Send a request to the peer and return its reply.

        Parameters
        ----------
        message, timeout
            As for :meth:`Link.call`.

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

    async def _next_link(self) -> tuple[Link, msgpack.Unpacker]:
        replacement, self.replacement = self.replacement, None
        return replacement or await self._connect()

    async def _connect(self) -> tuple[Link, msgpack.Unpacker]:
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
