"""The router's side of running requests with suspects one at a time.

Routers ask all keepers that they reach, and run a request if most of those
that answer agree; so one runs at a time, at one router of all that reach the
same keepers.
"""

import asyncio
import itertools
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import links
from amaranthring.core import logs
from amaranthring.policy import trials
from amaranthring.registry import crash_messages
from amaranthring.registry import sharing

log = logbook.Logger(__name__)

# A keeper that has not answered by then is passed over.
ANSWER_SECONDS = 0.2
# A run that lasts longer no longer keeps others from beginning.
MAX_TRIAL_SECONDS = 5.0
# After a run that its target broke off: finding out that the target has ended,
# the reports of other routers and the keepers' judgement take less.
JUDGED_SECONDS = 1.0
# After keepers have refused, all requests with the feature are refused for
# this time without asking them.
REFUSED_SECONDS = 0.5


class SuspectTrials:
    """Trials of suspected features at this router.

    Parameters
    ----------
    name : str
        This router.
    open_links : callable
        Returns the open links to keepers. Without any, this router decides
        by itself.
    clock : callable
        Seconds; continues while the VM is suspended.

    Attributes
    ----------
    own : policy.trials.TrialTable
        Trials of this router, and what keepers have refused.
    holders : dict of str to str
        Holder of each trial of this router, by fingerprint.
    """

    def __init__(
        self,
        name: str,
        open_links: t.Callable[[], list[links.Link]],
        clock: t.Callable[[], float],
    ):
        self.name = name
        self.open_links = open_links
        self.own = trials.TrialTable(clock)
        self.holders: dict[str, str] = {}
        self.numbers = itertools.count(1)

    def holds(self, fingerprint: str, holder: str) -> bool:
        """Return whether `holder` is the trial in progress."""
        return bool(holder) and self.holders.get(fingerprint) == holder

    async def begin(self, fingerprint: str, seconds: float) -> str:
        """Return the holder of a new trial; empty if none may begin.

        Parameters
        ----------
        seconds : float
            Longest time that the run may take.
        """
        holder = f"{self.name}:{next(self.numbers)}"
        seconds = min(seconds, MAX_TRIAL_SECONDS)
        if not self.own.begin(fingerprint, holder, seconds):
            return ""
        asked = self.open_links()
        request = crash_messages.BeginTrial(fingerprint, holder, seconds)
        try:
            answers = await asyncio.gather(
                *(_ask(link, request) for link in asked)
            )
        except asyncio.CancelledError:
            self._end(asked, fingerprint, holder, 0.0)
            raise
        agreed, refused = answers.count(True), answers.count(False)
        begins = agreed > refused or not agreed + refused
        logs.event(
            log,
            "suspect.tried" if begins else "suspect.not-tried",
            fingerprint=fingerprint,
            holder=holder,
            keepers=len(asked),
            agreed=agreed,
            refused=refused,
        )
        if begins:
            self.holders[fingerprint] = holder
            return holder
        self._end(asked, fingerprint, holder, 0.0)
        self.own.begin(fingerprint, "keepers", REFUSED_SECONDS)
        return ""

    def end(self, fingerprint: str, holder: str, broke_off: bool) -> None:
        """End a trial.

        Parameters
        ----------
        broke_off : bool
            Whether a target broke it off. Then no other run begins before it
            is known whether the target has ended.
        """
        if not self.holds(fingerprint, holder):
            return
        del self.holders[fingerprint]
        hold_seconds = JUDGED_SECONDS if broke_off else 0.0
        self._end(self.open_links(), fingerprint, holder, hold_seconds)

    def _end(
        self,
        asked: list[links.Link],
        fingerprint: str,
        holder: str,
        hold_seconds: float,
    ) -> None:
        self.own.end(fingerprint, holder, hold_seconds)
        message = crash_messages.EndTrial(fingerprint, holder, hold_seconds)
        for link in asked:
            sharing.send_if_open(link, message)


async def _ask(
    link: links.Link, request: crash_messages.BeginTrial
) -> bool | None:
    """Return the keeper's answer, or None without one."""
    try:
        reply = await link.call(request, ANSWER_SECONDS)
    except errors.AmaranthringError as error:
        logs.event(
            log,
            "trial.unanswered",
            keeper=link.peer.name,
            reason=error.code,
        )
        return None
    return reply.begins
