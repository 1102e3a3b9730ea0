"""Directory of prefix caches: which targets last ran each chat.

The directory is soft state, sharded by chat over the live routers of the
region. Losing a shard costs cache hits only: all routers fall back to the
same rendezvous order. A shard is an LRU map with a memory bound. It keeps
the last two targets of a chat; the earlier one is used when the last one is
gone or full.
"""

import asyncio
import collections
import collections.abc
import functools
import sys
import time

from amaranthring import errors
from amaranthring.core import hashing
from amaranthring.core import metrics as counters
from amaranthring.routers import admission_messages as messages

FIND_TIMEOUT_SECONDS = 0.1
BACKOFF_SECONDS = 1.0
ENTRY_BYTES = 320
SHARD_BYTES = 32 * 1024 * 1024
BUCKETS = 1024
LOCATIONS_KEPT = 2
BATCH_ENTRIES = 500
FLUSH_SECONDS = 0.05
MAX_UNSENT = 2000


@functools.lru_cache(maxsize=16384)
def bucket(key: str) -> int:
    """Return the bucket that `key` falls into."""
    return hashing.weight(key, "bucket") % BUCKETS


class Shards:
    """Maps keys to the live routers that hold their shard.

    Parameters
    ----------
    live : callable
        Returns the routers that hold shards.
    """

    def __init__(self, live: collections.abc.Callable[[], list[str]]):
        self.live = live
        self.by_bucket: dict[int, list[str]] = {}

    def invalidate(self) -> None:
        """Clear the cached assignment after the router list changed."""
        self.by_bucket.clear()

    def holders_of(self, key: str) -> list[str]:
        """Return the router that holds `key`, and its deputy."""
        number = bucket(key)
        holders = self.by_bucket.get(number)
        if holders is None:
            holders = hashing.order(f"shard {number}", self.live())[:2]
            self.by_bucket[number] = holders
        return holders


class Directory:
    """Shard of this router, and a client of the other shards.

    Parameters
    ----------
    name : str
        This router.
    mesh : object
        Links to the other routers.
    live : callable
        Returns the live routers of this region.
    suspicion : CrashTracker, optional
        Shard of suspects; lookups return its entry as well.
    """

    def __init__(
        self,
        name: str,
        mesh,
        live: collections.abc.Callable[[], list[str]],
        suspicion=None,
        metrics: counters.Metrics | None = None,
        bytes_most: int = SHARD_BYTES,
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ):
        self.name = name
        self.clock = clock
        self.mesh = mesh
        self.suspicion = suspicion
        self.metrics = metrics or counters.Metrics()
        self.max_entries = bytes_most // ENTRY_BYTES
        self.shards = Shards(live)
        self.locations: collections.OrderedDict[str, list[str]] = (
            collections.OrderedDict()
        )
        self.backoff_until: dict[str, float] = {}
        self.unsent: dict[str, dict[str, list[str]]] = {}
        self.keys_to_move: list[str] = []
        mesh.subscribe(self.routers_changed)

    def add_handlers(self, handlers) -> None:
        """Register this module's message handlers."""
        handlers.add(messages.FindLocations, self.on_find)
        handlers.add(messages.StoreLocations, self.on_store)

    # -- requests to other shards --

    async def find(
        self, key: str, fingerprint: str = ""
    ) -> messages.LocationsFound:
        """Return the locations of `key`; empty if no shard answers."""
        reply = await self._ask_shards(key, fingerprint)
        if self.suspicion is not None and fingerprint:
            reported = self.suspicion.reported_targets(fingerprint)
            reply.deaths = sorted({*reply.deaths, *reported})
        return reply

    async def _ask_shards(
        self, key: str, fingerprint: str
    ) -> messages.LocationsFound:
        ask = messages.FindLocations(key, fingerprint)
        for holder in self.shards.holders_of(key):
            if holder == self.name:
                return self.on_find(None, ask)
            if self.backoff_until.get(holder, 0.0) > self.clock():
                continue
            try:
                return await self.mesh.call(holder, ask, FIND_TIMEOUT_SECONDS)
            except errors.AmaranthringError:
                self.metrics.count("directory.silent")
                self.backoff_until[holder] = self.clock() + BACKOFF_SECONDS
        return messages.LocationsFound()

    def remember(self, key: str, target: str) -> None:
        """Store where `key` ran, without blocking or raising."""
        for holder in self.shards.holders_of(key)[:1]:
            if holder == self.name:
                self._store(key, [target])
                return
            batch = self.unsent.setdefault(holder, {})
            if len(batch) < MAX_UNSENT:
                batch[key] = [target]

    async def run(self) -> None:
        """Send stored locations in batches until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_SECONDS)
            self.flush()
            self.move_some()

    def flush(self) -> None:
        """Send every batch."""
        batches, self.unsent = self.unsent, {}
        for holder, locations in batches.items():
            if not self.mesh.send(holder, messages.StoreLocations(locations)):
                self.metrics.count("directory.unsent", len(locations))

    # -- this shard --

    def on_find(
        self, _link, ask: messages.FindLocations
    ) -> messages.LocationsFound:
        """Look up a chat in this shard."""
        targets = self.locations.get(ask.chat, [])
        if targets:
            self.locations.move_to_end(ask.chat)
        self.metrics.count("directory.hit" if targets else "directory.miss")
        reply = messages.LocationsFound(targets)
        if self.suspicion is not None and ask.fingerprint:
            suspect = self.suspicion.suspect_of(ask.fingerprint)
            if suspect is not None:
                reply.deaths = suspect.targets
                reply.condemned = suspect.condemned
                reply.pending = suspect.pending
        return reply

    def on_store(self, _link, message: messages.StoreLocations) -> None:
        """Store locations in this shard."""
        for key, targets in message.places.items():
            self._store(key, targets)

    def _store(self, key: str, targets: list[str]) -> None:
        previous = self.locations.get(key, [])
        # Interned names are shared, so an entry costs two references.
        newest = [sys.intern(target) for target in targets]
        older = [target for target in previous if target not in newest]
        self.locations[key] = (newest + older)[:LOCATIONS_KEPT]
        self.locations.move_to_end(key)
        while len(self.locations) > self.max_entries:
            self.locations.popitem(last=False)

    # -- changes of the router list --

    def routers_changed(self) -> None:
        """Start moving entries whose shard another router now holds."""
        self.shards.invalidate()
        self.backoff_until.clear()
        self.keys_to_move = list(self.locations)

    def move_some(self) -> int:
        """Move one batch of entries to their new shards; return its size.

        Small batches keep a change of the router list from delaying
        requests.
        """
        batch = self.keys_to_move[-BATCH_ENTRIES:]
        del self.keys_to_move[-BATCH_ENTRIES:]
        for key in batch:
            holder = next(iter(self.shards.holders_of(key)), self.name)
            if holder == self.name or key not in self.locations:
                continue
            locations = self.unsent.setdefault(holder, {})
            locations.setdefault(key, self.locations.pop(key))
        return len(batch)

    def hand_over(self) -> None:
        """Move all entries to other routers, on a graceful stop."""
        live = self.shards.live
        self.shards.live = lambda: [r for r in live() if r != self.name]
        self.shards.invalidate()
        self.keys_to_move = list(self.locations)
        while self.move_some():
            self.flush()
