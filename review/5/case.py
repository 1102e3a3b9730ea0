"""Two routes at one place, told apart by the case of the host only."""

import asyncio
import json
import pathlib
import sys
import tempfile

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import deployment as deployments  # noqa: E402

DEADLINE_MS = 1000
REQUESTS = 20
PAUSE_SECONDS = 0.05
# Longer than `config_apply_ms`.
SETTLE_SECONDS = 3.0
HOST = deployments.HOST


def document(version, hosts):
    """Return a configuration with one route for each host.

    Parameters
    ----------
    hosts : dict of str to str
        Service by host name.
    """
    routes = [
        deployments.route("book", "unsafe", service)
        | {"name": f"book-{service}", "hostname": host}
        for host, service in hosts.items()
    ]
    return deployments.configuration(version, routes, ["app", "other"])


async def send_some(fleet, record, name) -> None:
    """Send unsafe requests of the first route to all routers in turn."""
    for number in range(REQUESTS):
        router = fleet.routers[number % len(fleet.routers)]
        request_id = f"{name}-{number}"
        headers = deployments.caller_headers(request_id, DEADLINE_MS)
        try:
            answer = await asyncio.wait_for(
                deployments.call(
                    fleet.ip(router), fleet.port, "POST", "/book/x", headers
                ),
                2 * DEADLINE_MS / 1000,
            )
            record.write(
                f"{request_id} {HOST} {router}: {answer.status}"
                f" {answer.body.decode()}"
            )
        except (OSError, EOFError, TimeoutError) as error:
            record.write(f"{request_id} {router}: {error!r}")
        await asyncio.sleep(PAUSE_SECONDS)


async def case(record) -> bool:
    """Return whether the change is acknowledged and moves the first route."""
    # Without trouble the second route has a host of its own.
    second = HOST.capitalize() if deployments.has_trouble() else f"b.{HOST}"
    with tempfile.TemporaryDirectory() as folder:
        fleet = deployments.Deployment(folder)
        replicas = [
            deployments.Replica(fleet, service)
            for service in ("app", "app", "other", "other")
        ]
        try:
            await fleet.start_all(document(7, {HOST: "app"}))
            for replica in replicas:
                await replica.start()
            # Heartbeats have reached both routers.
            await asyncio.sleep(3)
            await send_some(fleet, record, "before")
            changed = document(9, {HOST: "app", second: "other"})
            body = json.dumps(changed).encode()
            answer = await deployments.try_call(
                fleet.ip(fleet.keepers[0]),
                fleet.port,
                "POST",
                "/Configuration.Replace",
                body,
            )
            if answer is None or answer.status >= 500:
                raise deployments.NotRunError("the change has no answer")
            places = [(r["hostname"], r["backend"]) for r in changed["routes"]]
            record.write(
                f"version 9 with {places} at /book/: {answer.status}"
                f" {answer.body.decode()}"
            )
            await asyncio.sleep(SETTLE_SECONDS)
            await send_some(fleet, record, "after")
            fleet.check_running()
        finally:
            fleet.stop_all()
            for replica in replicas:
                if replica.beating is not None:
                    replica.stop()
    for replica in replicas:
        for name in replica.runs:
            record.write(f"run by {replica.backend}: {name}")
    served = sum(len(r.runs) for r in replicas if r.backend == "app")
    foreign = sum(len(r.runs) for r in replicas if r.backend == "other")
    record.write(f"{served} run by app, {foreign} by other")
    if served < REQUESTS / 2:
        raise deployments.NotRunError("too few requests ran before")
    if not deployments.has_trouble():
        return answer.status != 200 or foreign > 0
    return answer.status == 200 and foreign > 0


if __name__ == "__main__":
    deployments.main(case, FOLDER)
