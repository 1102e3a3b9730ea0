"""Links between routers, and the list of live routers.

Inside a data centre every pair of routers keeps one link, dialled by the
router with the lower name. Between data centres only a few relays on each
side keep links; any other link is dialled on demand and closed when idle. A
router is live while frames arrive from it. Any frame counts; heartbeats are
sent only on links that are otherwise idle.

The live lists of different routers may differ for seconds. Code that places
work by this list must stay correct when two routers decide differently.
"""

import asyncio
import collections.abc
import time
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import background
from amaranthring.core import links
from amaranthring.core import logs
from amaranthring.core import metrics as metrics_module
from amaranthring.core import pauses
from amaranthring.core import periodic
from amaranthring.core import wire
from amaranthring.routers import peers as peers_module
from amaranthring.routers import relays

log = logbook.Logger(__name__)

TICK_SECONDS = 0.5
HEARTBEAT_SECONDS = 1.25
DEAD_SECONDS = 3.0
PAUSE_SECONDS = 1.5
IDLE_SECONDS = 30.0


class LoopbackLink:
    """Stands in for the link when this router calls itself."""

    def __init__(self, identity: links.Identity):
        self.peer = identity


class Mesh:
    """Links to the other routers.

    Parameters
    ----------
    identity : links.Identity
        This router.
    peers : list of settings.PeerAddress
        Every configured router; this one is skipped.
    keys : links.Keys
        Fleet keys.
    handlers : links.Handlers
        Message handlers; calls to this router itself use them directly.
    metrics : Metrics, optional
        Metrics of this process.
    clock : callable, optional
        Monotonic clock, in seconds.

    Notes
    -----
    The composition root creates the ``links.LinkServer`` with
    ``on_link=mesh.accept`` and ``on_close=mesh.remove_link``.
    """

    def __init__(
        self,
        identity: links.Identity,
        peers: collections.abc.Iterable,
        keys: links.Keys,
        handlers: links.Handlers,
        metrics: metrics_module.Metrics | None = None,
        clock: t.Callable[[], float] = time.monotonic,
    ):
        self.identity = identity
        self.keys = keys
        self.handlers = handlers
        self.metrics = metrics or metrics_module.Metrics()
        self.clock = clock
        self.leaving = False
        self.peers = {
            peer.name: peers_module.Peer(
                peer.name, peer.data_centre, peer.address
            )
            for peer in peers
            if peer.name != identity.name
        }
        data_centres = {peer.data_centre for peer in self.peers.values()}
        self._data_centres = sorted(data_centres | {identity.data_centre})
        self.remote_routers: dict[str, list[str]] = {}
        self.task: asyncio.Task | None = None
        self.pauses = pauses.PauseDetector(clock, PAUSE_SECONDS)
        self._callbacks: list[t.Callable[[], None]] = []
        self._link_callbacks: list[t.Callable[[peers_module.Peer], None]] = []
        self._live: dict[str | None, list[str]] = {}
        self._relays_by_pair: dict[tuple[str, str], list[str]] = {}
        self._loopback_link = LoopbackLink(identity)
        handlers.add(peers_module.Heartbeat, self._on_heartbeat)
        handlers.add(peers_module.RouterLeaving, self._on_leaving)

    # -- membership, calls and relays --

    def live(self, data_centre: str | None = None) -> list[str]:
        """Return sorted names of live routers, this one included.

        Parameters
        ----------
        data_centre : str, optional
            Only routers of this data centre; by default of all.
        """
        names = self._live.get(data_centre)
        if names is None:
            names = sorted(self._find_live(data_centre))
            self._live[data_centre] = names
        return list(names)

    def data_centre_of(self, name: str) -> str:
        """Return the data centre of the configured router `name`.

        Raises
        ------
        errors.NotFoundError
            If no such router is configured.
        """
        if name == self.identity.name:
            return self.identity.data_centre
        return self._peer(name).data_centre

    def data_centres(self) -> list[str]:
        """Return every data centre with a configured router, sorted."""
        return self._data_centres

    def send(self, name: str, message: t.Any) -> bool:
        """Send a one-way message; return whether a link accepted it."""
        if name == self.identity.name:
            self._deliver(message)
            return True
        peer = self._peer(name)
        peer.used_at = self.clock()
        if peer.link is None:
            self._dial(peer)
            return False
        try:
            peer.link.send(message)
        except errors.LinkError:
            self.metrics.count("mesh.sends_dropped")
            return False
        return True

    async def call(self, name: str, message: t.Any, timeout: float) -> t.Any:
        """Call router `name` and return its reply.

        Raises
        ------
        errors.LinkClosedError
            With outcome ``not-run`` if there is no link to it in time.
        errors.AmaranthringError
            As ``links.Link.call``.
        """
        if name == self.identity.name:
            return await self._call_self(message, timeout)
        peer = self._peer(name)
        peer.used_at = self.clock()
        if peer.link is None and peer.data_centre != self.data_centre:
            started = self.clock()
            await self._wait_for_link(peer, timeout)
            timeout -= self.clock() - started
        if peer.link is None:
            raise errors.LinkClosedError(
                f"no link to {name}", outcome=errors.Outcome.NOT_RUN
            )
        return await peer.link.call(message, timeout)

    def broadcast(self, message: t.Any) -> int:
        """Send a one-way message to every linked router of the data centre.

        A router that does not accept it is skipped and delays no other.

        Returns
        -------
        int
            Number of links that accepted the message.
        """
        data = wire.encode(wire.ONE_WAY, 0, message)
        accepted = 0
        for peer in self.neighbours():
            if peer.link is not None:
                tag = wire.tag_of(type(message))
                accepted += self._try_send(peer.link, data, tag)
        return accepted

    def relays(self, data_centre: str) -> list[str]:
        """Return the relays of `data_centre` to this data centre.

        For this data centre: its relays to any other. Rendezvous hashing
        over the live routers makes all routers with the same list agree,
        and replaces a dead relay by the next in order.
        """
        if data_centre != self.data_centre:
            return self._relays(data_centre, self.data_centre)
        names = set()
        for other in self.data_centres():
            if other != data_centre:
                names.update(self._relays(data_centre, other))
        return sorted(names)

    def is_relay_to(self, data_centre: str) -> bool:
        """Return whether this router is a relay to `data_centre`."""
        return self.identity.name in self.ordered_relays(data_centre)

    def ordered_relays(self, data_centre: str) -> list[str]:
        """Return this data centre's relays to another, in rendezvous order."""
        return self._relays(self.data_centre, data_centre)

    def subscribe(self, callback: t.Callable[[], None]) -> None:
        """Call `callback()` after each change of the live list."""
        self._callbacks.append(callback)

    def on_link(self, callback: t.Callable[[peers_module.Peer], None]) -> None:
        """Call `callback(peer)` for each new link."""
        self._link_callbacks.append(callback)

    @property
    def data_centre(self) -> str:
        """Return the data centre of this router."""
        return self.identity.data_centre

    def neighbours(self) -> list[peers_module.Peer]:
        """Return the other routers of this data centre."""
        here = self.data_centre
        return [p for p in self.peers.values() if p.data_centre == here]

    # -- links --

    def accept(self, link: links.Link) -> None:
        """Accept a link that a peer dialled; close one of an unknown peer."""
        if link.peer.role != "router":
            return
        peer = self.peers.get(link.peer.name)
        if peer is not None and peer.name < self.identity.name:
            # Two routers that dial each other at once would keep closing
            # each other's link; the link of the lower name wins.
            self._stop_dialling(peer)
        elif peer is not None and self._prefers_own_link(peer, link):
            link.close()
            return
        self._add_link(link, dialled_here=False)

    def remove_link(self, link: links.Link) -> None:
        """Remove a closed link."""
        peer = self.peers.get(link.peer.name)
        if peer is not None and peer.link is link:
            peer.link = None
            peer.linked.clear()
            self._live_changed()

    def set_remote_routers(self, data_centre: str, names: list[str]) -> None:
        """Set the live routers of another data centre."""
        known = [
            name
            for name in sorted(names)
            if name in self.peers
            and self.peers[name].data_centre == data_centre
        ]
        if self.remote_routers.get(data_centre, []) != known:
            self.remote_routers[data_centre] = known
            self._live_changed()

    def start(self) -> None:
        """Start dialling peers and monitoring links."""
        for peer in self.neighbours():
            if self.identity.name < peer.name:
                self._dial(peer)
        self._maintain_relays(self.clock())
        self.task = background.keep_running("mesh", self._run)

    def stop(self) -> None:
        """Stop all tasks and close all links."""
        if self.task:
            self.task.cancel()
        for peer in self.peers.values():
            if peer.dialler:
                peer.dialler.stop()
            if peer.link:
                peer.link.close()

    def leave(self) -> None:
        """Announce to every linked router that this one is leaving.

        All routers stop placing work on it at once. Its links stay up for
        requests in progress.
        """
        self.leaving = True
        message = peers_module.RouterLeaving(self.identity.incarnation)
        for peer in self.peers.values():
            if peer.link is not None:
                self.send(peer.name, message)
        self._live_changed()

    # -- internals --

    def _find_live(self, data_centre: str | None) -> list[str]:
        if data_centre is None:
            return [
                name
                for centre in self.data_centres()
                for name in self._find_live(centre)
            ]
        if data_centre != self.data_centre:
            return self.remote_routers.get(data_centre, [])
        found = [peer.name for peer in self.neighbours() if peer.is_live]
        if not self.leaving:
            found.append(self.identity.name)
        return found

    def _relays(self, data_centre: str, other: str) -> list[str]:
        pair = (data_centre, other)
        chosen = self._relays_by_pair.get(pair)
        if chosen is not None:
            return chosen
        names = self.live(data_centre)
        if names:
            self._relays_by_pair[pair] = relays.choose(
                names, data_centre, other
            )
            return self._relays_by_pair[pair]
        peers = [
            peer
            for peer in self.peers.values()
            if peer.data_centre == data_centre
        ]
        names = relays.dial_candidates(peers, self.clock())
        return relays.choose(names, data_centre, other)

    def _peer(self, name: str) -> peers_module.Peer:
        peer = self.peers.get(name)
        if peer is None:
            raise errors.NotFoundError(
                "no such router", given=name, expected="a configured router"
            )
        return peer

    def _dial(self, peer: peers_module.Peer) -> None:
        if peer.dialler is not None:
            return
        peer.dialled_at = self.clock()
        peer.dialler = links.Dialler(
            peer.address,
            self.identity,
            self.keys,
            self.handlers,
            on_link=self._add_link,
            on_close=self.remove_link,
        )
        peer.dialler.start()

    def _stop_dialling(self, peer: peers_module.Peer) -> None:
        dialler, peer.dialler = peer.dialler, None
        if dialler is not None:
            dialler.stop()

    def _prefers_own_link(
        self, peer: peers_module.Peer, link: links.Link
    ) -> bool:
        """Return whether the link that this end dialled wins over `link`."""
        if peer.link is None or not peer.dialled_here:
            return False
        return link.peer.incarnation == peer.incarnation

    async def _wait_for_link(
        self, peer: peers_module.Peer, timeout: float
    ) -> None:
        self._dial(peer)
        try:
            await asyncio.wait_for(peer.linked.wait(), timeout)
        except TimeoutError:
            self.metrics.count("mesh.dials_late")

    def _add_link(self, link: links.Link, dialled_here: bool = True) -> None:
        peer = self.peers.get(link.peer.name)
        if peer is None or peer.data_centre != link.peer.data_centre:
            log.warning("mesh.stranger peer={}", link.peer)
            link.close()
            return
        if peer.link is not None and link.peer.incarnation < peer.incarnation:
            # A replaced process that still runs must not displace its live
            # successor. Without a live link an older incarnation is
            # accepted, since the VM's clock may have been set back.
            link.close()
            return
        peer.incarnation = link.peer.incarnation
        previous, peer.link = peer.link, link
        peer.dialled_here = dialled_here
        peer.linked.set()
        peer.received_at = self.clock()
        peer.received_bytes = 0
        peer.sent_bytes = 0
        peer.sent_at = peer.received_at
        if previous is not None:
            previous.close()
        logs.event(log, "router.linked", name=peer.name)
        self._live_changed()
        if self.leaving:
            self.send(
                peer.name,
                peers_module.RouterLeaving(self.identity.incarnation),
            )
        for callback in self._link_callbacks:
            callback(peer)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS)
            periodic.run_step(self.tick, "mesh.ticks", self.metrics)

    def tick(self) -> None:
        """Drop dead links, send heartbeats and close idle links."""
        now = self.clock()
        paused = self.pauses.check()
        for peer in self.peers.values():
            if peer.link is not None:
                self._check_link(peer, now, paused)
            elif peer.data_centre != self.data_centre:
                self._drop_idle(peer, now)
        self._maintain_relays(now)

    def _check_link(
        self, peer: peers_module.Peer, now: float, paused: bool
    ) -> None:
        link = peer.link
        if link.received_bytes != peer.received_bytes or paused:
            # After a pause of this process, unread frames wait in the
            # sockets; the peers must not be taken for dead.
            peer.received_bytes = link.received_bytes
            peer.received_at = now
        if now - peer.received_at > DEAD_SECONDS:
            self.metrics.count("mesh.peers_silent")
            logs.event(log, "router.silent", name=peer.name)
            link.close()
            self.remove_link(link)
            return
        if link.sent_bytes != peer.sent_bytes:
            peer.sent_bytes = link.sent_bytes
            peer.sent_at = now
        elif now - peer.sent_at > HEARTBEAT_SECONDS:
            self._try_send(link, _HEARTBEAT, _HEARTBEAT_TAG)
        self._drop_idle(peer, now)

    def _drop_idle(self, peer: peers_module.Peer, now: float) -> None:
        if peer.data_centre == self.data_centre or peer.dialler is None:
            return
        if now - peer.used_at > IDLE_SECONDS:
            self._stop_dialling(peer)

    def _maintain_relays(self, now: float) -> None:
        for data_centre in self.data_centres():
            if data_centre == self.data_centre or not self.is_relay_to(
                data_centre
            ):
                continue
            if self.data_centre > data_centre:
                continue
            for name in self._relays(data_centre, self.data_centre):
                peer = self.peers[name]
                peer.used_at = now
                if relays.should_redial(peer, now):
                    self._stop_dialling(peer)
                self._dial(peer)

    def _try_send(self, link: links.Link, data: bytes, tag: str) -> bool:
        try:
            link.send_encoded(data, tag)
        except errors.LinkError:
            self.metrics.count("mesh.sends_dropped")
            return False
        return True

    def _deliver(self, message: t.Any) -> t.Any:
        handler = self.handlers.by_class.get(type(message))
        if handler is None:
            raise errors.FrameError(
                "no handler for this message",
                given=type(message).__name__,
                expected="a message for this role",
            )
        return handler(self._loopback_link, message)

    async def _call_self(self, message: t.Any, timeout: float) -> t.Any:
        result = self._deliver(message)
        if not asyncio.iscoroutine(result) and not asyncio.isfuture(result):
            return result
        try:
            return await asyncio.wait_for(result, timeout)
        except TimeoutError as error:
            raise errors.LinkTimeoutError(
                f"no reply from {self.identity.name} in {timeout} s"
            ) from error

    def _on_heartbeat(self, _link, _message) -> None:
        pass

    def _on_leaving(self, link, message: peers_module.RouterLeaving) -> None:
        peer = self.peers.get(link.peer.name)
        if peer is None or peer.incarnation != message.incarnation:
            return
        peer.leaving_incarnation = message.incarnation
        logs.event(log, "router.leaving", name=peer.name)
        self._live_changed()

    def _live_changed(self) -> None:
        self._live.clear()
        self._relays_by_pair.clear()
        for callback in self._callbacks:
            callback()


_HEARTBEAT = wire.encode(wire.ONE_WAY, 0, peers_module.Heartbeat())
_HEARTBEAT_TAG = wire.tag_of(peers_module.Heartbeat)
