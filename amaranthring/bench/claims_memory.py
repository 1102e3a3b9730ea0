"""Memory, snapshot size and time of the ledger of claims.

Memory is what the process's resident set grows by while claims are made and
settled, so it holds every overhead of the interpreter. The consequences are
for letter 1's peak of 3,300 requests a second, of which a share books.
"""

import gc
import os
import time

from amaranthring.bench import report
from amaranthring.core import records
from amaranthring.core import wire
from amaranthring.keepers import commands
from amaranthring.keepers import ledger

PEAK_PER_SECOND = 3300.0
# A day's mean load as a share of its peak; 14 million chats and 560 changes
# a day are given, this is not: an assumption of the arithmetic.
MEAN_OF_PEAK = 0.4
SHARES = (0.001, 0.01, 0.05)
DAY = 86400.0
ANSWER = b'{"booking": "0123456789", "slot": "2026-12-02T20:00", "ok": true}'


def resident_bytes() -> int:
    """Return the resident set of this process."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def fill(book: ledger.Ledger, claims: int, stamp: float) -> float:
    """Claim and settle so many keys; return the seconds taken."""
    answer = records.StoredAnswer(201, "application/json", ANSWER)
    began = time.perf_counter()
    for number in range(claims):
        key = f"{number:032x}"
        claim = commands.Claim(
            f"account-{number % 910:04}", key, key, key, "booking-1", 30.0
        )
        settle = commands.Settle(claim.account, key, key, "ran", answer)
        book.claim(stamp, claim)
        book.settle(stamp, settle)
    return time.perf_counter() - began


def run(claims: int = 300_000) -> report.Report:
    """Measure a ledger with so many settled claims."""
    made = report.Report(f"claims_memory: {claims} settled claims")
    book = ledger.Ledger(max_bytes=1 << 40)
    fill(book, 1000, 0.0)
    gc.collect()
    before = resident_bytes()
    taken = fill(book, claims, 1000.0)
    gc.collect()
    each = (resident_bytes() - before) / claims
    estimated = book.bytes / (len(book) or 1)
    made.add("memory of a settled claim", each, "bytes", most=450)
    made.add(
        "estimated by the ledger, of measured", estimated / each, "", 1.3, 0.9
    )
    made.add("claim and settlement in the state", taken / claims * 1e6, "us")
    _add_snapshot(made, book, claims)
    _add_marks(made, book, claims)
    _add_consequences(made, each)
    return made


def _add_snapshot(made, book: ledger.Ledger, claims: int) -> None:
    began = time.perf_counter()
    data = wire.encode_value(book.dump())
    encoded = time.perf_counter() - began
    began = time.perf_counter()
    ledger.Ledger().load(wire.decode_value(data))
    loaded = time.perf_counter() - began
    made.add("snapshot of a claim", len(data) / claims, "bytes", most=300)
    made.add("encoding a snapshot, per 100,000", encoded * 1e10 / claims, "us")
    made.add("loading a snapshot, per 100,000", loaded * 1e10 / claims, "us")


def _add_marks(made, book: ledger.Ledger, claims: int) -> None:
    before = book.bytes
    book.expire(1000.0 + book.retention * 1.2)
    made.add("mark of an old claim", book.bytes / claims, "bytes", most=9)
    made.add("share of memory that marks keep", book.bytes / before)


def _add_consequences(made, each: float) -> None:
    days = ledger.RETENTION_SECONDS / DAY
    mark_days = ledger.MARK_RETENTION_SECONDS / DAY
    for share in SHARES:
        rate = PEAK_PER_SECOND * MEAN_OF_PEAK * share
        marks = rate * DAY * mark_days * ledger.MARK_BYTES
        total = rate * DAY * days * each + marks
        room = (ledger.MAX_BYTES - marks) / (rate * each)
        name = f"at {share:.1%} bookings"
        made.add(f"{name}: ledger with the defaults", total / 2**20, "MB")
        made.add(f"{name}: marks alone", marks / 2**20, "MB")
        hours = max(0.0, room / 3600)
        made.add(f"{name}: claim_hours that the bound holds", hours, "h")
