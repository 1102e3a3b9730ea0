"""Builds a keeper that replicates a routing plan.

Part of the composition root; a platform adapter passes in the control API
for targets and operators. Separate from the wiring of routers, so that a
keeper imports nothing that only routers use and restarts quickly.
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

# Time limit for control calls at shutdown. It covers closing the listener, a
# call that takes `hub.ANSWER_SECONDS`, and the idle time after which a kept
# connection is closed (2 s), on a slow processor. And the share of the grace
# period that it may take, since the keeper stops after it.
DRAIN_SECONDS = 3.0
DRAIN_SHARE = 0.5
HTTP_MODULE = "amaranthring.core.endpoints"


class KeeperProcess:
    """A keeper with the platform's control API on its control address.

    Imports the HTTP server in the background while the keeper already takes
    part in the consensus: the import takes 0.15 s on a quarter of a core, and
    would delay the election of a leader after a power failure.

    Parameters
    ----------
    load_answers : callable
        Imports and returns the factory of the control call handler, which
        takes the hub. Called in a separate thread.
    """

    def __init__(
        self,
        config: keepers.Config,
        control: str,
        metrics_address: str,
        keys: links.Keys,
        load_answers: t.Callable[[], t.Callable],
    ):
        self.config = config
        self.control = control
        self.metrics_address = metrics_address
        self.metrics = metrics_module.Metrics()
        self.keeper = keepers.PlanKeeper(config, keys, self.metrics)
        self.load_answers = load_answers
        self.listen_task: asyncio.Task | None = None
        self.servers: list[t.Any] = []

    def start(self) -> asyncio.Task:
        """Start the keeper; return the task that opens the HTTP listeners.

        The task ends once both listeners are open, or with an error.
        """
        self.keeper.start(listeners.bind_sockets(self.config.address))
        self.listen_task = asyncio.ensure_future(self._listen())
        return self.listen_task

    async def _listen(self) -> None:
        endpoints, make_answer = await asyncio.to_thread(self._load)
        answer = make_answer(self.keeper.hub)
        figures = endpoints.metrics_handler(self.metrics)
        for address, handler, most in (
            (self.control, answer, endpoints.MAX_BODY_BYTES),
            (self.metrics_address, figures, endpoints.NO_BODY_BYTES),
        ):
            self.servers.append(
                endpoints.serve(address, handler, self.keeper.intake, most)
            )
        logs.event(log, "keeper.listening", address=self.control)

    def _load(self) -> tuple[types.ModuleType, t.Callable]:
        return importlib.import_module(HTTP_MODULE), self.load_answers()

    def use_seeds(self, addresses: list[str]) -> None:
        """Set the addresses of the keepers named in the settings."""
        self.keeper.use_seeds(addresses)

    async def stop(self, _asked_at: float | None = None) -> None:
        """Answer calls while callers close, then stop the keeper.

        Dropping a call would leave its operator not knowing whether the
        change was committed. The keeper takes part in the consensus until
        all are answered.
        """
        self.listen_task.cancel()
        seconds = min(DRAIN_SECONDS, DRAIN_SHARE * self.config.grace)
        await asyncio.gather(*(each.close(seconds) for each in self.servers))
        await self.keeper.stop()
