"""Plans the orders that lead from the current to the desired state.

A pure function of the known state, which the leading keeper evaluates
periodically. Models and targets that the preset does not name are ignored.
"""

import collections
import dataclasses
import typing as t

from amaranthring.core import fleet
from amaranthring.core import hashing
from amaranthring.core import records
from amaranthring.keepers import commands

BlockCheck = t.Callable[[records.Target, str, str], str]


@dataclasses.dataclass(frozen=True)
class Step:
    """One planned order.

    Attributes
    ----------
    target : records.Target
        Target that receives the order.
    kind : commands.OrderKind
        Kind of the order.
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
    blocked: BlockCheck,
) -> list[Step]:
    """Return the steps that can be executed now.

    Parameters
    ----------
    preset : fleet.Preset
        The preset in force.
    targets : list of records.Target
        Ready targets of the whole fleet.
    drained : collection of str
        Names of drained targets; no model is loaded on them.
    busy : dict
        Names of targets with an open order, and the model that the order
        loads, or an empty string.
    blocked : callable
        Called with target, kind and wanted; returns why the order must not
        be sent now, or an empty string.
    """
    engines = [t for t in targets if t.kind == records.TargetKind.ENGINE]
    engines.sort(key=lambda target: target.name)
    steps = _role_steps(preset, engines, busy, blocked)
    assigned = {step.target.name for step in steps} | set(busy)
    for model, count in sorted(preset.desired_models.items()):
        model_steps = _model_steps(
            model, count, preset, engines, drained, busy, assigned, blocked
        )
        assigned.update(step.target.name for step in model_steps)
        steps += model_steps
    return steps


def _role_steps(preset, engines, busy, blocked) -> list[Step]:
    steps = []
    for engine in engines:
        role = preset.desired_roles.get(engine.name)
        if role is None or role == engine.role or engine.name in busy:
            continue
        if not blocked(engine, commands.OrderKind.ROLE, role):
            steps.append(Step(engine, commands.OrderKind.ROLE, role))
    return steps


def _model_steps(
    model, count, preset, engines, drained, busy, assigned, blocked
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
            and engine.name not in assigned
            and engine.name not in drained
            and not blocked(engine, commands.OrderKind.LOAD, model)
        ]
        chosen = _choose_engines(model, missing, free, live, preset)
        return [
            Step(engine, commands.OrderKind.LOAD, model) for engine in chosen
        ]
    # Nothing is unloaded while a load is in progress, so that a replica is
    # removed only after its replacement serves.
    if missing == 0 or loading:
        return []
    spare = [
        engine
        for engine in reversed(rank_engines(model, live))
        if engine.name not in assigned
        and not blocked(engine, commands.OrderKind.UNLOAD, model)
    ]
    return [
        Step(engine, commands.OrderKind.UNLOAD, model)
        for engine in spare[:-missing]
    ]


def rank_engines(model: str, engines) -> list[records.Target]:
    """Return `engines` by rendezvous rank; the same on every leader."""
    by_name = {engine.name: engine for engine in engines}
    return [by_name[name] for name in hashing.order(model, by_name)]


def _choose_engines(
    model, missing, free, live, preset
) -> list[records.Target]:
    """Prefer data centres with few replicas, then engines with few models."""
    placed = collections.Counter(engine.data_centre for engine in live)
    ordered = rank_engines(model, free)
    chosen = []
    while ordered and len(chosen) < missing:
        best = min(
            ordered,
            key=lambda engine: (
                placed[engine.data_centre],
                _desired_models_served(engine, preset),
            ),
        )
        ordered.remove(best)
        placed[best.data_centre] += 1
        chosen.append(best)
    return chosen


def _desired_models_served(
    engine: records.Target, preset: fleet.Preset
) -> int:
    return sum(model in preset.desired_models for model in engine.serves)
