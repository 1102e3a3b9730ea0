"""Relay processes that the ``way`` benchmark compares.

``python -m amaranthring.bench.relays plain|way ADDRESS...`` listens on a
free port, prints it, and relays to the engines at the addresses. ``plain``
is a minimal relay of tornado's server and client, whose
``streaming_callback`` writes and flushes each chunk. ``way`` is the
product's request execution, with fakes for its dependencies.
"""

import asyncio
import gc
import itertools
import json
import os
import resource
import sys

import tornado.httpclient
import tornado.netutil
import tornado.web

from amaranthring.callers import server
from amaranthring.core import records
from amaranthring.settings import models
from amaranthring.testing import fake_dependencies
from amaranthring.testing import standin

MAX_CLIENTS = 4096


class UsageHandler(tornado.web.RequestHandler):
    """``GET /usage``: processor time and memory of this process."""

    def get(self):
        """Respond with seconds and bytes."""
        used = resource.getrusage(resource.RUSAGE_SELF)
        with open("/proc/self/statm", encoding="ascii") as file:
            pages = int(file.read().split()[1])
        self.write(
            {
                "seconds": used.ru_utime + used.ru_stime,
                "bytes": pages * resource.getpagesize(),
            }
        )


class PlainHandler(tornado.web.RequestHandler):
    """A plain relay made of tornado's server and client."""

    def initialize(self, addresses):
        """Store the iterator over engine addresses."""
        self.addresses = addresses

    def prepare(self):
        """Generate a request ID, as the product does."""
        self.request_id = os.urandom(8).hex()

    async def post(self):
        """Relay one stream."""
        self.set_header("Content-Type", "text/event-stream")
        client = tornado.httpclient.AsyncHTTPClient()
        await client.fetch(
            f"http://{next(self.addresses)}/v1/chat/completions",
            method="POST",
            body=self.request.body,
            headers={"Amaranthring-Request-Id": self.request_id},
            streaming_callback=self.forward,
            request_timeout=0,
        )

    def forward(self, data: bytes) -> None:
        """Write and flush one chunk."""
        self.write(data)
        self.flush()


def plain_app(addresses: list[str]) -> tornado.web.Application:
    """Return the plain relay."""
    tornado.httpclient.AsyncHTTPClient.configure(None, max_clients=MAX_CLIENTS)
    options = {"addresses": itertools.cycle(addresses)}
    return tornado.web.Application(
        [
            ("/usage", UsageHandler),
            ("/v1/chat/completions", PlainHandler, options),
        ]
    )


def execution_app(addresses: list[str]) -> tornado.web.Application:
    """Return the product's request execution, with round-robin grants."""
    kind = records.TargetKind.ENGINE
    targets = [
        records.Target(f"e{n}", 1, kind, address, "dc1", "r", ("m1",))
        for n, address in enumerate(addresses)
    ]
    fakes = fake_dependencies.Fakes(*targets)
    round_robin = itertools.cycle(targets)
    grant_numbers = itertools.count()

    async def admit(_request, _excluded) -> records.Grant:
        target = next(round_robin)
        fakes.running[target.name] += 1
        return records.Grant(f"g{next(grant_numbers)}", "r1", target)

    fakes.needs.admit = admit
    fakes.needs.record_decision = lambda *_, **__: None
    limits = models.CallersSection()
    extra_routes = [("/usage", UsageHandler, {})]
    return server.make_app(fakes.needs, limits, extra_routes)


async def main() -> None:
    """Serve until killed."""
    kind, *addresses = sys.argv[1:]
    app = {"plain": plain_app, "way": execution_app}[kind](addresses)
    if kind == "way":
        limits = models.CallersSection()
        sockets = tornado.netutil.bind_sockets(0, "127.0.0.1")
        port = sockets[0].getsockname()[1]
        server.listen(app, sockets, limits)
    else:
        _, port = standin.listen(app)
    # Objects made at startup live until exit; freezing them keeps the
    # garbage collector from scanning them during a request.
    gc.collect()
    gc.freeze()
    print(json.dumps(port), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
