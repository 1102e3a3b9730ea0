"""Observance of what targets say about themselves in their answers.

Every exchange with a target passes its head here, and asks here before it
sends anything, so that a rest or a departure holds for attempts, resumed
streams and cancellations alike.
"""

import typing as t

from amaranthring import errors
from amaranthring.core import clocks
from amaranthring.core import metrics as metrics_module
from amaranthring.core import notices
from amaranthring.core import records
from amaranthring.policy import rests as rests_module
from amaranthring.targets import upstream

# Time for which a departure is remembered: a target ends long before.
LEAVING_SECONDS = 3600.0


def _ignore(_name: str, _incarnation: int) -> None:
    return


class TargetNotices:
    """Rests and departures of which targets told this router.

    Parameters
    ----------
    metrics : Metrics, optional
        Counters.
    mark_leaving : callable
        Called with the name and incarnation of a target that leaves.
    clock : callable
        Seconds; continues while the VM is suspended.

    Attributes
    ----------
    rests : Rests
        Rests by incarnation of a target.
    resting : dict
        Targets that have asked for rest, by incarnation.
    left_at : dict
        When each incarnation first said that it leaves.
    """

    def __init__(
        self,
        metrics: metrics_module.Metrics | None = None,
        mark_leaving: t.Callable[[str, int], None] = _ignore,
        clock: t.Callable[[], float] = clocks.boottime,
    ):
        self.metrics = metrics or metrics_module.Metrics()
        self.mark_leaving = mark_leaving
        self.clock = clock
        self.rests = rests_module.Rests(clock)
        self.resting: dict[str, records.Target] = {}
        self.left_at: dict[str, float] = {}

    def exchange(
        self,
        target: records.Target,
        request_id: str,
        account: str,
        continues: bool = False,
        is_trial: bool = False,
    ) -> upstream.Exchange:
        """Return an exchange that observes the notices of `target`.

        Parameters
        ----------
        account : str
            Client account that is charged with a rest.
        continues : bool
            Whether it continues what `target` runs for a request in progress,
            which a departure does not end.
        is_trial : bool
            Whether all targets rest and `target` is tried all the same.

        Raises
        ------
        errors.TargetRestingError, errors.TargetLeavingError
            If nothing may be sent; the exchange checks it again before it
            sends anything.
        """
        tried_by = account if is_trial else ""

        def before_write() -> None:
            self.check(target, continues, tried_by)
            self.rests.count_trial(_key(target))

        self.check(target, continues, tried_by)
        exchange = upstream.Exchange(target)
        exchange.before_write = before_write
        exchange.on_head = lambda: self._observe(exchange, request_id, account)
        return exchange

    def check(
        self,
        target: records.Target,
        continues: bool = False,
        tried_by: str = "",
    ) -> None:
        """Check that a request may be sent to `target` now.

        Parameters
        ----------
        continues : bool
            As for :meth:`exchange`.
        tried_by : str
            Client account that tries a resting target; empty for none.

        Raises
        ------
        errors.TargetRestingError, errors.TargetLeavingError
            If not; nothing was sent.
        """
        left = self.rests.left(_key(target))
        caller = _caller(target.kind, tried_by)
        if left and not (
            tried_by and self.rests.may_try(_key(target), caller)
        ):
            raise errors.TargetRestingError(
                "the target has asked for rest",
                given=f"{target.name}, {left:.3f} s left",
                expected="a target that accepts requests",
                retry_after=left,
            )
        if not continues and _key(target) in self.left_at:
            raise errors.TargetLeavingError(
                "the target has said that it leaves",
                given=target.name,
                expected="a target that stays",
            )

    def trials(
        self, request: records.Request, names: t.Collection[str]
    ) -> set[str]:
        """Return the resting targets of `names` that `request` may try."""
        caller = _caller(request.kind, request.account)
        return {
            target.name
            for key, target in self.resting.items()
            if target.name in names and self.rests.may_try(key, caller)
        }

    def resting_targets(
        self,
        request: records.Request,
        get_target: t.Callable[[str], records.Target | None],
    ) -> dict[str, float]:
        """Return the seconds left of resting targets by name.

        Parameters
        ----------
        get_target : callable
            Returns the current incarnation of a target by name, or None.

        Raises
        ------
        errors.CallerHeldBackError
            If the account is suspected of making targets rest.
        """
        if not self.resting:
            return {}
        caller = _caller(request.kind, request.account)
        held_back = self.rests.held_back(caller)
        if held_back:
            raise errors.CallerHeldBackError(
                "a target rests on account of requests of this account",
                retry_after=held_back,
            )
        left = {
            target.name: self.rests.left(key)
            for key, target in self.resting.items()
            if target.kind is request.kind
            and request.serves in target.serves
            and _is_current(target, get_target(target.name))
        }
        return {name: seconds for name, seconds in left.items() if seconds}

    def shortest_rest(self, targets: t.Collection[records.Target]) -> float:
        """Return the seconds until one of `targets` may be asked, or 0."""
        return min((self.rests.left(_key(t)) for t in targets), default=0.0)

    def request_accepted(
        self, request: records.Request, refused_by: t.Iterable[records.Target]
    ) -> None:
        """Record that a target accepted what `refused_by` had refused."""
        keys = [_key(target) for target in refused_by]
        if keys:
            caller = _caller(request.kind, request.account)
            self.rests.request_accepted(caller, keys)

    def request_failed(
        self, request: records.Request, refused_by: t.Iterable[records.Target]
    ) -> None:
        """Record that no target accepted what `refused_by` had refused."""
        if any(self.rests.left(_key(target)) for target in refused_by):
            caller = _caller(request.kind, request.account)
            self.rests.request_failed(caller)

    def _observe(
        self, exchange: upstream.Exchange, request_id: str, account: str
    ) -> None:
        """Observe the notice in a response's head from now on."""
        notice = notices.read(
            exchange.status, exchange.headers, upstream.LEAVING_HEADER
        )
        if notice is notices.NOTHING:
            return
        self._prune()
        target = exchange.target
        key = _key(target)
        if notice.rest_seconds:
            caller = _caller(target.kind, account)
            self.rests.begin(key, notice.rest_seconds, caller)
            self.resting[key] = target
        newly_leaving = notice.leaving and key not in self.left_at
        if newly_leaving:
            self.left_at[key] = self.clock()
            self.mark_leaving(target.name, target.incarnation)
        notices.report(
            notice,
            self.metrics,
            newly_leaving,
            target=target.name,
            incarnation=target.incarnation,
            request=request_id,
            status=exchange.status,
        )

    def _prune(self) -> None:
        self.rests.prune()
        self.resting = {
            key: target
            for key, target in self.resting.items()
            if key in self.rests.by_target
        }
        oldest = self.clock() - LEAVING_SECONDS
        self.left_at = {
            key: at for key, at in self.left_at.items() if at > oldest
        }


def _caller(kind: records.TargetKind, account: str) -> rests_module.Caller:
    return kind, account


def _is_current(target: records.Target, known: records.Target | None) -> bool:
    return known is None or known.incarnation == target.incarnation


def _key(target: records.Target) -> str:
    return f"{target.name}.{target.incarnation}"
