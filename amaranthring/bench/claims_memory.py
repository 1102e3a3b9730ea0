"""Memory, snapshot size and time of the ledger of claims.

Memory is measured as growth of the resident set while claims are made and
settled, so it includes the interpreter's overhead. The projections assume a
peak of 3,300 requests per second, a share of which are bookings.
"""

import gc
import os
import time

from amaranthring.bench import report
from amaranthring.core import records
from amaranthring.core import wire
from amaranthring.keepers import commands
from amaranthring.keepers import ledger

PEAK_REQUESTS_PER_SECOND = 3300.0
MEAN_TO_PEAK = 0.4  # mean load of a day as a share of its peak
BOOKING_SHARES = (0.001, 0.01, 0.05)
DAY_SECONDS = 86400.0
ANSWER = b'{"booking": "0123456789", "slot": "2026-12-02T20:00", "ok": true}'


def resident_bytes() -> int:
    """Return the resident set size of this process."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def fill(claim_ledger: ledger.Ledger, claims: int, timestamp: float) -> float:
    """Claim and settle `claims` keys; return the seconds taken."""
    answer = records.StoredAnswer(201, "application/json", ANSWER)
    started = time.perf_counter()
    for number in range(claims):
        key = f"{number:032x}"
        claim = commands.Claim(
            f"account-{number % 910:04}", key, key, key, "booking-1", 30.0
        )
        settle = commands.Settle(claim.account, key, key, "ran", answer)
        claim_ledger.claim(timestamp, claim)
        claim_ledger.settle(timestamp, settle)
    return time.perf_counter() - started


def run(claims: int = 300_000) -> report.Report:
    """Measure a ledger with `claims` settled claims."""
    results = report.Report(f"claims_memory: {claims} settled claims")
    claim_ledger = ledger.Ledger(max_bytes=1 << 40)
    fill(claim_ledger, 1000, 0.0)
    gc.collect()
    before = resident_bytes()
    seconds = fill(claim_ledger, claims, 1000.0)
    gc.collect()
    claim_bytes = (resident_bytes() - before) / claims
    estimated_bytes = claim_ledger.bytes / (len(claim_ledger) or 1)
    results.add("memory of a settled claim", claim_bytes, "bytes", most=450)
    results.add(
        "estimated by the ledger, of measured",
        estimated_bytes / claim_bytes,
        "",
        1.3,
        0.9,
    )
    results.add(
        "claim and settlement in the state", seconds / claims * 1e6, "us"
    )
    _add_snapshot(results, claim_ledger, claims)
    _add_marks(results, claim_ledger, claims)
    _add_projections(results, claim_bytes)
    return results


def _add_snapshot(results, claim_ledger: ledger.Ledger, claims: int) -> None:
    started = time.perf_counter()
    data = wire.encode_value(claim_ledger.dump())
    encoded = time.perf_counter() - started
    started = time.perf_counter()
    ledger.Ledger().load(wire.decode_value(data))
    loaded = time.perf_counter() - started
    results.add("snapshot of a claim", len(data) / claims, "bytes", most=300)
    results.add(
        "encoding a snapshot, per 100,000", encoded * 1e10 / claims, "us"
    )
    results.add(
        "loading a snapshot, per 100,000", loaded * 1e10 / claims, "us"
    )


def _add_marks(results, claim_ledger: ledger.Ledger, claims: int) -> None:
    before = claim_ledger.bytes
    claim_ledger.expire(1000.0 + claim_ledger.retention * 1.2)
    results.add(
        "mark of an old claim", claim_ledger.bytes / claims, "bytes", most=9
    )
    results.add("share of memory that marks keep", claim_ledger.bytes / before)


def _add_projections(results, claim_bytes: float) -> None:
    days = ledger.RETENTION_SECONDS / DAY_SECONDS
    mark_days = ledger.MARK_RETENTION_SECONDS / DAY_SECONDS
    for share in BOOKING_SHARES:
        rate = PEAK_REQUESTS_PER_SECOND * MEAN_TO_PEAK * share
        marks = rate * DAY_SECONDS * mark_days * ledger.MARK_BYTES
        total = rate * DAY_SECONDS * days * claim_bytes + marks
        seconds = (ledger.MAX_BYTES - marks) / (rate * claim_bytes)
        name = f"at {share:.1%} bookings"
        results.add(f"{name}: ledger with the defaults", total / 2**20, "MB")
        results.add(f"{name}: marks alone", marks / 2**20, "MB")
        hours = max(0.0, seconds / 3600)
        results.add(f"{name}: claim_hours that the bound holds", hours, "h")
