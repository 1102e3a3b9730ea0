"""Decodes callers' requests and encodes errors.

Requests become :class:`records.Request`. All errors have one JSON form,
which OpenAI's clients also understand.
"""

import dataclasses
import json
import math
import re
import time
import typing as t

import pydantic

from amaranthring import errors
from amaranthring.core import fleet
from amaranthring.core import hashing
from amaranthring.core import records
from amaranthring.core import text as texts

REQUEST_ID_HEADER = "Amaranthring-Request-Id"
OUTCOME_HEADER = "Amaranthring-Outcome"
CLASS_HEADER = "Amaranthring-Class"
DEADLINE_HEADER = "Amaranthring-Deadline"
FIRST_SEND_HEADER = "Amaranthring-First-Send"
KEY_HEADER = "Idempotency-Key"
RESUME_HEADER = "Last-Event-ID"

KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,255}")
DEFAULT_RETRY_SECONDS = 1.0
RETRY_STATUSES = (429, 503, 504)
CLASSES = ("interactive", "batch")


class Message(pydantic.BaseModel):
    """One message of a chat; other fields pass through unchanged."""

    model_config = pydantic.ConfigDict(extra="allow")

    role: str = pydantic.Field(max_length=64)
    content: t.Any = None


class Chat(pydantic.BaseModel):
    """The fields of ``POST /v1/chat/completions`` that a router reads."""

    model_config = pydantic.ConfigDict(extra="allow", strict=True)

    model: str = pydantic.Field(min_length=1, max_length=128)
    messages: list[Message] = pydantic.Field(min_length=1, max_length=10_000)
    stream: bool = False
    prompt_cache_key: str = pydantic.Field("", max_length=256)


@dataclasses.dataclass
class Caller:
    """An authenticated caller.

    Attributes
    ----------
    account : fleet.Account
        Client account.
    cls : str
        Traffic class.
    policy : fleet.ClassPolicy
        Limits of the class.
    deadline_seconds : float
        Time allowed for the request.
    """

    account: fleet.Account
    cls: str
    policy: fleet.ClassPolicy
    deadline_seconds: float


class Accounts:
    """Client accounts by token hash, rebuilt for each revision."""

    def __init__(self):
        self.config: fleet.FleetConfig | None = None
        self.by_hash: dict[str, fleet.Account] = {}

    def find(self, config: fleet.FleetConfig, token: str) -> fleet.Account:
        """Return the account of a bearer token.

        Raises
        ------
        errors.UnauthenticatedError
            If no account has this token.
        """
        if config is not self.config:
            self.by_hash = {
                token_hash: account
                for account in config.accounts.values()
                for token_hash in account.token_hashes
            }
            self.config = config
        account = self.by_hash.get(hashing.token_hash(token))
        if account is None:
            raise errors.UnauthenticatedError(
                "no client account has this token",
                given="an unknown token",
                expected="Authorization: Bearer TOKEN",
            )
        return account


def decode_caller(
    headers: t.Mapping[str, str],
    config: fleet.FleetConfig,
    accounts: Accounts,
) -> Caller:
    """Return the authenticated caller.

    Raises
    ------
    errors.UnauthenticatedError, errors.BadRequestError
        If a header is missing, unknown or malformed.
    """
    scheme, _, token = headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not token:
        raise errors.UnauthenticatedError(
            "no bearer token",
            given=scheme or "no Authorization header",
            expected="Authorization: Bearer TOKEN",
        )
    account = accounts.find(config, texts.read_header(token))
    cls = headers.get(CLASS_HEADER) or account.default_class
    known = {*config.preset.classes, account.default_class, *CLASSES}
    if cls not in known:
        raise errors.BadRequestError(
            "unknown class", given=cls[:64], expected=sorted(known)
        )
    policy = config.preset.class_policy(cls)
    seconds = policy.deadline_seconds
    requested = headers.get(DEADLINE_HEADER)
    if requested is not None:
        seconds = min(seconds, _seconds(requested))
    return Caller(account, cls, policy, seconds)


def _seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not 0 < seconds < math.inf:
        raise errors.BadRequestError(
            f"{DEADLINE_HEADER} is not a number of seconds",
            given=text[:64],
            expected="seconds above 0",
        )
    return seconds


def decode_chat(body: bytes) -> Chat:
    """Return the validated body of a chat completion.

    Raises
    ------
    errors.BadRequestError
        If a field is invalid; the error names the first one.
    """
    try:
        return Chat.model_validate_json(body)
    except pydantic.ValidationError as error:
        first = error.errors(include_url=False)[0]
        location = ".".join(str(part) for part in first["loc"]) or "body"
        raise errors.BadRequestError(
            f"{location} is invalid",
            given=repr(first["input"])[:80],
            expected=first["msg"],
        ) from error


def chat_digest(account: str, chat: Chat) -> str:
    """Return the digest that identifies a chat.

    Each request of a chat repeats its earlier messages. The digest covers
    the messages up to and including the first user message, which stay the
    same, or the caller's ``prompt_cache_key`` if there is one.
    """
    if chat.prompt_cache_key:
        return hashing.digest(
            account, chat.model, "key", chat.prompt_cache_key
        )
    leading = []
    for message in chat.messages:
        leading.append(message.role)
        leading.append(json.dumps(message.content, sort_keys=True))
        if message.role == "user":
            break
    return hashing.digest(account, chat.model, "messages", *leading)


def chat_request(
    caller: Caller, request_id: str, chat: Chat, body: bytes
) -> records.Request:
    """Return the request of a chat completion."""
    account = caller.account.name
    return records.Request(
        request_id=request_id,
        account=account,
        cls=caller.cls,
        priority=caller.policy.priority,
        serves=chat.model,
        kind=records.TargetKind.ENGINE,
        chat=chat_digest(account, chat),
        body=body,
        body_digest=hashing.digest(account, body),
        deadline=time.monotonic() + caller.deadline_seconds,
        stream=chat.stream,
        path="/v1/chat/completions",
    )


def decode_idempotency_key(headers: t.Mapping[str, str]) -> str:
    """Return the idempotency key, or an empty string.

    Raises
    ------
    errors.BadRequestError
        If it is malformed.
    """
    key = headers.get(KEY_HEADER, "")
    if key and not KEY_PATTERN.fullmatch(key):
        raise errors.BadRequestError(
            f"{KEY_HEADER} is malformed",
            given=repr(key[:64]),
            expected="1 to 255 printable characters without a space",
        )
    return key


def service_request(
    caller: Caller,
    request_id: str,
    service: str,
    method: str,
    path: str,
    key: str,
    body: bytes,
    policy: fleet.ServicePolicy,
) -> records.Request:
    """Return the request of a call to a plain service."""
    account = caller.account.name
    seconds = min(caller.deadline_seconds, policy.timeout_seconds)
    return records.Request(
        request_id=request_id,
        account=account,
        cls=caller.cls,
        priority=caller.policy.priority,
        serves=service,
        kind=records.TargetKind.SERVICE,
        chat="",
        body=body,
        body_digest=hashing.digest(account, method, path, body),
        deadline=time.monotonic() + seconds,
        idempotent=method in policy.idempotent_methods,
        key=key,
        method=method,
        path=path,
    )


def retry_after(error: errors.AmaranthringError) -> float | None:
    """Return the seconds to wait before a retry, or None."""
    if error.retry_after is not None:
        return error.retry_after
    return DEFAULT_RETRY_SECONDS if error.status in RETRY_STATUSES else None


def error_record(
    error: errors.AmaranthringError,
    outcome: errors.Outcome,
    request_id: str,
) -> dict[str, t.Any]:
    """Return the JSON form of an error."""
    record = error.to_record()
    return {
        "error": {
            "message": str(error),
            "type": record["code"],
            "param": None,
            "code": record["code"],
            "given": record["given"],
            "expected": record["expected"],
            "retry_after": retry_after(error),
            "outcome": str(outcome),
            "request_id": request_id,
        }
    }
