"""Creates the router of a VM on the platform."""

from amaranthring import plan_router
from amaranthring.core import links
from amaranthring.platform import documents
from amaranthring.platform import headers
from amaranthring.platform import node as nodes


def make(node: nodes.Node) -> plan_router.PlanRouter:
    """Return the router of this VM."""
    config = plan_router.RouterConfig(
        name=node.name,
        data_centre=node.data_centre,
        callers=node.callers,
        health=node.health,
        metrics=f"{node.ip}:{nodes.METRICS_PORT}",
        peers=f"{node.ip}:{node.peers_port}",
        keepers=node.keeper_addresses(),
        key_lease=node.key_lease,
        grace=node.grace,
        retry_ratio=node.retry_ratio,
        retry_allowance=node.retry_allowance,
        retry_window=node.retry_window,
        first_start=node.first_start,
        memory=node.memory,
        descriptors=node.descriptors,
    )
    return plan_router.PlanRouter(
        config,
        links.Keys(nodes.FLEET_KEY),
        headers.dialect(),
        documents.decode_acknowledged,
    )
