"""The ledger of claims: a non-idempotent call runs at most once.

A claim is granted to one attempt. Only that attempt settles it: as run, with
the answer kept for resends; as not run, which frees the key; or as unknown.
A claim that its holder leaves unsettled past its time counts as unknown: it
is never granted again, and what the true holder says later still counts.

Claims lie in buckets by the time of their grant, packed into bytes; a bucket
older than the retention is dropped whole, so keeping time costs nothing for
each claim. What is left of a dropped bucket are 8 bytes for each claim that
ran or may have run: a resend that comes days later is told so and never run
again, although its answer is gone. All times are stamps of the log.
"""

import array
import bisect
import hashlib
import struct
import typing as t

from amaranthring import errors
from amaranthring.core import records

RETENTION_SECONDS = 72 * 3600.0
BUCKETS = 24
MAX_ANSWER_BYTES = 16 * 1024
HOLD_SECONDS_MOST = 3600.0
MARK_RETENTION_SECONDS = 7 * 86400.0
MAX_BYTES = 128 * 1024 * 1024
# What a claim takes in memory beside its packed form, by measurement in
# bench claims_memory.
OVERHEAD_BYTES = 180
MARK_BYTES = 8

HELD = 0
UNKNOWN = 1
RAN = 2
RAN_NOT_KEPT = 3
RELEASED = 4
NO_DIGEST = bytes(16)
_HEAD = struct.Struct("<BdH16s16sBB")
# Fields of the head: state, stamp until which the claim is held, HTTP
# status, digest of the body, digest of the attempt, lengths of the target
# and of the content type.


class ClaimRecord(t.NamedTuple):
    """One claim, unpacked; the fields are those of the head."""

    state: int
    until: float
    status: int
    body_digest: bytes
    attempt: bytes
    target: str = ""
    content_type: str = ""
    body: bytes = b""


def pack(kept: ClaimRecord) -> bytes:
    """Return the compact form of `kept`."""
    target = kept.target.encode()[:255]
    content_type = kept.content_type.encode()[:255]
    head = _HEAD.pack(
        *kept[:5],
        len(target),
        len(content_type),
    )
    return head + target + content_type + kept.body


def unpack(data: bytes) -> ClaimRecord:
    """Return the claim in `data`."""
    *head, target_size, type_size = _HEAD.unpack_from(data)
    middle = _HEAD.size + target_size
    end = middle + type_size
    target = data[_HEAD.size : middle].decode(errors="replace")
    content_type = data[middle:end].decode(errors="replace")
    return ClaimRecord(*head, target, content_type, data[end:])


def short(*texts: str) -> bytes:
    """Return a 128-bit digest of `texts`."""
    made = hashlib.blake2b(digest_size=16)
    for text in texts:
        data = text.encode()
        made.update(len(data).to_bytes(8, "big"))
        made.update(data)
    return made.digest()


class Marks:
    """What is remembered of the claims of one dropped bucket.

    Two sorted arrays of 64-bit digests. Two keys with one digest would make
    a call that never ran look like one that did; among 10 million marks the
    chance is below one in a million million for each new key.

    Attributes
    ----------
    ran, unknown : array.array
        Digests of keys whose calls ran, and of those that may have.
    """

    def __init__(self, ran: bytes = b"", unknown: bytes = b""):
        self.ran = array.array("Q", ran)
        self.unknown = array.array("Q", unknown)

    @classmethod
    def of(cls, bucket: dict[bytes, bytes]) -> "Marks":
        """Return the marks of `bucket`."""
        made = cls()
        ran = []
        unknown = []
        for key, data in bucket.items():
            if data[0] in (RAN, RAN_NOT_KEPT):
                ran.append(_mark(key))
            elif data[0] != RELEASED:
                unknown.append(_mark(key))
        made.ran.extend(sorted(ran))
        made.unknown.extend(sorted(unknown))
        return made

    def __len__(self) -> int:
        return len(self.ran) + len(self.unknown)


def _mark(key: bytes) -> int:
    return int.from_bytes(key[:8], "big")


def _holds(marks: array.array, mark: int) -> bool:
    place = bisect.bisect_left(marks, mark)
    return place < len(marks) and marks[place] == mark


class Ledger:
    """All claims within the retention, and marks of earlier ones.

    Parameters
    ----------
    retention : float
        Seconds after its grant that a claim is kept at least.
    answer_bytes_most : int
        Larger answers are not kept; a resend then learns that it ran.
    bytes_most : int
        Memory above which no new claim is granted.

    Attributes
    ----------
    buckets : dict
        Number of a span of time to its claims by digest of their keys.
    marks : dict
        Number of a span of time to the marks of its claims.
    bytes : int
        Memory in use, estimated.
    """

    def __init__(
        self,
        retention: float = RETENTION_SECONDS,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
        max_bytes: int = MAX_BYTES,
    ):
        self.max_bytes = max_bytes
        self.bytes = 0
        self.marks: dict[int, Marks] = {}
        self.retention = retention
        self.max_answer_bytes = max_answer_bytes
        self.span = retention / BUCKETS
        self.buckets: dict[int, dict[bytes, bytes]] = {}

    def __len__(self) -> int:
        return sum(len(bucket) for bucket in self.buckets.values())

    def claim(self, stamp: float, command) -> records.Claim:
        """Grant the claim or say what became of it.

        The same attempt asking again, because its first answer was lost, is
        granted again: it is still the one holder. An attempt that released
        its claim is not: a late copy of its first command must not hold the
        key with nobody behind it.
        """
        self.expire(stamp)
        key = short(command.account, command.key)
        attempt = short(command.attempt)
        digest = digest_bytes(command.body_digest)
        bucket, kept = self._find(key)
        if kept is None:
            marked = self._marked(key)
            if marked is not None:
                return marked
            self._check_room()
        elif kept.body_digest not in (NO_DIGEST, digest):
            return records.Claim(records.ClaimState.KEY_REUSED, "")
        elif kept.state != RELEASED or kept.attempt == attempt:
            return self._told(stamp, kept, attempt, command.attempt)
        # A freed key starts its retention anew, in the bucket of now.
        self._drop(bucket, key)
        bucket = self.buckets.setdefault(int(stamp // self.span), {})
        until = stamp + min(command.hold_seconds, HOLD_SECONDS_MOST)
        made = ClaimRecord(
            HELD,
            until,
            0,
            digest,
            attempt,
            command.target,
        )
        self._put(bucket, key, made)
        return records.Claim(
            records.ClaimState.GRANTED, command.attempt, command.target
        )

    def settle(self, stamp: float, command) -> records.Claim:
        """Take down what the holder of a claim says of it.

        Raises
        ------
        errors.NotFoundError
            If there is no such claim within the retention, and it is not
            said to be not run.
        errors.ForbiddenError
            If another attempt holds it, or it was settled otherwise.
        """
        key = short(command.account, command.key)
        attempt = short(command.attempt)
        bucket, kept = self._find(key)
        not_run = command.outcome == errors.Outcome.NOT_RUN
        if kept is None and not_run and self._marked(key) is None:
            return self._release_early(stamp, key, attempt, command)
        if kept is None:
            raise errors.NotFoundError(
                "no such claim", given=command.key, expected="a claimed key"
            )
        if kept.attempt != attempt:
            raise errors.ForbiddenError(
                "only the holder settles a claim",
                given=command.attempt,
                expected="the attempt that was granted",
            )
        made = self._settled(kept, command)
        if kept.state in (RAN, RAN_NOT_KEPT, RELEASED):
            # A repeat of the same word is harmless; another word is not.
            if (made.state == RELEASED) != (kept.state == RELEASED):
                raise errors.ForbiddenError(
                    "the claim was settled otherwise",
                    given=command.outcome,
                    expected="the first settlement",
                )
            made = kept
        self._drop(bucket, key)
        self._put(bucket, key, made)
        return self._told(stamp, made, attempt, command.attempt)

    def _release_early(self, stamp, key, attempt, command) -> records.Claim:
        """Note that an attempt gave up a claim that did not come yet.

        Its claim may still be under way, and would hold the key with nobody
        behind it. No body is known; a claim with any body finds the note.
        """
        made = ClaimRecord(RELEASED, stamp, 0, NO_DIGEST, attempt)
        bucket = self.buckets.setdefault(int(stamp // self.span), {})
        self._put(bucket, key, made)
        return self._told(stamp, made, attempt, command.attempt)

    def expire(self, stamp: float) -> None:
        """Make marks of buckets past the retention; drop old marks."""
        oldest = int((stamp - self.retention) // self.span)
        for number in [n for n in self.buckets if n < oldest]:
            bucket = self.buckets.pop(number)
            marks = Marks.of(bucket)
            self.marks[number] = marks
            self.bytes -= sum(map(_size, bucket.values()))
            self.bytes += MARK_BYTES * len(marks)
        oldest -= int(MARK_RETENTION_SECONDS // self.span)
        for number in [n for n in self.marks if n < oldest]:
            self.bytes -= MARK_BYTES * len(self.marks.pop(number))

    def dump(self) -> dict[str, t.Any]:
        """Return the plain form that :meth:`load` reads."""
        return {
            "buckets": list(self.buckets.items()),
            "marks": [
                [number, marks.ran.tobytes(), marks.unknown.tobytes()]
                for number, marks in self.marks.items()
            ],
        }

    def load(self, values: dict[str, t.Any]) -> None:
        """Take over the claims that :meth:`dump` wrote."""
        self.buckets = dict(values["buckets"])
        self.marks = {
            number: Marks(ran, unknown)
            for number, ran, unknown in values["marks"]
        }
        self.bytes = MARK_BYTES * sum(map(len, self.marks.values()))
        for bucket in self.buckets.values():
            self.bytes += sum(map(_size, bucket.values()))

    def _put(self, bucket: dict[bytes, bytes], key: bytes, kept: ClaimRecord):
        bucket[key] = pack(kept)
        self.bytes += _size(bucket[key])

    def _drop(self, bucket: dict[bytes, bytes], key: bytes) -> None:
        data = bucket.pop(key, None)
        if data is not None:
            self.bytes -= _size(data)

    def _marked(self, key: bytes) -> records.Claim | None:
        """Return what is known of a call whose claim was dropped."""
        mark = _mark(key)
        for marks in self.marks.values():
            if _holds(marks.ran, mark):
                return records.Claim(
                    records.ClaimState.SETTLED,
                    "",
                    outcome=errors.Outcome.RAN,
                    answer=records.StoredAnswer(0, "", b"", False),
                )
            if _holds(marks.unknown, mark):
                return records.Claim(records.ClaimState.UNKNOWN, "")
        return None

    def _find(
        self, key: bytes
    ) -> tuple[dict[bytes, bytes], ClaimRecord | None]:
        for bucket in self.buckets.values():
            data = bucket.get(key)
            if data is not None:
                return bucket, unpack(data)
        return {}, None

    def _check_room(self) -> None:
        if self.bytes >= self.max_bytes:
            raise errors.QueueFullError(
                "the ledger of claims is full",
                given=f"{self.bytes} bytes",
                expected=f"at most {self.max_bytes}",
                retry_after=60.0,
            )

    def _settled(self, kept: ClaimRecord, command) -> ClaimRecord:
        if command.outcome == errors.Outcome.NOT_RUN:
            return kept._replace(state=RELEASED)
        if command.outcome == errors.Outcome.UNKNOWN:
            return kept._replace(state=UNKNOWN)
        answer = command.answer
        if answer is None or not answer.kept:
            return kept._replace(state=RAN_NOT_KEPT)
        if len(answer.body) > self.max_answer_bytes:
            return kept._replace(state=RAN_NOT_KEPT, status=answer.status)
        return kept._replace(
            state=RAN,
            status=answer.status,
            content_type=answer.content_type,
            body=answer.body,
        )

    def _told(self, stamp, kept, attempt, name) -> records.Claim:
        states = records.ClaimState
        if kept.state in (RAN, RAN_NOT_KEPT):
            answer = records.StoredAnswer(
                kept.status, kept.content_type, kept.body, kept.state == RAN
            )
            return records.Claim(
                states.SETTLED, "", kept.target, errors.Outcome.RAN, answer
            )
        if kept.state == RELEASED:
            return records.Claim(
                states.SETTLED, "", kept.target, errors.Outcome.NOT_RUN
            )
        if kept.attempt == attempt and kept.state == HELD:
            return records.Claim(states.GRANTED, name, kept.target)
        if kept.state == UNKNOWN or stamp > kept.until:
            return records.Claim(states.UNKNOWN, "", kept.target)
        return records.Claim(states.IN_PROGRESS, "", kept.target)


def _size(data: bytes) -> int:
    return len(data) + OVERHEAD_BYTES


def digest_bytes(text: str) -> bytes:
    """Return the 16 bytes kept of a body digest given in any form."""
    try:
        data = bytes.fromhex(text)
    except ValueError:
        data = b""
    return data if len(data) == 16 else short(text)
