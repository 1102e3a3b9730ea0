"""Messages about features of requests that may crash their targets."""

from amaranthring.core import wire
from amaranthring.policy import crash_evidence


@wire.message("crash-runs", compressed=True)
class LostRuns:
    """From a router: runs that were lost with their targets.

    Compressed, as many requests end with one target.
    """

    runs: list[crash_evidence.Run]


@wire.message("crash-target-lives")
class TargetLives:
    """From a router: a target lives on which it reported lost runs.

    Attributes
    ----------
    target : str
        Id of the target's incarnation.
    """

    target: str


@wire.message("crash-completed")
class SuspectsCompleted:
    """From a router: a request with suspected features completed.

    Attributes
    ----------
    fingerprints : list of str
        Of these features.
    age : float
        Seconds since it completed.
    """

    fingerprints: list[str]
    age: float = 0.0


@wire.message("crash-verdicts", compressed=True)
class Verdicts:
    """From a keeper: what has changed, or all that is known on a new link.

    From a router, on a new link: the features that it knows as condemned, for
    a keeper that has lost them.
    """

    verdicts: list[crash_evidence.Verdict]


@wire.message("crash-trial-begin")
class BeginTrial:
    """From a router: asks whether a request with a suspect may run now.

    Attributes
    ----------
    holder : str
        Router and number of the run.
    seconds : float
        Longest time that the run may take.
    """

    fingerprint: str
    holder: str
    seconds: float


@wire.message("crash-trial-begun")
class TrialBegun:
    """Reply to :class:`BeginTrial`.

    Attributes
    ----------
    begins : bool
        Whether no other run with the feature is in progress.
    """

    begins: bool


@wire.message("crash-trial-end")
class EndTrial:
    """From a router: the run of a request with a suspect has ended.

    Attributes
    ----------
    hold_seconds : float
        For how much longer no other run may begin.
    """

    fingerprint: str
    holder: str
    hold_seconds: float
