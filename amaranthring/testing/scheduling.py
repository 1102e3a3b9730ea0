"""How long the processes of a test waited for a processor.

On a busy machine a test that compares times with a bound may fail although
the product does all it should: its process was ready to run and was not. The
kernel counts that time for each thread. Time in which a process ran, slept
or was stopped is not part of it, so slow code is never excused.

Source: Linux, Documentation/scheduler/sched-stats.rst, the second field of
``/proc/<pid>/schedstat``.
"""

import asyncio
import collections
import contextlib
import dataclasses
import itertools
import os
import time
import typing as t

SAMPLE_SECONDS = 0.01
# Samples of each process that are kept: two minutes.
MAX_SAMPLES = 12_000


def waited_seconds(pid: int | None = None) -> float:
    """Return for how long the main thread of a process waited so far.

    Parameters
    ----------
    pid : int, optional
        Defaults to the calling process. A process that has ended has waited
        no longer than the samples before say, so its figure is 0.
    """
    try:
        with open(f"/proc/{pid or os.getpid()}/schedstat") as fields:
            return int(fields.read().split()[1]) / 1e9
    except (OSError, IndexError):
        return 0.0


@dataclasses.dataclass
class Sample:
    """How long a process had waited for a processor at some time.

    Attributes
    ----------
    at : float
        Monotonic seconds.
    waited : float
        Seconds since the process started.
    """

    at: float
    waited: float


class Watch:
    """Samples how long this process and others wait for a processor.

    Parameters
    ----------
    pids : callable, optional
        Returns the processes to watch beside this one, which may change.
    """

    def __init__(self, pids: t.Callable[[], t.Iterable[int]] = tuple):
        self.pids = pids
        self.samples: dict[int, collections.deque[Sample]] = {}
        self.task: asyncio.Task | None = None

    async def __aenter__(self) -> "Watch":
        """Begin to take samples."""
        self.take()
        self.task = asyncio.ensure_future(self._run())
        return self

    async def __aexit__(self, *_) -> None:
        """Take the last samples."""
        self.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.task
        self.take()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE_SECONDS)
            self.take()

    def take(self) -> None:
        """Take a sample of each process."""
        for pid in {os.getpid(), *self.pids()}:
            kept = self.samples.setdefault(
                pid, collections.deque(maxlen=MAX_SAMPLES)
            )
            waited = waited_seconds(pid)
            if not kept or waited >= kept[-1].waited:
                kept.append(Sample(time.monotonic(), waited))

    def waited(
        self, since: float, until: float = float("inf"), pid: int | None = None
    ) -> float:
        """Return for how long a process waited between two moments.

        The time between two samples counts as a whole if it overlaps with
        that between the moments.

        Parameters
        ----------
        since, until : float
            Monotonic seconds.
        pid : int, optional
            Defaults to the calling process.
        """
        return sum(
            later.waited - earlier.waited
            for earlier, later in self._turns(pid)
            if later.at > since and earlier.at < until
        )

    def _turns(self, pid: int | None) -> t.Iterable[tuple[Sample, Sample]]:
        self.take()
        kept = list(self.samples.get(pid or os.getpid(), ()))
        return itertools.pairwise(kept)
