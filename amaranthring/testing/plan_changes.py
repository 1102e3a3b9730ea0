"""Operators that change and read plans in a soak, and what they were told."""

import asyncio
import dataclasses
import random
import time

from amaranthring.testing import disk_keeper
from amaranthring.testing import operator_calls

LINE_BYTES = 100
SMALL_LINES = 200
LARGE_LINES = (1000, 2000)
LARGE_SHARE = 0.06
BURST_SHARE = 0.05
BURST_CHANGES = 30
# Bounds of the pause between two changes of one operator, in seconds.
PAUSES = (0.02, 0.4)
CALM_PAUSES = (0.4, 1.2)
RETRY_SECONDS = 0.05


@dataclasses.dataclass
class Acknowledged:
    """A change of the plan and its acknowledgement, in Unix seconds."""

    version: int
    sent_at: float
    acked_at: float


class Operators:
    """Operators of one group of keepers.

    Attributes
    ----------
    sent : dict of int to str
        Digest of each plan that was sent, by version.
    acknowledged : list of Acknowledged
        In the order of the acknowledgements.
    problems : list of str
        Rules that an answer has broken.
    calm : bool
        Whether changes are small and come one by one.
    """

    def __init__(self, addresses: list[str], rng: random.Random):
        self.addresses = addresses
        self.rng = rng
        self.lines = [self._line() for _ in range(SMALL_LINES)]
        self.version = 0
        self.sent: dict[int, str] = {}
        self.acknowledged: list[Acknowledged] = []
        self.newest_acked = -1
        self.reads = 0
        self.problems: list[str] = []
        self.calm = False
        self.running = True
        self.changed = asyncio.Event()

    def _line(self) -> bytes:
        return self.rng.randbytes(LINE_BYTES // 4).hex().ljust(99).encode()

    def next_plan(self) -> tuple[int, bytes]:
        """Return the next version and its document."""
        if not self.calm and self.rng.random() < LARGE_SHARE:
            count = self.rng.randint(*LARGE_LINES)
            self.lines = [self._line() for _ in range(count)]
        elif len(self.lines) > SMALL_LINES:
            self.lines = self.lines[:SMALL_LINES]
        self.lines[self.rng.randrange(len(self.lines))] = self._line()
        self.version += self.rng.randint(1, 3)
        document = b"\n".join([b"%d" % self.version, *self.lines])
        self.sent[self.version] = disk_keeper.digest(document)
        return self.version, document

    async def change(
        self, operator: operator_calls.Operator, until: float = float("inf")
    ) -> None:
        """Put the next plan, at one keeper after the other, until it is in.

        Parameters
        ----------
        until : float
            Monotonic seconds after which it is given up.
        """
        version, document = self.next_plan()
        sent_at = time.time()
        keepers = self.rng.sample(self.addresses, len(self.addresses))
        while self.running and time.monotonic() < until:
            keepers.append(keepers.pop(0))
            status, body = await operator.call(
                keepers[-1], "POST", f"/{version}", document
            )
            if status == 200:
                if int(body) < version:
                    self.problems.append(f"{version} acknowledged as {body}")
                done = Acknowledged(version, sent_at, time.time())
                self.acknowledged.append(done)
                self.newest_acked = max(self.newest_acked, version)
                self.changed.set()
                return
            await asyncio.sleep(RETRY_SECONDS)

    async def change_often(self) -> None:
        """Change the plan in series and bursts until stopped."""
        operator = operator_calls.Operator(self.addresses)
        while self.running:
            count = 1
            if not self.calm and self.rng.random() < BURST_SHARE:
                count = BURST_CHANGES
            for _ in range(count):
                await self.change(operator)
            pauses = CALM_PAUSES if self.calm else PAUSES
            await asyncio.sleep(self.rng.uniform(*pauses))
        operator.close_all()

    async def change_many(self, count: int, seconds: float) -> None:
        """Make `count` changes without a pause, or as many as possible."""
        operator = operator_calls.Operator(self.addresses)
        end = time.monotonic() + seconds
        while count and self.running and time.monotonic() < end:
            await self.change(operator, end)
            count -= 1
        operator.close_all()

    async def read(self, operator, address: str) -> bool:
        """Read the plan once and check it; return whether one came."""
        before, asked_at = self.newest_acked, time.time()
        status, document = await operator.call(address, "GET")
        if status == 404 and before >= 0:
            self.problems.append(f"no plan at {asked_at}, acked {before}")
        if status != 200:
            return False
        version = disk_keeper.version_of(document)
        if version < before:
            self.problems.append(
                f"read {version} at {asked_at:.3f}, acked before: {before}"
            )
        self.check_digest(version, disk_keeper.digest(document), "read")
        self.reads += 1
        return True

    def check_digest(self, version: int, digest: str, where: str) -> None:
        """Check that a plan is one that was sent under its version."""
        if self.sent.get(version) != digest:
            self.problems.append(f"{where}: {version} is not what was sent")

    async def read_often(self) -> None:
        """Read from random keepers until stopped."""
        operator = operator_calls.Operator(self.addresses)
        while self.running:
            await self.read(operator, self.rng.choice(self.addresses))
            await asyncio.sleep(self.rng.uniform(0.05, 0.3))
        operator.close_all()
