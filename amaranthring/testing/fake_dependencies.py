"""Fakes of what request execution needs from other packages."""

import asyncio
import collections
import itertools

from amaranthring import errors
from amaranthring.callers import execution
from amaranthring.core import fleet
from amaranthring.core import hashing
from amaranthring.core import links
from amaranthring.core import records

TOKEN = "secret-of-acme"
OTHER_TOKEN = "secret-of-beta"


class Ledger:
    """An in-memory ledger of claims, shared by several routers.

    Attributes
    ----------
    claims : dict
        Body digest and claim, by account and key.
    fail : AmaranthringError or None
        Raised by every call while it is set.
    fail_settle : AmaranthringError or None
        Raised by every ``settle`` while it is set.
    """

    def __init__(self):
        self.claims: dict[tuple[str, str], tuple[str, records.Claim]] = {}
        self.fail: errors.AmaranthringError | None = None
        self.fail_settle: errors.AmaranthringError | None = None
        self.max_answer_bytes = 16 * 1024

    async def claim(self, request, attempt, target) -> records.Claim:
        """Grant the key to one attempt; return its claim to others."""
        await asyncio.sleep(0)
        if self.fail:
            raise self.fail
        name = (request.account, request.key)
        digest, current = self.claims.get(name, ("", None))
        if current and digest != request.body_digest:
            return records.Claim(
                records.ClaimState.KEY_REUSED, current.attempt
            )
        state = records.ClaimState
        if current and current.outcome is not errors.Outcome.NOT_RUN:
            if current.attempt == attempt and current.outcome is None:
                return records.Claim(state.GRANTED, attempt, target)
            return current
        claim = records.Claim(state.IN_PROGRESS, attempt, target)
        self.claims[name] = (request.body_digest, claim)
        return records.Claim(state.GRANTED, attempt, target)

    async def settle(self, request, attempt, outcome, answer) -> None:
        """Settle a claim if `attempt` holds it."""
        await asyncio.sleep(0)
        if self.fail or self.fail_settle:
            raise self.fail or self.fail_settle
        name = (request.account, request.key)
        _, current = self.claims.get(name, ("", None))
        if current is None:
            raise errors.NotFoundError("no such claim")
        if current.attempt != attempt:
            raise errors.ForbiddenError("another attempt holds the claim")
        is_unknown = outcome is errors.Outcome.UNKNOWN
        state = records.ClaimState
        current.state = state.UNKNOWN if is_unknown else state.SETTLED
        current.outcome = outcome
        if answer and len(answer.body) > self.max_answer_bytes:
            answer = records.StoredAnswer(
                answer.status, answer.content_type, b"", False
            )
        current.answer = answer

    def mark_unknown(self, account: str, key: str) -> None:
        """Mark a claim as unknown, as keepers do if its holder is lost."""
        _, current = self.claims[account, key]
        current.state = records.ClaimState.UNKNOWN


class Fakes:
    """Fakes behind :class:`execution.Dependencies`, set by tests.

    Attributes
    ----------
    targets : dict
        Announced targets by name.
    ledger : Ledger
        May be shared between routers.
    retries_left : int
        Retries that the budget still allows.
    """

    def __init__(self, *targets: records.Target, ledger: Ledger | None = None):
        self.targets = {target.name: target for target in targets}
        self.ledger = ledger or Ledger()
        self.retries_left = 100
        self.quarantined: set[str] = set()
        self.crash_reports: list[tuple[str, str]] = []
        self.lost: dict[str, asyncio.Future] = {}
        self.released: list[records.AttemptEnd] = []
        self.logged_events: list[tuple[str, str, dict]] = []
        self.admit_error: errors.AmaranthringError | None = None
        self.limit_error: errors.AmaranthringError | None = None
        self.running: collections.Counter[str] = collections.Counter()
        self._ids = itertools.count()
        self.config = fleet.FleetConfig(
            revision=1,
            presets={"ordinary": fleet.Preset("ordinary")},
            accounts={
                name: fleet.Account(name, [hashing.token_hash(token)])
                for name, token in (("acme", TOKEN), ("beta", OTHER_TOKEN))
            },
        )
        self.needs = execution.Dependencies(
            router="r1",
            keys=links.Keys({"k1": b"f" * 32}),
            config=lambda: self.config,
            check_limits=self.check_limits,
            admit=self.admit,
            release=self.release,
            claim=self.ledger.claim,
            settle=self.ledger.settle,
            is_quarantined=self.quarantined.__contains__,
            report_crash=self.report_crash,
            has_retry=lambda _: self.retries_left > 0,
            may_retry=self.may_retry,
            record_success=lambda _: None,
            when_lost=self.when_lost,
            record_decision=lambda name, event, **more: (
                self.logged_events.append((name, event, more))
            ),
            get_target=self.targets.get,
            watch_target=lambda *_: None,
            served_names=self.serves,
        )

    @property
    def preset(self) -> fleet.Preset:
        """Return the preset in force."""
        return self.config.preset

    def serves(self, kind) -> set[str]:
        """Return the names that announced targets serve."""
        return {
            name
            for target in self.targets.values()
            if target.kind is kind
            for name in target.serves
        }

    async def check_limits(self, _) -> None:
        """Raise the planned error, if any."""
        if self.limit_error:
            raise self.limit_error

    async def admit(self, request, excluded) -> records.Grant:
        """Grant the first target that serves the request."""
        await asyncio.sleep(0)
        if self.admit_error:
            raise self.admit_error
        for target in self.targets.values():
            if target.name in excluded or request.serves not in target.serves:
                continue
            self.running[target.name] += 1
            return records.Grant(f"g{next(self._ids)}", "r1", target)
        raise errors.NoTargetError(
            "no target",
            given=request.serves,
            expected="an announced target",
            retry_after=1.0,
        )

    def release(self, grant, end) -> None:
        """Release the grant."""
        self.running[grant.target.name] -= 1
        self.released.append(end)

    async def report_crash(
        self, request, target, _inquiry=None, _seconds=0.0
    ) -> None:
        """Record a crash; the second target quarantines the request."""
        self.crash_reports.append((request.body_digest, target.name))
        crashed_targets = {
            t
            for digest, t in self.crash_reports
            if digest == request.body_digest
        }
        if len(crashed_targets) >= 2:
            self.quarantined.add(request.body_digest)

    def may_retry(self, _) -> bool:
        """Take one retry from the budget, if any is left."""
        self.retries_left -= 1
        return self.retries_left >= 0

    def when_lost(self, name) -> asyncio.Future:
        """Return the future that :meth:`lose` resolves."""
        if name not in self.lost:
            future = asyncio.get_running_loop().create_future()
            self.lost[name] = future
        return self.lost[name]

    def lose(self, name) -> None:
        """Declare a target lost."""
        self.targets.pop(name, None)
        self.when_lost(name).set_result(None)
