"""The routing plan as durable state: the highest version is in force."""

import typing as t
import zlib

import logbook

from amaranthring import errors
from amaranthring.core import wire
from amaranthring.keepers import deltas

log = logbook.Logger(__name__)

COMPRESSION_LEVEL = 1


@wire.message("plan-put")
class PutPlan:
    """Puts a plan in force unless one of the same or a higher version is.

    Attributes
    ----------
    body : bytes
        The document as the operator sent it, compressed.
    """

    version: int
    body: bytes


@wire.message("plan-change")
class ChangePlan:
    """As :class:`PutPlan`, but only if version `base` is in force.

    Most changes are of one route. As whole plans of 20 KB each they went to
    five other keepers, and a few in a row held the leader's heartbeats up
    for longer than an election time.

    Attributes
    ----------
    delta : bytes
        What turns the document of `base` into this one.
    """

    version: int
    base: int
    delta: bytes


@wire.message("plan-held")
class PlanVersion:
    """The version in force after a :class:`PutPlan` or :class:`ChangePlan`."""

    version: int


def compress(document: bytes) -> bytes:
    """Return `document` compressed, as it is stored and sent."""
    return zlib.compress(document, COMPRESSION_LEVEL)


def decompress(body: bytes) -> bytes:
    """Return the document in `body`."""
    return zlib.decompress(body)


class PlanStateMachine:
    """Holds the plan that the log of commands leads to.

    A command with a version that is not higher changes nothing. So an order
    that is sent again after a lost acknowledgement, or that an older one
    overtakes, leaves the newest in force, and another content under the
    version held is never taken over.

    Attributes
    ----------
    version : int
        Version in force; -1 before the first.
    """

    def __init__(self):
        self.version = -1
        # Each of these is made from the other when it is asked for: a change
        # needs the document, a router that starts the compressed one.
        self._body: bytes | None = b""
        self._document: bytes | None = b""

    @property
    def body(self) -> bytes:
        """Return the document compressed; empty before the first."""
        if self._body is None:
            self._body = compress(self._document)
        return self._body

    @property
    def document(self) -> bytes:
        """Return the document in force; empty before the first."""
        if self._document is None:
            self._document = decompress(self._body)
        return self._document

    def put_command(self, version: int, document: bytes) -> t.Any:
        """Return the smallest command that puts `document` in force."""
        body = compress(document)
        if 0 <= self.version < version:
            delta = deltas.diff(self.document, document)
            if len(delta) < len(body):
                return ChangePlan(version, self.version, delta)
        return PutPlan(version, body)

    def apply(
        self, index: int, stamp: float, command: PutPlan | ChangePlan
    ) -> PlanVersion:
        """Apply one command.

        The version in the result is below that of a :class:`ChangePlan`
        whose base is not in force: nothing has changed.
        """
        del index, stamp
        if command.version > self.version:
            if isinstance(command, ChangePlan):
                self._change(command)
            else:
                self.version = command.version
                self._body, self._document = command.body, None
        return PlanVersion(self.version)

    def _change(self, command: ChangePlan) -> None:
        if command.base != self.version:
            return
        try:
            document = deltas.apply(self.document, command.delta)
        except errors.FrameError as error:
            # The same on every keeper, as all hold the same document.
            log.error(
                "plan.delta-refused version={} fault={}",
                command.version,
                error,
            )
            return
        self.version = command.version
        self._body, self._document = None, document

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return wire.encode_value((self.version, self.body))

    def restore(self, data: bytes) -> None:
        """Replace the state by one that :meth:`snapshot` returned."""
        self.version, self._body = wire.decode_value(data)
        self._document = None if self._body else b""
