"""Targets whose answers differ from proper ones by chance."""

import asyncio
import random

from amaranthring.platform import headers
from amaranthring.testing import scripted_target

__all__ = ["OddTarget"]

# What int() and float() reject or overflow on, although it looks like digits.
ODD_NUMBERS = (
    "\u00b2", "9" * 25, "9" * 400, "9" * 5000, "-1", "1e3", "", " ", "0x10",
    "1,2", "nan", "\u00e9", "1_0",
)  # fmt: skip
ODD_DATES = (
    "Thu, 01 Jan 0000 00:00:00 GMT", "Thu, 99 Foo 2020 00:00:00 +9999999",
    "Thu, 01 Jan 1970 00:00:00 -2400", ",", "0 0 0 0 0", "1 Jan 99999",
)  # fmt: skip
NUMBER_HEADERS = (
    "Content-Length", headers.LOAD, "Retry-After", headers.BRITTLE,
    headers.LEAVING, "Keep-Alive", "Date",
)  # fmt: skip


class OddTarget:
    """Writes answers that differ from a proper one by chance.

    The chance depends on the request and its number at this target only, so
    that the order in which tasks run does not matter.
    """

    def __init__(self, seed):
        self.seed = seed
        self.number = 0

    async def __call__(self, seen, writer):
        """Answer one request."""
        request_id = seen.headers[headers.REQUEST_ID]
        self.number += 1
        rng = random.Random(f"{self.seed} {request_id} {seen.uri}")
        is_stream = seen.uri.startswith(("/c/", "/d/"))
        head = {
            headers.REQUEST_ID: request_id,
            headers.SIGNATURE: "yes",
        }
        body = _events(seen) if is_stream else rng.randbytes(200)
        if is_stream:
            head["Content-Type"] = "text/event-stream"
        status = "HTTP/1.1 200 Good"
        if rng.random() < 0.5:
            head["Transfer-Encoding"] = "chunked"
            body = _chunked(rng, body)
        else:
            head["Content-Length"] = str(len(body))
        lines = [status, *(f"{name}: {value}" for name, value in head.items())]
        for _ in range(rng.choice((0, 1, 1, 2))):
            lines, body = rng.choice(CHANGES)(rng, lines, body)
        data = "\r\n".join([*lines, "", ""]).encode("latin1", "replace")
        await _write(rng, writer, data + body)


def _events(seen) -> bytes:
    last = seen.headers.get(headers.LAST_EVENT, "0")
    return b"".join(map(scripted_target.event, range(int(last) + 1, 9)))


def _chunked(rng, body: bytes) -> bytes:
    size = rng.randint(1, 90)
    pieces = [body[n : n + size] for n in range(0, len(body), size)]
    chunks = [b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces]
    return b"".join(chunks) + b"0\r\n\r\n"


async def _write(rng, writer, data: bytes) -> None:
    """Write `data` in two pieces; sometimes not to the end."""
    end = len(data)
    breaks = rng.random() < 0.15
    if breaks:
        end = rng.randrange(len(data))
    middle = rng.randrange(end + 1)
    writer.write(data[:middle])
    if rng.random() < 0.3:
        await asyncio.sleep(rng.uniform(0, 0.05))
    writer.write(data[middle:end])
    if breaks and rng.random() < 0.5 and not writer.is_closing():
        scripted_target.abort_connection(writer)
    elif breaks or rng.random() < 0.2:
        writer.close()


def _odd_number(rng, lines, body):
    """Give a header that has numbers an odd one."""
    name = rng.choice(NUMBER_HEADERS)
    value = rng.choice(ODD_NUMBERS)
    if name == headers.LOAD:
        value = ",".join((value, "1", rng.choice(("1", value))))
    elif name == "Keep-Alive":
        value = f"timeout={value}"
    elif name in ("Retry-After", "Date"):
        value = rng.choice((*ODD_NUMBERS, *ODD_DATES))
    kept = [line for line in lines if not line.startswith(f"{name}:")]
    if name == "Retry-After":
        kept[0] = "HTTP/1.1 503 Busy"
        kept.append(f"Date: {rng.choice(ODD_DATES)}")
    return [*kept, f"{name}: {value}"], body


def _odd_status(rng, lines, body):
    """Change the status, or precede the answer with others."""
    status = rng.choice(
        ("HTTP/1.1 204 None", "HTTP/1.1 304 Same", "HTTP/1.1 500 Bad",
         "HTTP/1.1 999 Odd", "HTTP/1.1 421 Other", "HTTP/1.0 200", "garbage",
         "HTTP/1.1 42 Odd", "HTTP/1.1 \u00b2\u00b2\u00b2 Odd",
         "HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 200 Good",
         "HTTP/1.1 103 Hint\r\nLink: x\r\n\r\n" * 6 + "HTTP/1.1 200 Good")
    )  # fmt: skip
    return [status, *lines[1:]], body


def _odd_line(rng, lines, body):
    """Add a header line that no target should send."""
    line = rng.choice(
        (": no name", "no colon", " folded: first", "Name : space",
         "X-Bare: a\rb", "X-Feed: a\nX-Other: b", "X-Nul: a\0b",
         "X-Latin: \u00e9\u00ff\u0080", "X-Tab: a\tb", "X-Long: " + "y" * 9000,
         "X-Longer: " + "y" * 70000, "\u00e9: odd name", "X-Folded: a\r\n b",
         "Connection: close", "Connection: Content-Type, ,",
         "Transfer-Encoding: gzip", "Transfer-Encoding: chunked",
         "Content-Encoding: gzip", f"{headers.REQUEST_ID}: other",
         f"{headers.NOT_RUN}: 1", "Set-Cookie: a=b\r\nSet-Cookie: c=d",
         "Trailer: X-End", f"{headers.LEAVING}: 1", f"{headers.BRITTLE}: 1")
    )  # fmt: skip
    at = rng.randrange(1, len(lines) + 1)
    return [*lines[:at], line, *lines[at:]], body


def _odd_body(rng, lines, body):
    """Damage the body, or add something after it."""
    at = rng.randrange(len(body) + 1)
    odd = rng.choice(
        (b"zz\r\n", b"fffffffff\r\n", b"\r\n", b"\xff", b"id: 99999\n\n",
         b"id: " + b"7" * 5000 + b"\n\n", b"id: \xb2\n\n", b"0\r\n\r\n")
    )  # fmt: skip
    if rng.random() < 0.3:
        return lines, body + odd
    return lines, body[:at] + odd + body[at:]


def _odd_id(rng, lines, _body):
    """Send an event whose number is no int."""
    odd = b"id: " + b"7" * rng.choice((30, 5000)) + b"\ndata: x\n\n"
    kept = [
        line
        for line in lines
        if not line.startswith(("Content-Length", "Transfer-Encoding"))
    ]
    return [*kept, f"Content-Length: {len(odd)}"], odd


CHANGES = (_odd_number, _odd_status, _odd_line, _odd_body, _odd_id)
