"""Who holds an address, in a model of keepers, routers and targets.

``HOLDERS_SEED`` chooses the first random play, ``HOLDERS_COUNT`` their number.
"""

import dataclasses
import heapq
import itertools
import os
import random
import unittest

from amaranthring.registry import hub
from amaranthring.registry import messages
from amaranthring.registry import targets

SEED = int(os.environ.get("HOLDERS_SEED", "1"))
COUNT = int(os.environ.get("HOLDERS_COUNT", "60"))
ANNOUNCE_SECONDS = 1.2
FRESH_SECONDS = hub.FRESH_INTERVALS * ANNOUNCE_SECONDS
STEP_SECONDS = 0.1
TROUBLE_SECONDS = 25.0
# Time after the last late message in which all have to agree.
SETTLED_SECONDS = 6 * ANNOUNCE_SECONDS
MAX_LATE_SECONDS = 6.0
MAX_SKEW_SECONDS = 3.0
RESTART_SECONDS = 0.5
ADDRESSES = ("v:1", "v:2")


def announcement(target_id, address, sequence, state=messages.State.READY):
    return messages.TargetRecord(
        target_id, "s", address, "here", state=state, sequence=sequence
    )


@dataclasses.dataclass
class Incarnation:
    """A process of a target."""

    id: str
    address: str
    lives: bool = True
    left: bool = False
    sequence: int = 0
    next_at: float = 0.0


class Model:
    """Keepers and routers, and the messages between them."""

    def __init__(self, rng, keepers=3, routers=3):
        self.rng = rng
        self.now = 1000.0
        self.queue = []
        self.numbers = itertools.count()
        self.skews = [
            rng.uniform(-MAX_SKEW_SECONDS, MAX_SKEW_SECONDS)
            for _ in range(keepers)
        ]
        self.keepers = [self.new_keeper(n) for n in range(keepers)]
        self.routers = [self.new_router() for _ in range(routers)]
        self.gossiped = [{} for _ in range(keepers)]
        self.gossip_at = self.now
        self.down = set()

    def new_keeper(self, number):
        return targets.TargetTable(
            lambda: self.now,
            FRESH_SECONDS,
            lambda: self.now + self.skews[number],
        )

    def new_router(self):
        return targets.TargetTable(lambda: self.now, 0.0)

    def send(self, seconds, act, *arguments):
        """Have something arrive some `seconds` later."""
        item = (self.now + seconds, next(self.numbers), act, arguments)
        heapq.heappush(self.queue, item)

    def delay(self):
        return self.rng.uniform(0.0, 0.05)

    # -- what keepers do -------------------------------------------------

    def reached(self, keeper):
        """Return the keeper that gets a call; one that is down is passed."""
        while keeper in self.down:
            keeper = (keeper + 1) % len(self.keepers)
        return keeper

    def announce(self, keeper, record):
        keeper = self.reached(keeper)
        if self.keepers[keeper].merge(record):
            current = self.keepers[keeper].entries[record.id].record
            self.broadcast(keeper, [current])

    def leave(self, keeper, target_id):
        keeper = self.reached(keeper)
        record = self.keepers[keeper].mark_gone_by_name(target_id, 0)
        self.broadcast(keeper, [record])

    def broadcast(self, keeper, records):
        for other in range(len(self.keepers)):
            if other != keeper:
                self.send(self.delay(), self.tell_keeper, other, records)
        self.publish(records)

    def publish(self, records):
        for router in range(len(self.routers)):
            self.send(self.delay(), self.tell_router, router, records)

    def tell_keeper(self, keeper, records):
        if keeper in self.down:
            return
        table = self.keepers[keeper]
        changed = [r.id for r in records if table.adopt(r)]
        self.publish([table.entries[i].record for i in changed])

    def tell_router(self, router, records):
        for record in records:
            self.routers[router].adopt(record)

    def hear(self, keeper, sequences):
        if keeper in self.down:
            return
        table = self.keepers[keeper]
        for target_id, sequence in sequences.items():
            if table.record_heartbeat(target_id, sequence):
                self.broadcast(keeper, [table.entries[target_id].record])

    def gossip(self):
        for number, table in enumerate(self.keepers):
            current = {r.id: r.sequence for r in table.records()}
            known = self.gossiped[number]
            newer = {i: s for i, s in current.items() if s > known.get(i, -1)}
            self.gossiped[number] = current
            for other in range(len(self.keepers)):
                if other != number:
                    self.send(self.delay(), self.hear, other, newer)
        silent_after = hub.SILENT_INTERVALS * ANNOUNCE_SECONDS
        silent = self.keepers[0].mark_silent(silent_after)
        self.broadcast(0, silent)
        for table in self.keepers:
            table.remove_expired(hub.RETENTION_SECONDS)

    def restart_router(self, number):
        self.routers[number] = self.new_router()
        for table in self.keepers:
            self.send(self.delay(), self.tell_router, number, table.records())

    def restart_keeper(self, number):
        """Lose a keeper; its next process is linked a little later."""
        self.keepers[number] = self.new_keeper(number)
        self.gossiped[number] = {}
        self.down.add(number)
        self.send(RESTART_SECONDS, self.link_keeper, number)

    def link_keeper(self, number):
        self.down.discard(number)
        for other, table in enumerate(self.keepers):
            if other != number:
                records = table.records()
                self.send(self.delay(), self.tell_keeper, number, records)

    def run_until(self, end):
        while self.queue and self.queue[0][0] <= end:
            at, _, act, arguments = heapq.heappop(self.queue)
            self.now = max(self.now, at)
            act(*arguments)
        self.now = end
        if self.now >= self.gossip_at:
            self.gossip_at = self.now + hub.GOSSIP_SECONDS
            self.gossip()


class RandomPlay:
    """Targets that crash, start, leave and announce themselves late."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.model = Model(self.rng)
        self.incarnations = []
        self.numbers = itertools.count()
        self.started_at = dict.fromkeys(ADDRESSES, self.model.now)
        self.is_calm = False

    def play(self):
        model = self.model
        end = model.now + TROUBLE_SECONDS
        while model.now < end:
            for address in ADDRESSES:
                self.maybe_change(address)
            if self.rng.random() < 0.01:
                model.restart_router(self.rng.randrange(3))
            if self.rng.random() < 0.005 and len(model.down) < 2:
                model.restart_keeper(self.rng.randrange(3))
            self.step()
        self.is_calm = True
        end = model.now + MAX_LATE_SECONDS + SETTLED_SECONDS
        while model.now < end:
            self.step()

    def living(self, address):
        for incarnation in self.incarnations:
            if incarnation.lives and incarnation.address == address:
                return incarnation
        return None

    def maybe_change(self, address):
        living = self.living(address)
        if living is None:
            if self.model.now >= self.started_at[address]:
                name = f"t{next(self.numbers):02}-{self.rng.randrange(100)}"
                new = Incarnation(name, address, next_at=self.model.now)
                self.incarnations.append(new)
        elif self.rng.random() < 0.04:
            living.lives = False
            self.started_at[address] = self.model.now + self.rng.uniform(0, 3)
            if self.rng.random() < 0.4:
                living.left = True
                self.send(self.model.leave, living.id)

    def step(self):
        for incarnation in self.incarnations:
            due = incarnation.next_at <= self.model.now
            if incarnation.lives and due:
                incarnation.sequence += 1
                jitter = self.rng.uniform(0.9, 1.1)
                incarnation.next_at += ANNOUNCE_SECONDS * jitter
                record = announcement(
                    incarnation.id, incarnation.address, incarnation.sequence
                )
                self.send(self.model.announce, record)
        self.model.run_until(self.model.now + STEP_SECONDS)

    def send(self, act, argument):
        """Send something to a keeper; late, lost or doubled at times."""
        rng = self.rng
        is_leave = act == self.model.leave
        if not self.is_calm and not is_leave and rng.random() < 0.1:
            return
        for _ in range(1 if self.is_calm or rng.random() < 0.9 else 2):
            late = not self.is_calm and rng.random() < 0.3
            seconds = rng.uniform(0, MAX_LATE_SECONDS if late else 0.1)
            self.model.send(seconds, act, rng.randrange(3), argument)


class HoldersCase(unittest.TestCase):
    """What all tables have to know in the end."""

    def check(self, model, incarnations, what):
        for table in [*model.keepers, *model.routers]:
            active = {record.id for record in table.active()}
            for incarnation in incarnations:
                if incarnation.lives:
                    self.assertIn(incarnation.id, active, what)
                elif incarnation.left:
                    self.assertNotIn(incarnation.id, active, what)


class TestRandomPlays(HoldersCase):
    """Heartbeats that are late, doubled and lost, crashes and restarts."""

    def test_living_targets_are_known_everywhere(self):
        """Guards against an address that a dead incarnation keeps."""
        for seed in range(SEED, SEED + COUNT):
            play = RandomPlay(seed)
            play.play()
            self.check(play.model, play.incarnations, f"seed {seed}")


class TestAllOrders(HoldersCase):
    """Every order of a few messages, at either of two keepers."""

    def test_late_announcements_and_a_leave(self):
        """Guards against an order in which a dead incarnation wins."""
        dead = [announcement("dead", "v:1", n) for n in (1, 2, 40)]
        events = [*dead, announcement("lives", "v:1", 1), "leave"]
        lives = Incarnation("lives", "v:1", sequence=1)
        left = Incarnation("dead", "v:1", lives=False, left=True)
        for order in itertools.permutations(events):
            for keepers in itertools.product(range(2), repeat=len(events)):
                model = Model(random.Random(1), keepers=2, routers=1)
                for event, keeper in zip(order, keepers, strict=True):
                    if event == "leave":
                        model.leave(keeper, "dead")
                    else:
                        model.announce(keeper, event)
                    model.run_until(model.now + STEP_SECONDS)
                self.announce_on(model, lives)
                self.check(model, [lives, left], f"{order} at {keepers}")

    def test_late_announcements_without_a_leave(self):
        """Guards against a living incarnation that nobody gives way to."""
        dead = [announcement("dead", "v:1", n) for n in (1, 2, 40)]
        lives = Incarnation("lives", "v:1", sequence=2)
        living = [announcement("lives", "v:1", n) for n in (1, 2)]
        for order in itertools.permutations([*dead, *living]):
            for keepers in itertools.product(range(2), repeat=5):
                model = Model(random.Random(1), keepers=2, routers=1)
                for event, keeper in zip(order, keepers, strict=True):
                    model.announce(keeper, event)
                    model.run_until(model.now + STEP_SECONDS)
                self.announce_on(model, lives)
                self.check(model, [lives], f"{order} at {keepers}")

    def announce_on(self, model, incarnation):
        """Let the living incarnation announce itself a few times more."""
        for number in range(4):
            record = announcement(
                incarnation.id, "v:1", incarnation.sequence + 1 + number
            )
            model.announce(number % 2, record)
            model.run_until(model.now + ANNOUNCE_SECONDS)
