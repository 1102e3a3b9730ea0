"""Command line, listener and graceful shutdown of the stand-ins."""

import argparse
import asyncio
import os
import socket
import time
import typing as t

import tornado.httpserver
import tornado.netutil
import tornado.web

from amaranthring import settings
from amaranthring.core import records
from amaranthring.core import signals
from amaranthring.testing import announcements

DRAIN_SECONDS = 10.0
POLL_SECONDS = 0.05


def arguments(kind: records.TargetKind) -> argparse.ArgumentParser:
    """Return a parser of the arguments that all stand-ins take."""
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


def shut_down_connections() -> None:
    """Shut down every connection of this process; its listeners stay."""
    for name in os.listdir("/proc/self/fd"):
        try:
            connection = socket.socket(fileno=os.dup(int(name)))
        except OSError:
            # Not a socket.
            continue
        with connection:
            try:
                # Fails for listeners, which a shutdown would close.
                connection.getpeername()
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue


def target(
    args: argparse.Namespace,
    kind: records.TargetKind,
    port: int,
    serves: str,
    **fields: t.Any,
) -> records.Target:
    """Return the record to announce; every start is a new incarnation."""
    return records.Target(
        name=args.name,
        incarnation=time.time_ns() // 1_000_000,
        kind=kind,
        address=f"127.0.0.1:{port}",
        data_centre=args.data_centre,
        region=args.region,
        serves=tuple(serves.split(",")),
        capacity=args.capacity,
        **fields,
    )


async def serve(
    args: argparse.Namespace,
    announced_target: records.Target,
    load: t.Callable[[], tuple[int, int, float]],
    serves: t.Callable[[], list[str]] | None = None,
    on_leave: t.Callable[[], None] = lambda: None,
) -> None:
    """Announce until SIGTERM or SIGINT, then leave and drain.

    Parameters
    ----------
    on_leave : callable
        Makes all answers say that the stand-in leaves.
    """
    print(f"listening {announced_target.address}", flush=True)
    stopping = signals.stop_event()
    announcer = None
    if args.announce:
        key_id, key = next(iter(settings.read_keys(args.key_file).items()))
        announcer = announcements.Announcer(
            announced_target,
            args.announce,
            key_id,
            key,
            load,
            args.report_seconds,
            serves,
        )
        announcer.start()
    await stopping.wait()
    on_leave()
    if announcer:
        await announcer.leave()
    for _ in range(int(DRAIN_SECONDS / POLL_SECONDS)):
        if not sum(load()[:2]):
            break
        await asyncio.sleep(POLL_SECONDS)
