"""Publishes targets to a keeper's routers: the whole table, then changes."""

import asyncio
import collections
import functools
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import links
from amaranthring.core import logs
from amaranthring.core import pacing
from amaranthring.core import wire
from amaranthring.registry import messages

log = logbook.Logger(__name__)

# Pause before a router that failed on targets gets all of them again. A whole
# table takes tens of kilobytes, and the router may fail on it each time.
NOT_TAKEN_SECONDS = 0.5
# From this many records on, compression makes the message smaller.
MIN_PACKED_RECORDS = 3


class TargetPublisher:
    """Sends the latest record of each changed target to the routers.

    Records wait while the link is busy and are then sent together: sent one
    by one, a whole table would take many times the bytes of its compressed
    form. Only departures are sent at once. Routers that have just linked are
    queued for the whole table, and so are those that answer that they failed
    on a change.

    Parameters
    ----------
    routers : callable
        Returns the links to send to.
    table : callable
        Returns all records.
    pacer : pacing.Pacer
        Of the keeper's link.
    """

    def __init__(
        self,
        routers: t.Callable[[], t.Iterable[links.Link]],
        table: t.Callable[[], list[messages.TargetRecord]],
        pacer: pacing.Pacer,
    ):
        self.routers = routers
        self.table = table
        self.pacer = pacer
        self.pending: dict[str, messages.TargetRecord] = {}
        self.departure_handle: asyncio.Handle | None = None
        self.flushes: list[asyncio.Future] = []
        self.new_routers: collections.deque[links.Link] = collections.deque()
        self.wake = asyncio.Event()

    def publish(self, records: list[messages.TargetRecord]) -> None:
        """Send `records` to all routers, departures ahead of all others.

        The others are sent as soon as there is room. A departure does not
        wait for room, as its target waits for the acknowledgement and
        requests go on to reach it.
        """
        self.pending.update((record.id, record) for record in records)
        if self.departure_handle is None and any(
            map(messages.leaves, records)
        ):
            loop = asyncio.get_running_loop()
            self.departure_handle = loop.call_soon(self._send_departures)
        self.wake.set()

    async def flush(self) -> None:
        """Wait until all departures so far are on their way to all routers.

        A router whose link cannot take them gets the whole table on its next
        link.
        """
        if any(map(messages.leaves, self.pending.values())):
            flush = asyncio.get_running_loop().create_future()
            self.flushes.append(flush)
            await flush

    def add_router(self, router: links.Link) -> None:
        """Send `router` all targets as soon as there is room."""
        self.new_routers.append(router)
        self.wake.set()

    async def run(self) -> None:
        """Publish until cancelled."""
        while True:
            await self.wake.wait()
            await self.pacer.acquire()
            if self.pending:
                self._send_pending(lambda _: True)
            elif self.new_routers:
                self._send_table()
            else:
                self.wake.clear()

    def _send_departures(self) -> None:
        self.departure_handle = None
        self._send_pending(messages.leaves)

    def _send_pending(
        self, is_due: t.Callable[[messages.TargetRecord], bool]
    ) -> None:
        records = list(filter(is_due, self.pending.values()))
        if records:
            self._send(list(self.routers()), *_encode(records))
        for record in records:
            # Kept until here, so that nothing is lost if sending fails.
            del self.pending[record.id]
        self._end_flushes()

    def _end_flushes(self) -> None:
        if any(map(messages.leaves, self.pending.values())):
            return
        flushes, self.flushes = self.flushes, []
        for flush in flushes:
            if not flush.done():
                flush.set_result(None)

    def _send_table(self) -> None:
        tag, body = wire.encode_body(messages.pack_targets(self.table()))
        while self.new_routers:
            self._send([self.new_routers.popleft()], tag, body)
            if not self.pacer.available():
                return

    def _send(self, routers: list[links.Link], tag: str, body: bytes) -> None:
        for link in routers:
            try:
                reply = link.request_encoded(tag, body)
            except errors.LinkError:
                # A router gets the whole table again on its next link.
                link.close()
                continue
            reply.add_done_callback(functools.partial(self._on_reply, link))

    def _on_reply(self, link: links.Link, reply: asyncio.Future) -> None:
        """Send a router that failed on targets all of them again."""
        error = None if reply.cancelled() else reply.exception()
        if error is None or link.closed:
            return
        logs.event(
            log, "targets.not-taken", router=link.peer.name, fault=str(error)
        )
        asyncio.get_running_loop().call_later(
            NOT_TAKEN_SECONDS, self._send_again, link
        )

    def _send_again(self, link: links.Link) -> None:
        if not link.closed and link not in self.new_routers:
            self.add_router(link)


def _encode(records: list[messages.TargetRecord]) -> tuple[str, bytes]:
    """Return the tag and the body of a message with changed `records`."""
    if len(records) >= MIN_PACKED_RECORDS:
        return wire.encode_body(messages.pack_targets(records))
    try:
        return wire.encode_body(messages.Targets(records))
    except (ValueError, OverflowError, TypeError):
        sendable = messages.sendable(records)
        return wire.encode_body(messages.Targets(sendable))


def broadcast(routers: t.Iterable[links.Link], message: t.Any) -> None:
    """Send `message`, encoded once, to all `routers`."""
    frame = wire.encode(wire.ONE_WAY, 0, message)
    for link in list(routers):
        try:
            link.send_encoded(frame, wire.tag_of(type(message)))
        except errors.LinkError:
            # A router gets the whole state again on its next link.
            link.close()
