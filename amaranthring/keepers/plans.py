"""The routing plan as durable state: the highest version is in force."""

import zlib

from amaranthring.core import wire

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


@wire.message("plan-held")
class PlanHeld:
    """The version in force after a :class:`PutPlan`."""

    version: int


def packed(document: bytes) -> bytes:
    """Return `document` compressed, as it is stored and sent."""
    return zlib.compress(document, COMPRESSION_LEVEL)


def unpacked(body: bytes) -> bytes:
    """Return the document in `body`."""
    return zlib.decompress(body)


class PlanMachine:
    """Holds the plan that the log of commands leads to.

    A command with a version that is not higher changes nothing. So an order
    that is sent again after a lost acknowledgement, or that an older one
    overtakes, leaves the newest in force, and another content under the
    version held is never taken over.

    Attributes
    ----------
    version : int
        Version in force; -1 before the first.
    body : bytes
        Its document, compressed; empty before the first.
    """

    def __init__(self):
        self.version = -1
        self.body = b""

    def apply(self, index: int, stamp: float, command: PutPlan) -> PlanHeld:
        """Apply one command."""
        del index, stamp
        if command.version > self.version:
            self.version = command.version
            self.body = command.body
        return PlanHeld(self.version)

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return wire.encode_value((self.version, self.body))

    def restore(self, data: bytes) -> None:
        """Replace the state by one that :meth:`snapshot` returned."""
        self.version, self.body = wire.decode_value(data)
