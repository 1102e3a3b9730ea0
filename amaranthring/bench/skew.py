"""Skew: how far the busiest engine sits above the mean.

Two figures per case. *At grants* compares the engine's true count after each
grant with ``ceil(c * mean)`` of the true counts at that moment: this is what
the decision answers for. *Over time* is max/mean sampled four times a
second; it includes what no decision can prevent, answers that end on other
engines.
"""

import asyncio

from amaranthring.bench import model
from amaranthring.bench import report

BOUND = 1.25
MARGIN = 1.02
SECONDS = 90.0
WARM = 40.0


def run(seed: int = 1, seconds: float = SECONDS) -> report.Report:
    """Return the skew in each case.

    Parameters
    ----------
    seed : int
        Seeds the arrivals.
    seconds : float
        Length of each case, the first 40 s unmeasured.
    """
    made = report.Report(f"skew, seed {seed}, bound {BOUND}")
    for name, case in CASES.items():
        simulation = asyncio.run(case(seed, seconds))
        _add(made, name, simulation)
    return made


def _add(made, name, simulation) -> None:
    samples = [each.skew for each in simulation.samples]
    large = simulation.samples[-1].mean > 20
    loose = name.startswith("baseline")
    most = None if loose else MARGIN
    made.add(
        f"{name}: at grants, worst of bound", max(simulation.over), most=most
    )
    made.add(f"{name}: over time p50", model.quantile(samples, 0.5))
    made.add(f"{name}: over time p99", model.quantile(samples, 0.99))
    most = BOUND * MARGIN if large and not loose else None
    made.add(f"{name}: over time worst", max(samples), most=most)
    made.add(f"{name}: refused", sum(simulation.refused.values()), most=0)


def large(seed, lag=1.0) -> model.Simulation:
    """Return one model of a data centre at full size: 15 engines."""
    fleet = model.fleet(53, 15, capacity=512)
    return model.Simulation(fleet, model.Load(seed=seed), report_lag=lag)


def small(seed, lag=1.0) -> model.Simulation:
    """Return 5 engines in three data centres with 3 requests each."""
    fleet = model.fleet(6, 5, data_centres=("dc1", "dc2", "dc3"))
    load = model.Load(per_second=1.0, chats=60, seed=seed)
    return model.Simulation(fleet, load, report_lag=lag)


async def calm(seed, seconds, lag=1.0, make=large):
    """Let nothing happen."""
    simulation = make(seed, lag)
    await simulation.run(seconds, WARM)
    return simulation


async def late(seed, seconds):
    """Let reports be 3 s late."""
    return await calm(seed, seconds, 3.0)


async def peak(seed, seconds):
    """Three times the load for 15 s."""
    simulation = large(seed)
    simulation.at(WARM + 10, lambda: setattr(simulation, "factor", 3.0))
    simulation.at(WARM + 25, lambda: setattr(simulation, "factor", 1.0))
    await simulation.run(seconds, WARM)
    return simulation


async def owner_killed(seed, seconds, make=large):
    """Kill the owner; the lists tell it a second later."""
    simulation = make(seed)
    fleet = simulation.fleet

    def freeze():
        simulation.owner = fleet.owner().name
        fleet.network.frozen.add(simulation.owner)

    simulation.at(WARM + 10, freeze)
    simulation.at(WARM + 11, lambda: simulation.kill(simulation.owner))
    await simulation.run(seconds, WARM)
    return simulation


async def owner_leaves(seed, seconds, make=large):
    """Let the owner hand over and leave."""
    simulation = make(seed)
    fleet = simulation.fleet

    simulation.at(WARM + 10, lambda: fleet.leave(fleet.owner().name))
    await simulation.run(seconds, WARM)
    return simulation


async def engines_differ(seed, seconds, make=large):
    """For 10 s every other router misses an engine."""
    simulation = make(seed)
    fleet = simulation.fleet

    def set_state(state):
        for router in fleet.live()[::2]:
            router.table.set_state("e0", state)

    simulation.at(WARM + 10, lambda: set_state("lost"))
    simulation.at(WARM + 20, lambda: set_state("ready"))
    await simulation.run(seconds, WARM)
    return simulation


async def two_owners(seed, seconds, make=large):
    """For 10 s half of the routers miss the owner, its deputy included."""
    simulation = make(seed)
    fleet = simulation.fleet

    def differ():
        owner = fleet.owner()
        deputy = owner.placer.calls.natural_order(
            next(iter(owner.owners.cells))
        )[1]
        others = [each for each in fleet.live() if each is not owner]
        half = {each.name for each in others[::2]} | {deputy}
        for router in others:
            if router.name in half:
                router.mesh.hidden = {owner.name}
                router.mesh.changed()

    def agree():
        for router in fleet.live():
            router.mesh.hidden = set()
            router.mesh.changed()

    simulation.at(WARM + 10, differ)
    simulation.at(WARM + 20, agree)
    await simulation.run(seconds, WARM)
    return simulation


async def releases_lost(seed, seconds):
    """One release in ten is lost."""
    simulation = large(seed)

    def lose(_sender, _receiver, message):
        lost = type(message).__name__ == "Release"
        return lost and simulation.random.random() < 0.1

    simulation.fleet.network.is_dropped = lose
    await simulation.run(seconds, WARM)
    return simulation


async def estimates(seed, seconds):
    """No owner answers at all: local estimates only."""
    simulation = large(seed)
    fleet = simulation.fleet
    names = set(fleet.network.meshes)
    fleet.network.cut = {(a, b) for a in names for b in names if a != b}
    for router in fleet.routers:
        router.owners.closing = True
        router.mesh.hidden = names - {router.name}
    await simulation.run(seconds, WARM)
    return simulation


CASES = {
    "calm": calm,
    "reports 3 s late": late,
    "peak of three": peak,
    "owner killed": owner_killed,
    "owner leaves": owner_leaves,
    "engine lists differ": engines_differ,
    "two owners": two_owners,
    "releases lost": releases_lost,
    "5 engines of 3": lambda seed, seconds: calm(seed, seconds, 1.0, small),
    "5 of 3, owner killed": lambda seed, seconds: owner_killed(
        seed, seconds, small
    ),
    "5 of 3, owner leaves": lambda seed, seconds: owner_leaves(
        seed, seconds, small
    ),
    "5 of 3, engine lists differ": lambda seed, seconds: engines_differ(
        seed, seconds, small
    ),
    "5 of 3, two owners": lambda seed, seconds: two_owners(
        seed, seconds, small
    ),
    "baseline, estimates only": estimates,
}
