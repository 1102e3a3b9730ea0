"""Runs a case: its record, its exit code, and the end of all processes."""

import asyncio
import os
import pathlib
import sys
import time
import traceback

from standins import fleet as fleets

HELD = 0
BROKEN = 1
CANNOT_RUN = 2
MAX_SECONDS = 110.0


class Record:
    """Lines of ``record.txt``: what was sent, answered and run."""

    def __init__(self, path):
        self.path = path
        self.lines = []
        self.begun = time.time()

    def note(self, text, at=None):
        """Add a line with the seconds since the start."""
        seconds = (at or time.time()) - self.begun
        self.lines.append((seconds, text))

    def write(self):
        """Write all lines in the order of their times."""
        text = "".join(f"{s:9.3f}  {line}\n" for s, line in sorted(self.lines))
        self.path.write_text(text)


def has_trouble():
    """Return whether the disruption is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(folder, play):
    """Run `play` and exit with the code of the case.

    Parameters
    ----------
    play : callable
        ``async (fleet, record) -> str``; returns how the rule was broken, or
        an empty string.
    """
    record = Record(pathlib.Path(folder) / "record.txt")
    code = CANNOT_RUN
    try:
        code = asyncio.run(_run(record, play))
    except fleets.CannotRunError as error:
        record.note(f"cannot run: {error}")
    except Exception:
        record.note(f"cannot run: {traceback.format_exc()}")
    record.note(f"exit code {code}")
    record.write()
    print(record.lines[-2][1] if len(record.lines) > 1 else "")
    print(f"exit code {code}")
    sys.exit(code)


async def _run(record, play):
    fleet = fleets.Fleet()
    try:
        async with asyncio.timeout(MAX_SECONDS):
            broken = await play(fleet, record)
    finally:
        fleet.close()
    if broken:
        record.note(f"BROKEN: {broken}")
        return BROKEN
    record.note("the rule held")
    return HELD
