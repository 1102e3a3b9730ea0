"""What a loss of power may leave of a folder, as a model.

Records the system calls that write, while a log writes to a real folder, and
lists the states in which a loss of power may leave it: each write after the
last sync of its file is present, missing or torn on its own, and so is each
truncation and removal that no sync covers done or not.
"""

import itertools
import os
import pathlib
import random
import typing as t

from amaranthring.keepers import disk

# Above this number, states are drawn at random.
MAX_STATES = 64

Files = dict[str, bytes]


class PowerModel:
    """System calls of a disk, and what a loss of power leaves after each.

    Attributes
    ----------
    durable : dict of str to bytes
        Content by name, as of the last syncs.
    pending : list of tuple
        Calls that no sync covers: ``(kind, name, offset or size, data)``.
    on_call : callable
        Called after each call.
    """

    def __init__(self, folder: pathlib.Path, rng: random.Random):
        self.folder = folder
        self.rng = rng
        self.durable: Files = {}
        self.pending: list[tuple[str, str, int, bytes]] = []
        self.on_call: t.Callable[[], None] = lambda: None

    def files(self) -> disk.FileOps:
        """Return the system calls."""
        return disk.FileOps(
            self.write,
            self.sync,
            os.replace,
            self.remove,
            self.truncate,
            self.sync_folder,
        )

    def write(self, fd: int, data: bytes) -> int:
        """Write as :func:`os.write`."""
        offset = os.fstat(fd).st_size
        written = os.write(fd, data)
        self._note("write", _name(fd), offset, bytes(data[:written]))
        return written

    def truncate(self, fd: int, size: int) -> None:
        """Truncate as :func:`os.ftruncate`."""
        os.ftruncate(fd, size)
        self._note("truncate", _name(fd), size, b"")

    def remove(self, path: pathlib.Path) -> None:
        """Remove as :func:`os.unlink`."""
        os.unlink(path)
        self._note("remove", path.name, 0, b"")

    def sync(self, fd: int) -> None:
        """Sync a file."""
        name = _name(fd)
        self.durable[name] = (self.folder / name).read_bytes()
        self.pending = [
            call
            for call in self.pending
            if call[1] != name or call[0] == "remove"
        ]
        self.on_call()

    def sync_folder(self, _folder: pathlib.Path) -> None:
        """Sync the folder itself."""
        removed = {name for kind, name, *_ in self.pending if kind == "remove"}
        for name in removed:
            self.durable.pop(name, None)
        self.pending = [c for c in self.pending if c[1] not in removed]
        self.on_call()

    def _note(self, kind: str, name: str, at: int, data: bytes) -> None:
        self.pending.append((kind, name, at, data))
        self.on_call()

    def states(self) -> t.Iterator[Files]:
        """Yield states in which a loss of power may leave the folder now."""
        choices = [_outcomes(call) for call in self.pending]
        count = 1
        for outcomes in choices:
            count *= len(outcomes)
        if count <= MAX_STATES:
            for chosen in itertools.product(*choices):
                yield self._state(chosen)
            return
        for _ in range(MAX_STATES):
            yield self._state([self.rng.choice(c) for c in choices])

    def _state(self, chosen: t.Sequence[bytes | None]) -> Files:
        files = dict(self.durable)
        for (kind, name, at, _), outcome in zip(
            self.pending, chosen, strict=True
        ):
            if outcome is None:
                continue
            if kind == "remove":
                files.pop(name, None)
            elif kind == "truncate":
                files[name] = files.get(name, b"")[:at].ljust(at, b"\0")
            else:
                content = files.get(name, b"").ljust(at, b"\0")
                end = at + len(outcome)
                files[name] = content[:at] + outcome + content[end:]
        return files


def _outcomes(call: tuple[str, str, int, bytes]) -> list[bytes | None]:
    """Return what may be left of a call; None if nothing is."""
    kind, _, _, data = call
    outcomes: list[bytes | None] = [None, data]
    if kind == "write":
        size = len(data)
        for cut in {1, 5, size // 3, size // 2, size - 1} - {0, size}:
            outcomes += [data[:cut], data[:cut] + bytes(size - cut)]
    return outcomes


def _name(fd: int) -> str:
    return pathlib.Path(os.readlink(f"/proc/self/fd/{fd}")).name
