"""The helper's side: sends requests of other routers on to targets."""

import asyncio
import dataclasses
import time
import typing as t

import logbook
import tornado.httputil

from amaranthring import errors
from amaranthring.core import background
from amaranthring.core import intake as intakes
from amaranthring.core import links
from amaranthring.core import logs
from amaranthring.forwarding import records
from amaranthring.handover import messages
from amaranthring.registry import messages as registry_messages

log = logbook.Logger(__name__)

# Bounds what a router does for others beside its own callers.
MAX_HELPED_REQUESTS = 64
# Less than what a link may hold unsent.
CHUNK_BYTES = 256 * 1024
DRAIN_POLL_SECONDS = 0.005
RETRY_BUSY_SECONDS = 0.3
# Time for ending the remaining requests, and for telling their routers.
END_SECONDS = 0.1
END_POLL_SECONDS = 0.005

Serve = t.Callable[
    [records.Incoming, "LinkWriter", records.Handover], t.Awaitable[None]
]


class LinkWriter:
    """Writes the response to one request to the link that it came on.

    Has the interface of :class:`forwarding.responses.ResponseWriter`.

    Attributes
    ----------
    status : int
        HTTP status; 0 before the head is written.
    started_at : float
        Monotonic seconds at which the head was written.
    finished : bool
        Whether the response is complete or was aborted.
    closing : bool
        Unused: the caller's connection is the router's matter.
    """

    def __init__(self, link: links.Link, number: int, terms: records.Handover):
        self.link = link
        self.number = number
        self.terms = terms
        self.status = 0
        self.started_at = 0.0
        self.finished = False
        self.closing = False

    async def send(
        self, status: int, headers: tornado.httputil.HTTPHeaders, body: bytes
    ) -> None:
        """Send a complete response."""
        await self.start_stream(status, headers, b"")
        for start in range(0, len(body), CHUNK_BYTES):
            await self.write(body[start : start + CHUNK_BYTES])
        self.finish()

    async def start_stream(
        self, status: int, headers: tornado.httputil.HTTPHeaders, data: bytes
    ) -> None:
        """Send the head and the first bytes of a streamed response."""
        self.status = status
        self.started_at = time.monotonic()
        pairs = messages.pack_headers(headers)
        binding = self.terms.binding
        head = messages.Head(self.number, status, pairs)
        if binding is not None:
            head.service, head.release = binding.service, binding.release
        self._send(head)
        if data:
            await self.write(data)

    async def write(self, data: bytes) -> None:
        """Send more bytes, once the ones before have left.

        Raises
        ------
        errors.CallerDisconnectedError
            If the link has closed.
        """
        while self.link.has_unsent_bytes():  # noqa: ASYNC110
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        self._send(messages.Data(self.number, data))

    def finish(self) -> None:
        """End the response."""
        self._end(None)

    def abort(self) -> None:
        """End the response as incomplete."""
        self._end(
            errors.TruncatedResponseError("the helper broke the answer off")
        )

    async def send_error(self, error: errors.AmaranthringError) -> None:
        """Send an error of this router, with what it knows of the run."""
        self.status = error.status
        self._end(error)

    def _end(self, error: errors.AmaranthringError | None) -> None:
        if self.finished:
            return
        self.finished = True
        record = None if error is None else error.to_record()
        try:
            self._send(
                messages.End(self.number, record, self.terms.attempts_after)
            )
        except errors.CallerDisconnectedError as gone:
            logs.event(log, "handover.unanswered", reason=str(gone))

    def _send(self, message: t.Any) -> None:
        try:
            self.link.send(message)
        except errors.LinkError as error:
            raise errors.CallerDisconnectedError(
                "the router has closed its link"
            ) from error


@dataclasses.dataclass
class _Helped:
    """A request that was handed over.

    Attributes
    ----------
    has_begun : bool
        Whether its task has begun.
    """

    incoming: records.Incoming
    terms: records.Handover
    writer: LinkWriter
    has_begun: bool = False
    task: asyncio.Task | None = None

    def interrupt(self, error: errors.AmaranthringError) -> None:
        """End the request with `error`."""
        self.incoming.interruption = error
        if self.has_begun:
            # A task that is cancelled before its first step never runs.
            self.task.cancel()


class HandoverServer:
    """Takes requests that other routers hand over.

    Parameters
    ----------
    serve : callable
        Handles one request.
    check : callable
        Called with the service and the plan's version; raises if this router
        cannot help.
    intake : intake.Intake, optional
        Of the process.

    Attributes
    ----------
    requests : dict
        Requests that have not ended, by link and number.
    """

    def __init__(
        self,
        identity: links.Identity,
        keys: links.Keys,
        serve: Serve,
        check: t.Callable[[str, int], None],
        intake: intakes.Intake | None = None,
    ):
        self.serve = serve
        self.check = check
        self.requests: dict[tuple[links.Link, int], _Helped] = {}
        handlers = links.Handlers()
        handlers.add(messages.HandOver, self._on_request)
        handlers.add(messages.Cancel, self._on_cancel)
        self.server = links.LinkServer(
            identity,
            keys,
            handlers,
            on_close=self._on_close,
            intake=intake,
        )

    def listen(self, sockets: list) -> None:
        """Accept links on the listening `sockets`."""
        self.server.add_sockets(sockets)

    async def end_requests(self) -> None:
        """End all requests, and tell their routers what became of them.

        A router that only sees its link close cannot tell whether a target
        has run a request, so it could not send it on elsewhere.
        """
        for helped in list(self.requests.values()):
            helped.interrupt(
                errors.ShuttingDownError("the helper is being stopped")
            )
        give_up_at = time.monotonic() + END_SECONDS
        while self.requests or self._has_unsent_bytes():
            if time.monotonic() >= give_up_at:
                logs.event(log, "handover.cut-off", running=len(self.requests))
                return
            await asyncio.sleep(END_POLL_SECONDS)

    def _has_unsent_bytes(self) -> bool:
        return any(link.has_unsent_bytes() for link in self.server.links)

    def stop(self) -> None:
        """Close all links."""
        self.server.close_all()

    def _on_request(
        self, link: links.Link, message: messages.HandOver
    ) -> messages.Accepted:
        if link.peer.role != registry_messages.ROUTER_ROLE:
            raise errors.ForbiddenError(
                "only routers may hand requests over",
                given=link.peer.role,
                expected="a router",
            )
        if len(self.requests) >= MAX_HELPED_REQUESTS:
            raise errors.QueueFullError(
                "this router helps with as many requests as it may",
                given=len(self.requests),
                expected=f"fewer than {MAX_HELPED_REQUESTS}",
                retry_after=RETRY_BUSY_SECONDS,
            )
        self.check(message.service, message.version)
        incoming = messages.unpack(message, time.monotonic())
        terms = records.Handover(
            link.peer.name,
            message.service,
            message.attempts_sent,
            binding=messages.binding_of(message),
        )
        logs.event(
            log,
            "handover.accepted",
            id=message.request_id,
            router=link.peer.name,
            service=message.service,
            release=message.release,
            helped=len(self.requests) + 1,
            seconds_left=round(message.seconds_left, 3),
        )
        writer = LinkWriter(link, message.number, terms)
        helped = _Helped(incoming, terms, writer)
        key = link, message.number
        self.requests[key] = helped
        helped.task = background.start("handover", self._run(helped))
        helped.task.add_done_callback(lambda _: self.requests.pop(key))
        return messages.Accepted(message.number, message.release)

    async def _run(self, helped: _Helped) -> None:
        helped.has_begun = True
        writer = helped.writer
        try:
            if helped.incoming.interruption is not None:
                await writer.send_error(helped.incoming.interruption)
                return
            await self.serve(helped.incoming, writer, helped.terms)
        except errors.CallerDisconnectedError:
            writer.abort()
        except asyncio.CancelledError:
            writer.abort()
        except Exception:
            log.exception("request.failed")
            writer.abort()

    def _on_cancel(self, link: links.Link, message: messages.Cancel) -> None:
        helped = self.requests.get((link, message.number))
        if helped is not None:
            helped.task.cancel()

    def _on_close(self, link: links.Link) -> None:
        for (of_link, _), helped in list(self.requests.items()):
            if of_link is link:
                helped.task.cancel()
