"""What a keeper remembers over a loss of power: prompt places and targets.

When all processes lose power at once the engines still hold their prompts
and go on serving, and nobody remembers where or which. A keeper writes both
down every few seconds. The file is a hint: one that is old, missing or
damaged costs prompts that are read again and targets that are found a beat
later, and nothing else, so no failure here stops a keeper.
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
from amaranthring.registry import messages
from amaranthring.registry import sharing
from amaranthring.registry import targets

log = logbook.Logger(__name__)

# What changed within the last seconds before a loss of power is lost; a
# sync takes a disk 5 ms, so this often it is busy for 0.2% of the time.
WRITE_SECONDS = 2.0
# Where nothing changes the file is still written this often, for its age.
REWRITE_SECONDS = 10.0
# Targets in an older file have mostly been replaced. By the time of day,
# which may have been set meanwhile: a wrong guess costs what no file does.
MAX_TARGETS_AGE_SECONDS = 30.0


@wire.message("registry-hints")
class Hints:
    """The content of the file.

    Attributes
    ----------
    written_at : float
        Time of day in seconds.
    places : list of list of str
        Pairs of part and target, the oldest first.
    targets : list of TargetRecord
        Those that were heard of.
    tokens : dict of str to int
        As in :class:`sharing.Report`, for `places`.
    """

    written_at: float
    places: list[list[str]]
    targets: list[messages.TargetRecord]
    tokens: dict[str, int] = dataclasses.field(default_factory=dict)


class HintFile:
    """Keeps the pairs of an exchange and the targets of a table in a file.

    Parameters
    ----------
    path : path
        In a folder that exists.
    trusted_age : float
        Age in seconds that targets from the file get in the table. What is
        not heard of within the rest of the time after which a target counts
        as silent is then silent.
    files : disk.Files
        System calls.
    wall : callable
        Time of day in seconds.
    """

    def __init__(
        self,
        path: pathlib.Path,
        exchange: sharing.Exchange,
        table: targets.TargetTable,
        trusted_age: float = 0.0,
        files: disk.FileOps | None = None,
        wall: t.Callable[[], float] = time.time,
    ):
        self.path = pathlib.Path(path)
        self.exchange = exchange
        self.table = table
        self.trusted_age = trusted_age
        self.files = files or disk.FileOps()
        self.wall = wall
        self.written: t.Any = None
        self.written_at = float("-inf")
        self.faulty = False
        # A disk that stalls must hold up neither the loop nor the log.
        self.thread = concurrent.futures.ThreadPoolExecutor(1, "hints")

    def load(self) -> None:
        """Hand what the file holds to the exchange and the table."""
        try:
            data = disk.verify_checksum(self.path.read_bytes(), self.path)
            plain = wire.decode_value(data)
            found = wire.decode_message(wire.tag_of(Hints), plain)
        except FileNotFoundError:
            return
        except (OSError, ValueError, TypeError, errors.AmaranthringError) as e:
            log.warning("hints.unreadable fault={}", e)
            return
        self.exchange.merge_tokens(found.tokens)
        self.exchange.store_locations(found.places)
        age = self.wall() - found.written_at
        known = found.targets if abs(age) <= MAX_TARGETS_AGE_SECONDS else []
        self.table.restore(known, self.trusted_age)
        logs.event(
            log,
            "hints.loaded",
            age_seconds=round(age, 1),
            places=len(found.places),
            targets=len(known),
        )

    async def run(self) -> None:
        """Write what changed until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(WRITE_SECONDS)
            hints = self._hints()
            held = self._held(hints)
            due = hints.written_at - self.written_at >= REWRITE_SECONDS
            if held == self.written and not due:
                continue
            fault = await loop.run_in_executor(self.thread, self._write, hints)
            self._note(fault)
            if fault is None:
                self.written, self.written_at = held, hints.written_at

    def _hints(self) -> Hints:
        heard = [one for one in self.table.active() if not one.silent]
        places = self.exchange.recent_locations()
        tokens = self.exchange.tokens_of(places)
        return Hints(self.wall(), places, heard, tokens)

    @staticmethod
    def _held(hints: Hints) -> t.Any:
        """Return what makes a file that is written worth replacing."""
        places = {tuple(pair) for pair in hints.places}
        return places, {(one.id, one.state) for one in hints.targets}

    def _write(self, hints: Hints) -> OSError | None:
        data = disk.with_checksum(wire.encode_value(hints))
        try:
            disk.replace_file(self.path, data, self.files)
        except OSError as error:
            return error
        return None

    def _note(self, fault: OSError | None) -> None:
        if (fault is not None) != self.faulty:
            self.faulty = fault is not None
            log.warning("hints.disk fault={}", fault or "none any more")

    def close(self) -> None:
        """Let the thread end."""
        self.thread.shutdown(wait=False, cancel_futures=True)
