"""Which routers send requests on for others, as keepers tell."""

import dataclasses

from amaranthring.core import hashing

# Told of by each keeper; the links between keepers are thin.
MAX_TOLD = 8
# Offered to one router for each service.
MAX_OFFERED = 4


@dataclasses.dataclass
class Helper:
    """A router that takes requests of others.

    Attributes
    ----------
    address : str
        ``host:port`` of its listener for other routers.
    unreached_services : list of str
        Services of which it reaches no target itself.
    """

    address: str
    unreached_services: list[str]


def to_tell(helpers: list[Helper]) -> list[Helper]:
    """Return those of a keeper's routers of which it tells other keepers.

    Those that reach all services go first. The order is the same each time, so
    that routers keep their links to them.
    """
    by_address = {helper.address: helper for helper in helpers}
    ordered = [by_address[a] for a in hashing.order("helpers", by_address)]
    ordered.sort(key=lambda helper: len(helper.unreached_services))
    return ordered[:MAX_TOLD]


def offers(
    own_address: str, sought: list[str], helpers: list[Helper]
) -> dict[str, list[str]]:
    """Return the addresses offered to a router, by service that it seeks.

    Parameters
    ----------
    own_address : str
        Of that router; each one gets helpers of its own, so that they share
        the load.
    sought : list of str
        Services for which it needs helpers.
    """
    return {
        service: hashing.order(
            own_address,
            {
                helper.address
                for helper in helpers
                if helper.address != own_address
                and service not in helper.unreached_services
            },
        )[:MAX_OFFERED]
        for service in sought
    }
