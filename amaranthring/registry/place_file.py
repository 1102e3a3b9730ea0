"""Prompt places on a keeper's disk, for a start of the whole fleet.

When all processes lose power at once the engines still hold their prompts,
and nobody remembers where. A keeper writes what it knows every few seconds.
The file is a hint: one that is old, missing or damaged costs prompts that are
read again and nothing else, so no failure here stops a keeper.
"""

import asyncio
import concurrent.futures
import pathlib

import logbook

from amaranthring import errors
from amaranthring.core import wire
from amaranthring.keepers import disk
from amaranthring.registry import sharing

log = logbook.Logger(__name__)

# What changed within the last seconds before a loss of power is lost; a
# sync takes a disk 5 ms, so this often it is busy for 0.2% of the time.
WRITE_SECONDS = 2.0


class PlaceFile:
    """Keeps the pairs of an exchange in a file.

    Parameters
    ----------
    path : path
        In a folder that exists.
    files : disk.Files
        System calls.
    """

    def __init__(
        self,
        path: pathlib.Path,
        exchange: sharing.Exchange,
        files: disk.Files | None = None,
    ):
        self.path = pathlib.Path(path)
        self.exchange = exchange
        self.files = files or disk.Files()
        self.written: list[list[str]] = []
        self.faulty = False
        # A disk that stalls must hold up neither the loop nor the log.
        self.thread = concurrent.futures.ThreadPoolExecutor(1, "places")

    def load(self) -> None:
        """Hand what the file holds to the exchange."""
        try:
            data = disk.checked(self.path.read_bytes(), self.path)
            pairs = wire.decode_value(data)
            self.exchange.keep([[str(p), str(t)] for p, t in pairs])
        except FileNotFoundError:
            return
        except (OSError, ValueError, TypeError, errors.AmaranthringError) as e:
            log.warning("places.unreadable fault={}", e)

    async def run(self) -> None:
        """Write what changed until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(WRITE_SECONDS)
            pairs = sorted(self.exchange.all_kept())
            if pairs == self.written:
                continue
            fault = await loop.run_in_executor(self.thread, self._write, pairs)
            self._note(fault)
            if fault is None:
                self.written = pairs

    def _write(self, pairs: list[list[str]]) -> OSError | None:
        data = disk.with_checksum(wire.encode_value(pairs))
        try:
            disk.replace_file(self.path, data, self.files)
        except OSError as error:
            return error
        return None

    def _note(self, fault: OSError | None) -> None:
        if (fault is not None) != self.faulty:
            self.faulty = fault is not None
            log.warning("places.disk fault={}", fault or "none any more")

    def close(self) -> None:
        """Let the thread end."""
        self.thread.shutdown(wait=False, cancel_futures=True)
