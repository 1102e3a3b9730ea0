"""Splitting of event streams, so that another target can resume a stream.

Source: the event stream format of the HTML Living Standard, section 9.2.
Only the id of an event is parsed, and its bytes are not changed.
"""

import re

from amaranthring import errors

MAX_EVENT_BYTES = 256 * 1024
EVENT_END = b"\n\n"
# Longer ids are no numbers.
MAX_ID_DIGITS = 64
EVENT_ID = re.compile(rb"^id: ?(\d{1,%d})\r?$" % MAX_ID_DIGITS, re.MULTILINE)


class EventSplitter:
    """Extracts complete events of one response from one or more targets.

    Attributes
    ----------
    last_id : int or None
        Id of the last event returned.
    partial : bytes
        Bytes of an incomplete event.
    """

    def __init__(self, last_id: int | None = None):
        self.last_id = last_id
        self.partial = b""

    def discard_partial(self) -> None:
        """Drop an incomplete event, as another target sends it again."""
        self.partial = b""

    def feed(self, data: bytes) -> bytes:
        """Return the events that `data` completes.

        Events that were already returned are dropped.

        Raises
        ------
        errors.TruncatedResponseError
            If an event is missing.
        errors.UpstreamError
            If an event is too large.
        """
        data = self.partial + data if self.partial else data
        end = data.rfind(EVENT_END)
        if end < 0:
            self.partial = data
            self._check_size()
            return b""
        end += len(EVENT_END)
        self.partial = data[end:]
        self._check_size()
        blocks = data[:end].split(EVENT_END)[:-1]
        new = [b for b in blocks if self._is_new(b)]
        return b"".join(block + EVENT_END for block in new)

    def _check_size(self) -> None:
        if len(self.partial) > MAX_EVENT_BYTES:
            raise errors.UpstreamError(
                "event too large",
                given=len(self.partial),
                expected=f"{MAX_EVENT_BYTES} bytes at most",
            )

    def _is_new(self, block: bytes) -> bool:
        match = EVENT_ID.search(block)
        if match is None:
            return True
        event_id = int(match[1])
        if self.last_id is not None:
            if event_id <= self.last_id:
                return False
            if event_id > self.last_id + 1:
                raise errors.TruncatedResponseError(
                    "events are missing",
                    given=f"event {event_id}",
                    expected=f"event {self.last_id + 1}",
                )
        self.last_id = event_id
        return True
