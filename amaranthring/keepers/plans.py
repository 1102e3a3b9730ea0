"""Replicated state of the routing plan; the highest version is in force."""

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
    """Replace the plan, unless `version` is not higher than the current one.

    Attributes
    ----------
    body : bytes
        The plan document as the operator sent it, compressed.
    """

    version: int
    body: bytes


@wire.message("plan-change")
class ChangePlan:
    """As :class:`PutPlan`, but as a delta to the plan of version `base`.

    Replicating whole plans of 20 KB for changes of one route can delay the
    leader's heartbeats for longer than the election timeout.

    Attributes
    ----------
    delta : bytes
        Delta from the document of version `base` to the new one.
    """

    version: int
    base: int
    delta: bytes


@wire.message("plan-held")
class PlanVersion:
    """The version in force after a :class:`PutPlan` or :class:`ChangePlan`."""

    version: int


def compress(document: bytes) -> bytes:
    """Return `document` in the compressed form for storage and transfer."""
    return zlib.compress(document, COMPRESSION_LEVEL)


def decompress(body: bytes) -> bytes:
    """Return the document that is compressed in `body`."""
    return zlib.decompress(body)


class PlanStateMachine:
    """Replicated state machine that holds the routing plan.

    A command whose version is not higher than the current one has no
    effect. Retries and reordered commands therefore leave the newest plan in
    force, and the content of a version never changes.

    Attributes
    ----------
    version : int
        Version in force; -1 if there is no plan yet.
    """

    def __init__(self):
        self.version = -1
        # Each of these is computed lazily from the other: deltas need the
        # document, routers that start need the compressed form.
        self._body: bytes | None = b""
        self._document: bytes | None = b""

    @property
    def body(self) -> bytes:
        """Return the compressed plan; empty if there is no plan yet."""
        if self._body is None:
            self._body = compress(self._document)
        return self._body

    @property
    def document(self) -> bytes:
        """Return the plan document; empty if there is no plan yet."""
        if self._document is None:
            self._document = decompress(self._body)
        return self._document

    def put_command(self, version: int, document: bytes) -> t.Any:
        """Return the smallest command that makes `document` the plan."""
        body = compress(document)
        if 0 <= self.version < version:
            delta = deltas.diff(self.document, document)
            if len(delta) < len(body):
                return ChangePlan(version, self.version, delta)
        return PutPlan(version, body)

    def apply(
        self, index: int, stamp: float, command: PutPlan | ChangePlan
    ) -> PlanVersion:
        """Apply one command and return the version in force afterwards.

        A :class:`ChangePlan` whose base is not in force has no effect; the
        returned version is then below that of the command.
        """
        del index, stamp
        if command.version > self.version:
            if isinstance(command, ChangePlan):
                self._apply_delta(command)
            else:
                self.version = command.version
                self._body, self._document = command.body, None
        return PlanVersion(self.version)

    def _apply_delta(self, command: ChangePlan) -> None:
        if command.base != self.version:
            return
        try:
            document = deltas.apply(self.document, command.delta)
        except errors.FrameError as error:
            # All keepers have the same document, so all skip this command.
            log.error(
                "plan.delta-refused version={} fault={}",
                command.version,
                error,
            )
            return
        self.version = command.version
        self._body, self._document = None, document

    def snapshot(self) -> bytes:
        """Return the state as bytes for :meth:`restore`."""
        return wire.encode_value((self.version, self.body))

    def restore(self, data: bytes) -> None:
        """Replace the state by that from :meth:`snapshot`."""
        self.version, self._body = wire.decode_value(data)
        self._document = None if self._body else b""
