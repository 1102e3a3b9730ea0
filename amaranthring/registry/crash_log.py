"""Log lines about requests that crash targets, alike on all processes."""

import logbook

from amaranthring.core import logs
from amaranthring.policy import crash_evidence

log = logbook.Logger(__name__)


def log_verdict(verdict: crash_evidence.Verdict) -> None:
    """Log what is known of a request from now on."""
    logs.event(
        log,
        "suspect.known",
        fingerprint=verdict.fingerprint,
        condemned=verdict.condemned,
        refused_seconds=round(verdict.refused_seconds, 1),
        count=verdict.count,
        crashes=describe(verdict.crashes),
    )


def describe(crashes: list[crash_evidence.CrashNote]) -> str:
    """Return ``target@router:age`` of each crash, for the log."""
    return ",".join(
        f"{note.target}@{note.router}:{note.age:.1f}s" for note in crashes
    )
