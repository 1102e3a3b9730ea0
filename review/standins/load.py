"""Traffic from several clients, and its record."""

import asyncio
import collections

from standins import client
from standins import config


class Load:
    """Clients that each send one request after the other.

    Attributes
    ----------
    outcomes : list of client.Outcome
        Of all requests so far.
    """

    def __init__(self, fleet, record, clients=4, pause=0.2):
        self.fleet = fleet
        self.record = record
        self.clients = clients
        self.pause = pause
        self.outcomes = []

    async def run(self, seconds, prefix=config.UNSAFE, method="POST"):
        """Send requests for some seconds; return their outcomes."""
        first = len(self.outcomes)
        end = asyncio.get_running_loop().time() + seconds
        await asyncio.gather(
            *(
                self._drive(router, number, end, prefix, method)
                for router in self.fleet.routers
                for number in range(self.clients)
            )
        )
        return self.outcomes[first:]

    async def _drive(self, router, number, end, prefix, method):
        caller = client.Client(
            self.fleet.front(router), config.HOST, config.KEY
        )
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self.pause * number / self.clients)
        while loop.time() < end:
            body = b'{"book": 1}' if method == "POST" else b""
            outcome = await caller.send(method, f"{prefix}2f", body)
            self.outcomes.append(outcome)
            after = outcome.headers.get("retry-after", "")
            self.record.note(
                f"sent {outcome.id} to {router}: answered"
                f" {outcome.status or 'nothing'} after"
                f" {outcome.seconds:.3f} s"
                + (f", Retry-After {after}" if after else ""),
                outcome.sent_at,
            )
            await asyncio.sleep(self.pause)
        caller.close()


def runs_of(replicas, record):
    """Return how often each request ran, and record all runs."""
    runs = collections.Counter()
    for replica in replicas:
        runs.update(replica.runs)
        for at, name, request_id in replica.run_log:
            record.note(f"{name} runs {request_id}", at)
    return runs
