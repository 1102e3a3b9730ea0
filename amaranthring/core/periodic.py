"""Steps of periodic tasks, isolated from each other's failures."""

import typing as t

import logbook

from amaranthring.core import metrics as metrics_module

log = logbook.Logger(__name__)


def run_step(
    step: t.Callable[[], None], name: str, metrics: metrics_module.Metrics
) -> None:
    """Run `step`; count and log an exception instead of raising it.

    Otherwise one exception, such as a subscriber's, would end the periodic
    task: leases would no longer expire and batches no longer be sent.
    """
    try:
        step()
    except Exception:
        metrics.count(f"{name}_failed")
        log.exception("step.failed step={}", name)
