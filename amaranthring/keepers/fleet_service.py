"""Joins the state of the fleet to a group of keepers.

Answers queries under the group's read barrier, proposes the first
configuration once, and runs the orders while this keeper leads.
"""

import asyncio
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import links
from amaranthring.core import logs
from amaranthring.keepers import commands
from amaranthring.keepers import initial_config
from amaranthring.keepers import queries as queries_module
from amaranthring.keepers import reconciler as reconcilers
from amaranthring.keepers import state_machine as machines

log = logbook.Logger(__name__)

BARRIER_SECONDS = 1.0
BOOTSTRAP_SECONDS = 5.0
BOOTSTRAP_PAUSE_SECONDS = 0.5


class FleetService:
    """What a keeper does beside agreeing.

    Parameters
    ----------
    group : consensus.Group
        The group whose machine this is.
    machine : machine.Machine
        The state.
    handlers : links.Handlers
        Of this keeper's listener.
    initial_file : str
        First configuration; empty if another keeper brings it.

    Raises
    ------
    errors.SettingsError
        If `initial_file` is not usable.
    """

    def __init__(
        self,
        group: t.Any,
        machine: machines.StateMachine,
        handlers: links.Handlers,
        initial_file: str = "",
        options: reconcilers.Options | None = None,
    ):
        self.group = group
        self.machine = machine
        self.queries = queries_module.Queries(machine)
        self.reconciler = reconcilers.Reconciler(
            machine, group.propose, group.has_lease, options=options
        )
        self.bootstrap = None
        if initial_file:
            self.bootstrap = initial_config.load(initial_file)
        self.task: asyncio.Task | None = None
        self.queries.handlers[commands.ReadyTargets] = self._targets_seen
        for kind in (commands.ConfigSince, *self.queries.handlers):
            handlers.add(kind, self._answer)
        group.on_leader.append(self._lead)
        group.on_follower.append(self._follow)

    async def _answer(self, _link: t.Any, message: t.Any) -> t.Any:
        # A keeper that was replaced without knowing it would answer from
        # the past; the barrier fails there.
        await self.group.read_barrier(BARRIER_SECONDS)
        return await self.queries.answer(message)

    def _targets_seen(self, message: commands.ReadyTargets) -> t.Any:
        self.reconciler.update_targets(message)
        return commands.StateView(None)

    def _lead(self, _term: int) -> None:
        self.reconciler.start()
        if self.bootstrap and self.machine.book.parts.revision == 0:
            self.task = asyncio.ensure_future(self._bootstrap())

    def _follow(self) -> None:
        self.reconciler.stop()
        if self.task is not None:
            self.task.cancel()

    async def _bootstrap(self) -> None:
        """Propose the first configuration until there is one."""
        while self.machine.book.parts.revision == 0:
            try:
                done = await self.group.propose(
                    self.bootstrap, BOOTSTRAP_SECONDS
                )
                logs.event(log, "state.bootstrap", revision=done.revision)
            except errors.AmaranthringError as error:
                log.debug("state.bootstrap-failed fault={}", error)
            await asyncio.sleep(BOOTSTRAP_PAUSE_SECONDS)

    def stop(self) -> None:
        """End what runs while this keeper leads."""
        self._follow()
