"""Callers of a fleet: chats of several turns, and idempotent bookings.

Every answer is compared with the one that the stand-in engine must give. The
outcome of every booking is recorded, for comparison with what ran.
"""

import asyncio
import dataclasses
import itertools
import json
import time
import uuid

import tornado.httpclient

from amaranthring import errors
from amaranthring.callers import codec
from amaranthring.testing import engine

ANSWER_SECONDS = 40.0
HEALTH_SECONDS = 0.2
RESEND_SECONDS = 0.2
END = "[DONE]"


@dataclasses.dataclass
class Tally:
    """Outcomes that callers received.

    Attributes
    ----------
    complete, mismatched, truncated : int
        Number of correct answers, of wrong ones and of ones with no end.
    refused : dict
        Number of error responses by code.
    first_token : list of float
        Seconds to the first bytes of each answer.
    bookings : dict
        Last outcome by idempotency key.
    routers : set of str
        Base URLs of routers that gave a correct answer.
    """

    complete: int = 0
    mismatched: int = 0
    truncated: int = 0
    refused: dict[str, int] = dataclasses.field(default_factory=dict)
    first_token: list[float] = dataclasses.field(default_factory=list)
    bookings: dict[str, str] = dataclasses.field(default_factory=dict)
    routers: set[str] = dataclasses.field(default_factory=set)

    def refuse(self, code: str) -> None:
        """Count an error response."""
        self.refused[code] = self.refused.get(code, 0) + 1


class Callers:
    """Callers behind a load balancer that skips unhealthy routers.

    Parameters
    ----------
    urls : list of str
        Base URLs of routers; :meth:`remove_router` takes one out, as the
        balancer does when a health check fails.
    """

    def __init__(self, urls: list[str], token: str, model: str = "m1"):
        self.urls = list(urls)
        self.token = token
        self.model = model
        self.turn = itertools.count()
        self.tally = Tally()
        self.client = tornado.httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=1000
        )

    def remove_router(self, url: str) -> None:
        """Stop sending to `url`."""
        self.urls = [known for known in self.urls if known != url]

    async def run_health_checks(self) -> None:
        """Poll the health checks, as the balancer does, until cancelled."""
        all_urls = list(self.urls)
        while True:
            checks = [self._healthy(url) for url in all_urls]
            healthy = await asyncio.gather(*checks)
            pairs = zip(all_urls, healthy, strict=True)
            # If none is healthy, the balancer sends to all: on a busy
            # machine every check of a round may time out.
            self.urls = [
                url for url, is_healthy in pairs if is_healthy
            ] or all_urls
            await asyncio.sleep(HEALTH_SECONDS)

    async def _healthy(self, url: str) -> bool:
        request = tornado.httpclient.HTTPRequest(
            url + "/health", connect_timeout=1.0, request_timeout=1.0
        )
        try:
            answer = await self.client.fetch(request, raise_error=False)
        except (OSError, tornado.httpclient.HTTPError):
            return False
        return answer.code == 200

    def next_url(self) -> str:
        """Return the next router, in turn."""
        return self.urls[next(self.turn) % len(self.urls)]

    async def chat(self, turns: int = 3, max_tokens: int = 12) -> None:
        """Hold a chat of `turns` turns, each through the next router."""
        name = uuid.uuid4().hex
        messages = []
        for number in range(turns):
            prompt = f"{name} turn {number}"
            messages.append({"role": "user", "content": prompt})
            body = {
                "model": self.model,
                "messages": list(messages),
                "max_tokens": max_tokens,
                "stream": True,
                "prompt_cache_key": name,
            }
            text = await self.ask(body)
            if text is None:
                return
            messages.append({"role": "assistant", "content": text})

    async def ask(self, body: dict) -> str | None:
        """Send a chat completion; return its text, or None on failure."""
        started_at = time.monotonic()
        parts: list[bytes] = []

        def received(data: bytes) -> None:
            if not parts:
                self.tally.first_token.append(time.monotonic() - started_at)
            parts.append(data)

        url = self.next_url()
        status = await self._post(
            url + "/v1/chat/completions", body, {}, received
        )
        data = b"".join(parts)
        if status != 200:
            self.tally.refuse(_code(status, data))
            return None
        text, ended = parse_stream(data)
        if not ended:
            self.tally.truncated += 1
            return None
        if text != engine.expected_text(body):
            self.tally.mismatched += 1
            return None
        self.tally.complete += 1
        self.tally.routers.add(url)
        return text

    async def book(self, slot: str, key: str, **extra) -> tuple[str, bytes]:
        """Book `slot` under `key`; return the outcome and the body."""
        parts: list[bytes] = []
        headers = {"Idempotency-Key": key}
        if key not in self.tally.bookings:
            # Only the caller knows that nothing ran under the key yet; a
            # router that cannot reach the ledger would answer "unknown".
            headers[codec.FIRST_SEND_HEADER] = "1"
        outcomes: list[str] = []

        def header(line: str) -> None:
            name, _, value = line.partition(":")
            if name.lower() == "amaranthring-outcome":
                outcomes.append(value.strip())

        status = await self._post(
            self.next_url() + "/services/booking/bookings",
            {"slot": slot, **extra},
            headers,
            parts.append,
            header,
        )
        data = b"".join(parts)
        outcome = outcomes[-1] if outcomes else "unknown"
        if status >= 400 or status == 0:
            self.tally.refuse(_code(status, data))
        self.tally.bookings[key] = outcome
        return outcome, data

    async def book_until_final(
        self, slot: str, key: str, seconds: float = 30.0
    ) -> tuple[str, bytes]:
        """Book, and resend under the same key until the outcome is final.

        The outcome ``ran`` and the error ``claim-unknown`` are final. After
        any other result, such as a lost connection, it
        resends until `seconds` have passed.
        """
        deadline = time.monotonic() + seconds
        outcome, data = await self.book(slot, key)
        while time.monotonic() < deadline and not _is_final(outcome, data):
            await asyncio.sleep(RESEND_SECONDS)
            outcome, data = await self.book(slot, key)
        return outcome, data

    async def _post(self, url, body, headers, received, header=None) -> int:
        """Return the status, or 0 without a complete response."""
        request = tornado.httpclient.HTTPRequest(
            url,
            method="POST",
            headers={
                "Authorization": f"Bearer {self.token}",
                "Content-Type": "application/json",
                **headers,
            },
            body=json.dumps(body),
            connect_timeout=5.0,
            request_timeout=ANSWER_SECONDS,
            streaming_callback=received,
            header_callback=header,
        )
        try:
            answer = await self.client.fetch(request, raise_error=False)
        except (OSError, tornado.httpclient.HTTPError):
            return 0
        return 0 if answer.code == 599 else answer.code


def parse_stream(data: bytes) -> tuple[str, bool]:
    """Return the text of a stream, and whether its end marker came."""
    text = []
    ended = False
    for line in data.decode().splitlines():
        if not line.startswith("data:"):
            continue
        event = line[5:].strip()
        if event == END:
            ended = True
            continue
        choices = json.loads(event).get("choices") or [{}]
        text.append(choices[0].get("delta", {}).get("content") or "")
    return "".join(text), ended


def _is_final(outcome: str, data: bytes) -> bool:
    if outcome == str(errors.Outcome.RAN):
        return True
    return _code(-1, data) == errors.ClaimUnknownError.code


def _code(status: int, data: bytes) -> str:
    if status == 0:
        return "connection-lost"
    try:
        return json.loads(data)["error"]["code"]
    except (ValueError, KeyError, TypeError):
        return f"http-{status}"


async def run_all(*calls) -> None:
    """Run `calls` concurrently; raise the first exception, wrapped.

    Raises
    ------
    errors.InternalError
        If a call raised; error responses are counted, not raised.
    """
    results = await asyncio.gather(*calls, return_exceptions=True)
    for result in results:
        if isinstance(result, BaseException):
            raise errors.InternalError("a call of the load failed") from result
