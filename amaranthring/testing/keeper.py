"""A keeper process with a small state machine, for tests and benchmarks.

Run as ``python -m amaranthring.testing.keeper SETTINGS CONTROL``. It writes
its port to ``CONTROL/port``. The file ``CONTROL/clock`` holds the offset of
its wall clock in seconds; while ``CONTROL/full`` exists, every write blocks
for a while and fails with ENOSPC.
"""

import asyncio
import errno
import os
import pathlib
import signal
import sys
import time
import typing as t

import tornado.netutil

from amaranthring import errors
from amaranthring import settings
from amaranthring.core import links
from amaranthring.core import logs
from amaranthring.core import wire
from amaranthring.keepers import disk
from amaranthring.keepers import options
from amaranthring.keepers import server

FULL_DISK_SECONDS = 0.2


@wire.message("test-set")
class Set:
    """Sets a register, if it holds `expected` or `expected` is None."""

    key: str
    value: str
    expected: str | None = None


@wire.message("test-add")
class Add:
    """Increments a counter, once for each `command_id`."""

    repeatable: t.ClassVar[bool] = True

    command_id: str
    pad: str = ""


@wire.message("test-get")
class Get:
    """Reads a register or, with an empty key, everything."""

    key: str = ""


@wire.message("test-dump-query")
class LocalDumpQuery:
    """Reads the state that this keeper has applied, leader or not."""


@wire.message("test-value")
class Value:
    """Result of a command or read; index and time of a command."""

    value: str
    index: int = 0
    stamp: float = 0.0


@wire.message("test-dump")
class Dump:
    """The whole state."""

    registers: dict[str, str]
    seen: dict[str, int]


@wire.message("test-usage-query")
class UsageQuery:
    """Asks for the resource usage of this process."""


@wire.message("test-usage")
class Usage:
    """Processor seconds, and bytes sent over the open links."""

    processor_seconds: float
    sent_bytes: int


class RegisterMachine:
    """Registers with compare-and-set, and an idempotent counter."""

    def __init__(self):
        self.registers: dict[str, str] = {}
        self.seen: dict[str, int] = {}
        self.last_stamp = 0.0

    def apply(self, index: int, stamp: float, command) -> Value:
        """Apply a :class:`Set` or :class:`Add`."""
        assert stamp >= self.last_stamp, "stamps went back"
        self.last_stamp = stamp
        if isinstance(command, Add):
            number = self.seen.setdefault(command.command_id, len(self.seen))
            return Value(str(number), index, stamp)
        current = self.registers.get(command.key, "")
        if command.expected is not None and command.expected != current:
            raise errors.RevisionConflictError(
                "register", given=command.expected, expected=current
            )
        self.registers[command.key] = command.value
        return Value(command.value, index, stamp)

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return wire.encode_value((self.registers, self.seen, self.last_stamp))

    def restore(self, data: bytes) -> None:
        """Replace the state."""
        self.registers, self.seen, self.last_stamp = wire.decode_value(data)


def add_query_handlers(handlers: links.Handlers, group, machine) -> None:
    """Handle linearizable reads, and local dumps."""

    async def get(link, message):
        del link
        await group.read_barrier()
        if not message.key:
            return Dump(machine.registers, machine.seen)
        return Value(machine.registers.get(message.key, ""))

    def dump(link, message):
        del link, message
        return Dump(machine.registers, machine.seen)

    handlers.add(Get, get)
    handlers.add(LocalDumpQuery, dump)


def add_usage_handler(keeper: server.Keeper) -> None:
    """Handle :class:`UsageQuery`."""

    def usage(link, message):
        del link, message
        diallers = [peer.dialler for peer in keeper.group.peers.values()]
        open_links = [dialler.link for dialler in diallers if dialler.link]
        sent = sum(
            link.sent_bytes for link in [*open_links, *keeper.server.links]
        )
        return Usage(time.process_time(), sent)

    keeper.handlers.add(UsageQuery, usage)


def _controlled_io(control: pathlib.Path):
    def wall() -> float:
        try:
            return time.time() + float((control / "clock").read_text())
        except (OSError, ValueError):
            return time.time()

    def write(fd: int, data: bytes) -> int:
        if (control / "full").exists():
            time.sleep(FULL_DISK_SECONDS)
            raise OSError(errno.ENOSPC, "No space left on device")
        return os.write(fd, data)

    return options.Clocks(wall=wall), disk.FileOps(write=write)


async def run(path: str, control: pathlib.Path) -> None:
    """Run until SIGTERM."""
    machine = RegisterMachine()
    clocks, files = _controlled_io(control)
    keeper = server.Keeper(settings.read(path), machine, clocks, files)
    add_query_handlers(keeper.handlers, keeper.group, machine)
    add_usage_handler(keeper)
    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    host, port = keeper.settings.listen.fleet.rsplit(":", 1)
    sockets = tornado.netutil.bind_sockets(int(port), host)
    keeper.start(sockets)
    temporary = control / "port.tmp"
    temporary.write_text(str(sockets[0].getsockname()[1]))
    temporary.replace(control / "port")
    await stopping.wait()
    await keeper.stop()


def main() -> None:
    """Run from the command line."""
    logs.setup("keeper", "INFO")
    try:
        asyncio.run(run(sys.argv[1], pathlib.Path(sys.argv[2])))
    except errors.AmaranthringError as error:
        print(f"{error.code}: {error}", file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    main()
