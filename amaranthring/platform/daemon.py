"""Runs a daemon on the platform until it is stopped."""

import asyncio
import gc
import importlib
import sys

import logbook

from amaranthring import errors
from amaranthring.core import background
from amaranthring.core import garbage_collection
from amaranthring.core import log_writer
from amaranthring.core import logs
from amaranthring.core import signals
from amaranthring.platform import node as nodes

log = logbook.Logger(__name__)

# Interval at which the settings file is read if no signal comes, so that a
# process whose keepers were all replaced finds the new ones within seconds.
POLL_SECONDS = 2.0

ROLES = ("router", "keeper")


async def watch_settings(node: nodes.Node, process, hangup) -> None:
    """Apply changes of the settings file until cancelled.

    Parameters
    ----------
    hangup : asyncio.Event
        Set by SIGHUP; the file may also change without one.
    """
    while True:
        try:
            # Unlike wait_for, it ends by a cancellation at the same moment.
            async with asyncio.timeout(POLL_SECONDS):
                await hangup.wait()
        except TimeoutError:
            pass
        hangup.clear()
        try:
            settings = nodes.read()
        except errors.SettingsError as error:
            # Incomplete or invalid: keep the last valid settings.
            log.warning("settings.unusable fault={}", error)
            continue
        if settings.seeds != node.seeds:
            logs.event(log, "settings.reloaded", seeds=list(settings.seeds))
            process.use_seeds(settings.keeper_addresses())
            node = settings


async def run(role: str) -> None:
    """Run a daemon until SIGTERM."""
    background.log_unhandled(asyncio.get_running_loop())
    stop = signals.stop_event()
    hangup = signals.reload_event()
    node = nodes.read()
    # Imports only the modules of this role.
    module = importlib.import_module(f"amaranthring.platform.{role}")
    process = module.make(node)
    starting = process.start()
    watching = background.keep_running(
        "settings", lambda: watch_settings(node, process, hangup)
    )
    logs.event(log, f"{role}.started", vm=node.name, seeds=list(node.seeds))
    stopping = asyncio.ensure_future(stop.wait())
    if starting is not None:
        await asyncio.wait(
            {starting, stopping}, return_when=asyncio.FIRST_COMPLETED
        )
        if starting.done():
            # A listener that cannot be opened ends the process.
            starting.result()
    garbage_collection.freeze_startup_objects()
    gc.enable()
    await stopping
    logs.event(log, f"{role}.stopping", vm=node.name)
    watching.cancel()
    await process.stop(stop.asked_at)
    logs.event(log, f"{role}.stopped", vm=node.name)


def main(role: str) -> int:
    """Run a daemon and return the exit code.

    Parameters
    ----------
    role : str
        One of :data:`ROLES`.
    """
    if role not in ROLES:
        print(f"usage: ROLE is one of {', '.join(ROLES)}", file=sys.stderr)
        return 2
    writer = log_writer.setup(role)
    try:
        asyncio.run(run(role))
    except errors.AmaranthringError as error:
        log.error("{}.failed fault={}", role, error)
        return 1
    finally:
        writer.flush()
    return 0
