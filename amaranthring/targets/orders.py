"""Sends one order to one target over HTTP.

``POST /v1/orders`` with a JSON body: ``order`` (its number as text),
``kind`` (``load``, ``unload`` or ``role``), ``model``, ``version``,
``adapter``, ``role`` and ``fencing``. A target answers 200 when it has done
it, and 409 with its highest ``fencing`` when it refuses an old number.
"""

import dataclasses
import json
import typing as t

import tornado.httpclient

from amaranthring import errors
from amaranthring.core import records

CONNECT_SECONDS = 2.0
ANSWER_BYTES_MOST = 64 * 1024
DETAIL_MOST = 200


@dataclasses.dataclass
class Result:
    """What came of an order.

    Attributes
    ----------
    done : bool
        Whether the target says that it did it.
    detail : str
        What the target or the connection said.
    unknown : bool
        Whether the target may have taken it and be at it still.
    seen : int
        Higher fencing number that the target named, or 0.
    """

    done: bool
    detail: str = ""
    unknown: bool = False
    newer_fencing: int = 0


def parse_model(wanted: str) -> dict[str, str]:
    """Return model, version and adapter of ``MODEL[@VERSION][+ADAPTER]``."""
    rest, _, adapter = wanted.partition("+")
    model, _, version = rest.partition("@")
    return {"model": model, "version": version, "adapter": adapter}


def order_body(kind: str, wanted: str, fencing: int) -> bytes:
    """Return the JSON body of an order."""
    body = {"order": str(fencing), "kind": kind, "fencing": fencing}
    if kind == "role":
        body["role"] = wanted
    else:
        body |= parse_model(wanted)
    return json.dumps(body).encode()


async def send(
    target: records.Target,
    body: bytes,
    check: t.Callable[[], None],
    seconds: float,
) -> Result:
    """Send an order and wait for its end.

    Parameters
    ----------
    target : records.Target
        Whom to order.
    body : bytes
        As :func:`order_body` makes it.
    check : callable
        Raises if this process may order no more.
    seconds : float
        Time for the whole order.

    Raises
    ------
    errors.AmaranthringError
        What `check` raised; the target got no order.
    """
    refused: list[errors.AmaranthringError] = []
    written = False

    async def produce(write) -> None:
        # A leader that was frozen while it connected may have been replaced
        # meanwhile. The target acts on a whole body only, so the check
        # stands here, after the connection and right before the body, with
        # nothing awaited in between.
        nonlocal written
        try:
            check()
        except errors.AmaranthringError as error:
            refused.append(error)
            raise
        written = True
        await write(body)

    client = tornado.httpclient.AsyncHTTPClient(
        force_instance=True, max_body_size=ANSWER_BYTES_MOST
    )
    try:
        answer = await client.fetch(
            f"http://{target.address}/v1/orders",
            method="POST",
            headers={
                "Content-Type": "application/json",
                "Content-Length": str(len(body)),
            },
            body_producer=produce,
            connect_timeout=min(CONNECT_SECONDS, seconds),
            request_timeout=seconds,
            follow_redirects=False,
            raise_error=False,
        )
    except Exception as error:
        if refused:
            raise refused[0] from error
        return Result(False, f"no answer: {error}"[:DETAIL_MOST], written)
    finally:
        client.close()
    if refused:
        raise refused[0]
    if answer.code == 599:
        detail = f"no answer: {answer.error}"[:DETAIL_MOST]
        return Result(False, detail, written)
    return _read(answer)


def _read(answer) -> Result:
    if answer.code == 200:
        return Result(True)
    text = (answer.body or b"")[:DETAIL_MOST].decode(errors="replace")
    detail = f"{answer.code} {text}".strip()
    # A gateway error says nothing about the target itself.
    unknown = answer.code >= 502
    return Result(False, detail, unknown, _seen(answer))


def _seen(answer) -> int:
    if answer.code != 409:
        return 0
    try:
        number = json.loads(answer.body)["fencing"]
    except (ValueError, KeyError, TypeError):
        return 0
    valid = isinstance(number, int) and 0 < number < 2**53
    return number if valid else 0
