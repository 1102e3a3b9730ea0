"""Processes that the benchmark of the way compares.

``python -m amaranthring.bench.relays plain|way ADDRESS...`` listens on a
free port, prints it, and relays to the engines at the addresses. ``plain``
is the least that tornado's server and client make: the client's
``streaming_callback`` writes and flushes each piece. ``way`` is the whole
way of a request, with small fakes for what other packages give it.
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

CLIENTS_MOST = 4096


class UsageHandler(tornado.web.RequestHandler):
    """``GET /usage``: processor time and memory of this process."""

    def get(self):
        """Answer seconds and bytes."""
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
        """Take the engines, in turns."""
        self.addresses = addresses

    def prepare(self):
        """Name the request, as the way does."""
        self.name = os.urandom(8).hex()

    async def post(self):
        """Relay one stream."""
        self.set_header("Content-Type", "text/event-stream")
        client = tornado.httpclient.AsyncHTTPClient()
        await client.fetch(
            f"http://{next(self.addresses)}/v1/chat/completions",
            method="POST",
            body=self.request.body,
            headers={"Amaranthring-Request-Id": self.name},
            streaming_callback=self.pass_on,
            request_timeout=0,
        )

    def pass_on(self, data: bytes) -> None:
        """Write what came."""
        self.write(data)
        self.flush()


def plain_app(addresses: list[str]) -> tornado.web.Application:
    """Return the plain relay."""
    tornado.httpclient.AsyncHTTPClient.configure(
        None, max_clients=CLIENTS_MOST
    )
    given = {"addresses": itertools.cycle(addresses)}
    return tornado.web.Application(
        [
            ("/usage", UsageHandler),
            ("/v1/chat/completions", PlainHandler, given),
        ]
    )


def way_app(addresses: list[str]) -> tornado.web.Application:
    """Return the whole way, granting the engines in turns."""
    kind = records.TargetKind.ENGINE
    targets = [
        records.Target(f"e{n}", 1, kind, address, "dc1", "r", ("m1",))
        for n, address in enumerate(addresses)
    ]
    fakes = fake_dependencies.Fakes(*targets)
    turns = itertools.cycle(targets)
    ids = itertools.count()

    async def admit(_request, _excluded) -> records.Grant:
        target = next(turns)
        fakes.running[target.name] += 1
        return records.Grant(f"g{next(ids)}", "r1", target)

    fakes.needs.admit = admit
    fakes.needs.record_decision = lambda *_, **__: None
    bounds = models.CallersSection()
    others = [("/usage", UsageHandler, {})]
    return server.make_app(fakes.needs, bounds, others)


async def main() -> None:
    """Serve until killed."""
    kind, *addresses = sys.argv[1:]
    app = {"plain": plain_app, "way": way_app}[kind](addresses)
    if kind == "way":
        bounds = models.CallersSection()
        sockets = tornado.netutil.bind_sockets(0, "127.0.0.1")
        port = sockets[0].getsockname()[1]
        server.listen(app, sockets, bounds)
    else:
        _, port = standin.listen(app)
    # What was made at the start lives for ever; the collector need not look
    # at it again in the middle of a request.
    gc.collect()
    gc.freeze()
    print(json.dumps(port), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
