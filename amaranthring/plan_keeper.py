"""Wiring of a keeper that holds a routing plan.

Part of the composition root. A caller such as the adapter to a platform
hands in how targets and operators call it. Apart from the router's wiring,
so that a keeper loads nothing that only routers use: it is restarted often,
and must listen again within a fraction of a second.
"""

import typing as t

from amaranthring.core import endpoints
from amaranthring.core import links
from amaranthring.core import metrics as metrics_module
from amaranthring.registry import keeper as keepers


class KeeperProcess:
    """A keeper with the platform's calls on its control address.

    Parameters
    ----------
    answers : callable
        Makes the function that answers control calls from the hub.
    """

    def __init__(
        self,
        place: keepers.Place,
        control: str,
        metrics_address: str,
        keys: links.Keys,
        answers: t.Callable[..., endpoints.Answer],
    ):
        self.place = place
        self.control = control
        self.metrics_address = metrics_address
        self.metrics = metrics_module.Metrics()
        self.keeper = keepers.PlanKeeper(place, keys, self.metrics)
        self.answers = answers

    def start(self) -> None:
        """Listen and take part."""
        self.keeper.start(endpoints.listening(self.place.address))
        endpoints.serve(self.control, self.answers(self.keeper.hub))
        endpoints.serve(self.metrics_address, endpoints.figures(self.metrics))

    def use_seeds(self, addresses: list[str]) -> None:
        """Take the keepers that the settings name now."""
        self.keeper.use_seeds(addresses)

    async def stop(self) -> None:
        """Step down and close."""
        await self.keeper.stop()
