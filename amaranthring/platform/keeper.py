"""Creates the keeper of a VM on the platform."""

import importlib
import typing as t

from amaranthring import plan_keeper
from amaranthring.core import clocks
from amaranthring.core import links
from amaranthring.platform import node as nodes
from amaranthring.registry import keeper as keepers


def make(node: nodes.Node) -> plan_keeper.KeeperProcess:
    """Return the keeper of this VM."""
    config = keepers.Config(
        address=f"{node.ip}:{node.fleet_port}",
        data_centre=node.data_centre,
        seeds=node.keeper_addresses(),
        may_bootstrap=node.first_start,
        folder=node.data_folder,
        announce_seconds=node.heartbeat_seconds,
        link_rate=node.link_rate,
        process_started_at=clocks.STARTED_AT,
        retry_window=node.retry_window,
        grace=node.grace,
        memory=node.memory,
        descriptors=node.descriptors,
    )
    return plan_keeper.KeeperProcess(
        config,
        node.control,
        f"{node.ip}:{nodes.METRICS_PORT}",
        links.Keys(nodes.FLEET_KEY),
        load_handler_factory,
    )


def load_handler_factory() -> t.Callable:
    """Import the control module; return its factory of handlers."""
    control = importlib.import_module("amaranthring.platform.control")

    def make_handler(hub: t.Any) -> t.Callable:
        # Imported with the calls, as decoding plans would delay the start.
        hub.streams.plan_moves.read_routes = control.read_routes
        return control.make_handler(hub)

    return make_handler
