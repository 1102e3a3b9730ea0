"""Wiring of a keeper, part of the composition root."""

import asyncio

import logbook

from amaranthring import errors
from amaranthring import settings as settings_module
from amaranthring.core import logs
from amaranthring.core import parts
from amaranthring.keepers import commands
from amaranthring.keepers import initial
from amaranthring.keepers import machine as machines
from amaranthring.keepers import queries
from amaranthring.keepers import server

log = logbook.Logger(__name__)

SECONDS_PER_HOUR = 3600.0
BOOTSTRAP_SECONDS = 5.0
BOOTSTRAP_PAUSE_SECONDS = 0.1


def make(settings: settings_module.Settings) -> server.Keeper:
    """Return a keeper whose machine answers commands and queries."""
    section = settings.keeper
    machine = machines.Machine(
        section.claim_hours * SECONDS_PER_HOUR, section.answer_bytes_most
    )
    keeper = server.Keeper(settings, machine)
    answers = queries.Queries(machine)

    async def answer(_link, message):
        # A deposed leader must not answer from the past: the barrier holds
        # only under a quorum lease.
        await keeper.group.read_barrier()
        return await answers.answer(message)

    for kind in (
        commands.StateQuery,
        commands.Confirmed,
        commands.ConfigSince,
    ):
        keeper.handlers.add(kind, answer)
    return keeper


def start_bootstrap(keeper: server.Keeper) -> asyncio.Task:
    """Start the task that proposes the first configuration, if any.

    Raises
    ------
    errors.SettingsError
        If the file of the first configuration is not usable.
    """
    path = keeper.settings.keeper.initial_file
    command = initial.load_initial(path) if path else None
    return asyncio.ensure_future(_bootstrap(keeper, command))


async def _bootstrap(keeper: server.Keeper, command) -> None:
    """Propose until the state is not empty; the machine takes one only."""
    machine = keeper.group.machine
    while command is not None and _empty(machine):
        try:
            await keeper.group.propose(command, BOOTSTRAP_SECONDS)
            logs.event(log, "keeper.bootstrapped")
        except errors.AmaranthringError:
            await asyncio.sleep(BOOTSTRAP_PAUSE_SECONDS)


def _empty(machine: machines.Machine) -> bool:
    held: parts.Parts = machine.book.parts
    return held.revision == 0
