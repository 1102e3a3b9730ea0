"""Proper requests with long bodies on kept connections are refused."""

import asyncio
import collections
import pathlib
import sys
import tempfile
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import deployment as deployments  # noqa: E402

CLIENTS = 1
SECONDS = 20.0
LONG_BODY = 200_000
SHORT_BODY = 600
DEADLINE_MS = 1000
# As of the booking service of the site.
WORK_SECONDS = 0.0225
# Of RULES.md: more than 5 + one in 500 of all requests.
ALLOWED = 5
ALLOWED_SHARE = 1 / 500
# Of the router's own refusals, these do not count.
PROMISES = (408, 421, 429)


async def send_all(fleet, record, number, until, ends) -> None:
    """Send one request after the other on a kept connection."""
    body = b"x" * (LONG_BODY if deployments.has_trouble() else SHORT_BODY)
    router = fleet.routers[number % len(fleet.routers)]
    connection = None
    sent = 0
    while time.monotonic() < until:
        if connection is None:
            connection = await asyncio.open_connection(
                fleet.ip(router), fleet.port
            )
        sent += 1
        request_id = f"c{number}-{sent}"
        headers = deployments.caller_headers(request_id, DEADLINE_MS)
        try:
            answer = await asyncio.wait_for(
                deployments.exchange(
                    connection, "POST", "/upload/art", headers, body
                ),
                2 * DEADLINE_MS / 1000,
            )
        except (OSError, EOFError, TimeoutError) as error:
            record.write(f"{request_id} {len(body)} B: {error!r}")
            ends["none"] += 1
            connection[1].transport.abort()
            connection = None
            continue
        signed = "amaranthring-replica-signature" in answer.headers
        ends[answer.status, signed] += 1
        record.write(
            f"{request_id} {router} {len(body)} B: {answer.status}"
            f" {'signed' if signed else answer.body.decode()}"
        )
        if answer.headers.get("connection", "").lower() == "close":
            connection[1].transport.abort()
            connection = None
    if connection is not None:
        connection[1].transport.abort()


async def case(record) -> bool:
    """Return whether too many proper requests were refused."""
    ends: collections.Counter = collections.Counter()
    with tempfile.TemporaryDirectory() as folder:
        fleet = deployments.Deployment(folder)
        replicas = [
            deployments.Replica(fleet, "app", WORK_SECONDS) for _ in range(3)
        ]
        try:
            await fleet.start_all(
                deployments.configuration(
                    7, [deployments.route("upload", "safe", "app")], ["app"]
                )
            )
            for replica in replicas:
                await replica.start()
            # Heartbeats have reached both routers.
            await asyncio.sleep(3)
            until = time.monotonic() + SECONDS
            await asyncio.gather(
                *(
                    send_all(fleet, record, number, until, ends)
                    for number in range(CLIENTS)
                )
            )
            fleet.check_running()
        finally:
            fleet.stop_all()
            for replica in replicas:
                if replica.beating is not None:
                    replica.stop()
    requests = sum(ends.values())
    denied = sum(
        count
        for end, count in ends.items()
        if end != "none"
        and 300 <= end[0] < 500
        and end[0] not in PROMISES
        and not end[1]
    )
    runs = sum(len(replica.runs) for replica in replicas)
    allowed = ALLOWED + ALLOWED_SHARE * requests
    record.write(f"ends by status and signature: {dict(ends)}")
    record.write(
        f"{requests} requests, {runs} runs,"
        f" {denied} denied, {allowed:.1f} allowed"
    )
    if requests < 200:
        raise deployments.NotRunError("too few requests were sent")
    return denied > allowed


if __name__ == "__main__":
    deployments.main(case, FOLDER)
