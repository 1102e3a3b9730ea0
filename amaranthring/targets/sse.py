r"""Checks and renumbers the events of an engine's stream.

An engine sends each event as ``id: STREAM:NUMBER``, then ``data: ...``,
then an empty line, all with ``\n``; numbers grow by one, and the last event
carries ``[DONE]``. ``data`` is passed on as bytes, unparsed, so the cost of an
event does not depend on its content.

Source: the event stream format of the HTML Living Standard, section 9.2.
"""

import json

from amaranthring import errors
from amaranthring.core import numerals

MAX_EVENT_BYTES = 256 * 1024
DONE_LINE = b"data: [DONE]"
MAX_SHOWN_BYTES = 60
MAX_KEPT_BYTES = 64 * 1024
TEXT_FIELDS = {"role", "content"}


class EventRewriter:
    """Checks one stream and rewrites the ids of its events.

    Parameters
    ----------
    stream : str
        Name of the stream at its engine.
    shown_stream : str
        Name for callers, who get ``id: SHOWN_STREAM.NUMBER``.
    expected : int
        Number of the next event.

    Attributes
    ----------
    ended : bool
        Whether the last event has arrived.
    error : AmaranthringError or None
        Why nothing after the events taken so far can be trusted.
    duplicates : int
        Repeated events that were dropped.
    kept : list of bytes or None
        Rewritten events; None once they exceed ``MAX_KEPT_BYTES``.
    """

    def __init__(self, stream: str, shown_stream: str, expected: int = 0):
        self.expected = expected
        self.ended = False
        self.error: errors.AmaranthringError | None = None
        self.duplicates = 0
        self.kept: list[bytes] | None = [] if expected == 0 else None
        self._kept_bytes = 0
        self.switch_to(stream, shown_stream)

    def switch_to(self, stream: str, shown_stream: str) -> None:
        """Continue with `stream` at the number expected next."""
        self.prefix = f"id: {stream}:".encode()
        self.shown = f"id: {shown_stream}.".encode()
        self.rest = b""
        self.error = None

    def take(self, data: bytes) -> bytes:
        """Return the events that `data` completes, ready for the caller.

        After an error the events before it are returned and the rest of the
        stream is ignored.
        """
        if self.error or self.ended:
            return b""
        if self.rest:
            data = self.rest + data
        blocks = data.split(b"\n\n")
        self.rest = blocks.pop()
        taken = []
        for block in blocks:
            head, _, tail = block.partition(b"\n")
            if head != b"%b%d" % (self.prefix, self.expected):
                self._check_unexpected(head, block)
                if self.error:
                    break
                continue
            taken.append(b"%b%d\n%b" % (self.shown, self.expected, tail))
            self.expected += 1
            if tail == DONE_LINE:
                self.ended = True
                break
        if len(self.rest) > MAX_EVENT_BYTES:
            self.error = errors.UpstreamError(
                "an event is too large",
                given=len(self.rest),
                expected=f"{MAX_EVENT_BYTES} bytes at most",
            )
        if not taken:
            return b""
        taken.append(b"")
        rewritten = b"\n\n".join(taken)
        if self.kept is not None:
            self._keep_events(rewritten)
        return rewritten

    def text(self) -> str | None:
        """Return the text of the events so far, or None if it is unknown.

        It is known if all events were kept and carry only the text of one
        choice. Called only when a stream has to continue at another engine.
        """
        if self.kept is None:
            return None
        parts = []
        for block in b"".join(self.kept).split(b"\n\n")[:-1]:
            part = _text_of(block.partition(b"\ndata: ")[2])
            if part is None:
                return None
            parts.append(part)
        return "".join(parts)

    def _keep_events(self, rewritten: bytes) -> None:
        self._kept_bytes += len(rewritten)
        if self._kept_bytes > MAX_KEPT_BYTES:
            self.kept = None
            return
        self.kept.append(rewritten)

    def _check_unexpected(self, head: bytes, block: bytes) -> None:
        """Skip a comment or duplicate; record anything else as an error."""
        if block.startswith(b":"):
            return
        shown = head[len(self.prefix) :].decode("latin1")
        number = numerals.read(shown)
        if not head.startswith(self.prefix) or number is None:
            self.error = errors.UpstreamError(
                "an event belongs to another request or has no id",
                given=repr(head[:MAX_SHOWN_BYTES]),
                expected=self.prefix.decode() + "NUMBER",
            )
        elif number < self.expected:
            self.duplicates += 1
        else:
            self.error = errors.TruncatedResponseError(
                "events are missing",
                given=f"event {number}",
                expected=f"event {self.expected}",
            )


def _text_of(data: bytes) -> str | None:
    """Return the text of one event, or None if it carries anything else."""
    try:
        (choice,) = json.loads(data)["choices"]
        delta = choice["delta"]
        if set(delta) <= TEXT_FIELDS and choice.get("index", 0) == 0:
            return delta.get("content") or ""
    except (ValueError, KeyError, TypeError):
        pass
    return None
