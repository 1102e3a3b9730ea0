"""Ledger of idempotency keys: a non-idempotent call runs at most once.

A claim on a key is granted to one attempt. Only that attempt can settle it:
as run, with the answer stored for resends; as not run, which frees the key;
or as unknown. A claim that is not settled before its deadline counts as
unknown: it is never granted again, but its holder may still settle it.

Claims are stored as packed bytes in buckets by the time of their grant. A
bucket older than the retention is dropped as a whole, so expiry needs no
bookkeeping for each claim. For each of its claims that ran or may have run,
an 8-byte mark is kept, so that a resend days later is still not run again,
although the answer is gone. All times are log timestamps.
"""

import array
import bisect
import hashlib
import struct
import typing as t

from amaranthring import errors
from amaranthring.core import records

RETENTION_SECONDS = 72 * 3600.0
BUCKET_COUNT = 24
MAX_ANSWER_BYTES = 16 * 1024
MAX_HOLD_SECONDS = 3600.0
MARK_RETENTION_SECONDS = 7 * 86400.0
MAX_BYTES = 128 * 1024 * 1024
# Memory of a claim beside its packed bytes; see bench/claims_memory.py.
CLAIM_OVERHEAD_BYTES = 180
MARK_BYTES = 8

HELD = 0
UNKNOWN = 1
RAN = 2
RAN_ANSWER_DROPPED = 3
RELEASED = 4
NO_DIGEST = bytes(16)
_HEADER = struct.Struct("<BdH16s16sBB")
# Header fields: state, deadline, HTTP status, digests of the body and of the
# attempt, lengths of the target and of the content type.


class ClaimRecord(t.NamedTuple):
    """An unpacked claim; the first fields are those of the header.

    `until` is the log timestamp of the deadline, in seconds.
    """

    state: int
    until: float
    status: int
    body_digest: bytes
    attempt: bytes
    target: str = ""
    content_type: str = ""
    body: bytes = b""


def pack(record: ClaimRecord) -> bytes:
    """Return `record` as packed bytes."""
    target = record.target.encode()[:255]
    content_type = record.content_type.encode()[:255]
    head = _HEADER.pack(
        *record[:5],
        len(target),
        len(content_type),
    )
    return head + target + content_type + record.body


def unpack(data: bytes) -> ClaimRecord:
    """Return the claim that is packed in `data`."""
    *head, target_size, type_size = _HEADER.unpack_from(data)
    type_start = _HEADER.size + target_size
    body_start = type_start + type_size
    target = data[_HEADER.size : type_start].decode(errors="replace")
    content_type = data[type_start:body_start].decode(errors="replace")
    return ClaimRecord(*head, target, content_type, data[body_start:])


def digest_texts(*texts: str) -> bytes:
    """Return a 128-bit digest of `texts`."""
    hasher = hashlib.blake2b(digest_size=16)
    for text in texts:
        data = text.encode()
        hasher.update(len(data).to_bytes(8, "big"))
        hasher.update(data)
    return hasher.digest()


class Marks:
    """Digests of the keys in one dropped bucket whose calls may have run.

    Stored as sorted arrays of 64-bit digests. A digest collision would make
    a call that never ran look like one that did; with 10 million marks its
    probability for each new key is below 1e-12.

    Attributes
    ----------
    ran, unknown : array.array
        Digests of keys whose calls ran, and of keys whose calls may have
        run.
    """

    def __init__(self, ran: bytes = b"", unknown: bytes = b""):
        self.ran = array.array("Q", ran)
        self.unknown = array.array("Q", unknown)

    @classmethod
    def from_bucket(cls, bucket: dict[bytes, bytes]) -> "Marks":
        """Return the marks for the claims in `bucket`."""
        marks = cls()
        ran = []
        unknown = []
        for key, data in bucket.items():
            if data[0] in (RAN, RAN_ANSWER_DROPPED):
                ran.append(_mark_of(key))
            elif data[0] != RELEASED:
                unknown.append(_mark_of(key))
        marks.ran.extend(sorted(ran))
        marks.unknown.extend(sorted(unknown))
        return marks

    def __len__(self) -> int:
        return len(self.ran) + len(self.unknown)


def _mark_of(key: bytes) -> int:
    return int.from_bytes(key[:8], "big")


def _contains(marks: array.array, mark: int) -> bool:
    index = bisect.bisect_left(marks, mark)
    return index < len(marks) and marks[index] == mark


class Ledger:
    """All claims within the retention, and marks of older ones.

    Parameters
    ----------
    retention : float
        Minimum time for which a claim is kept after its grant, in seconds.
    max_answer_bytes : int
        Larger answers are not stored; a resend learns only that the call
        ran.
    max_bytes : int
        Estimated memory use at which new claims are refused.

    Attributes
    ----------
    buckets : dict
        Claims by bucket number and digest of the key.
    marks : dict
        Marks by bucket number.
    bytes : int
        Estimated memory use in bytes.
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
        self.bucket_seconds = retention / BUCKET_COUNT
        self.buckets: dict[int, dict[bytes, bytes]] = {}

    def __len__(self) -> int:
        return sum(len(bucket) for bucket in self.buckets.values())

    def claim(self, stamp: float, command) -> records.Claim:
        """Grant the claim, or return the state of the existing one.

        A repeated claim of the holder is granted again, as its first answer
        may have been lost. A claim that its attempt has released is not: a
        delayed duplicate of the command must not lock the key.
        """
        self.expire(stamp)
        key = digest_texts(command.account, command.key)
        attempt = digest_texts(command.attempt)
        digest = _parse_digest(command.body_digest)
        bucket, record = self._find(key)
        if record is None:
            past_claim = self._claim_from_marks(key)
            if past_claim is not None:
                return past_claim
            self._check_capacity()
        elif record.body_digest not in (NO_DIGEST, digest):
            return records.Claim(records.ClaimState.KEY_REUSED, "")
        elif record.state != RELEASED or record.attempt == attempt:
            return self._to_claim(stamp, record, attempt, command.attempt)
        # The retention of a released key starts again, in a new bucket.
        self._drop(bucket, key)
        bucket = self.buckets.setdefault(int(stamp // self.bucket_seconds), {})
        until = stamp + min(command.hold_seconds, MAX_HOLD_SECONDS)
        granted = ClaimRecord(
            HELD,
            until,
            0,
            digest,
            attempt,
            command.target,
        )
        self._put(bucket, key, granted)
        return records.Claim(
            records.ClaimState.GRANTED, command.attempt, command.target
        )

    def settle(self, stamp: float, command) -> records.Claim:
        """Record the outcome that the holder of a claim reports.

        Raises
        ------
        errors.NotFoundError
            If there is no such claim within the retention, unless the
            outcome is ``not-run`` and the key is unknown.
        errors.ForbiddenError
            If another attempt holds the claim, or it was already settled
            with a conflicting outcome.
        """
        key = digest_texts(command.account, command.key)
        attempt = digest_texts(command.attempt)
        bucket, record = self._find(key)
        not_run = command.outcome == errors.Outcome.NOT_RUN
        if record is None and not_run and self._claim_from_marks(key) is None:
            return self._release_early(stamp, key, attempt, command)
        if record is None:
            raise errors.NotFoundError(
                "no such claim", given=command.key, expected="a claimed key"
            )
        if record.attempt != attempt:
            raise errors.ForbiddenError(
                "only the holder of a claim can settle it",
                given=command.attempt,
                expected="the attempt that was granted",
            )
        updated = self._with_outcome(record, command)
        if record.state in (RAN, RAN_ANSWER_DROPPED, RELEASED):
            # A repeated settlement is idempotent; a conflicting one fails.
            if (updated.state == RELEASED) != (record.state == RELEASED):
                raise errors.ForbiddenError(
                    "the claim was already settled with another outcome",
                    given=command.outcome,
                    expected="the first settlement",
                )
            updated = record
        self._drop(bucket, key)
        self._put(bucket, key, updated)
        return self._to_claim(stamp, updated, attempt, command.attempt)

    def _release_early(self, stamp, key, attempt, command) -> records.Claim:
        """Release a claim whose command has not been applied yet.

        The command may still arrive, and would then lock the key although
        the attempt was given up. The body is not known yet, so the release
        applies to any body.
        """
        released = ClaimRecord(RELEASED, stamp, 0, NO_DIGEST, attempt)
        bucket = self.buckets.setdefault(int(stamp // self.bucket_seconds), {})
        self._put(bucket, key, released)
        return self._to_claim(stamp, released, attempt, command.attempt)

    def expire(self, stamp: float) -> None:
        """Replace expired buckets by marks, and drop expired marks."""
        oldest = int((stamp - self.retention) // self.bucket_seconds)
        for number in [n for n in self.buckets if n < oldest]:
            bucket = self.buckets.pop(number)
            marks = Marks.from_bucket(bucket)
            self.marks[number] = marks
            self.bytes -= sum(map(_size, bucket.values()))
            self.bytes += MARK_BYTES * len(marks)
        oldest -= int(MARK_RETENTION_SECONDS // self.bucket_seconds)
        for number in [n for n in self.marks if n < oldest]:
            self.bytes -= MARK_BYTES * len(self.marks.pop(number))

    def dump(self) -> dict[str, t.Any]:
        """Return the claims as plain data for :meth:`load`."""
        return {
            "buckets": list(self.buckets.items()),
            "marks": [
                [number, marks.ran.tobytes(), marks.unknown.tobytes()]
                for number, marks in self.marks.items()
            ],
        }

    def load(self, values: dict[str, t.Any]) -> None:
        """Replace the claims by those from :meth:`dump`."""
        self.buckets = dict(values["buckets"])
        self.marks = {
            number: Marks(ran, unknown)
            for number, ran, unknown in values["marks"]
        }
        self.bytes = MARK_BYTES * sum(map(len, self.marks.values()))
        for bucket in self.buckets.values():
            self.bytes += sum(map(_size, bucket.values()))

    def _put(
        self, bucket: dict[bytes, bytes], key: bytes, record: ClaimRecord
    ):
        bucket[key] = pack(record)
        self.bytes += _size(bucket[key])

    def _drop(self, bucket: dict[bytes, bytes], key: bytes) -> None:
        data = bucket.pop(key, None)
        if data is not None:
            self.bytes -= _size(data)

    def _claim_from_marks(self, key: bytes) -> records.Claim | None:
        """Return the state of a claim whose bucket was dropped."""
        mark = _mark_of(key)
        for marks in self.marks.values():
            if _contains(marks.ran, mark):
                return records.Claim(
                    records.ClaimState.SETTLED,
                    "",
                    outcome=errors.Outcome.RAN,
                    answer=records.StoredAnswer(0, "", b"", False),
                )
            if _contains(marks.unknown, mark):
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

    def _check_capacity(self) -> None:
        if self.bytes >= self.max_bytes:
            raise errors.QueueFullError(
                "the ledger of claims is full",
                given=f"{self.bytes} bytes",
                expected=f"at most {self.max_bytes}",
                retry_after=60.0,
            )

    def _with_outcome(self, record: ClaimRecord, command) -> ClaimRecord:
        if command.outcome == errors.Outcome.NOT_RUN:
            return record._replace(state=RELEASED)
        if command.outcome == errors.Outcome.UNKNOWN:
            return record._replace(state=UNKNOWN)
        answer = command.answer
        if answer is None or not answer.kept:
            return record._replace(state=RAN_ANSWER_DROPPED)
        if len(answer.body) > self.max_answer_bytes:
            return record._replace(
                state=RAN_ANSWER_DROPPED, status=answer.status
            )
        return record._replace(
            state=RAN,
            status=answer.status,
            content_type=answer.content_type,
            body=answer.body,
        )

    def _to_claim(self, stamp, record, attempt, attempt_id) -> records.Claim:
        states = records.ClaimState
        if record.state in (RAN, RAN_ANSWER_DROPPED):
            answer = records.StoredAnswer(
                record.status,
                record.content_type,
                record.body,
                record.state == RAN,
            )
            return records.Claim(
                states.SETTLED, "", record.target, errors.Outcome.RAN, answer
            )
        if record.state == RELEASED:
            return records.Claim(
                states.SETTLED, "", record.target, errors.Outcome.NOT_RUN
            )
        if record.attempt == attempt and record.state == HELD:
            return records.Claim(states.GRANTED, attempt_id, record.target)
        if record.state == UNKNOWN or stamp > record.until:
            return records.Claim(states.UNKNOWN, "", record.target)
        return records.Claim(states.IN_PROGRESS, "", record.target)


def _size(data: bytes) -> int:
    return len(data) + CLAIM_OVERHEAD_BYTES


def _parse_digest(text: str) -> bytes:
    """Return the 16 bytes of a hex digest; other texts are hashed."""
    try:
        data = bytes.fromhex(text)
    except ValueError:
        data = b""
    return data if len(data) == 16 else digest_texts(text)
