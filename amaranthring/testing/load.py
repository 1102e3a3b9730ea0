"""Callers of a fleet: returning chats and keyed bookings, checked whole.

Every answer is compared with the one the stand-in engine must give to that
request, and every booking that a caller was told about is counted, so that
what callers heard can be held against what ran.
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
    """What callers were told.

    Attributes
    ----------
    whole, wrong, cut : int
        Chats with the right answer, another's answer, or no end.
    refused : dict
        Typed refusals by code.
    first_token : list of float
        Seconds to the first event of each chat.
    bookings : dict
        Idempotency key to the outcome told last.
    """

    complete: int = 0
    mismatched: int = 0
    truncated: int = 0
    refused: dict[str, int] = dataclasses.field(default_factory=dict)
    first_token: list[float] = dataclasses.field(default_factory=list)
    bookings: dict[str, str] = dataclasses.field(default_factory=dict)
    routers: set[str] = dataclasses.field(default_factory=set)

    def refuse(self, code: str) -> None:
        """Count a typed refusal."""
        self.refused[code] = self.refused.get(code, 0) + 1


class Callers:
    """Callers behind a balancer that leaves out routers that fail.

    Parameters
    ----------
    urls : list of str
        Base URLs of routers; :meth:`drop` takes one out, as the balancer
        does when a health check fails.
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
        """Send nothing more to `url`."""
        self.urls = [known for known in self.urls if known != url]

    async def run_health_checks(self) -> None:
        """Ask the health checks, as the balancer does, until cancelled."""
        known = list(self.urls)
        while True:
            checks = [self._healthy(url) for url in known]
            healthy = await asyncio.gather(*checks)
            pairs = zip(known, healthy, strict=True)
            # A balancer that finds nobody healthy sends to all: on a busy
            # machine every check of one round may come too late.
            self.urls = [url for url, good in pairs if good] or known
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
        """Hold one chat that returns `turns` times, through any router."""
        name = uuid.uuid4().hex
        messages = []
        for number in range(turns):
            said = f"{name} turn {number}"
            messages.append({"role": "user", "content": said})
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
        """Ask once and return the checked text, or None if refused."""
        began = time.monotonic()
        parts: list[bytes] = []

        def received(data: bytes) -> None:
            if not parts:
                self.tally.first_token.append(time.monotonic() - began)
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
        """Book `slot` under `key`; return the outcome told and the body."""
        parts: list[bytes] = []
        headers = {"Idempotency-Key": key}
        if key not in self.tally.bookings:
            # Only the caller knows that nothing can have run under the key
            # yet; a router without the ledger would have to say "unknown".
            headers[codec.FIRST_SEND_HEADER] = "1"
        outcome: list[str] = []

        def header(line: str) -> None:
            name, _, value = line.partition(":")
            if name.lower() == "amaranthring-outcome":
                outcome.append(value.strip())

        status = await self._post(
            self.next_url() + "/services/booking/bookings",
            {"slot": slot, **extra},
            headers,
            parts.append,
            header,
        )
        data = b"".join(parts)
        told = outcome[-1] if outcome else "unknown"
        if status >= 400 or status == 0:
            self.tally.refuse(_code(status, data))
        self.tally.bookings[key] = told
        return told, data

    async def book_until_final(
        self, slot: str, key: str, seconds: float = 30.0
    ) -> tuple[str, bytes]:
        """Book and send again under the key, as a caller does.

        A caller asks again when its connection broke, when it is told that
        the call is in progress or was not run; it stops when it is told
        ``ran``, or ``unknown`` in a final answer.
        """
        until = time.monotonic() + seconds
        told, data = await self.book(slot, key)
        while time.monotonic() < until and not _final(told, data):
            await asyncio.sleep(RESEND_SECONDS)
            told, data = await self.book(slot, key)
        return told, data

    async def _post(self, url, body, headers, received, header=None) -> int:
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
    """Return the text of a stream of events, and whether its end came."""
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


def _final(told: str, data: bytes) -> bool:
    if told == str(errors.Outcome.RAN):
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
    """Run `calls` at once and raise the first fault of the load itself.

    Raises
    ------
    errors.AmaranthringError
        Or whatever a call raised; refusals are counted, not raised.
    """
    results = await asyncio.gather(*calls, return_exceptions=True)
    for result in results:
        if isinstance(result, BaseException):
            raise errors.InternalError("load failed") from result
