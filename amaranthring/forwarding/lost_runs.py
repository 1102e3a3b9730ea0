"""Reports of the runs that this router lost on one target."""

import time
import typing as t

from amaranthring.forwarding import crash_features
from amaranthring.forwarding import ended_targets
from amaranthring.policy import completions
from amaranthring.policy import crash_evidence


def by_feature(
    lost_runs: t.Iterable[ended_targets.LostRun],
    target: str,
    router: str,
    proven: bool,
    completed: completions.Completions,
) -> list[crash_evidence.Run]:
    """Return one run for each feature of the lost requests.

    The first one that was sent stands for all with the same feature. Shared
    features come first, as receivers bound what they keep of one crash.
    """
    now = time.monotonic()
    runs: dict[str, crash_evidence.Run] = {}
    for lost in sorted(lost_runs, key=lambda lost: -lost.seconds):
        for feature in lost.features:
            beside = [name for name in lost.features if name != feature]
            if feature in runs:
                known = runs[feature]
                known.beside = [b for b in known.beside if b in beside]
                continue
            runs[feature] = crash_evidence.Run(
                feature,
                target,
                lost.seconds,
                now - lost.at,
                router,
                beside,
                completed.age(feature),
                proven,
            )
    return sorted(
        runs.values(),
        key=lambda run: not crash_features.is_shared(run.fingerprint),
    )
