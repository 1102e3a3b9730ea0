r"""Events of an engine's stream: told apart, checked, renumbered.

An engine sends each event as ``id: STREAM:NUMBER``, then ``data: ...``,
then an empty line, all with ``\n``; numbers grow by one, and the last event
carries ``[DONE]``. Nothing inside ``data`` is parsed here: an event passes
as bytes, so its cost does not grow with what it says.

Source: the event stream format of the HTML Living Standard, section 9.2.
"""

import json

from amaranthring import errors

MAX_EVENT_BYTES = 256 * 1024
END = b"data: [DONE]"
SHOWN_BYTES = 60
KEPT_BYTES_MOST = 64 * 1024
TEXT_FIELDS = {"role", "content"}


class EventRewriter:
    """Checks one stream and writes its events under another id.

    Parameters
    ----------
    stream : str
        Name of the stream at its engine.
    shown : str
        What callers see before the number, as ``id: SHOWN.NUMBER``.
    expected : int
        Number of the next event.

    Attributes
    ----------
    ended : bool
        Whether the end mark came.
    fault : AmaranthringError or None
        Why nothing after the events taken so far can be trusted.
    dropped : int
        Events that came twice.
    kept : list of bytes or None
        What was taken, until it is above ``KEPT_BYTES_MOST``; then None.
    """

    def __init__(self, stream: str, shown: str, expected: int = 0):
        self.expected = expected
        self.ended = False
        self.error: errors.AmaranthringError | None = None
        self.duplicates = 0
        self.kept: list[bytes] | None = [] if expected == 0 else None
        self._kept_bytes = 0
        self.switch_to(stream, shown)

    def switch_to(self, stream: str, shown: str) -> None:
        """Go on with `stream` at the number expected next."""
        self.prefix = f"id: {stream}:".encode()
        self.shown = f"id: {shown}.".encode()
        self.rest = b""
        self.error = None

    def take(self, data: bytes) -> bytes:
        """Return the events that `data` completes, ready for the caller.

        After a fault the events before it are returned and the rest of the
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
                self._odd(head, block)
                if self.error:
                    break
                continue
            taken.append(b"%b%d\n%b" % (self.shown, self.expected, tail))
            self.expected += 1
            if tail == END:
                self.ended = True
                break
        if len(self.rest) > MAX_EVENT_BYTES:
            self.error = errors.UpstreamError(
                "an event above the bound",
                given=len(self.rest),
                expected=f"{MAX_EVENT_BYTES} bytes at most",
            )
        if not taken:
            return b""
        taken.append(b"")
        made = b"\n\n".join(taken)
        if self.kept is not None:
            self._keep(made)
        return made

    def text(self) -> str | None:
        """Return the text of the events so far, or None if it is not known.

        It is known when all of them were kept and carry nothing but the
        text of one choice. Parsed only when a stream has to go on at
        another engine.
        """
        if self.kept is None:
            return None
        parts = []
        for block in b"".join(self.kept).split(b"\n\n")[:-1]:
            part = _content(block.partition(b"\ndata: ")[2])
            if part is None:
                return None
            parts.append(part)
        return "".join(parts)

    def _keep(self, made: bytes) -> None:
        self._kept_bytes += len(made)
        if self._kept_bytes > KEPT_BYTES_MOST:
            self.kept = None
            return
        self.kept.append(made)

    def _odd(self, head: bytes, block: bytes) -> None:
        """Drop a comment or a repeated event; note anything else a fault."""
        if block.startswith(b":"):
            return
        number = head[len(self.prefix) :]
        if not head.startswith(self.prefix) or not number.isdigit():
            self.error = errors.UpstreamError(
                "an event of another request or without an id",
                given=repr(head[:SHOWN_BYTES]),
                expected=self.prefix.decode() + "NUMBER",
            )
        elif int(number) < self.expected:
            self.duplicates += 1
        else:
            self.error = errors.TruncatedAnswerError(
                "events are missing",
                given=f"event {number.decode()}",
                expected=f"event {self.expected}",
            )


def _content(data: bytes) -> str | None:
    """Return the text of one event, or None if it carries more than that."""
    try:
        (choice,) = json.loads(data)["choices"]
        delta = choice["delta"]
        if set(delta) <= TEXT_FIELDS and choice.get("index", 0) == 0:
            return delta.get("content") or ""
    except (ValueError, KeyError, TypeError):
        pass
    return None
