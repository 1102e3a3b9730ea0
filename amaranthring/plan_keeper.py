"""Wiring of a keeper that holds a routing plan.

Part of the composition root. A caller such as the adapter to a platform
hands in how targets and operators call it. Apart from the router's wiring,
so that a keeper loads nothing that only routers use: it is restarted often,
and must take part again within a fraction of a second.
"""

import asyncio
import importlib
import types
import typing as t

import logbook

from amaranthring.core import links
from amaranthring.core import listeners
from amaranthring.core import logs
from amaranthring.core import metrics as metrics_module
from amaranthring.registry import keeper as keepers

log = logbook.Logger(__name__)

# A change is confirmed within one round of the keepers, or not soon.
CALLS_SECONDS = 0.5
HTTP_MODULE = "amaranthring.core.endpoints"


class KeeperProcess:
    """A keeper with the platform's calls on its control address.

    It takes part in the log first and loads its HTTP server meanwhile. The
    server, with what it needs of the standard library, is a fifth of all
    that a keeper loads, 0.15 s on a quarter of a core; where all VMs have
    lost power, callers wait for a leader, and targets are known from before.

    Parameters
    ----------
    load_answers : callable
        Loads and returns what makes the function that answers control calls
        from the hub. Called in a thread of its own.
    """

    def __init__(
        self,
        place: keepers.Config,
        control: str,
        metrics_address: str,
        keys: links.Keys,
        load_answers: t.Callable[[], t.Callable],
    ):
        self.place = place
        self.control = control
        self.metrics_address = metrics_address
        self.metrics = metrics_module.Metrics()
        self.keeper = keepers.PlanKeeper(place, keys, self.metrics)
        self.load_answers = load_answers
        self.listening: asyncio.Task | None = None
        self.answering: t.Any = None

    def start(self) -> asyncio.Task:
        """Take part; return the task that listens to targets and operators.

        It ends once both listeners are there, or with the fault.
        """
        self.keeper.start(listeners.listening(self.place.address))
        self.listening = asyncio.ensure_future(self._listen())
        return self.listening

    async def _listen(self) -> None:
        endpoints, answers = await asyncio.to_thread(self._load)
        answer = answers(self.keeper.hub)
        self.answering = endpoints.serve(self.control, answer)
        endpoints.serve(self.metrics_address, endpoints.figures(self.metrics))
        logs.event(log, "keeper.listening", address=self.control)

    def _load(self) -> tuple[types.ModuleType, t.Callable]:
        return importlib.import_module(HTTP_MODULE), self.load_answers()

    def use_seeds(self, addresses: list[str]) -> None:
        """Take the keepers that the settings name now."""
        self.keeper.use_seeds(addresses)

    async def stop(self) -> None:
        """End the calls in progress, step down and close.

        A call whose answer is lost leaves an operator in doubt whether the
        change holds.
        """
        self.listening.cancel()
        if self.answering is not None:
            await self.answering.close(CALLS_SECONDS)
        await self.keeper.stop()
