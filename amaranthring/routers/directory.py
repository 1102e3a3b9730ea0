"""Directory of remembered places: where each chat's prefix was computed last.

The directory is soft and sharded by chat over the live routers of the
region. Losing a shard costs cache hits, never an answer: everyone falls back
to the same rendezvous order. A shard is bounded by bytes and forgets what
was asked for least lately. It knows the last two places of a chat: the copy
at the earlier one serves when the last one is gone or full.
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

FIND_SECONDS = 0.1
SILENT_SECONDS = 1.0
ENTRY_BYTES = 320
SHARD_BYTES = 32 * 1024 * 1024
BUCKETS = 1024
PLACES_KEPT = 2
BATCH_ENTRIES = 500
FLUSH_SECONDS = 0.05
UNSENT_MOST = 2000


@functools.lru_cache(maxsize=16384)
def bucket(key: str) -> int:
    """Return the bucket that `key` falls into."""
    return hashing.weight(key, "bucket") % BUCKETS


class Shards:
    """Which live router holds which bucket.

    Parameters
    ----------
    live : callable
        Returns the routers that hold shards.
    """

    def __init__(self, live: collections.abc.Callable[[], list[str]]):
        self.live = live
        self.holders: dict[int, list[str]] = {}

    def invalidate(self) -> None:
        """Forget what was worked out from an older list of routers."""
        self.holders.clear()

    def holders_of(self, key: str) -> list[str]:
        """Return the holder of `key` and its deputy."""
        number = bucket(key)
        found = self.holders.get(number)
        if found is None:
            found = hashing.order(f"shard {number}", self.live())[:2]
            self.holders[number] = found
        return found


class Directory:
    """The shard of this router, and its way to the others.

    Parameters
    ----------
    name : str
        This router.
    mesh : object
        Links to the other routers.
    live : callable
        Returns the live routers of this region.
    suspicion : Suspicion, optional
        Shard of suspects; its answer travels with the place's.
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
        self.entries_most = bytes_most // ENTRY_BYTES
        self.shards = Shards(live)
        self.locations: collections.OrderedDict[str, list[str]] = (
            collections.OrderedDict()
        )
        self.silent: dict[str, float] = {}
        self.unsent: dict[str, dict[str, list[str]]] = {}
        self.moving: list[str] = []
        mesh.subscribe(self.routers_changed)

    def add_handlers(self, handlers) -> None:
        """Answer this module's messages from `handlers`."""
        handlers.add(messages.FindLocations, self.on_find)
        handlers.add(messages.StoreLocations, self.on_remember)

    # -- towards other shards --

    async def find(
        self, key: str, fingerprint: str = ""
    ) -> messages.LocationsFound:
        """Return where `key` ran last; nothing if its shard is silent."""
        ask = messages.FindLocations(key, fingerprint)
        for holder in self.shards.holders_of(key):
            if holder == self.name:
                return self.on_find(None, ask)
            if self.silent.get(holder, 0.0) > self.clock():
                continue
            try:
                return await self.mesh.call(holder, ask, FIND_SECONDS)
            except errors.AmaranthringError:
                self.metrics.count("directory.silent")
                self.silent[holder] = self.clock() + SILENT_SECONDS
        return messages.LocationsFound()

    def remember(self, key: str, target: str) -> None:
        """Tell the shard of `key` where it ran; never blocks or fails."""
        for holder in self.shards.holders_of(key)[:1]:
            if holder == self.name:
                self._store(key, [target])
                return
            batch = self.unsent.setdefault(holder, {})
            if len(batch) < UNSENT_MOST:
                batch[key] = [target]

    async def run(self) -> None:
        """Send in batches what was remembered. Runs for ever."""
        while True:
            await asyncio.sleep(FLUSH_SECONDS)
            self.flush()
            self.move_some()

    def flush(self) -> None:
        """Send every batch."""
        batches, self.unsent = self.unsent, {}
        for holder, places in batches.items():
            if not self.mesh.send(holder, messages.StoreLocations(places)):
                self.metrics.count("directory.unsent", len(places))

    # -- this shard --

    def on_find(
        self, _link, ask: messages.FindLocations
    ) -> messages.LocationsFound:
        """Answer from this shard."""
        targets = self.locations.get(ask.chat, [])
        if targets:
            self.locations.move_to_end(ask.chat)
        self.metrics.count("directory.hit" if targets else "directory.miss")
        found = messages.LocationsFound(targets)
        if self.suspicion is not None and ask.fingerprint:
            suspect = self.suspicion.of(ask.fingerprint)
            if suspect is not None:
                found.deaths = suspect.deaths
                found.condemned = suspect.condemned
        return found

    def on_remember(self, _link, message: messages.StoreLocations) -> None:
        """Store places in this shard."""
        for key, targets in message.places.items():
            self._store(key, targets)

    def _store(self, key: str, targets: list[str]) -> None:
        known = self.locations.get(key, [])
        # Names are shared among entries, so an entry costs two references.
        newest = [sys.intern(target) for target in targets]
        older = [target for target in known if target not in newest]
        self.locations[key] = (newest + older)[:PLACES_KEPT]
        self.locations.move_to_end(key)
        while len(self.locations) > self.entries_most:
            self.locations.popitem(last=False)

    # -- changes of the router list --

    def routers_changed(self) -> None:
        """Begin to move entries whose shard is another router now."""
        self.shards.invalidate()
        self.silent.clear()
        self.moving = list(self.locations)

    def move_some(self) -> int:
        """Move one batch of entries to their new shards; return its size.

        Works in small batches, so that a change of the router list does not
        hold up requests.
        """
        batch = self.moving[-BATCH_ENTRIES:]
        del self.moving[-BATCH_ENTRIES:]
        for key in batch:
            holder = next(iter(self.shards.holders_of(key)), self.name)
            if holder == self.name or key not in self.locations:
                continue
            places = self.unsent.setdefault(holder, {})
            places.setdefault(key, self.locations.pop(key))
        return len(batch)

    def hand_over(self) -> None:
        """Move everything at once, on a graceful stop."""
        live = self.shards.live
        self.shards.live = lambda: [r for r in live() if r != self.name]
        self.shards.invalidate()
        self.moving = list(self.locations)
        while self.move_some():
            self.flush()
