"""The router's side: hands requests over and receives their answers."""

import asyncio
import dataclasses
import itertools
import random
import time
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import links
from amaranthring.core import logs
from amaranthring.forwarding import records
from amaranthring.handover import messages
from amaranthring.targets import upstream

log = logbook.Logger(__name__)

# A helper acknowledges within a round trip. After this time the handover is
# given up, with an unknown outcome, as soon as another attempt may follow.
ACCEPT_SECONDS = 0.4
# Interval at which it is asked whether one may.
ASK_SECONDS = 0.05
# A helper that has refused is left alone for this time.
HELPER_PAUSE_SECONDS = 0.3
# Links are kept for this time after the last offer.
KEPT_SECONDS = 30.0
MAX_LINKS = 16


class Answer:
    """Answer to a request that was handed over.

    Parameters
    ----------
    helper : Helper
        Whom it was handed to.

    Attributes
    ----------
    received : asyncio.Queue
        Messages of the helper, or the error that ended the link.
    attempts_sent : int
        Number of targets that may have started to run the request, once the
        helper has said so.
    abort_error : AmaranthringError or None
        Why it was given up here.
    """

    def __init__(self, helper: "Helper", number: int):
        self.helper = helper
        self.number = number
        self.received: asyncio.Queue = asyncio.Queue()
        self.ended = False
        self.attempts_sent = 0
        self.abort_error: errors.AmaranthringError | None = None

    async def read_head(self) -> messages.Head:
        """Return the head of the target's response.

        Raises
        ------
        errors.AmaranthringError
            What the helper sent instead; its `outcome` tells whether a target
            may have run the request.
        """
        message = await self._next()
        if not isinstance(message, messages.Head):
            raise errors.TruncatedResponseError("the answer has no head")
        if message.status not in upstream.FINAL_STATUSES:
            # A helper of an earlier release passes any status on.
            raise upstream.invalid_status(message.status)
        return message

    async def read(self) -> bytes:
        """Return the next bytes of the body, or nothing at its end."""
        message = await self._next()
        return b"" if message is None else message.data

    async def read_all(self, on_data: t.Callable[[int], None]) -> bytes:
        """Return the rest of the body.

        Parameters
        ----------
        on_data : callable
            Called with the number of bytes of each part.
        """
        body = bytearray()
        try:
            while data := await self.read():
                body += data
                on_data(len(data))
            return bytes(body)
        finally:
            # An error's traceback holds this frame until it is collected.
            body.clear()

    def abort(self, error: errors.AmaranthringError) -> None:
        """Give the answer up; pending reads raise `error`."""
        self.abort_error = error
        self.received.put_nowait(error)

    async def _next(self) -> t.Any:
        """Return the next message, or None at the end."""
        if self.ended:
            return None
        message = await self.received.get()
        if self.abort_error is not None:
            raise self.abort_error
        if isinstance(message, errors.AmaranthringError):
            self.ended = True
            raise message
        if isinstance(message, messages.End):
            self.ended = True
            self.attempts_sent = message.attempts_sent
            if message.error is not None:
                raise errors.from_record(message.error)
            return None
        return message


@dataclasses.dataclass
class Helper:
    """A router that sends requests on.

    Attributes
    ----------
    offered_at : float
        Monotonic seconds of the last offer.
    paused_until : float
        Time until which it gets nothing, as it has refused.
    answers : dict of int to Answer
        Answers that it owes, by number.
    """

    address: str
    dialler: links.Dialler
    offered_at: float
    paused_until: float = 0.0
    answers: dict[int, Answer] = dataclasses.field(default_factory=dict)


class HandoverClient:
    """Hands requests to the helpers that keepers offer.

    Parameters
    ----------
    clock : callable
        Monotonic seconds.

    Attributes
    ----------
    helpers : dict of str to Helper
        By address.
    offers : dict of str to list of str
        Addresses of the helpers offered last, by service.
    """

    def __init__(
        self,
        identity: links.Identity,
        keys: links.Keys,
        clock: t.Callable[[], float] = time.monotonic,
    ):
        self.identity = identity
        self.keys = keys
        self.clock = clock
        self.helpers: dict[str, Helper] = {}
        self.offers: dict[str, list[str]] = {}
        self.numbers = itertools.count(1)
        self.handlers = links.Handlers()
        for kind in (messages.Head, messages.Data, messages.End):
            self.handlers.add(kind, self._on_message)

    def update(self, offers: dict[str, list[str]]) -> None:
        """Use the helpers that a keeper offers, by service."""
        now = self.clock()
        if offers != self.offers:
            logs.event(log, "helpers.offered", offers=offers)
        self.offers = offers
        for address in set(itertools.chain.from_iterable(offers.values())):
            if address in self.helpers:
                self.helpers[address].offered_at = now
            elif len(self.helpers) < MAX_LINKS:
                self._dial(address, now)
        for helper in list(self.helpers.values()):
            if now - helper.offered_at > KEPT_SECONDS and not helper.answers:
                helper.dialler.stop()
                del self.helpers[helper.address]

    def _dial(self, address: str, now: float) -> None:
        dialler = links.Dialler(
            address,
            self.identity,
            self.keys,
            self.handlers,
            on_close=lambda _: self._on_close(address),
        )
        self.helpers[address] = Helper(address, dialler, now)
        dialler.start()

    def stop(self) -> None:
        """Close all links."""
        for helper in self.helpers.values():
            helper.dialler.stop()

    def has_offers(self, service: str) -> bool:
        """Return whether any router is known to reach the service."""
        return bool(self.offers.get(service))

    def choose(self, service: str, tried: t.Collection[str]) -> Helper | None:
        """Return the helper that has the fewest requests from this router.

        Parameters
        ----------
        tried : collection of str
            Addresses of those that are not to be asked.
        """
        now = self.clock()
        usable = [
            helper
            for address in self.offers.get(service, ())
            if (helper := self.helpers.get(address)) is not None
            and helper.dialler.link is not None
            and helper.paused_until <= now
            and address not in tried
        ]
        random.shuffle(usable)
        return min(usable, key=lambda h: len(h.answers), default=None)

    async def begin(
        self,
        helper: Helper,
        context: records.RequestContext,
        seconds_left: float,
        resume_after: str,
        may_give_up: t.Callable[[], bool],
    ) -> Answer:
        """Hand a request over; return its answer, once it is accepted.

        Parameters
        ----------
        may_give_up : callable
            Returns whether another attempt may follow now; asked when the
            helper is late.

        Raises
        ------
        errors.AmaranthringError
            If it was not accepted; its `outcome` tells whether it may run all
            the same.
        """
        answer = Answer(helper, next(self.numbers))
        helper.answers[answer.number] = answer
        message = messages.pack(
            answer.number, context, seconds_left, resume_after
        )
        try:
            accepted = await _accepted(helper, message, may_give_up)
        except errors.AmaranthringError as error:
            if error.outcome == errors.Outcome.NOT_RUN:
                helper.paused_until = self.clock() + HELPER_PAUSE_SECONDS
            self.end(answer)
            raise
        except asyncio.CancelledError:
            self.end(answer)
            raise
        if accepted.release != message.release:
            # An older build, which may have begun to run the request.
            self.end(answer)
            raise errors.TruncatedResponseError(
                "the helper does not keep streams to a version",
                given=accepted.release,
                expected=message.release,
            )
        return answer

    def end(self, answer: Answer) -> None:
        """Stop waiting for an answer, which cancels it if there is more."""
        answer.helper.answers.pop(answer.number, None)
        if not answer.ended:
            answer.ended = True
            answer.helper.dialler.send(messages.Cancel(answer.number))

    def _on_message(self, _link: links.Link, message: t.Any) -> None:
        for helper in self.helpers.values():
            answer = helper.answers.get(message.number)
            if answer is not None:
                answer.received.put_nowait(message)
                return

    def _on_close(self, address: str) -> None:
        helper = self.helpers.get(address)
        if helper is None:
            return
        for answer in helper.answers.values():
            answer.received.put_nowait(
                errors.TruncatedResponseError(
                    "the link to the helper closed", given=address
                )
            )


async def _accepted(
    helper: Helper,
    message: messages.HandOver,
    may_give_up: t.Callable[[], bool],
) -> messages.Accepted:
    """Return the reply of a helper, unless it is late and may be given up."""
    calling = asyncio.ensure_future(helper.dialler.call(message, None))
    timeout = ACCEPT_SECONDS
    try:
        while not calling.done():
            await asyncio.wait({calling}, timeout=timeout)
            if not calling.done() and may_give_up():
                raise errors.LinkTimeoutError(
                    "the helper does not accept the request",
                    given=helper.address,
                )
            timeout = ASK_SECONDS
        return calling.result()
    finally:
        calling.cancel()
