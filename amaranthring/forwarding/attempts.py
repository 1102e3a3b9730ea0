"""A single attempt to have a request run by one target."""

import asyncio
import re
import time
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import logs
from amaranthring.core import notices
from amaranthring.forwarding import answer_memory
from amaranthring.forwarding import events
from amaranthring.forwarding import records
from amaranthring.forwarding import responses
from amaranthring.registry import messages
from amaranthring.targets import pool
from amaranthring.targets import upstream

log = logbook.Logger(__name__)

MAX_BODY_BYTES = 16 * 1024 * 1024
# Connecting takes a few milliseconds unless the target's VM has lost power or
# the network is partitioned. The request can then still go elsewhere.
CONNECT_SECONDS = 0.15
# Maximum idle time of a reused connection, for idempotent requests and for
# others. On a broken connection a request that may run only once is lost; a
# new connection fails before the request is sent.
IDEMPOTENT_IDLE_SECONDS = 5.0
IDLE_SECONDS = 2.0
KEEP_ALIVE = re.compile(r"timeout=(\d+)")
# Maximum number of responses to other requests that are skipped before the
# one that is awaited.
MAX_FOREIGN_RESPONSES = 2
EVENT_STREAM = "text/event-stream"
# Outcome of an attempt whose request is cancelled meanwhile.
UNFINISHED = "unfinished"
# Bounds the log line of a response to another request.
MAX_LOGGED_ID = 64


class Attempt:
    """An attempt to send a request to one target.

    Parameters
    ----------
    resume_after : str
        Id of the last event that the caller received.
    copy_from : str
        Address of the target to copy a cached prefix from; empty for none.
    reuse_connection : bool
        Whether a pooled connection may be used.
    before_send : callable
        Called right before the request is sent; raises to prevent it.
    on_notice : callable
        Called with the status and the notice of each response of the target.
    answers : AnswerMemory
        Limit on the answers that are held until they are whole.

    Attributes
    ----------
    exchange : upstream.Exchange
        The HTTP exchange; `exchange.sent` tells whether the target may have
        run the request.
    head : ResponseHead or None
        Head of the response to this request, once received.
    sent_at : float
        Monotonic seconds at which the request was sent; 0 before.
    run : Run
        The run as it is counted at the target.
    opening : asyncio.Task or None
        Reads on until the answer is under way, if a hedge began the attempt.
    ahead : bytes
        First bytes of the body, read before the attempt took over.
    in_charge : bool
        Whether its answer goes to the caller; false while it is a hedge.
    was_late : bool
        Whether its target was recorded as late.
    outcome : str
        For the log.
    """

    def __init__(
        self,
        context: records.RequestContext,
        target: messages.TargetRecord,
        dialect: records.Dialect,
        resume_after: str,
        connections: pool.Pool,
        copy_from: str,
        reuse_connection: bool,
        before_send: t.Callable[[], None],
        on_notice: t.Callable[[int, notices.Notice], None],
        answers: answer_memory.AnswerMemory,
    ):
        self.context = context
        self.target = target
        self.dialect = dialect
        self.resume_after = resume_after
        self.connections = connections
        self.exchange = upstream.Exchange(target, CONNECT_SECONDS)
        self.head: records.ResponseHead | None = None
        self.sent_at = 0.0
        self.run = records.Run(target)
        self.opening: asyncio.Task | None = None
        self.ahead = b""
        self.in_charge = False
        self.was_late = False
        self.outcome = UNFINISHED
        self.copy_from = copy_from
        self.reuse_connection = reuse_connection
        self.before_send = before_send
        self.on_notice = on_notice
        self.memory = answers.share(self.exchange.abort)

    async def open(
        self, timeout: t.Callable[[], float]
    ) -> records.ResponseHead:
        """Send the request and return the head of the response.

        Parameters
        ----------
        timeout : callable
            Returns the seconds to wait for the head; asked when the request
            is sent.

        Raises
        ------
        errors.UpstreamError
            If there is no valid head; its `outcome` tells whether the request
            may have run.
        """
        await self._connect()
        self.before_send()
        left = self.context.deadline - time.monotonic()
        incoming = self.context.incoming
        info = records.AttemptInfo(
            self.target,
            self.context.account,
            left,
            self.resume_after,
            self.copy_from,
        )
        call = upstream.Call(
            incoming.method,
            incoming.uri,
            self.dialect.request_headers(incoming, info),
            incoming.body,
            keep_alive=True,
        )
        self.exchange.write_call(call, min(timeout(), max(left, 0.0)))
        self.sent_at = time.monotonic()
        self.context.sent_after.append(self.sent_at - incoming.arrived)
        await self._read_head()
        self._check_head()
        return self.head

    async def _connect(self) -> None:
        connection = None
        # Without an id its response cannot be told from a late one.
        if self.reuse_connection and self.context.incoming.request_id:
            idempotent = self.context.route.idempotent
            idle = IDEMPOTENT_IDLE_SECONDS if idempotent else IDLE_SECONDS
            connection = await self.connections.acquire(self.target.id, idle)
        if connection is not None:
            self.exchange.reuse(*connection)
            return
        await self.exchange.connect()
        pool.set_ack_timeout(self.exchange.writer)

    async def _read_head(self) -> None:
        """Read the head of the response to this request.

        Nothing that another response says counts for the request. What it
        says of the target does, if it is one to some request.
        """
        exchange = self.exchange
        for _ in range(1 + MAX_FOREIGN_RESPONSES):
            await exchange.read_head()
            head = self.dialect.read_response(
                exchange.status, exchange.headers
            )
            is_own = head.request_id == self.context.incoming.request_id
            if (is_own or head.request_id) and not head.other_target:
                self.on_notice(head.status, head.notice)
            if is_own:
                self.head = head
                return
            self._log_foreign(head)
            if "close" in exchange.headers.get("Connection", "").lower():
                break
            await exchange.skip_body(MAX_BODY_BYTES)
        raise errors.ForeignResponseError(
            "no response to this request",
            given=head.request_id or "a response without an id",
            expected=self.context.incoming.request_id,
        )

    def _log_foreign(self, head: records.ResponseHead) -> None:
        logs.event(
            log,
            "response.foreign",
            id=self.context.incoming.request_id,
            target=self.target.id,
            given=head.request_id[:MAX_LOGGED_ID],
            status=head.status,
            refused=head.refused,
            reused=self.exchange.reused,
        )

    def _check_head(self) -> None:
        head = self.head
        if head.other_target:
            raise errors.WrongTargetError(
                "another target has taken over the address",
                given=self.target.address,
            )
        if head.refused:
            raise errors.TargetRefusedError(
                "the target refused the request",
                given=head.status,
                expected="a response",
                retry_after=1.0,
            )
        if not head.signed or head.encoded:
            raise errors.UpstreamError(
                "response is unsigned or has a content coding",
                given=head.status,
                expected="a signed response without content coding",
            )

    @property
    def is_unanswered(self) -> bool:
        """Return whether the request was sent and nothing came back."""
        return self.exchange.sent and self.head is None

    @property
    def is_event_stream(self) -> bool:
        """Return whether the response is a successful event stream."""
        content_type = self.exchange.headers.get("Content-Type", "")
        return self.head.status == 200 and content_type.startswith(
            EVENT_STREAM
        )

    async def read_ahead(self) -> None:
        """Read what shows that the response is under way.

        That is the first event of a stream, and the whole body of others.

        Raises
        ------
        errors.UpstreamError
            If the response ends before that.
        """
        if not self.is_event_stream:
            self.ahead = await self._read_all()
            return
        while (
            events.EVENT_END not in self.ahead
            and len(self.ahead) <= events.MAX_EVENT_BYTES
        ):
            data = await self.exchange.read()
            if not data and self.ahead:
                raise errors.TruncatedResponseError(
                    "the stream ended within its first event",
                    given=len(self.ahead),
                    expected="complete events",
                )
            if not data:
                return
            self.ahead += data
            self.memory.hold(len(self.ahead))

    async def read_body(self) -> bytes:
        """Return the complete body of the response.

        Raises
        ------
        errors.UpstreamError
            If the body is incomplete.
        """
        if self.opening is not None:
            return self.ahead
        left = self.context.deadline - time.monotonic()
        self.exchange.set_timeout(max(left, 0.0))
        return await self._read_all()

    async def _read_all(self) -> bytes:
        if self.exchange.length is None:
            return await self.exchange.read_all(
                MAX_BODY_BYTES, unframed=True, on_data=self.memory.grow
            )
        await self.memory.reserve(min(self.exchange.length, MAX_BODY_BYTES))
        return await self.exchange.read_all(MAX_BODY_BYTES)

    async def relay_events(
        self,
        splitter: events.EventSplitter,
        writer: responses.ResponseWriter,
        timeout: float,
        on_events: t.Callable[[], None],
    ) -> None:
        """Forward all events of the response to the caller.

        Parameters
        ----------
        timeout : float
            Seconds between two events after which the target is late.
        on_events : callable
            Called before events are passed on.

        Raises
        ------
        errors.UpstreamError
            If the stream broke off; only complete events were forwarded.
        errors.CallerDisconnectedError
            If the caller has closed its connection.
        """
        self.exchange.set_timeout(timeout)
        while data := self._take_ahead() or await self.exchange.read():
            self.exchange.note_progress(time.monotonic())
            complete = splitter.feed(data)
            self.memory.hold(len(splitter.partial))
            if not complete:
                continue
            on_events()
            self.exchange.paused = True
            if writer.status:
                await writer.write(complete)
            else:
                head = self.head
                await writer.start_stream(head.status, head.headers, complete)
            self.exchange.paused = False
            self.exchange.note_progress(time.monotonic())
        if splitter.partial:
            self.exchange.broken_off = True
            raise errors.TruncatedResponseError(
                "the stream ended within an event",
                given=len(splitter.partial),
                expected="complete events",
            )

    def keep_memory(self) -> answer_memory.AnswerShare:
        """Return what the answer takes of the memory, to be released later."""
        memory = self.memory
        self.memory = memory.memory.share(self.exchange.abort)
        return memory

    def _take_ahead(self) -> bytes:
        data, self.ahead = self.ahead, b""
        return data

    def close(self, complete: bool) -> None:
        """End the attempt, and return its connection to the pool if possible.

        Parameters
        ----------
        complete : bool
            Whether the response was read completely. Otherwise the connection
            is closed, which makes the target stop its work.
        """
        self.memory.release()
        connection = self.exchange.release() if complete else None
        if connection is None:
            self.exchange.close()
            return
        keep_alive = KEEP_ALIVE.search(
            self.exchange.headers.get("Keep-Alive", "")
        )
        seconds = float(keep_alive[1]) if keep_alive else None
        self.connections.release(self.target.id, *connection, seconds)
