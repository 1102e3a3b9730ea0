"""Composition root: starts, serves and stops a process.

The command line calls ``run`` for a daemon. :mod:`amaranthring.router_parts`
and :mod:`amaranthring.keeper_parts` wire the components of a router and of a
keeper; no other module does.
"""

import asyncio
import time

import logbook
import tornado.web

from amaranthring import keeper_parts
from amaranthring import router_parts
from amaranthring import settings as settings_module
from amaranthring.callers import server
from amaranthring.core import background
from amaranthring.core import garbage_collection
from amaranthring.core import http_servers
from amaranthring.core import intake as intakes
from amaranthring.core import links
from amaranthring.core import listeners
from amaranthring.core import logs
from amaranthring.core import signals
from amaranthring.monitoring import exporters
from amaranthring.monitoring import health
from amaranthring.settings import file_checks

log = logbook.Logger(__name__)


def run(role: str, settings: settings_module.Settings) -> None:
    """Run a router or keeper until SIGTERM or SIGINT; ignore SIGHUP.

    Settings are read at the start only.

    Raises
    ------
    errors.SettingsError
        If a file named in the settings is not usable.
    errors.ListenError
        If an address is in use.
    """
    signals.ignore_hangup()
    settings_module.check_files(settings, role)
    process = settings.process
    logs.setup(process.name, process.log_level, process.log_format)
    runners = {"router": run_router, "keeper": run_keeper}
    asyncio.run(runners[role](settings))


def _no_access_log(_handler: tornado.web.RequestHandler) -> None:
    """Disable Tornado's access log; requests are counted in metrics."""


def listen_internal(
    settings: settings_module.Settings, routes: list, intake: intakes.Intake
) -> listeners.Listener:
    """Serve `routes` on the internal listener, with TLS if configured."""
    listen = settings.listen
    bounds = settings.callers
    server = http_servers.BoundedServer(
        tornado.web.Application(routes, log_function=_no_access_log),
        intake=intake,
        ssl_options=file_checks.load_tls_context(
            listen.internal_certificate_file,
            listen.internal_certificate_key_file,
        ),
        max_header_size=bounds.header_bytes_most,
        max_body_size=bounds.body_bytes_most,
        idle_connection_timeout=bounds.idle_seconds,
        body_timeout=bounds.body_seconds,
    )
    return listeners.serve(server, listen.internal)


def identity_of(
    role: str, settings: settings_module.Settings
) -> links.Identity:
    """Return the identity of this process on fleet links."""
    process = settings.process
    incarnation = time.time_ns() // 1_000_000
    return links.Identity(process.name, role, process.data_centre, incarnation)


async def run_router(settings: settings_module.Settings) -> None:
    """Run a router until a stop signal, then shut it down gracefully."""
    background.log_unhandled(asyncio.get_running_loop())
    stop = signals.stop_event()
    router = router_parts.Router(settings, identity_of("router", settings))
    internal = listen_internal(
        settings, router.internal_routes(), router.intake
    )
    callers = listen_callers(settings, router)
    router.start(listeners.bind_sockets(settings.listen.fleet))
    garbage_collection.freeze_startup_objects()
    logs.event(log, "router.started", callers=settings.listen.callers)
    await stop.wait()
    await router.shut_down(callers, internal)
    logs.event(log, "router.stopped", running=router.drain.in_flight)


def listen_callers(
    settings: settings_module.Settings, router: router_parts.Router
) -> listeners.Listener:
    """Serve callers and the balancer's health check."""
    options = {"ready": router.not_ready_reason}
    routes = [("/health", health.HealthHandler, options)]
    app = server.make_app(router.needs, settings.callers, routes)
    listen = settings.listen
    context = file_checks.load_tls_context(
        listen.certificate_file, listen.certificate_key_file
    )
    sockets = listeners.bind_sockets(listen.callers)
    served = server.listen(
        app, sockets, settings.callers, context, router.intake
    )
    return listeners.Listener(served, sockets)


async def run_keeper(settings: settings_module.Settings) -> None:
    """Run a keeper until a stop signal."""
    background.log_unhandled(asyncio.get_running_loop())
    stop = signals.stop_event()
    keeper, served = keeper_parts.make(settings)
    routes = [
        ("/metrics", exporters.MetricsHandler, {"figures": keeper.metrics})
    ]
    internal = listen_internal(settings, routes, keeper.intake)
    keeper.start(listeners.bind_sockets(settings.listen.fleet))
    garbage_collection.freeze_startup_objects()
    logs.event(log, "keeper.started", folder=settings.process.data_folder)
    await stop.wait()
    served.stop()
    await internal.close()
    await internal.close_connections()
    await keeper.stop()
    logs.event(log, "keeper.stopped")
