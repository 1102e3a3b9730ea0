"""One process of the control traffic benchmark: a router's membership only.

It prints the ports that it bound, reads the fleet from its standard input,
and answers each further line with one line of JSON figures. It ends when its
input does, so that it cannot outlive the benchmark.
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
        """Begin at zero."""
        super().initialize(*args, **kwargs)
        self.counted_bytes = 0

    def handle_stream(self, stream, address):
        """Count what the connection reads and writes."""
        stream.read_from_fd = self.counted(stream.read_from_fd)
        stream.write_to_fd = self.counted(stream.write_to_fd)
        super().handle_stream(stream, address)

    def counted(self, move):
        """Return `move` with its result added to the count."""

        def counting(data):
            moved = move(data)
            self.counted_bytes += moved or 0
            return moved

        return counting


def figures(member: mesh_members.Member, server: CountingServer) -> dict:
    """Return what this process has used so far."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    linked = [p.link for p in member.mesh.peers.values() if p.link]
    return {
        "at": time.monotonic(),
        "processor_seconds": used.ru_utime + used.ru_stime,
        "resident_kb": used.ru_maxrss,
        "sent": sum(link.sent_bytes for link in linked),
        "received": sum(link.received_bytes for link in linked),
        "messages": sum(link.sent_frames for link in linked),
        "http": server.counted_bytes,
        "links": len(linked),
        "live": len(member.mesh.live()),
        "eligible": len(member.eligible()),
        "counters": dict(member.metrics.counters),
    }


async def elsewhere(member: mesh_members.Member) -> None:
    """Keep the table as full as in a fleet of every data centre.

    The targets of data centres that this layout does not have are vouched
    for once a second, as the digests of their relays would.
    """
    places = [f"far{number}" for number in range(control.DATA_CENTRES - 1)]
    count = control.TARGETS // control.DATA_CENTRES
    now = time.monotonic()
    # They did not come through this router: it has nobody to tell.
    changes, member.table.change_callbacks = member.table.change_callbacks, []
    for place in places:
        for number in range(count):
            far = mesh_members.target(f"engine-{place}-{number}", place)
            member.table.merge_record(entries.Record(far, 1, False), now)
    member.table.change_callbacks = changes
    while True:
        now = time.monotonic()
        for place in places:
            member.table.vouch(place, now, [])
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
    given = json.loads(await reader.readline())
    peers = [settings.PeerAddress(**peer) for peer in given["peers"]]
    member = mesh_members.Member(given["name"], peers, [fleet_sock])
    routes = announce.routes(member.table, control.KEYS, member.metrics)
    server = CountingServer(
        tornado.web.Application(routes, log_function=lambda _: None)
    )
    server.add_sockets([http_sock])
    member.start()
    full = asyncio.ensure_future(elsewhere(member))
    while await reader.readline():
        print(json.dumps(figures(member, server)), flush=True)
    full.cancel()


if __name__ == "__main__":
    asyncio.run(main())
