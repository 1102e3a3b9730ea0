"""One attempt: a request to one target, and what is known when it fails."""

import re
import time
import typing as t

from amaranthring import errors
from amaranthring.forwarding import events
from amaranthring.forwarding import records
from amaranthring.forwarding import responses
from amaranthring.registry import messages
from amaranthring.targets import pool
from amaranthring.targets import upstream

ANSWER_BYTES_MOST = 16 * 1024 * 1024
# A connection within the fleet's network takes a few milliseconds. One that
# takes longer leads to a VM without power or behind a cut; the request has
# not been sent and has its time for another target.
CONNECT_SECONDS = 0.15
# How long a connection may have idled for a request that may run again, and
# for one that may not. On one that has gone bad meanwhile the second kind is
# lost, where a new connection would show before it is sent that the target
# is not there.
KEPT_IDEMPOTENT_SECONDS = 5.0
KEPT_SECONDS = 2.0
KEEP_ALIVE = re.compile(r"timeout=(\d+)")
# Answers of calls before this one that may stand before its own.
EXTRA_ANSWERS_MOST = 2
EVENT_STREAM = "text/event-stream"


class Attempt:
    """A request on its way to one target.

    Parameters
    ----------
    resume_after : str
        Number of the last event that the caller has.
    copy_from : str
        Address of a target from which this one copies the prompt, or empty.
    trusts_kept : bool
        Whether a kept connection to the target may be used.
    may_send : callable
        Called right before the request leaves; raises if it must not.

    Attributes
    ----------
    exchange : upstream.Exchange
        The connection; its `sent` says whether the target may have run it.
    answer : Answer or None
        Once its head came.
    """

    def __init__(
        self,
        passage: records.RequestContext,
        target: messages.TargetRecord,
        dialect: records.Dialect,
        resume_after: str,
        connections: pool.Pool,
        copy_from: str,
        trusts_kept: bool,
        may_send: t.Callable[[], None],
    ):
        self.context = passage
        self.target = target
        self.dialect = dialect
        self.resume_after = resume_after
        self.connections = connections
        self.exchange = upstream.Exchange(target, CONNECT_SECONDS)
        self.answer: records.ResponseHead | None = None
        self.copy_from = copy_from
        self.reuse_connection = trusts_kept
        self.before_send = may_send

    async def open(self, patience: float) -> records.ResponseHead:
        """Send the request and return the head of the answer.

        Parameters
        ----------
        patience : float
            Seconds to wait for the head.

        Raises
        ------
        errors.UpstreamError
            Without a usable head; its outcome says what is known.
        """
        await self._connect()
        self.before_send()
        left = self.context.deadline - time.monotonic()
        incoming = self.context.incoming
        sending = records.AttemptInfo(
            self.target,
            self.context.account,
            left,
            self.resume_after,
            self.copy_from,
        )
        call = upstream.Call(
            incoming.method,
            incoming.uri,
            self.dialect.request_headers(incoming, sending),
            incoming.body,
            keep_alive=True,
        )
        self.exchange.write_call(call, min(patience, max(left, 0.0)))
        await self._read_head()
        self._check_head()
        return self.answer

    async def _connect(self) -> None:
        held = None
        if self.reuse_connection:
            idempotent = self.context.route.idempotent
            idle = KEPT_IDEMPOTENT_SECONDS if idempotent else KEPT_SECONDS
            held = await self.connections.acquire(self.target.id, idle)
        if held is not None:
            self.exchange.reuse(*held)
            return
        await self.exchange.connect()
        pool.set_ack_timeout(self.exchange.writer)

    async def _read_head(self) -> None:
        exchange = self.exchange
        for _ in range(1 + EXTRA_ANSWERS_MOST):
            await exchange.read_head()
            self.answer = self.dialect.read_response(
                exchange.status, exchange.headers
            )
            if not exchange.reused or not self._is_of_another():
                return
            # A target that answered the call before twice: its second
            # answer stands before ours.
            await exchange.skip_body(ANSWER_BYTES_MOST)

    def _is_of_another(self) -> bool:
        named = self.answer.request_id
        return bool(named) and named != self.context.incoming.request_id

    def _check_head(self) -> None:
        answer = self.answer
        if answer.other_target:
            raise errors.OtherTargetError(
                "another target has the address", given=self.target.address
            )
        if answer.refused:
            raise errors.TargetRefusedError(
                "the target refused",
                given=answer.status,
                expected="an answer",
                retry_after=1.0,
            )
        # An answer to another request can come late on a connection, and a
        # target that breaks writes what is no answer of its own. Either
        # would reach the caller as a success with foreign content.
        if answer.request_id != self.context.incoming.request_id:
            raise errors.UpstreamError(
                "an answer to another request",
                given=answer.request_id,
                expected=self.context.incoming.request_id,
            )
        if not answer.signed or answer.encoded:
            raise errors.UpstreamError(
                "not an answer that the target made itself",
                given=answer.status,
                expected="a signed one without content coding",
            )

    @property
    def is_event_stream(self) -> bool:
        """Return whether the answer is a good event stream."""
        kind = self.exchange.headers.get("Content-Type", "")
        return self.answer.status == 200 and kind.startswith(EVENT_STREAM)

    async def whole(self) -> bytes:
        """Return the whole body of the answer.

        Raises
        ------
        errors.UpstreamError
            If it is not whole.
        """
        left = self.context.deadline - time.monotonic()
        self.exchange.set_timeout(max(left, 0.0))
        return await self.exchange.read_all(ANSWER_BYTES_MOST, unframed=True)

    async def relay_events(
        self,
        cutter: events.EventSplitter,
        reply: responses.ResponseWriter,
        pause: float,
    ) -> None:
        """Pass the events of the answer on to its end.

        Parameters
        ----------
        pause : float
            Seconds after which a silent target counts as broken.

        Raises
        ------
        errors.UpstreamError
            If the target broke off; whole events were passed on.
        errors.CallerGoneError
            If the caller has closed.
        """
        self.exchange.set_timeout(pause)
        while data := await self.exchange.read():
            self.exchange.note_progress(time.monotonic())
            ready = cutter.feed(data)
            if not ready:
                continue
            if reply.status:
                await reply.write(ready)
            else:
                answer = self.answer
                await reply.begin(answer.status, answer.headers, ready)
        if cutter.partial:
            raise errors.TruncatedAnswerError(
                "the stream ended within an event",
                given=len(cutter.partial),
                expected="whole events",
            )

    def close(self, whole: bool) -> None:
        """End the attempt; keep its connection if all of it is in order.

        Parameters
        ----------
        whole : bool
            Whether the answer was taken whole. Otherwise the connection is
            closed, and the target stops its work.
        """
        held = self.exchange.release() if whole else None
        if held is None:
            self.exchange.close()
            return
        stated = KEEP_ALIVE.search(self.exchange.headers.get("Keep-Alive", ""))
        seconds = float(stated[1]) if stated else None
        self.connections.release(self.target.id, *held, seconds)
