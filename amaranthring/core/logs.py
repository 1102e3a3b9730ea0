"""Structured log lines: a stable event name and key=value fields.

Lines are written for changes of state only; what happens per request is
counted in :mod:`amaranthring.core.metrics`.
"""

import sys
import typing as t

import logbook


def event(log: logbook.Logger, name: str, **fields: t.Any) -> None:
    """Log a change of state under the stable event `name`."""
    pairs = " ".join(f"{key}={value}" for key, value in fields.items())
    log.info(f"{name} {pairs}".rstrip(), extra={"fields": fields})


def setup(process: str, level: str = "INFO") -> None:
    """Send log lines of this process to standard error."""
    form = (
        "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} "
        + process.replace("{", "{{")
        + " {record.channel} {record.message}"
    )
    handler = logbook.StreamHandler(
        sys.stderr, level=level, format_string=form
    )
    handler.push_application()
