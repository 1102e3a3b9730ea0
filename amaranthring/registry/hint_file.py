"""Keeps what a keeper knows without its log in a file, across a power loss.

After all routers and keepers lose power at once, the engines still hold their
prefix caches and keep serving, but no process knows the locations, the
targets, or which requests crash them. Each keeper writes these to a file every
few seconds. The file is only a hint: an old, missing or damaged one costs
recomputed prompts, targets that are found one announcement later, and a few
more crashes, so no failure here stops a keeper.
"""

import asyncio
import concurrent.futures
import dataclasses
import pathlib
import time
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import logs
from amaranthring.core import wire
from amaranthring.keepers import disk
from amaranthring.policy import crash_evidence
from amaranthring.registry import crash_ledger
from amaranthring.registry import messages
from amaranthring.registry import sharing
from amaranthring.registry import stream_ledger
from amaranthring.registry import targets

log = logbook.Logger(__name__)

# Bounds what a power loss can lose. A sync occupies a disk for 5 ms, 0.2% of
# the time at this interval.
WRITE_SECONDS = 2.0
# Pause after each write, so that targets that leave one after the other do not
# keep the disk and the processor busy.
PAUSE_SECONDS = 0.05
# Interval at which an unchanged file is rewritten to refresh its age.
REWRITE_SECONDS = 10.0
# Targets in an older file have mostly been replaced. The age is wall-clock
# time, which may have been adjusted; a wrong age costs no more than a missing
# file.
MAX_TARGETS_AGE_SECONDS = 30.0


@wire.message("registry-hints")
class Hints:
    """Content of the file.

    Attributes
    ----------
    written_at : float
        Wall-clock time in seconds.
    places : list of list of str
        Pairs of prompt part and target, the oldest first.
    targets : list of TargetRecord
        Targets that were not silent, with those that had left of late.
    tokens : dict of str to int
        As in :class:`sharing.Report`, for `places`.
    condemned : list of Verdict
        Features of requests that are refused for good.
    runs : list of Run
        Runs that ended with their targets.
    moved : dict of str to float
        Routes that began to lead to other services so many seconds before.
    releases : dict of str to dict of str to float
        By service, the releases that served so many seconds before.
    knows_history : bool
        Whether `moved` and `releases` were complete.
    """

    written_at: float
    places: list[list[str]]
    targets: list[messages.TargetRecord]
    tokens: dict[str, int] = dataclasses.field(default_factory=dict)
    condemned: list[crash_evidence.Verdict] = dataclasses.field(
        default_factory=list
    )
    runs: list[crash_evidence.Run] = dataclasses.field(default_factory=list)
    moved: dict[str, float] = dataclasses.field(default_factory=dict)
    releases: dict[str, dict[str, float]] = dataclasses.field(
        default_factory=dict
    )
    knows_history: bool = False


class HintFile:
    """File of what an exchange, a table and two ledgers hold.

    Parameters
    ----------
    path : path
        In a directory that exists.
    trusted_age : float
        Age in seconds that targets from the file get in the table. A target
        that is not heard from within the rest of the silence timeout counts
        as silent.
    files : disk.FileOps
        System calls.
    wall : callable
        Wall-clock time in seconds.
    """

    def __init__(
        self,
        path: pathlib.Path,
        exchange: sharing.Exchange,
        table: targets.TargetTable,
        crashes: crash_ledger.CrashLedger,
        streams: stream_ledger.StreamLedger,
        trusted_age: float = 0.0,
        files: disk.FileOps | None = None,
        wall: t.Callable[[], float] = time.time,
    ):
        self.path = pathlib.Path(path)
        self.exchange = exchange
        self.table = table
        self.crashes = crashes
        self.streams = streams
        self.trusted_age = trusted_age
        self.files = files or disk.FileOps()
        self.wall = wall
        self.written: t.Any = None
        self.written_at = float("-inf")
        self.faulty = False
        self.places: list[list[str]] = []
        self.tokens: dict[str, int] = {}
        self.place_pairs: set[tuple[str, ...]] = set()
        self.places_at = float("-inf")
        self.is_urgent = asyncio.Event()
        # Writes in a thread, so that a stalled disk blocks neither the event
        # loop nor the log.
        self.thread = concurrent.futures.ThreadPoolExecutor(1, "hints")

    def load(self) -> None:
        """Load the file into the exchange, the table and the ledger."""
        try:
            data = disk.verify_checksum(self.path.read_bytes(), self.path)
            decoded = wire.decode_value(data)
            hints = wire.decode_message(wire.tag_of(Hints), decoded)
        except FileNotFoundError:
            return
        except (OSError, ValueError, TypeError, errors.AmaranthringError) as e:
            log.warning("hints.unreadable fault={}", e)
            return
        self.exchange.merge_tokens(hints.tokens)
        self.exchange.store_locations(hints.places)
        age = self.wall() - hints.written_at
        recent = hints.targets if abs(age) <= MAX_TARGETS_AGE_SECONDS else []
        self.table.restore(recent, self.trusted_age)
        self.streams.routes.merge(hints.moved)
        # As if no time had passed: the wall clock may have been set meanwhile,
        # and a release that is forgotten too early costs more.
        self.streams.releases.merge(hints.releases)
        if hints.knows_history:
            self.streams.learn_history("hints")
        self.crashes.restore(hints.condemned, hints.runs, max(0.0, age))
        logs.event(
            log,
            "hints.loaded",
            age_seconds=round(age, 1),
            places=len(hints.places),
            targets=len(recent),
            condemned=len(hints.condemned),
        )

    async def run(self) -> None:
        """Write changes until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await self._wait()
            hints = self._hints()
            comparable = self._comparable(hints)
            due = hints.written_at - self.written_at >= REWRITE_SECONDS
            if comparable == self.written and not due:
                continue
            error = await loop.run_in_executor(self.thread, self._write, hints)
            self._record_result(error)
            if error is None:
                self.written, self.written_at = comparable, hints.written_at
            await asyncio.sleep(PAUSE_SECONDS)

    async def _wait(self) -> None:
        """Wait until the next write is due."""
        try:
            async with asyncio.timeout(WRITE_SECONDS):
                await self.is_urgent.wait()
        except TimeoutError:
            pass
        self.is_urgent.clear()

    def write_soon(self) -> None:
        """Write without waiting for the interval."""
        self.is_urgent.set()

    def _find_places(self) -> None:
        """Collect the locations of prompts, unless that was done just now.

        It is most of the work, and may happen for each target that leaves.
        """
        now = self.exchange.clock()
        if now - self.places_at < WRITE_SECONDS:
            return
        self.places_at = now
        self.places = self.exchange.recent_locations()
        self.tokens = self.exchange.tokens_of(self.places)
        self.place_pairs = {tuple(pair) for pair in self.places}

    def _hints(self) -> Hints:
        self._find_places()
        active = [
            record for record in self.table.records() if not record.silent
        ]
        history = self.streams.history()
        return Hints(
            self.wall(),
            self.places,
            active,
            self.tokens,
            self.crashes.condemned(),
            self.crashes.runs(),
            history.moved,
            history.releases,
            history.is_known,
        )

    def _comparable(self, hints: Hints) -> t.Any:
        """Return the content whose change makes the file worth rewriting."""
        return (
            self.place_pairs,
            {
                (record.id, record.state, record.release)
                for record in hints.targets
            },
            {
                (verdict.fingerprint, *verdict.together)
                for verdict in hints.condemned
            },
            {(run.fingerprint, run.target) for run in hints.runs},
            set(hints.moved),
            {(name, *releases) for name, releases in hints.releases.items()},
            hints.knows_history,
        )

    def _write(self, hints: Hints) -> OSError | None:
        data = disk.with_checksum(wire.encode_value(hints))
        try:
            disk.replace_file(self.path, data, self.files)
        except OSError as error:
            return error
        return None

    def _record_result(self, error: OSError | None) -> None:
        if (error is not None) != self.faulty:
            self.faulty = error is not None
            log.warning("hints.disk fault={}", error or "none")

    def close(self) -> None:
        """Shut down the writer thread."""
        self.thread.shutdown(wait=False, cancel_futures=True)
