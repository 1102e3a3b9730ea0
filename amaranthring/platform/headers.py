"""Headers of requests and responses on the platform."""

import tornado.httputil

from amaranthring import errors
from amaranthring.core import hashing
from amaranthring.core import notices
from amaranthring.core import numerals
from amaranthring.core import text
from amaranthring.forwarding import events
from amaranthring.forwarding import records

MILLISECONDS = 1e3
# Exceeds any number of tokens or requests; sums of such numbers still fit
# into the messages between routers.
MAX_COUNT = 10**9
# Routers tell each other the ids of parts; longer ones are told by a digest.
MAX_PART_CHARACTERS = 64

REQUEST_ID = "Amaranthring-Request-Id"
DEADLINE = "Amaranthring-Deadline-Ms"
# Id of the intended target: another target that now has its address rejects
# the request.
EXPECTED_TARGET = "Amaranthring-Expect-Replica"
# Name of the client account.
ACCOUNT = "Amaranthring-Tenant"
SIGNATURE = "Amaranthring-Replica-Signature"
# Present if the target did not run the request and never will.
NOT_RUN = "Amaranthring-Not-Executed"
# "1" in all responses of a target that leaves.
LEAVING = "Server-Leaving"
# In all responses of a brittle target: how many requests it may turn away
# in a second before it falls over.
BRITTLE = "Server-Brittle"
# "running,waiting,slots" of the target.
LOAD = "Amaranthring-Replica-Load"
# "input tokens,maximum output tokens".
TOKENS = "Amaranthring-Token-Usage"
# "ID:TOKENS,...": the parts of the prompt in order.
PROMPT_PARTS = "Amaranthring-Prefix-Hash"
LAST_EVENT = "Last-Event-Id"
# Request id of the caller's attempt that brought the first event of the
# stream; not the id of its last attempt.
RESUMES = "Resumes"
# "host:port" of the target from which to copy the cached prompt prefix.
COPY_FROM = "Kv-Fetch"
# 0 (most urgent) to 9: the order in which a target admits requests.
PRIORITY = "Amaranthring-Request-Priority"
# Required version of the weights; targets with another one reject.
EXPECTED_WEIGHTS = "Amaranthring-Expect-Version"
# Ask a target to pin, reserve or transfer KV memory.
PIN = "Amaranthring-Kv-Pin-Ms"
RESERVATION = "Amaranthring-Kv-Retain"
BACKUP = "Amaranthring-Kv-Backup"
CONTINUE_FROM = "Kv-From"
AUTHORIZATION = "Authorization"
SCHEME = "Bearer "

MISDIRECTED = 421

# Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that forwarding
# sets itself.
HOP_BY_HOP = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
}
# Not copied from callers' requests: with these a caller could take the memory
# of others, raise its priority, or have every target reject its request.
RESERVED = {
    name.lower()
    for name in (
        DEADLINE,
        EXPECTED_TARGET,
        ACCOUNT,
        AUTHORIZATION,
        LAST_EVENT,
        COPY_FROM,
        PRIORITY,
        EXPECTED_WEIGHTS,
        PIN,
        RESERVATION,
        BACKUP,
        CONTINUE_FROM,
    )
}


def dialect() -> records.Dialect:
    """Return the platform's encoding of requests and responses."""
    return records.Dialect(read_request, request_headers, read_response)


def read_request(
    start_line: tornado.httputil.RequestStartLine,
    headers: tornado.httputil.HTTPHeaders,
    arrived: float,
) -> records.Incoming:
    """Return the request with the given head; its body comes later.

    Raises
    ------
    errors.BadRequestError
        If a required header is missing or malformed.
    """
    hosts = headers.get_list("Host")
    if len(hosts) != 1:
        raise errors.BadRequestError(
            "invalid Host header", given=f"{len(hosts)} values", expected="one"
        )
    request_id = headers.get(REQUEST_ID, "")
    return records.Incoming(
        request_id=request_id,
        method=start_line.method,
        uri=start_line.path,
        path=start_line.path.partition("?")[0],
        host=hosts[0],
        headers=_without(headers, HOP_BY_HOP | RESERVED),
        arrived=arrived,
        timeout=_timeout(headers.get(DEADLINE)),
        key=_key(headers.get(AUTHORIZATION, "")),
        resume_after=_last_event(headers.get(LAST_EVENT, "")),
        parts=read_parts(headers.get(PROMPT_PARTS, "")),
        output_tokens=_output_tokens(headers.get(TOKENS, "")),
        resumes=headers.get(RESUMES, ""),
    )


def _without(headers, names: set[str]) -> tornado.httputil.HTTPHeaders:
    options = headers.get("Connection", "").lower().split(",")
    dropped = names | {name.strip() for name in options}
    remaining = tornado.httputil.HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() not in dropped:
            remaining.add(name, value)
    return remaining


def _timeout(value: str | None) -> float:
    if value is None:
        return float("inf")
    milliseconds = numerals.read(value)
    if milliseconds is None:
        raise errors.BadRequestError(
            DEADLINE, given=value[:32], expected="milliseconds"
        )
    return milliseconds / MILLISECONDS


def _key(value: str) -> str:
    if value[: len(SCHEME)].lower() != SCHEME.lower():
        return ""
    return text.read_header(value[len(SCHEME) :])


def _last_event(value: str) -> str:
    """Return the id of an event, which is any text or a number."""
    is_number = value.isascii() and len(value) <= events.MAX_ID_DIGITS
    if value.isdigit() and not is_number:
        raise errors.BadRequestError(
            LAST_EVENT, given=value[:32], expected="the id of an event"
        )
    return value


def read_parts(value: str) -> tuple[records.PromptPart, ...]:
    """Return the parts of a prompt; long ids are replaced by digests.

    Raises
    ------
    errors.BadRequestError
        If the value is malformed.
    """
    parts = []
    for entry in filter(None, value.split(",")):
        part_id, _, given = entry.strip().partition(":")
        tokens = numerals.read(given, MAX_COUNT)
        if tokens is None:
            raise errors.BadRequestError(
                PROMPT_PARTS, given=entry[:64], expected="ID:TOKENS"
            )
        if len(part_id) > MAX_PART_CHARACTERS:
            part_id = hashing.digest(part_id)
        parts.append(records.PromptPart(part_id, tokens))
    return tuple(parts)


def _output_tokens(value: str) -> int:
    tokens = value.rpartition(",")[2].strip()
    return numerals.read(tokens, MAX_COUNT) or 0


def request_headers(
    incoming: records.Incoming, attempt: records.AttemptInfo
) -> dict[str, str]:
    """Return the headers of a request to its target."""
    headers = dict(incoming.headers.items())
    if attempt.seconds_left != float("inf"):
        milliseconds = max(1, int(attempt.seconds_left * MILLISECONDS))
        headers[DEADLINE] = str(milliseconds)
    headers[EXPECTED_TARGET] = attempt.target.name
    if attempt.account:
        # Values are sent byte for byte; a name may have any letters.
        headers[ACCOUNT] = attempt.account.encode().decode("latin1")
    if attempt.resume_after:
        headers[LAST_EVENT] = attempt.resume_after
    if attempt.copy_from:
        headers[COPY_FROM] = attempt.copy_from
    return headers


def read_response(
    status: int, headers: tornado.httputil.HTTPHeaders
) -> records.ResponseHead:
    """Return the head of a target's response."""
    return records.ResponseHead(
        status=status,
        headers=_without(headers, HOP_BY_HOP),
        request_id=headers.get(REQUEST_ID, ""),
        signed=SIGNATURE in headers,
        refused=NOT_RUN in headers,
        other_target=status == MISDIRECTED,
        encoded="Content-Encoding" in headers,
        load=_load(headers.get(LOAD)),
        notice=notices.read(status, headers, LEAVING, BRITTLE),
    )


def _load(value: str | None) -> records.Load | None:
    values = (value or "").split(",")
    numbers = [numerals.read(v.strip(), MAX_COUNT) for v in values]
    if len(numbers) != 3 or None in numbers:
        return None
    return records.Load(*numbers)
