"""Messages between a router and the helper that sends its requests on."""

import tornado.httputil

from amaranthring.core import wire
from amaranthring.forwarding import records
from amaranthring.policy import bindings


@wire.message("handover-request")
class HandOver:
    """A request for the helper to send on, as the router received it.

    Attributes
    ----------
    number : int
        Names the handover on its link.
    headers : list of list of str
        Pairs of name and value.
    seconds_left : float
        Time until its deadline; infinite for none.
    parts : list of list
        Pairs of id and tokens of the parts of the prompt.
    version : int
        Of the plan by which the router routed it.
    service : str
        Service that the router drew.
    attempts_sent : int
        Number of targets that may have started to run it.
    resumes : str
        Attempt of the caller that brought the first event of its stream.
    bound_service, release : str
        What its stream is bound to; empty if it is not.
    """

    number: int
    request_id: str
    method: str
    uri: str
    host: str
    headers: list[list[str]]
    body: bytes
    seconds_left: float
    key: str
    resume_after: str
    parts: list[list]
    output_tokens: int
    origin: str
    version: int
    service: str
    attempts_sent: int
    resumes: str = ""
    bound_service: str = ""
    release: str = ""


@wire.message("handover-accepted")
class Accepted:
    """Reply to :class:`HandOver`: the answer follows.

    Attributes
    ----------
    release : str
        Version to which the helper keeps the stream, if it is bound.
    """

    number: int
    release: str = ""


@wire.message("handover-cancel")
class Cancel:
    """The caller no longer waits."""

    number: int


@wire.message("handover-head")
class Head:
    """Head of the target's response; headers as in :class:`HandOver`.

    Attributes
    ----------
    service, release : str
        What the stream is bound to, if the response is one.
    """

    number: int
    status: int
    headers: list[list[str]]
    service: str = ""
    release: str = ""


@wire.message("handover-data")
class Data:
    """Bytes of the body."""

    number: int
    data: bytes


@wire.message("handover-end")
class End:
    """The response is complete, or there will be no more of it.

    Attributes
    ----------
    error : dict or None
        Record of the error if it is not complete.
    attempts_sent : int
        Number of targets that may have started to run the request, with
        those before it was handed over.
    """

    number: int
    error: dict | None = None
    attempts_sent: int = 0


def pack(
    number: int, context: records.RequestContext, seconds_left: float,
    resume_after: str,
) -> HandOver:  # fmt: skip
    """Return the message that hands a request over."""
    incoming = context.incoming
    return HandOver(
        number,
        incoming.request_id,
        incoming.method,
        incoming.uri,
        incoming.host,
        pack_headers(incoming.headers),
        incoming.body,
        seconds_left,
        incoming.key,
        resume_after,
        [[part.id, part.tokens] for part in incoming.parts],
        incoming.output_tokens,
        incoming.origin,
        context.version,
        context.service,
        context.attempts_sent,
        incoming.resumes,
        context.binding.service if context.binding else "",
        context.binding.release if context.binding else "",
    )


def unpack(message: HandOver, arrived: float) -> records.Incoming:
    """Return the request in `message`.

    Parameters
    ----------
    arrived : float
        Monotonic seconds at which the message arrived.
    """
    return records.Incoming(
        request_id=message.request_id,
        method=message.method,
        uri=message.uri,
        path=message.uri.partition("?")[0],
        host=message.host,
        headers=unpack_headers(message.headers),
        arrived=arrived,
        timeout=message.seconds_left,
        key=message.key,
        resume_after=message.resume_after,
        parts=tuple(
            records.PromptPart(str(part_id), int(tokens))
            for part_id, tokens in message.parts
        ),
        output_tokens=message.output_tokens,
        body=message.body,
        origin=message.origin,
        resumes=message.resumes,
    )


def binding_of(message: HandOver) -> bindings.Binding | None:
    """Return what the stream of a handed over request is bound to."""
    if not message.release:
        return None
    return bindings.Binding(message.bound_service, message.release)


def pack_headers(headers: tornado.httputil.HTTPHeaders) -> list[list[str]]:
    """Return the headers as pairs of name and value."""
    return [list(pair) for pair in headers.get_all()]


def unpack_headers(pairs: list[list[str]]) -> tornado.httputil.HTTPHeaders:
    """Return the headers in `pairs`."""
    headers = tornado.httputil.HTTPHeaders()
    for name, value in pairs:
        headers.add(name, value)
    return headers
