"""Composition root: the one place that wires the parts of a process.

``run`` is what the command line calls for a daemon. Everything that varies
is handed to the parts as plain functions here.
"""

import asyncio
import signal
import ssl
import time

import logbook
import tornado.httpserver
import tornado.netutil
import tornado.web

from amaranthring import errors
from amaranthring import settings as settings_module
from amaranthring.core import decisions
from amaranthring.core import links
from amaranthring.core import logs
from amaranthring.core import metrics
from amaranthring.platform import figures
from amaranthring.platform import health
from amaranthring.settings import files

log = logbook.Logger(__name__)


def run(role: str, settings: settings_module.Settings) -> None:
    """Run a router or keeper until SIGTERM or SIGINT.

    Raises
    ------
    errors.SettingsError
        If a file that the settings name is not usable.
    errors.ListenError
        If an address is taken.
    """
    settings_module.check_files(settings, role)
    process = settings.process
    logs.setup(process.name, process.log_level, process.log_format)
    mains = {"router": run_router, "keeper": run_keeper}
    asyncio.run(mains[role](settings))


def stop_event() -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set.

    A second signal finds the event set and changes nothing, so an impatient
    operator does not cut off what the first one lets end.
    """
    event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, event.set)
    return event


def bind(address: str) -> list:
    """Return listening sockets on ``host:port``.

    Raises
    ------
    errors.ListenError
        If the address is taken or not of this VM.
    """
    host, port = address.rsplit(":", 1)
    try:
        return tornado.netutil.bind_sockets(int(port), host.strip("[]"))
    except OSError as error:
        raise errors.ListenError(
            f"cannot listen on {address}",
            given=error.strerror,
            expected="a free address of this VM",
        ) from error


def _unlogged(_handler: tornado.web.RequestHandler) -> None:
    """Write no line per request: requests are counted, not logged."""


def listen_internal(
    settings: settings_module.Settings, routes: list
) -> tornado.httpserver.HTTPServer:
    """Serve `routes` on the internal listener, with TLS where set."""
    listen = settings.listen
    bounds = settings.callers
    server = tornado.httpserver.HTTPServer(
        tornado.web.Application(routes, log_function=_unlogged),
        ssl_options=files.tls_context(
            listen.internal_certificate_file,
            listen.internal_certificate_key_file,
        ),
        max_header_size=bounds.header_bytes_most,
        max_body_size=bounds.body_bytes_most,
        idle_connection_timeout=bounds.idle_seconds,
        body_timeout=bounds.body_seconds,
    )
    server.add_sockets(bind(listen.internal))
    return server


def callers_context(
    settings: settings_module.Settings,
) -> ssl.SSLContext | None:
    """Return the TLS context towards callers, or None."""
    listen = settings.listen
    return files.tls_context(
        listen.certificate_file, listen.certificate_key_file
    )


def identity_of(
    role: str, settings: settings_module.Settings
) -> links.Identity:
    """Return who this process is on the fleet's streams."""
    process = settings.process
    incarnation = time.time_ns() // 1_000_000
    return links.Identity(process.name, role, process.data_centre, incarnation)


async def run_router(settings: settings_module.Settings) -> None:
    """Wire and run a router."""
    stop = stop_event()
    measured = metrics.Metrics()
    ring = decisions.Decisions()
    routes = [
        ("/metrics", figures.FiguresHandler, {"figures": measured}),
        ("/health", health.HealthHandler, {"ready": lambda: "starting"}),
    ]
    server = listen_internal(settings, routes)
    logs.event(log, "router.started", requests_kept=ring.requests_most)
    await stop.wait()
    server.stop()


async def run_keeper(settings: settings_module.Settings) -> None:
    """Wire and run a keeper."""
    stop = stop_event()
    logs.event(log, "keeper.started", folder=settings.process.data_folder)
    await stop.wait()
