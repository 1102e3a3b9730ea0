"""Keepers under seeded kills, freezes and cuts: contradictions found.

Three keeper processes under a steady load; what clients were told is
compared with what the keepers hold. The small case runs in
``tests/test_consensus.py``.
"""

import asyncio
import tempfile

from amaranthring.bench import report
from amaranthring.testing import faults
from amaranthring.testing import keeper_processes

FAST = {
    "heartbeat_seconds": 0.05,
    "election_seconds": 0.3,
    "snapshot_entries": 50,
}
KINDS = [
    faults.kill_and_restart,
    faults.pause_and_resume,
    faults.isolate_and_heal,
]


def run(seeds: int = 3, count: int = 12, seed: int = 100) -> report.Report:
    """Run `seeds` fleets one after the other, with `count` faults each.

    Parameters
    ----------
    seeds : int
        Number of runs.
    count : int
        Faults in each.
    seed : int
        Of the first run; the others follow.
    """
    made = report.Report("keepers: seeded kills, freezes and cuts")
    for number in range(seed, seed + seeds):
        found = asyncio.run(_run(number, count))
        for text in found:
            print(f"seed {number}: {text}")
        made.add(f"contradictions, seed {number}", len(found), most=0)
    return made


async def _run(seed: int, count: int) -> list[str]:
    with tempfile.TemporaryDirectory() as folder:
        fleet = keeper_processes.KeeperFleet(folder, options=FAST)
        try:
            await fleet.start()
            return await faults.run(fleet, seed, count, KINDS)
        finally:
            await fleet.stop()
