"""A client that keeps its connection and follows the pages."""

import asyncio
import dataclasses
import secrets
import time

from standins import http


@dataclasses.dataclass
class Outcome:
    """What a client got for one attempt.

    Attributes
    ----------
    status : int
        0 if there was no whole answer.
    """

    id: str
    sent_at: float
    status: int
    headers: dict
    body: bytes
    seconds: float


class Client:
    """Sends one request at a time over a kept connection."""

    def __init__(self, address, host, key):
        self.address = address
        self.host = host
        self.key = key
        self.stream = None

    async def send(self, method, path, body=b"", deadline=0.6, headers=None):
        """Return the outcome of one attempt."""
        request_id = secrets.token_hex(8)
        fields = {
            "Host": self.host,
            "Amaranthring-Request-Id": request_id,
            "Amaranthring-Deadline-Ms": str(int(deadline * 1e3)),
            "Authorization": f"Bearer {self.key}",
            **(headers or {}),
        }
        sent_at = time.time()
        begun = time.monotonic()
        status, answer, content = 0, {}, b""
        try:
            async with asyncio.timeout(deadline + 0.3):
                if self.stream is None:
                    self.stream = await asyncio.open_connection(*self.address)
                reader, writer = self.stream
                writer.write(
                    http.encode(f"{method} {path} HTTP/1.1", fields, body)
                )
                first, answer, content = await http.read_message(reader)
                status = int(first.split()[1])
        except (OSError, EOFError, ValueError, TimeoutError):
            self.close()
        if answer.get("connection", "").lower() == "close":
            self.close()
        seconds = time.monotonic() - begun
        return Outcome(request_id, sent_at, status, answer, content, seconds)

    def close(self):
        """Close the connection."""
        if self.stream is not None:
            self.stream[1].close()
            self.stream = None
