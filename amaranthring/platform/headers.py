"""Headers of requests and answers on the platform."""

import tornado.httputil

from amaranthring import errors
from amaranthring.forwarding import records

MILLISECONDS = 1e3

REQUEST_ID = "Amaranthring-Request-Id"
DEADLINE = "Amaranthring-Deadline-Ms"
# Names the id of the target that is meant, so that another one that has its
# address now refuses.
EXPECTED_TARGET = "Amaranthring-Expect-Replica"
# The name of the client account.
ACCOUNT = "Amaranthring-Tenant"
SIGNATURE = "Amaranthring-Replica-Signature"
# Present if the target did not run the request, and never will.
NOT_RUN = "Amaranthring-Not-Executed"
# "running,waiting,slots" of the target.
LOAD = "Amaranthring-Replica-Load"
# "tokens in,most tokens out".
TOKENS = "Amaranthring-Token-Usage"
# "ID:TOKENS,...": the parts of the prompt in order.
PROMPT_PARTS = "Amaranthring-Prefix-Hash"
LAST_EVENT = "Last-Event-Id"
# "host:port" of a target from which the one asked copies what that keeps of
# the prompt.
COPY_FROM = "Kv-Fetch"
# 0 to 9, the most urgent first: the order in which a target admits requests.
PRIORITY = "Amaranthring-Request-Priority"
# The version of the weights that is meant, so that others refuse.
EXPECTED_WEIGHTS = "Amaranthring-Expect-Version"
# Memory of a run that targets keep, reserve or hand to each other.
PIN = "Amaranthring-Kv-Pin-Ms"
RESERVATION = "Amaranthring-Kv-Retain"
BACKUP = "Amaranthring-Kv-Backup"
CONTINUE_FROM = "Kv-From"
AUTHORIZATION = "Authorization"
SCHEME = "Bearer "

MISDIRECTED = 421

# Those that concern one connection only (RFC 9110, section 7.6.1), and
# those that the forwarding writes itself.
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
# A caller that sent one of these would speak to the target in the fleet's
# name: take memory of others, go before them, or have a request refused by
# every target.
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
    """Return the platform's way to write requests and answers."""
    return records.Dialect(read_request, request_headers, read_answer)


def read_request(
    start_line: tornado.httputil.RequestStartLine,
    headers: tornado.httputil.HTTPHeaders,
    arrived: float,
) -> records.Incoming:
    """Return the request whose head is given; its body comes later.

    Raises
    ------
    errors.BadRequestError
        If a header that is needed is missing or malformed.
    """
    hosts = headers.get_list("Host")
    if len(hosts) != 1:
        raise errors.BadRequestError(
            "Host", given=f"{len(hosts)} values", expected="one"
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
        timeout=_patience(headers.get(DEADLINE)),
        key=_key(headers.get(AUTHORIZATION, "")),
        resume_after=headers.get(LAST_EVENT, ""),
        parts=_parts(headers.get(PROMPT_PARTS, "")),
        output_tokens=_output_tokens(headers.get(TOKENS, "")),
    )


def _without(headers, names: set[str]) -> tornado.httputil.HTTPHeaders:
    named = headers.get("Connection", "").lower().split(",")
    dropped = names | {name.strip() for name in named}
    kept = tornado.httputil.HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() not in dropped:
            kept.add(name, value)
    return kept


def _patience(value: str | None) -> float:
    if value is None:
        return float("inf")
    if not value.isdigit():
        raise errors.BadRequestError(
            DEADLINE, given=value[:32], expected="milliseconds"
        )
    return int(value) / MILLISECONDS


def _key(value: str) -> str:
    if value[: len(SCHEME)].lower() != SCHEME.lower():
        return ""
    return value[len(SCHEME) :].strip()


def _parts(value: str) -> tuple[records.PromptPart, ...]:
    parts = []
    for entry in filter(None, value.split(",")):
        part_id, _, tokens = entry.strip().partition(":")
        if not tokens.isdigit():
            raise errors.BadRequestError(
                PROMPT_PARTS, given=entry[:64], expected="ID:TOKENS"
            )
        parts.append(records.PromptPart(part_id, int(tokens)))
    return tuple(parts)


def _output_tokens(value: str) -> int:
    tokens = value.rpartition(",")[2].strip()
    return int(tokens) if tokens.isdigit() else 0


def request_headers(
    incoming: records.Incoming, sending: records.AttemptInfo
) -> dict[str, str]:
    """Return the headers with which a request goes to its target."""
    headers = dict(incoming.headers.items())
    if sending.seconds_left != float("inf"):
        left = max(1, int(sending.seconds_left * MILLISECONDS))
        headers[DEADLINE] = str(left)
    headers[EXPECTED_TARGET] = sending.target.name
    if sending.account:
        headers[ACCOUNT] = sending.account
    if sending.resume_after:
        headers[LAST_EVENT] = sending.resume_after
    if sending.copy_from:
        headers[COPY_FROM] = sending.copy_from
    return headers


def read_answer(
    status: int, headers: tornado.httputil.HTTPHeaders
) -> records.ResponseHead:
    """Return the head of a target's answer."""
    return records.ResponseHead(
        status=status,
        headers=_without(headers, HOP_BY_HOP),
        request_id=headers.get(REQUEST_ID, ""),
        signed=SIGNATURE in headers,
        refused=NOT_RUN in headers,
        other_target=status == MISDIRECTED,
        encoded="Content-Encoding" in headers,
        load=_load(headers.get(LOAD)),
    )


def _load(value: str | None) -> records.Load | None:
    numbers = (value or "").split(",")
    if len(numbers) != 3 or not all(n.strip().isdigit() for n in numbers):
        return None
    return records.Load(*map(int, numbers))
