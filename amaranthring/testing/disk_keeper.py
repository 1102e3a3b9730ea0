"""A plan keeper on a controlled disk, or routers that subscribe to plans.

Run as ``python -m amaranthring.testing.disk_keeper SETTINGS`` with a JSON
file whose ``role`` is ``keeper`` or ``router``. Connections to an address in
``relays`` go to the relay named there. Operators put and read plans over
HTTP: ``POST /VERSION`` and ``GET /``.
"""

import asyncio
import functools
import hashlib
import json
import os
import pathlib
import sys
import time

import logbook
import tornado.tcpclient

from amaranthring import errors
from amaranthring import plan_keeper
from amaranthring.core import clocks
from amaranthring.core import endpoints
from amaranthring.core import links
from amaranthring.core import logs
from amaranthring.core import signals
from amaranthring.keepers import plans
from amaranthring.registry import keeper as keepers
from amaranthring.registry import messages
from amaranthring.registry import subscriber
from amaranthring.testing import plan_keepers
from amaranthring.testing import slow_disks

log = logbook.Logger(__name__)

# Keys of their own: routers must not link to keepers of another test that has
# got the port of one that they still dial.
KEYS = links.Keys({"soak": b"key"})
# As targets of the deployments announce themselves.
ANNOUNCE_SECONDS = 1.0


def digest(document: bytes) -> str:
    """Return a short digest of a plan."""
    return hashlib.sha256(document).hexdigest()[:16]


def version_of(document: bytes) -> int:
    """Return the version in the first line of a plan."""
    return int(document.partition(b"\n")[0])


def use_relays(relays: dict[str, str]) -> None:
    """Make connections to an address go to its relay instead."""
    connect = tornado.tcpclient.TCPClient.connect

    def connect_to_relay(client, host, port, **options):
        address = relays.get(f"{host}:{port}", f"{host}:{port}")
        host, _, port = address.rpartition(":")
        return connect(client, host, int(port), **options)

    tornado.tcpclient.TCPClient.connect = connect_to_relay


def make_handler(hub):
    """Return the handler of operators' calls."""

    async def handle(request):
        if request.method == "POST":
            version = await hub.put(int(request.path[1:]), request.body)
            return endpoints.Response(body=b"%d" % version)
        plan = await hub.read()
        if plan.version < 0:
            raise errors.NotFoundError("no plan yet")
        return endpoints.Response(body=plans.decompress(plan.body))

    return handle


async def run_keeper(options: dict) -> None:
    """Run a keeper as the platform's daemon does, until SIGTERM."""
    stop = signals.stop_event()
    disk = slow_disks.Disk(
        pathlib.Path(options["disk"]), pathlib.Path(options["durable"])
    )
    os.fsync = disk.fsync
    keepers.PlanKeeper = functools.partial(
        keepers.PlanKeeper, files=disk.files()
    )
    config = keepers.Config(
        options["address"],
        options["data_centre"],
        options["seeds"],
        options["first"],
        options["folder"],
        ANNOUNCE_SECONDS,
        process_started_at=clocks.STARTED_AT,
    )
    process = plan_keeper.KeeperProcess(
        config,
        options["control"],
        options["metrics"],
        KEYS,
        lambda: make_handler,
    )
    process.start()
    await stop.wait()
    await process.stop()


async def run_routers(options: dict) -> None:
    """Run routers that hold links and fetch plans, until SIGTERM."""
    stop = signals.stop_event()
    subscribers = []
    for name in options["names"]:
        identity = links.Identity(
            name, messages.ROUTER_ROLE, "here", time.time_ns()
        )
        router = subscriber.Subscriber(
            identity,
            KEYS,
            functools.partial(_log_plan, name),
            plan_keepers.make_sharers(),
        )
        router.use_seeds(options["seeds"])
        subscribers.append(router)
    await stop.wait()
    for router in subscribers:
        router.stop()


def _log_plan(router: str, document: bytes) -> None:
    logs.event(
        log,
        "soak.plan",
        router=router,
        version=version_of(document),
        digest=digest(document),
    )


def main() -> None:
    """Run from the command line."""
    options = json.loads(pathlib.Path(sys.argv[1]).read_text())
    logs.setup(options["role"])
    use_relays(options["relays"])
    run = {"keeper": run_keeper, "router": run_routers}[options["role"]]
    try:
        asyncio.run(run(options))
    except errors.AmaranthringError as error:
        log.error("{}.failed fault={}", options["role"], error)
        sys.exit(1)


if __name__ == "__main__":
    main()
