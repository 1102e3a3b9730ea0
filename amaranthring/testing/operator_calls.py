"""Operators' calls to keepers on connections that stay open."""

import asyncio

# An operator allows a keeper this time for an answer, then asks another.
CALL_SECONDS = 1.0


class Operator:
    """Calls keepers, each over one connection until it breaks.

    Parameters
    ----------
    addresses : list of str
        ``host:port`` of the keepers' control listeners.
    """

    def __init__(self, addresses: list[str]):
        self.addresses = addresses
        self.connections: dict[str, tuple] = {}

    async def call(
        self, address: str, method: str, path: str = "/", body: bytes = b""
    ) -> tuple[int, bytes]:
        """Return status and body of a call, or 0 without an answer."""
        try:
            async with asyncio.timeout(CALL_SECONDS):
                return await self._exchange(address, method, path, body)
        except (OSError, TimeoutError, EOFError, ValueError):
            self.close(address)
            return 0, b""

    async def _exchange(self, address, method, path, body):
        if address not in self.connections:
            host, _, port = address.rpartition(":")
            self.connections[address] = await asyncio.open_connection(
                host, int(port)
            )
        reader, writer = self.connections[address]
        head = f"{method} {path} HTTP/1.1\r\nHost: keeper\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        length = next(
            int(line.partition(":")[2])
            for line in lines
            if line.lower().startswith("content-length:")
        )
        return int(lines[0].split()[1]), await reader.readexactly(length)

    def close(self, address: str) -> None:
        """Close the connection to a keeper."""
        if address in self.connections:
            self.connections.pop(address)[1].close()

    def close_all(self) -> None:
        """Close every connection."""
        for address in list(self.connections):
            self.close(address)
