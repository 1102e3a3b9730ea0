"""Keepers under seeded kills, freezes and network partitions.

Three keeper processes run under a steady load while faults are injected.
What clients were told is then compared with the state of the keepers.
``tests/test_consensus.py`` runs a small case.
"""

import asyncio
import tempfile

from amaranthring.bench import report
from amaranthring.testing import faults
from amaranthring.testing import keeper_processes

FAST_OPTIONS = {
    "heartbeat_seconds": 0.05,
    "election_seconds": 0.3,
    "snapshot_entries": 50,
}
FAULT_KINDS = [
    faults.kill_and_restart,
    faults.pause_and_resume,
    faults.isolate_and_heal,
]


def run(seeds: int = 3, count: int = 12, seed: int = 100) -> report.Report:
    """Run `seeds` fleets one after another, with `count` faults each.

    Parameters
    ----------
    seeds : int
        Number of runs.
    count : int
        Faults in each run.
    seed : int
        Seed of the first run; each further run adds one.
    """
    results = report.Report("keepers: seeded kills, freezes and cuts")
    for number in range(seed, seed + seeds):
        contradictions = asyncio.run(_run(number, count))
        for text in contradictions:
            print(f"seed {number}: {text}")
        results.add(
            f"contradictions, seed {number}", len(contradictions), most=0
        )
    return results


async def _run(seed: int, count: int) -> list[str]:
    with tempfile.TemporaryDirectory() as folder:
        fleet = keeper_processes.KeeperFleet(folder, options=FAST_OPTIONS)
        try:
            await fleet.start()
            return await faults.run(fleet, seed, count, FAULT_KINDS)
        finally:
            await fleet.stop()
