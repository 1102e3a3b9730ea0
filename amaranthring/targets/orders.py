"""Sends one order to one target over HTTP.

``POST /v1/orders`` with a JSON body: ``order`` (its number as text),
``kind`` (``load``, ``unload`` or ``role``), ``model``, ``version``,
``adapter``, ``role`` and ``fencing``. A target answers 200 once it has carried
out the order, and 409 with its highest ``fencing`` when it refuses a lower
number.
"""

import dataclasses
import json
import typing as t

import logbook
import tornado.httpclient

from amaranthring import errors
from amaranthring.core import notices
from amaranthring.core import records
from amaranthring.targets import upstream

log = logbook.Logger(__name__)

CONNECT_SECONDS = 2.0
MAX_ANSWER_BYTES = 64 * 1024
MAX_DETAIL_LENGTH = 200


@dataclasses.dataclass
class Result:
    """Outcome of an order.

    Attributes
    ----------
    done : bool
        Whether the target confirmed that it carried out the order.
    detail : str
        Text from the target or the connection.
    unknown : bool
        Whether the target may have accepted it and may still be at work.
    newer_fencing : int
        Higher fencing number that the target reported, or 0.
    rest_seconds : float
        Time for which the target wants no orders; 0 for none.
    """

    done: bool
    detail: str = ""
    unknown: bool = False
    newer_fencing: int = 0
    rest_seconds: float = 0.0


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
    """Send an order and wait until it is carried out.

    Parameters
    ----------
    target : records.Target
        Receiver of the order.
    body : bytes
        As returned by :func:`order_body`.
    check : callable
        Raises if this process may no longer send orders.
    seconds : float
        Deadline for the whole order.

    Raises
    ------
    errors.AmaranthringError
        What `check` raised; the target got no order.
    """
    refused: list[errors.AmaranthringError] = []
    written = False

    async def write_body(write) -> None:
        # A leader that was frozen while it connected may have been replaced.
        # The target acts only on a whole body, so the check runs after the
        # connection is made, with nothing awaited between it and the body.
        nonlocal written
        try:
            check()
        except errors.AmaranthringError as error:
            refused.append(error)
            raise
        written = True
        await write(body)

    client = tornado.httpclient.AsyncHTTPClient(
        force_instance=True, max_body_size=MAX_ANSWER_BYTES
    )
    try:
        answer = await client.fetch(
            f"http://{target.address}/v1/orders",
            method="POST",
            headers={
                "Content-Type": "application/json",
                "Content-Length": str(len(body)),
            },
            body_producer=write_body,
            connect_timeout=min(CONNECT_SECONDS, seconds),
            request_timeout=seconds,
            follow_redirects=False,
            raise_error=False,
        )
    except Exception as error:
        if refused:
            raise refused[0] from error
        return Result(
            False, f"no answer: {error}"[:MAX_DETAIL_LENGTH], written
        )
    finally:
        client.close()
    if refused:
        raise refused[0]
    if answer.code == 599:
        detail = f"no answer: {answer.error}"[:MAX_DETAIL_LENGTH]
        return Result(False, detail, written)
    return _parse_answer(answer)


def _parse_answer(answer) -> Result:
    if answer.code == 200:
        return Result(True)
    text = (answer.body or b"")[:MAX_DETAIL_LENGTH].decode(errors="replace")
    detail = f"{answer.code} {text}".strip()
    # A gateway error tells nothing about the target itself.
    unknown = answer.code >= 502
    notice = notices.read(answer.code, answer.headers, upstream.LEAVING_HEADER)
    for fault in notice.faults:
        log.warning("order.invalid-header fault={}", fault)
    return Result(
        False, detail, unknown, _newer_fencing(answer), notice.rest_seconds
    )


def _newer_fencing(answer) -> int:
    if answer.code != 409:
        return 0
    try:
        number = json.loads(answer.body)["fencing"]
    except (ValueError, KeyError, TypeError):
        return 0
    valid = isinstance(number, int) and 0 < number < 2**53
    return number if valid else 0
