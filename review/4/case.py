"""A key that is withdrawn with the last tenant goes on working."""

import asyncio
import json
import pathlib
import sys
import tempfile
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import deployment as deployments  # noqa: E402

DEADLINE_MS = 1000
# Requests before the withdrawal, and after the time that it may take.
REQUESTS = 20
PAUSE_SECONDS = 0.1
TENANT = {"name": "hule930", "api_keys": ["key-hule930"], "priority": 1}
OTHER = {"name": "pomi212", "api_keys": ["key-pomi212"], "priority": 1}


class Replica(deployments.Replica):
    """A replica that notes what it was told of the tenant."""

    tenants: dict[str, str | None] = {}

    async def answer(self, path, headers, body, writer) -> None:
        """Note the tenant, and answer."""
        request_id = headers.get("amaranthring-request-id", "")
        self.tenants[request_id] = headers.get("amaranthring-tenant")
        await super().answer(path, headers, body, writer)


async def send_some(fleet, record, name) -> None:
    """Send requests with the key to all routers in turn."""
    for number in range(REQUESTS):
        router = fleet.routers[number % len(fleet.routers)]
        request_id = f"{name}-{number}"
        headers = deployments.caller_headers(request_id, DEADLINE_MS)
        try:
            answer = await asyncio.wait_for(
                deployments.call(
                    fleet.ip(router), fleet.port, "GET", "/fetch/x", headers
                ),
                2 * DEADLINE_MS / 1000,
            )
            record.write(
                f"{request_id} {router}: {answer.status}"
                f" {answer.body.decode()}"
            )
        except (OSError, EOFError, TimeoutError) as error:
            record.write(f"{request_id} {router}: {error!r}")
        await asyncio.sleep(PAUSE_SECONDS)


def document(version, tenants):
    """Return a configuration with the given tenants."""
    found = deployments.configuration(
        version, [deployments.route("fetch", "safe", "app")], ["app"]
    )
    return found | {"tenants": tenants}


async def case(record) -> bool:
    """Return whether requests with the withdrawn key have run."""
    # Without trouble another tenant remains.
    others = [] if deployments.has_trouble() else [OTHER]
    with tempfile.TemporaryDirectory() as folder:
        fleet = deployments.Deployment(folder)
        replicas = [Replica(fleet, "app") for _ in range(3)]
        try:
            await fleet.start_all(document(7, [TENANT, *others]))
            for replica in replicas:
                await replica.start()
            # Heartbeats have reached both routers.
            await asyncio.sleep(3)
            await send_some(fleet, record, "before")
            changed = document(9, others)
            if await fleet.put(changed) is None:
                raise deployments.NotRunError("the change has no answer")
            acknowledged_at = time.monotonic()
            tenants = json.dumps(changed["tenants"])
            record.write(f"acknowledged: version 9, tenants {tenants}")
            seconds = deployments.BOUNDS["revoke_ms"] / 1000
            await asyncio.sleep(seconds + 1)
            late = time.monotonic() - acknowledged_at
            record.write(f"{late:.1f} s after the acknowledgement:")
            await send_some(fleet, record, "after")
            fleet.check_running()
        finally:
            fleet.stop_all()
            for replica in replicas:
                if replica.beating is not None:
                    replica.stop()
    ran = [name for replica in replicas for name in replica.runs]
    for name in ran:
        record.write(f"run: {name}, tenant {Replica.tenants[name]}")
    before = sum(name.startswith("before") for name in ran)
    after = sum(name.startswith("after") for name in ran)
    record.write(f"{before} run before, {after} run after the withdrawal")
    if before < REQUESTS / 2:
        raise deployments.NotRunError("too few requests ran before")
    return after > 0


if __name__ == "__main__":
    deployments.main(case, FOLDER)
