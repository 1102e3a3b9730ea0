"""What the stand-ins share: command line, listening, orderly end."""

import argparse
import asyncio
import time
import typing as t

import tornado.httpserver
import tornado.netutil
import tornado.web

from amaranthring import settings
from amaranthring.core import records
from amaranthring.core import signals
from amaranthring.testing import announcements

END_SECONDS = 10.0
LOOK_SECONDS = 0.05


def arguments(kind: records.TargetKind) -> argparse.ArgumentParser:
    """Return the parser of the arguments that every stand-in takes."""
    parser = argparse.ArgumentParser(description=f"stand-in {kind}")
    parser.add_argument("--name", required=True)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--announce", action="append", default=[])
    parser.add_argument("--key-file", default="")
    parser.add_argument("--data-centre", default="dc1")
    parser.add_argument("--region", default="default")
    parser.add_argument("--capacity", type=int, default=64)
    parser.add_argument("--report-seconds", type=float, default=1.0)
    return parser


def listen(
    app: tornado.web.Application, port: int = 0
) -> tuple[tornado.httpserver.HTTPServer, int]:
    """Serve `app` on loopback; return the server and its port."""
    sockets = tornado.netutil.bind_sockets(port, "127.0.0.1")
    server = tornado.httpserver.HTTPServer(app)
    server.add_sockets(sockets)
    return server, sockets[0].getsockname()[1]


def target(
    given: argparse.Namespace,
    kind: records.TargetKind,
    port: int,
    serves: str,
    **fields: t.Any,
) -> records.Target:
    """Return the announcement of a stand-in; a start is an incarnation."""
    return records.Target(
        name=given.name,
        incarnation=time.time_ns() // 1_000_000,
        kind=kind,
        address=f"127.0.0.1:{port}",
        data_centre=given.data_centre,
        region=given.region,
        serves=tuple(serves.split(",")),
        capacity=given.capacity,
        **fields,
    )


async def serve(
    given: argparse.Namespace,
    announced: records.Target,
    load: t.Callable[[], tuple[int, int, float]],
    serves: t.Callable[[], list[str]] | None = None,
) -> None:
    """Announce until SIGTERM or SIGINT, leave, and end what still runs."""
    print(f"listening {announced.address}", flush=True)
    stopped = signals.stop_event()
    announcer = None
    if given.announce:
        key_id, key = next(iter(settings.read_keys(given.key_file).items()))
        announcer = announcements.Announcer(
            announced,
            given.announce,
            key_id,
            key,
            load,
            given.report_seconds,
            serves,
        )
        announcer.start()
    await stopped.wait()
    if announcer:
        await announcer.leave()
    for _ in range(int(END_SECONDS / LOOK_SECONDS)):
        if not sum(load()[:2]):
            break
        await asyncio.sleep(LOOK_SECONDS)
