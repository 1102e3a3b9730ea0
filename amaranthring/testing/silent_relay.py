"""A TCP relay whose open connections can go silent for good."""

import asyncio

from amaranthring.testing import tcp_relay


class Gate:
    """Passes while a direction is unblocked and the connection not silent."""

    def __init__(self, unblocked: asyncio.Event, audible: asyncio.Event):
        self.unblocked = unblocked
        self.audible = audible

    async def wait(self) -> None:
        """Wait until bytes pass."""
        await self.unblocked.wait()
        await self.audible.wait()


class SilentRelay(tcp_relay.Relay):
    """A relay that can silence the connections that are open.

    They carry nothing any more, and neither end learns of it; new
    connections work.
    """

    def __init__(self, upstream: str = ""):
        super().__init__(upstream)
        self.audible = asyncio.Event()
        self.audible.set()

    def silence(self) -> None:
        """Let the connections that are open carry nothing any more."""
        self.audible.clear()
        self.audible = asyncio.Event()
        self.audible.set()

    async def _relay(self, reader, writer, unblocked) -> None:
        await super()._relay(reader, writer, Gate(unblocked, self.audible))
