"""Which orders lead from what targets serve to what the preset wants.

A plain function of what is known; the leader of the keepers repeats it and
takes its steps one by one. Models and targets that the preset does not name
are left alone.
"""

import collections
import dataclasses
import typing as t

from amaranthring.core import fleet
from amaranthring.core import hashing
from amaranthring.core import records
from amaranthring.keepers import commands

Blocked = t.Callable[[records.Target, str, str], str]


@dataclasses.dataclass(frozen=True)
class Step:
    """One order that should be given.

    Attributes
    ----------
    target : records.Target
        Whom to order.
    kind : commands.OrderKind
        What.
    wanted : str
        Model or role.
    """

    target: records.Target
    kind: commands.OrderKind
    wanted: str


def plan(
    preset: fleet.Preset,
    targets: list[records.Target],
    drained: t.Collection[str],
    busy: dict[str, str],
    blocked: Blocked,
) -> list[Step]:
    """Return the steps that may be taken now.

    Parameters
    ----------
    preset : fleet.Preset
        The preset in force.
    targets : list of records.Target
        Ready targets of the whole fleet.
    drained : collection of str
        Targets that operators drain; they get no model.
    busy : dict
        Targets with an open order, and the model that it loads or an empty
        string.
    blocked : callable
        Of target, kind and wanted: why that must wait, or an empty string.
    """
    engines = [t for t in targets if t.kind == records.TargetKind.ENGINE]
    engines.sort(key=lambda target: target.name)
    steps = _roles(preset, engines, busy, blocked)
    taken = {step.target.name for step in steps} | set(busy)
    for model, count in sorted(preset.desired_models.items()):
        made = _model_steps(
            model, count, preset, engines, drained, busy, taken, blocked
        )
        taken.update(step.target.name for step in made)
        steps += made
    return steps


def _roles(preset, engines, busy, blocked) -> list[Step]:
    steps = []
    for engine in engines:
        role = preset.desired_roles.get(engine.name)
        if role is None or role == engine.role or engine.name in busy:
            continue
        if not blocked(engine, commands.OrderKind.ROLE, role):
            steps.append(Step(engine, commands.OrderKind.ROLE, role))
    return steps


def _model_steps(
    model, count, preset, engines, drained, busy, taken, blocked
) -> list[Step]:
    serving = [engine for engine in engines if model in engine.serves]
    live = [engine for engine in serving if engine.name not in drained]
    loading = [name for name, wanted in busy.items() if wanted == model]
    missing = count - len(live) - len(loading)
    if missing > 0:
        free = [
            engine
            for engine in engines
            if model not in engine.serves
            and engine.name not in taken
            and engine.name not in drained
            and not blocked(engine, commands.OrderKind.LOAD, model)
        ]
        chosen = _spread(model, missing, free, live, preset)
        return [
            Step(engine, commands.OrderKind.LOAD, model) for engine in chosen
        ]
    # Nothing is unloaded while a load is under way: what serves now goes
    # only after its replacement serves.
    if missing == 0 or loading:
        return []
    spare = [
        engine
        for engine in reversed(hashing_order(model, live))
        if engine.name not in taken
        and not blocked(engine, commands.OrderKind.UNLOAD, model)
    ]
    return [
        Step(engine, commands.OrderKind.UNLOAD, model)
        for engine in spare[:-missing]
    ]


def hashing_order(model: str, engines) -> list[records.Target]:
    """Return `engines`, best first for `model`, equal on every leader."""
    by_name = {engine.name: engine for engine in engines}
    return [by_name[name] for name in hashing.order(model, by_name)]


def _spread(model, missing, free, live, preset) -> list[records.Target]:
    """Choose engines: few replicas in their data centre, few models."""
    placed = collections.Counter(engine.data_centre for engine in live)
    ordered = hashing_order(model, free)
    chosen = []
    while ordered and len(chosen) < missing:
        best = min(
            ordered,
            key=lambda engine: (
                placed[engine.data_centre],
                _held(engine, preset),
            ),
        )
        ordered.remove(best)
        placed[best.data_centre] += 1
        chosen.append(best)
    return chosen


def _held(engine: records.Target, preset: fleet.Preset) -> int:
    return sum(model in preset.desired_models for model in engine.serves)
