"""A step that a task takes over and over, whatever becomes of one of them."""

import typing as t

import logbook

from amaranthring.core import metrics as metrics_module

log = logbook.Logger(__name__)


def run_step(
    step: t.Callable[[], None], name: str, metrics: metrics_module.Metrics
) -> None:
    """Take `step`; a fault of it is counted and logged, not raised.

    One fault, such as that of a subscriber, would otherwise end the task
    for good: leases would no longer run out, batches no longer be sent, and
    nothing would show it but targets that go stale elsewhere.
    """
    try:
        step()
    except Exception:
        metrics.count(f"{name}_failed")
        log.exception("{} failed", name)
