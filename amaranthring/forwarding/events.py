"""Event streams cut at whole events, so that a stream can go on elsewhere.

Source: the event stream format of the HTML Living Standard, section 9.2.
Nothing of an event but its number is read, and its bytes are not changed.
"""

import re

from amaranthring import errors

MAX_EVENT_BYTES = 256 * 1024
END_OF_EVENT = b"\n\n"
NUMBER = re.compile(rb"^id: ?(\d+)\r?$", re.MULTILINE)


class EventSplitter:
    """Passes on whole events of one answer, from one target or several.

    Attributes
    ----------
    last : int or None
        Number of the last event that was passed on.
    rest : bytes
        Begin of an event that is not whole yet.
    """

    def __init__(self, last: int | None = None):
        self.last = last
        self.partial = b""

    def discard_partial(self) -> None:
        """Drop the begun event: another target sends it again."""
        self.partial = b""

    def feed(self, data: bytes) -> bytes:
        """Return the events that `data` completes.

        An event that the caller has already is dropped.

        Raises
        ------
        errors.TruncatedAnswerError
            If an event is missing.
        errors.UpstreamError
            If an event is above the bound.
        """
        data = self.partial + data if self.partial else data
        end = data.rfind(END_OF_EVENT)
        if end < 0:
            self.partial = data
            self._check_rest()
            return b""
        end += len(END_OF_EVENT)
        self.partial = data[end:]
        self._check_rest()
        blocks = data[:end].split(END_OF_EVENT)[:-1]
        kept = [b for b in blocks if self._is_next(b)]
        return b"".join(block + END_OF_EVENT for block in kept)

    def _check_rest(self) -> None:
        if len(self.partial) > MAX_EVENT_BYTES:
            raise errors.UpstreamError(
                "an event above the bound",
                given=len(self.partial),
                expected=f"{MAX_EVENT_BYTES} bytes at most",
            )

    def _is_next(self, block: bytes) -> bool:
        found = NUMBER.search(block)
        if found is None:
            return True
        number = int(found[1])
        if self.last is not None:
            if number <= self.last:
                return False
            if number > self.last + 1:
                raise errors.TruncatedAnswerError(
                    "events are missing",
                    given=f"event {number}",
                    expected=f"event {self.last + 1}",
                )
        self.last = number
        return True
