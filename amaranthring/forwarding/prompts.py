"""Index of the targets that have cached each part of a prompt.

A router records where it sent each part and reports the location of shared
parts to the other routers through the keepers. Locations that are not used
for a while expire, as engines evict the least recently used entries.
"""

import collections
import dataclasses
import time
import typing as t

from amaranthring.forwarding import records
from amaranthring.registry import sharing

# Unused parts expire after this time, as engines may have evicted them: they
# keep about 40 prompts of 10,000 tokens.
# Keepers retain locations for as long.
RETENTION_SECONDS = sharing.RETENTION_SECONDS
# Locations in use are reported at this interval, so that they do not expire
# at other routers.
REPEAT_SECONDS = 10.0
MAX_PARTS = 20_000
# Prefill time of the longest prompts. Before it has passed, another engine
# would find nothing to copy.
PREFILL_SECONDS = 0.25


@dataclasses.dataclass
class Location:
    """A part of a prompt at one target.

    Attributes
    ----------
    last_used : float
        Monotonic seconds at which a request with the part was last sent to
        the target.
    cached_at : float
        Monotonic seconds from which the target is assumed to have cached it.
    """

    last_used: float
    cached_at: float


class PrefixIndex:
    """Locations of cached prompt parts, by part and target.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.

    Attributes
    ----------
    updates : list of tuple of str
        Pairs of part and target to report to the other routers.
    prefix_tokens : dict of str to int
        For each part in `updates`, the length of the longest prefix that it
        belongs to. A part is of use only with all parts before it.
    """

    def __init__(self, clock: t.Callable[[], float] = time.monotonic):
        self.clock = clock
        self.updates: list[tuple[str, str]] = []
        self.prefix_tokens: dict[str, int] = {}
        self._locations: collections.OrderedDict[str, dict[str, Location]] = (
            collections.OrderedDict()
        )
        self._reported_at: dict[tuple[str, str], float] = {}

    def uncached_tokens(
        self, parts: t.Sequence[records.PromptPart], target_id: str
    ) -> int:
        """Return how many tokens of `parts` the target has not cached.

        A part counts as cached only if all parts before it are.
        """
        oldest = self.clock() - RETENTION_SECONDS
        uncached = sum(part.tokens for part in parts)
        for part in parts:
            location = self._locations.get(part.id, {}).get(target_id)
            if location is None or location.last_used <= oldest:
                break
            uncached -= part.tokens
        return uncached

    def copyable_tokens(
        self, parts: t.Sequence[records.PromptPart], target_id: str
    ) -> int:
        """Return how many tokens of `parts` can be copied from the target.

        Parts that it has yet to prefill cannot be copied.
        """
        now = self.clock()
        tokens = 0
        for part in parts:
            location = self._locations.get(part.id, {}).get(target_id)
            if (
                location is None
                or location.last_used <= now - RETENTION_SECONDS
            ):
                break
            if location.cached_at > now:
                break
            tokens += part.tokens
        return tokens

    def mark_cached(
        self, parts: t.Sequence[records.PromptPart], target_id: str
    ) -> None:
        """Record that the target has cached all of `parts`."""
        now = self.clock()
        for part in parts:
            location = self._locations.get(part.id, {}).get(target_id)
            if location is not None:
                location.cached_at = min(location.cached_at, now)

    def record_sent(
        self, parts: t.Sequence[records.PromptPart], target_id: str
    ) -> None:
        """Record that a request with `parts` is sent to the target."""
        now = self.clock()
        for part in parts:
            self._add(part.id, target_id, now)
        # The last part is not shared with other requests.
        shared_tokens = sum(part.tokens for part in parts[:-1])
        for part in parts[:-1]:
            pair = (part.id, target_id)
            if (
                now - self._reported_at.get(pair, float("-inf"))
                > REPEAT_SECONDS
            ):
                self._reported_at[pair] = now
                self.updates.append(pair)
                known = self.prefix_tokens.get(part.id, 0)
                self.prefix_tokens[part.id] = max(known, shared_tokens)

    def merge(self, pairs: t.Iterable[t.Sequence[str]]) -> None:
        """Merge locations reported by another router.

        The report took two messages to arrive, so the target has prefilled
        the part by now.
        """
        now = self.clock()
        for part_id, target_id in pairs:
            self._reported_at[(part_id, target_id)] = now
            self._add(part_id, target_id, now)
            self._locations[part_id][target_id].cached_at = now

    def take_updates(self) -> list[tuple[str, str]]:
        """Return and clear the locations to report to the other routers."""
        updates, self.updates = self.updates, []
        self.prefix_tokens = {}
        return updates

    def prune(self, live: t.Container[str]) -> None:
        """Drop expired locations, and those of targets not in `live`."""
        oldest = self.clock() - RETENTION_SECONDS
        for part_id, locations in list(self._locations.items()):
            for target_id, location in list(locations.items()):
                if location.last_used <= oldest or target_id not in live:
                    del locations[target_id]
            if not locations:
                del self._locations[part_id]
        for pair, reported_at in list(self._reported_at.items()):
            if reported_at <= oldest:
                del self._reported_at[pair]

    def _add(self, part_id: str, target_id: str, now: float) -> None:
        locations = self._locations.setdefault(part_id, {})
        if target_id in locations:
            locations[target_id].last_used = now
        else:
            locations[target_id] = Location(now, now + PREFILL_SECONDS)
        self._locations.move_to_end(part_id)
        if len(self._locations) > MAX_PARTS:
            self._locations.popitem(last=False)
