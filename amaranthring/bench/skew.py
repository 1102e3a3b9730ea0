"""Skew: load of the busiest engine relative to the mean.

Each case has two kinds of figures. *At grants* compares an engine's true
count after each grant with ``ceil(c * mean)`` of the true counts at that
moment, which depends on the placement decision alone. *Over time* is
max/mean, sampled four times a second; it includes skew that no placement can
prevent, from answers that end on other engines.
"""

import asyncio

from amaranthring.bench import model
from amaranthring.bench import report

LOAD_BOUND = 1.25
TOLERANCE = 1.02
SIMULATED_SECONDS = 90.0
WARMUP_SECONDS = 40.0


def run(seed: int = 1, seconds: float = SIMULATED_SECONDS) -> report.Report:
    """Return the skew in each case.

    Parameters
    ----------
    seed : int
        Seed of the simulation.
    seconds : float
        Duration of each case; the first 40 s are not measured.
    """
    results = report.Report(f"skew, seed {seed}, bound {LOAD_BOUND}")
    for name, case in CASES.items():
        simulation = asyncio.run(case(seed, seconds))
        _add_case(results, name, simulation)
    return results


def _add_case(results, name, simulation) -> None:
    samples = [each.skew for each in simulation.samples]
    large = simulation.samples[-1].mean > 20
    baseline = name.startswith("baseline")
    most = None if baseline else TOLERANCE
    results.add(
        f"{name}: at grants, worst of bound",
        max(simulation.bound_ratios),
        most=most,
    )
    results.add(f"{name}: over time p50", model.quantile(samples, 0.5))
    results.add(f"{name}: over time p99", model.quantile(samples, 0.99))
    most = LOAD_BOUND * TOLERANCE if large and not baseline else None
    results.add(f"{name}: over time worst", max(samples), most=most)
    results.add(f"{name}: refused", sum(simulation.refused.values()), most=0)


def large_fleet(seed, lag=1.0) -> model.Simulation:
    """Return a simulation of one full-size data centre: 15 engines."""
    fleet = model.fleet(53, 15, capacity=512)
    return model.Simulation(fleet, model.Load(seed=seed), report_lag=lag)


def small_fleet(seed, lag=1.0) -> model.Simulation:
    """Return a simulation of 5 engines with about 3 requests each."""
    fleet = model.fleet(6, 5, data_centres=("dc1", "dc2", "dc3"))
    load = model.Load(per_second=1.0, chats=60, seed=seed)
    return model.Simulation(fleet, load, report_lag=lag)


async def calm(seed, seconds, lag=1.0, make=large_fleet):
    """Run without disturbance."""
    simulation = make(seed, lag)
    await simulation.run(seconds, WARMUP_SECONDS)
    return simulation


async def late_reports(seed, seconds):
    """Delay load reports by 3 s."""
    return await calm(seed, seconds, 3.0)


async def load_peak(seed, seconds):
    """Triple the load for 15 s."""
    simulation = large_fleet(seed)
    simulation.call_at(
        WARMUP_SECONDS + 10, lambda: setattr(simulation, "factor", 3.0)
    )
    simulation.call_at(
        WARMUP_SECONDS + 25, lambda: setattr(simulation, "factor", 1.0)
    )
    await simulation.run(seconds, WARMUP_SECONDS)
    return simulation


async def owner_killed(seed, seconds, make=large_fleet):
    """Freeze the owner; remove it from the live lists a second later."""
    simulation = make(seed)
    fleet = simulation.fleet

    def freeze():
        simulation.owner = fleet.owner().name
        fleet.network.frozen.add(simulation.owner)

    simulation.call_at(WARMUP_SECONDS + 10, freeze)
    simulation.call_at(
        WARMUP_SECONDS + 11, lambda: simulation.kill(simulation.owner)
    )
    await simulation.run(seconds, WARMUP_SECONDS)
    return simulation


async def owner_leaves(seed, seconds, make=large_fleet):
    """Let the owner leave gracefully."""
    simulation = make(seed)
    fleet = simulation.fleet

    simulation.call_at(
        WARMUP_SECONDS + 10, lambda: fleet.leave(fleet.owner().name)
    )
    await simulation.run(seconds, WARMUP_SECONDS)
    return simulation


async def engine_lists_differ(seed, seconds, make=large_fleet):
    """Mark one engine as lost on every other router for 10 s."""
    simulation = make(seed)
    fleet = simulation.fleet

    def set_state(state):
        for router in fleet.live()[::2]:
            router.table.set_state("e0", state)

    simulation.call_at(WARMUP_SECONDS + 10, lambda: set_state("lost"))
    simulation.call_at(WARMUP_SECONDS + 20, lambda: set_state("ready"))
    await simulation.run(seconds, WARMUP_SECONDS)
    return simulation


async def two_owners(seed, seconds, make=large_fleet):
    """Hide the owner from half of the routers and its deputy for 10 s."""
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

    simulation.call_at(WARMUP_SECONDS + 10, differ)
    simulation.call_at(WARMUP_SECONDS + 20, agree)
    await simulation.run(seconds, WARMUP_SECONDS)
    return simulation


async def releases_lost(seed, seconds):
    """Drop one in ten release messages."""
    simulation = large_fleet(seed)

    def is_dropped(_sender, _receiver, message):
        lost = type(message).__name__ == "Release"
        return lost and simulation.random.random() < 0.1

    simulation.fleet.network.is_dropped = is_dropped
    await simulation.run(seconds, WARMUP_SECONDS)
    return simulation


async def local_estimates(seed, seconds):
    """Place by local estimates only, as no owner can be reached."""
    simulation = large_fleet(seed)
    fleet = simulation.fleet
    names = set(fleet.network.meshes)
    fleet.network.cut = {(a, b) for a in names for b in names if a != b}
    for router in fleet.routers:
        router.owners.closing = True
        router.mesh.hidden = names - {router.name}
    await simulation.run(seconds, WARMUP_SECONDS)
    return simulation


CASES = {
    "calm": calm,
    "reports 3 s late": late_reports,
    "peak of three": load_peak,
    "owner killed": owner_killed,
    "owner leaves": owner_leaves,
    "engine lists differ": engine_lists_differ,
    "two owners": two_owners,
    "releases lost": releases_lost,
    "5 engines of 3": lambda seed, seconds: calm(
        seed, seconds, 1.0, small_fleet
    ),
    "5 of 3, owner killed": lambda seed, seconds: owner_killed(
        seed, seconds, small_fleet
    ),
    "5 of 3, owner leaves": lambda seed, seconds: owner_leaves(
        seed, seconds, small_fleet
    ),
    "5 of 3, engine lists differ": lambda seed, seconds: engine_lists_differ(
        seed, seconds, small_fleet
    ),
    "5 of 3, two owners": lambda seed, seconds: two_owners(
        seed, seconds, small_fleet
    ),
    "baseline, estimates only": local_estimates,
}
