"""What a target says about itself in the headers of a response.

Source: RFC 9110, sections 5.6.7 and 10.2.3, for ``Retry-After``.
"""

import dataclasses
import email.utils
import math
import re
import time
import typing as t

import logbook
import tornado.httputil

from amaranthring import errors
from amaranthring.core import logs
from amaranthring.core import metrics as metrics_module

log = logbook.Logger(__name__)

RETRY_AFTER = "Retry-After"
DATE = "Date"
UNAVAILABLE = 503
# A target that asks for more than an hour is misconfigured: it would be
# without requests long after it is well again.
MAX_REST_SECONDS = 3600.0
SECONDS = re.compile(r"\d+(\.\d+)?", re.ASCII)
LEAVING_VALUE = "1"
LIMIT = re.compile(r"\d{1,9}", re.ASCII)
MAX_SHOWN_CHARACTERS = 80


@dataclasses.dataclass(frozen=True)
class Notice:
    """Statements of a target about itself.

    Attributes
    ----------
    rest_seconds : float
        Seconds for which it wants no requests from this router; 0 for none.
    leaving : bool
        Whether it is leaving and gets no new requests.
    max_refused : int or None
        Number of requests in a second above which it falls over when it has
        to turn them away; None if it names none.
    faults : tuple of InvalidHeaderError
        Values that are ignored.
    """

    rest_seconds: float = 0.0
    leaving: bool = False
    max_refused: int | None = None
    faults: tuple[errors.InvalidHeaderError, ...] = ()


NOTHING = Notice()


def read(
    status: int,
    headers: tornado.httputil.HTTPHeaders,
    leaving_header: str,
    brittle_header: str = "",
) -> Notice:
    """Return the notice in the head of a response.

    Parameters
    ----------
    leaving_header : str
        Header with the value ``1`` in all responses of a target that leaves.
    brittle_header : str
        Header with a number of requests in all responses of a brittle target;
        empty if there is none.
    """
    asks_for_rest = status == UNAVAILABLE and RETRY_AFTER in headers
    named = (leaving_header in headers, brittle_header in headers)
    if not asks_for_rest and not any(named):
        return NOTHING
    faults: list[errors.InvalidHeaderError] = []
    rests = []
    if asks_for_rest:
        now = _sent_at(headers)
        values = headers.get_list(RETRY_AFTER)
        rests = _valid(values, lambda v: parse_retry_after(v, now), faults)
    leaving = _valid(headers.get_list(leaving_header), _parse_leaving, faults)
    # If the values of a repeated header differ, the longest rest satisfies
    # them all.
    limits = _valid(headers.get_list(brittle_header), _parse_limit, faults)
    return Notice(
        max(rests, default=0.0),
        any(leaving),
        min(limits, default=None),
        tuple(faults),
    )


def report(
    notice: Notice,
    metrics: metrics_module.Metrics,
    newly_leaving: bool,
    **fields: t.Any,
) -> None:
    """Log and count a notice.

    Parameters
    ----------
    newly_leaving : bool
        Whether the target was not known to leave before.
    **fields
        Target and request of the response.
    """
    for fault in notice.faults:
        metrics.count("target.invalid-header")
        logs.event(log, "target.invalid-header", fault=str(fault), **fields)
    if notice.rest_seconds:
        metrics.count("target.rest-asked")
        seconds = notice.rest_seconds
        logs.event(log, "target.rest-asked", seconds=seconds, **fields)
    if newly_leaving:
        metrics.count("target.says-leaving")
        logs.event(log, "target.says-leaving", **fields)


def parse_retry_after(value: str, now: float) -> float:
    """Return the seconds that a ``Retry-After`` header asks for.

    Parameters
    ----------
    value : str
        Seconds, with or without a fraction, or an HTTP date.
    now : float
        Unix time at which the response was sent.

    Raises
    ------
    errors.InvalidHeaderError
        If it is neither, negative or above :data:`MAX_REST_SECONDS`.
    """
    is_number = SECONDS.fullmatch(value) is not None
    seconds = float(value) if is_number else _parse_date(value) - now
    if not 0 <= seconds <= MAX_REST_SECONDS:
        raise _invalid_header(
            RETRY_AFTER, value, f"0 to {MAX_REST_SECONDS:g} s or an HTTP date"
        )
    return seconds


def _valid(
    values: list[str],
    parse: t.Callable[[str], t.Any],
    faults: list[errors.InvalidHeaderError],
) -> list[t.Any]:
    """Return the parsed values; add the errors of the others to `faults`."""
    parsed = []
    for value in values:
        try:
            parsed.append(parse(value))
        except errors.InvalidHeaderError as error:
            faults.append(error)
    return parsed


def _parse_date(value: str) -> float:
    """Return the Unix time of an HTTP date; not a number if it is none."""
    try:
        return email.utils.parsedate_to_datetime(value).timestamp()
    except (ValueError, OverflowError):
        return math.nan


def _sent_at(headers: tornado.httputil.HTTPHeaders) -> float:
    # The target's own clock, if it states it, as clocks may differ.
    sent_at = _parse_date(headers.get(DATE, ""))
    return time.time() if math.isnan(sent_at) else sent_at


def _parse_leaving(value: str) -> bool:
    if value.strip() != LEAVING_VALUE:
        raise _invalid_header("leaving", value, LEAVING_VALUE)
    return True


def _parse_limit(value: str) -> int:
    if not LIMIT.fullmatch(value.strip()):
        raise _invalid_header("brittle", value, "a number of requests")
    return int(value)


def _invalid_header(
    name: str, value: str, expected: str
) -> errors.InvalidHeaderError:
    return errors.InvalidHeaderError(
        f"invalid {name} header of a target",
        given=value[:MAX_SHOWN_CHARACTERS],
        expected=expected,
    )
