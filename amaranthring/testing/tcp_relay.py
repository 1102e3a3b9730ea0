"""A TCP relay that simulates network partitions by blocking directions.

Bytes of a blocked direction are held back, as if they were retransmitted:
they arrive after :meth:`Relay.heal`, or never if an end closes first. While
the direction to the upstream is blocked, new connections are accepted and
hang. Connections silenced by :meth:`Relay.silence` carry nothing any more, not
even their close, while new ones work.
"""

import asyncio

READ_BYTES = 64 * 1024


class Relay:
    """A relay from a listening port to an upstream address.

    Attributes
    ----------
    port : int
        Port that it listens on, at 127.0.0.1.
    upstream : str
        ``host:port``; may be changed while the relay runs.
    """

    def __init__(self, upstream: str = ""):
        self.upstream = upstream
        self.port = 0
        self.upstream_unblocked = asyncio.Event()
        self.client_unblocked = asyncio.Event()
        self.heal()
        self.tasks: set[asyncio.Task] = set()
        self.open: set[object] = set()
        self.silenced: set[object] = set()

    @property
    def address(self) -> str:
        """Return ``host:port`` of the listener."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Listen on `port`, or on a free port if it is 0."""
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
        """Hold back the bytes of the given directions."""
        if to_target:
            self.upstream_unblocked.clear()
        if to_client:
            self.client_unblocked.clear()

    def heal(self) -> None:
        """Unblock both directions and release what was held back."""
        self.upstream_unblocked.set()
        self.client_unblocked.set()

    def silence(self) -> int:
        """Silence the open connections for good; return their number."""
        silenced = len(self.open)
        self.silenced |= self.open
        self.open.clear()
        return silenced

    async def _accept(self, reader, writer) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        try:
            await self.upstream_unblocked.wait()
            host, port = self.upstream.rsplit(":", 1)
            upstream = await asyncio.open_connection(host, int(port))
            await self._relay_both(reader, writer, upstream)
        except (OSError, ValueError, asyncio.CancelledError):
            # Only `stop` cancels the task; asyncio's server would log the
            # cancellation as an error.
            pass
        finally:
            writer.close()

    async def _relay_both(self, reader, writer, upstream) -> None:
        connection = object()
        self.open.add(connection)

        async def relay(source, sink, unblocked):
            await self._relay(source, sink, unblocked, connection)
            if connection in self.silenced:
                await asyncio.Event().wait()

        tasks = [
            asyncio.ensure_future(
                relay(reader, upstream[1], self.upstream_unblocked)
            ),
            asyncio.ensure_future(
                relay(upstream[0], writer, self.client_unblocked)
            ),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.open.discard(connection)
            self.silenced.discard(connection)
            for task in tasks:
                task.cancel()
            upstream[1].close()

    async def _relay(self, reader, writer, unblocked, connection) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                await unblocked.wait()
                if connection in self.silenced:
                    return
                writer.write(data)
                await writer.drain()
            await unblocked.wait()
        except OSError:
            pass
