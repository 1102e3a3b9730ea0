"""Serves the fleet state on top of a group of keepers.

Answers queries after the group's read barrier, proposes the initial
configuration, and runs the reconciler while this keeper is the leader.
"""

import asyncio
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import background
from amaranthring.core import links
from amaranthring.core import logs
from amaranthring.keepers import commands
from amaranthring.keepers import initial_config
from amaranthring.keepers import queries as queries_module
from amaranthring.keepers import reconciler as reconcilers
from amaranthring.keepers import state_machine

log = logbook.Logger(__name__)

BARRIER_SECONDS = 1.0
BOOTSTRAP_SECONDS = 5.0
BOOTSTRAP_PAUSE_SECONDS = 0.5


class FleetService:
    """Serves queries and reconciles targets for one keeper.

    Parameters
    ----------
    group : consensus.Group
        The group that replicates `machine`.
    machine : state_machine.StateMachine
        The replicated state.
    handlers : links.Handlers
        Handlers of this keeper's listener.
    initial_file : str
        File with the initial configuration, or empty.

    Raises
    ------
    errors.SettingsError
        If `initial_file` is not valid.
    """

    def __init__(
        self,
        group: t.Any,
        machine: state_machine.StateMachine,
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
        self.bootstrap_task: asyncio.Task | None = None
        self.queries.handlers[commands.ReadyTargets] = self._ready_targets
        for message_class in (commands.ConfigSince, *self.queries.handlers):
            handlers.add(message_class, self._answer)
        group.on_leader.append(self._on_leader)
        group.on_follower.append(self._on_follower)

    async def _answer(self, _link: t.Any, message: t.Any) -> t.Any:
        # The read barrier fails on a deposed leader, whose state may be
        # stale.
        await self.group.read_barrier(BARRIER_SECONDS)
        return await self.queries.answer(message)

    def _ready_targets(self, message: commands.ReadyTargets) -> t.Any:
        self.reconciler.update_targets(message)
        return commands.StateView(None)

    def _on_leader(self, _term: int) -> None:
        self.reconciler.start()
        if self.bootstrap and self.machine.book.parts.revision == 0:
            self.bootstrap_task = background.keep_running(
                "bootstrap", self._bootstrap
            )

    def _on_follower(self) -> None:
        self.reconciler.stop()
        if self.bootstrap_task is not None:
            self.bootstrap_task.cancel()

    async def _bootstrap(self) -> None:
        """Propose the initial configuration until there is one."""
        while self.machine.book.parts.revision == 0:
            try:
                accepted = await self.group.propose(
                    self.bootstrap, BOOTSTRAP_SECONDS
                )
                logs.event(log, "state.bootstrap", revision=accepted.revision)
            except errors.AmaranthringError as error:
                log.debug("state.bootstrap-failed fault={}", error)
            await asyncio.sleep(BOOTSTRAP_PAUSE_SECONDS)

    def stop(self) -> None:
        """Stop the tasks that run while this keeper is the leader."""
        self._on_follower()
