"""Which targets hold which parts of prompts, as far as routers know.

A router remembers where it sent each part and tells the others, through the
keepers, about parts that several requests share. What is not used for a
while is forgotten: an engine drops what it used least recently.
"""

import collections
import dataclasses
import time
import typing as t

from amaranthring.forwarding import records
from amaranthring.registry import sharing

# Engines here keep about 40 prompts of 10,000 tokens; at the usual rates a
# part that nobody asked for in this time may have yielded to others.
# Keepers remember pairs for as long.
KEPT_SECONDS = sharing.RETENTION_SECONDS
# A pair that is in use is told again this often, so that the others do not
# forget it.
TELL_AGAIN_SECONDS = 10.0
PARTS_MOST = 20_000
# An engine reads the longest prompts in about this time; before, another
# engine would find nothing there to copy.
PREFILL_SECONDS = 0.25


@dataclasses.dataclass
class Place:
    """A part at a target.

    Attributes
    ----------
    used : float
        When a request last brought it there, in seconds of the clock.
    read_at : float
        When the target surely has read it.
    """

    used: float
    read_at: float


class PrefixIndex:
    """Targets by part of a prompt.

    Parameters
    ----------
    clock : callable
        Monotonic seconds.

    Attributes
    ----------
    news : list of tuple of str
        Pairs of part and target that the other routers should hear of.
    tokens : dict of str to int
        For each part in `news` the tokens of the longest beginning of a
        prompt that it is in: no part is found without those before it.
    """

    def __init__(self, clock: t.Callable[[], float] = time.monotonic):
        self.clock = clock
        self.updates: list[tuple[str, str]] = []
        self.prefix_tokens: dict[str, int] = {}
        self._places: collections.OrderedDict[str, dict[str, Place]] = (
            collections.OrderedDict()
        )
        self._told: dict[tuple[str, str], float] = {}

    def uncached_tokens(
        self, parts: t.Sequence[records.PromptPart], target_id: str
    ) -> int:
        """Return how many tokens of `parts` the target would have to read.

        A part is found only if all parts before it are.
        """
        oldest = self.clock() - KEPT_SECONDS
        left = sum(part.tokens for part in parts)
        for part in parts:
            place = self._places.get(part.id, {}).get(target_id)
            if place is None or place.used <= oldest:
                break
            left -= part.tokens
        return left

    def copyable_tokens(
        self, parts: t.Sequence[records.PromptPart], target_id: str
    ) -> int:
        """Return how many tokens of `parts` others can copy from the target.

        A part that it has yet to read cannot be copied.
        """
        now = self.clock()
        tokens = 0
        for part in parts:
            place = self._places.get(part.id, {}).get(target_id)
            if place is None or place.used <= now - KEPT_SECONDS:
                break
            if place.read_at > now:
                break
            tokens += part.tokens
        return tokens

    def mark_cached(
        self, parts: t.Sequence[records.PromptPart], target_id: str
    ) -> None:
        """Note that the target has read all of `parts`."""
        now = self.clock()
        for part in parts:
            place = self._places.get(part.id, {}).get(target_id)
            if place is not None:
                place.read_at = min(place.read_at, now)

    def record_sent(
        self, parts: t.Sequence[records.PromptPart], target_id: str
    ) -> None:
        """Note that a request with `parts` goes to a target."""
        now = self.clock()
        for part in parts:
            self._note(part.id, target_id, now)
        # The last part is the request's own: nobody else can use it.
        beginning = sum(part.tokens for part in parts[:-1])
        for part in parts[:-1]:
            pair = (part.id, target_id)
            if now - self._told.get(pair, float("-inf")) > TELL_AGAIN_SECONDS:
                self._told[pair] = now
                self.updates.append(pair)
                known = self.prefix_tokens.get(part.id, 0)
                self.prefix_tokens[part.id] = max(known, beginning)

    def merge(self, pairs: t.Iterable[t.Sequence[str]]) -> None:
        """Take what another router told.

        It was told when the request left, and took the way of two messages:
        by now the target has read the part.
        """
        now = self.clock()
        for part_id, target_id in pairs:
            self._told[(part_id, target_id)] = now
            self._note(part_id, target_id, now)
            self._places[part_id][target_id].read_at = now

    def take_updates(self) -> list[tuple[str, str]]:
        """Return what the other routers should hear of, once."""
        news, self.updates = self.updates, []
        self.prefix_tokens = {}
        return news

    def prune(self, live: t.Container[str]) -> None:
        """Drop what is old, and all of targets that are not in `live`."""
        oldest = self.clock() - KEPT_SECONDS
        for part_id, places in list(self._places.items()):
            for target_id, place in list(places.items()):
                if place.used <= oldest or target_id not in live:
                    del places[target_id]
            if not places:
                del self._places[part_id]
        for pair, told in list(self._told.items()):
            if told <= oldest:
                del self._told[pair]

    def _note(self, part_id: str, target_id: str, now: float) -> None:
        places = self._places.setdefault(part_id, {})
        if target_id in places:
            places[target_id].used = now
        else:
            places[target_id] = Place(now, now + PREFILL_SECONDS)
        self._places.move_to_end(part_id)
        if len(self._places) > PARTS_MOST:
            self._places.popitem(last=False)
