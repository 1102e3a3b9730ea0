"""Log lines about what crashes targets, alike on all processes."""

import logbook

from amaranthring.core import logs
from amaranthring.policy import crash_evidence

log = logbook.Logger(__name__)

# Each keeper hears of the same crash from several routers.
NOT_LOGGED = (crash_evidence.Ignored.NO, crash_evidence.Ignored.KNOWN)


def log_verdict(verdict: crash_evidence.Verdict) -> None:
    """Log what is known of a feature from now on."""
    logs.event(
        log,
        "suspect.known",
        fingerprint=verdict.fingerprint,
        condemned=verdict.condemned,
        refused_seconds=round(verdict.refused_seconds, 1),
        count=verdict.count,
        withdrawn=verdict.withdrawn,
        together=verdict.together,
        crashes=describe(verdict.crashes),
    )


def describe(crashes: list[crash_evidence.CrashNote]) -> str:
    """Return ``target@router:age`` of each crash, for the log."""
    return ",".join(
        f"{note.target}@{note.router}:{note.age:.1f}s" for note in crashes
    )


def log_ignored(
    evidence: crash_evidence.CrashEvidence, runs: list[crash_evidence.Run]
) -> None:
    """Log which of the reported `runs` do not count, and why."""
    for run in runs:
        reason = evidence.check(run)
        if reason not in NOT_LOGGED:
            logs.event(
                log,
                "crash.ignored",
                fingerprint=run.fingerprint,
                target=run.target,
                router=run.router,
                seconds=round(run.seconds, 3),
                age=round(run.age, 3),
                reason=reason.value,
            )
