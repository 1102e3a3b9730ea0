"""A TCP relay whose directions can be cut, as a network partition does.

Bytes of a cut direction are held back, not lost: like packets that are
dropped and sent again, they arrive after :meth:`Cut.heal`, or never if an
end gives up first. New connections are accepted while cut, and hang.
"""

import asyncio

READ_BYTES = 64 * 1024


class Relay:
    """A relay from a listening port to a target address.

    Attributes
    ----------
    port : int
        Where it listens, on 127.0.0.1.
    target : str
        ``host:port``; may be changed while it runs.
    """

    def __init__(self, target: str = ""):
        self.upstream = target
        self.port = 0
        self.open_to_target = asyncio.Event()
        self.open_to_client = asyncio.Event()
        self.heal()
        self.tasks: set[asyncio.Task] = set()

    @property
    def address(self) -> str:
        """Return ``host:port`` of the listener."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Listen on its port, or on a free one if it is 0."""
        self.server = await asyncio.start_server(
            self._accept, "127.0.0.1", self.port
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the listener and every connection."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def block(self, to_target: bool = True, to_client: bool = True) -> None:
        """Hold back bytes of the given directions."""
        if to_target:
            self.open_to_target.clear()
        if to_client:
            self.open_to_client.clear()

    def heal(self) -> None:
        """Let everything through again."""
        self.open_to_target.set()
        self.open_to_client.set()

    async def _accept(self, reader, writer) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        try:
            await self.open_to_target.wait()
            host, port = self.upstream.rsplit(":", 1)
            there = await asyncio.open_connection(host, int(port))
            await self._relay_both(reader, writer, there)
        except (OSError, ValueError, asyncio.CancelledError):
            # The server's own callback would report a cancelled task as a
            # fault; it only ever is cancelled by `stop`.
            pass
        finally:
            writer.close()

    async def _relay_both(self, reader, writer, there) -> None:
        ways = [
            asyncio.ensure_future(
                self._relay(reader, there[1], self.open_to_target)
            ),
            asyncio.ensure_future(
                self._relay(there[0], writer, self.open_to_client)
            ),
        ]
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for way in ways:
                way.cancel()
            there[1].close()

    async def _relay(self, reader, writer, way: asyncio.Event) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                await way.wait()
                writer.write(data)
                await writer.drain()
            await way.wait()
        except OSError:
            pass
