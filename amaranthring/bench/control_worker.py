"""Process of the control traffic benchmark: the membership of one router.

It prints its ports, reads the fleet from its standard input, and answers
each further line with one line of JSON figures. It exits at the end of its
input, so that it cannot outlive the benchmark.
"""

import asyncio
import json
import resource
import sys
import time

import tornado.httpserver
import tornado.testing
import tornado.web

from amaranthring import settings
from amaranthring.bench import control
from amaranthring.targets import announce
from amaranthring.targets import entries
from amaranthring.testing import mesh_members


class CountingServer(tornado.httpserver.HTTPServer):
    """An HTTP server that counts the bytes on its connections."""

    def initialize(self, *args, **kwargs):
        """Initialize the server and its count."""
        super().initialize(*args, **kwargs)
        self.counted_bytes = 0

    def handle_stream(self, stream, address):
        """Count what the connection reads and writes."""
        stream.read_from_fd = self.count_bytes(stream.read_from_fd)
        stream.write_to_fd = self.count_bytes(stream.write_to_fd)
        super().handle_stream(stream, address)

    def count_bytes(self, transfer):
        """Return `transfer` with its results added to the count."""

        def wrapper(data):
            transferred = transfer(data)
            self.counted_bytes += transferred or 0
            return transferred

        return wrapper


def figures(member: mesh_members.Member, server: CountingServer) -> dict:
    """Return resource usage and membership of this process."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    links = [p.link for p in member.mesh.peers.values() if p.link]
    return {
        "at": time.monotonic(),
        "processor_seconds": used.ru_utime + used.ru_stime,
        "resident_kb": used.ru_maxrss,
        "sent": sum(link.sent_bytes for link in links),
        "received": sum(link.received_bytes for link in links),
        "messages": sum(link.sent_frames for link in links),
        "http": server.counted_bytes,
        "links": len(links),
        "live": len(member.mesh.live()),
        "eligible": len(member.eligible()),
        "counters": dict(member.metrics.counters),
    }


async def fill_table(member: mesh_members.Member) -> None:
    """Keep the table as full as in a fleet of all data centres.

    The targets of data centres that are missing from this layout are vouched
    for once a second, as the digests of their relays would do.
    """
    data_centres = [
        f"far{number}" for number in range(control.DATA_CENTRES - 1)
    ]
    count = control.TARGETS // control.DATA_CENTRES
    now = time.monotonic()
    # Without callbacks, these targets are not sent to other routers.
    callbacks, member.table.change_callbacks = (
        member.table.change_callbacks,
        [],
    )
    for data_centre in data_centres:
        for number in range(count):
            remote = mesh_members.target(
                f"engine-{data_centre}-{number}", data_centre
            )
            member.table.merge_record(entries.Record(remote, 1, False), now)
    member.table.change_callbacks = callbacks
    while True:
        now = time.monotonic()
        for data_centre in data_centres:
            member.table.vouch(data_centre, now, [])
        await asyncio.sleep(1.0)


async def main() -> None:
    """Run until the standard input ends."""
    fleet_sock, fleet_port = tornado.testing.bind_unused_port()
    http_sock, http_port = tornado.testing.bind_unused_port()
    print(json.dumps([fleet_port, http_port]), flush=True)
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    config = json.loads(await reader.readline())
    peers = [settings.PeerAddress(**peer) for peer in config["peers"]]
    member = mesh_members.Member(config["name"], peers, [fleet_sock])
    routes = announce.routes(member.table, control.KEYS, member.metrics)
    server = CountingServer(
        tornado.web.Application(routes, log_function=lambda _: None)
    )
    server.add_sockets([http_sock])
    member.start()
    filler = asyncio.ensure_future(fill_table(member))
    while await reader.readline():
        print(json.dumps(figures(member, server)), flush=True)
    filler.cancel()


if __name__ == "__main__":
    asyncio.run(main())
