"""Daemons on the platform: ``python -m amaranthring.platform ROLE``."""

import asyncio
import gc
import sys

import logbook

from amaranthring import errors
from amaranthring import fleet_parts
from amaranthring.core import lines
from amaranthring.core import links
from amaranthring.core import logs
from amaranthring.core import signals
from amaranthring.platform import control
from amaranthring.platform import documents
from amaranthring.platform import headers
from amaranthring.platform import node as nodes
from amaranthring.registry import keeper as keepers

log = logbook.Logger(__name__)

# The platform hands out no secret and keeps others off these ports; the key
# only tells this fleet's streams from anything else that listens there.
FLEET_KEY = {"platform": b"amaranthring"}
METRICS_PORT = 9105
# How often the settings file is looked at when no signal comes: a process
# whose keepers have all been exchanged finds the new ones within seconds.
LOOK_SECONDS = 2.0


def router(node: nodes.Node) -> fleet_parts.PlanRouter:
    """Return the router of this VM."""
    place = fleet_parts.RouterPlace(
        name=node.name,
        data_centre=node.data_centre,
        callers=node.callers,
        health=node.health,
        metrics=f"{node.ip}:{METRICS_PORT}",
        keepers=node.keepers(),
        key_lease=node.key_lease,
        grace=node.grace,
        retry_ratio=node.retry_ratio,
        retry_allowance=node.retry_allowance,
        retry_window=node.retry_window,
    )
    return fleet_parts.PlanRouter(
        place, links.Keys(FLEET_KEY), headers.dialect(), documents.decode
    )


def keeper(node: nodes.Node) -> fleet_parts.KeeperProcess:
    """Return the keeper of this VM."""
    place = keepers.Place(
        address=f"{node.ip}:{node.fleet_port}",
        data_centre=node.data_centre,
        seeds=node.keepers(),
        may_begin=node.first_start,
        folder=node.data_folder,
        beat_seconds=node.beat,
    )
    return fleet_parts.KeeperProcess(
        place,
        node.control,
        f"{node.ip}:{METRICS_PORT}",
        links.Keys(FLEET_KEY),
        control.answers,
    )


ROLES = {"router": router, "keeper": keeper}


async def follow_settings(node: nodes.Node, process, hangup) -> None:
    """Hand on what changes in the settings file, until cancelled.

    Parameters
    ----------
    hangup : asyncio.Event
        Set by SIGHUP; the file may also change without one.
    """
    while True:
        try:
            await asyncio.wait_for(hangup.wait(), LOOK_SECONDS)
        except TimeoutError:
            pass
        hangup.clear()
        try:
            found = nodes.read()
        except errors.SettingsError as error:
            # It is being written, or broken: the last good one stays.
            log.warning("settings.unusable fault={}", error)
            continue
        if found.seeds != node.seeds:
            logs.event(log, "settings.reloaded", seeds=list(found.seeds))
            process.use_seeds(found.keepers())
            node = found


async def run(role: str) -> None:
    """Run a daemon until SIGTERM."""
    stop = signals.stop_event()
    hangup = signals.reload_event()
    node = nodes.read()
    process = ROLES[role](node)
    process.start()
    following = asyncio.ensure_future(follow_settings(node, process, hangup))
    gc.collect()
    gc.freeze()
    logs.event(log, f"{role}.started", vm=node.name, seeds=list(node.seeds))
    await stop.wait()
    logs.event(log, f"{role}.stopping", vm=node.name)
    following.cancel()
    await process.stop()
    logs.event(log, f"{role}.stopped", vm=node.name)


def main() -> int:
    """Run from the command line and return the exit code."""
    role = sys.argv[1] if len(sys.argv) == 2 else ""
    if role not in ROLES:
        print(f"usage: ROLE is one of {', '.join(ROLES)}", file=sys.stderr)
        return 2
    writer = lines.setup(role)
    try:
        asyncio.run(run(role))
    except errors.AmaranthringError as error:
        log.error("{}.failed fault={}", role, error)
        return 1
    finally:
        writer.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
