"""Structured log lines: a stable event name and key=value fields.

Counters and durations are kept in :mod:`amaranthring.core.metrics`.
"""

import json
import sys
import typing as t

import logbook


def event(log: logbook.Logger, name: str, /, **fields: t.Any) -> None:
    """Log a change of state under the stable event `name`."""
    pairs = " ".join(f"{key}={value}" for key, value in fields.items())
    log.info(f"{name} {pairs}".rstrip(), extra={"fields": fields})


def setup(process: str, level: str = "INFO", form: str = "text") -> None:
    """Send log lines of this process to standard error.

    Parameters
    ----------
    process : str
        Name of the process, included in every line.
    level : str
        Lowest level to write.
    form : str
        ``text`` or ``json``.
    """
    handler = logbook.StreamHandler(sys.stderr, level=level)
    format_line = json_line if form == "json" else text_line
    handler.formatter = lambda record, _: format_line(process, record)
    handler.push_application()


def text_line(process: str, record: logbook.LogRecord) -> str:
    """Return `record` as one human-readable line."""
    line = f"{record.time.isoformat()} {record.level_name} {process} "
    line += f"{record.channel} {record.message}"
    if record.formatted_exception:
        line += "\n" + record.formatted_exception
    return line


def json_line(process: str, record: logbook.LogRecord) -> str:
    """Return `record` as one JSON object."""
    event_name, _, rest = record.message.partition(" ")
    fields = record.extra["fields"] or {}
    line = {
        "time": record.time.isoformat(),
        "level": record.level_name,
        "process": process,
        "channel": record.channel,
        "event": event_name,
        **{key: str(value) for key, value in fields.items()},
    }
    if not fields:
        line["message"] = rest
    if record.formatted_exception:
        line["exception"] = record.formatted_exception
    return json.dumps(line)
