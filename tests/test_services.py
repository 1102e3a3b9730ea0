"""Plain services: at most once, and what callers are told about it."""

import asyncio
import json
import random
import unittest

from amaranthring import errors
from amaranthring.core import fleet
from amaranthring.testing import in_process_callers

SEED = 5
NOT_RUN, RAN, UNKNOWN = "not-run", "ran", "unknown"


def code_of(answer):
    return json.loads(answer.body)["error"]["code"]


class ServiceCase(unittest.IsolatedAsyncioTestCase):
    """Two routers with one ledger before one replica."""

    async def asyncSetUp(self):
        self.local = in_process_callers.Harness()
        self.addAsyncCleanup(self.local.close)
        self.replica = self.local.add_booking()
        self.ledger = self.local.ledger
        self.start()

    def start(self):
        """Start routers that know the replicas of now."""
        self.one = self.local.add_router()
        self.two = self.local.add_router()

    def assert_told(self, answer, status, outcome):
        """Check the status, the outcome and the form of `answer`."""
        told = answer.headers["Amaranthring-Outcome"]
        self.assertEqual((answer.code, told), (status, outcome), answer.body)
        self.assertTrue(answer.headers["Amaranthring-Request-Id"])
        if answer.code in (503, 504):
            self.assertIn("Retry-After", answer.headers)

    def runs(self):
        """Return how many calls ran at all replicas."""
        return sum(len(one.runs) for one in self.local.bookings.values())


class TestKeyedCall(ServiceCase):
    """What a resend under the same key is told."""

    async def test_resend_gets_the_stored_answer(self):
        first = await self.one.book("a", "k")
        again = await self.two.book("a", "k")
        self.assert_told(first, 200, RAN)
        self.assert_told(again, 200, RAN)
        self.assertEqual(first.body, again.body)
        self.assertEqual(self.runs(), 1)

    async def test_resend_while_the_first_runs(self):
        first = asyncio.ensure_future(
            self.one.book("a", "k", fault="slow", seconds=1.0)
        )
        await in_process_callers.wait_until(lambda: self.replica.running)
        again = await self.two.book("a", "k", fault="slow", seconds=1.0)
        self.assert_told(again, 409, UNKNOWN)
        self.assertEqual(code_of(again), "claim-in-progress")
        self.assertIn("Retry-After", again.headers)
        self.assert_told(await first, 200, RAN)
        self.assertEqual(self.runs(), 1)

    async def test_key_with_another_body_is_refused(self):
        await self.one.book("a", "k")
        other = await self.two.book("b", "k")
        self.assert_told(other, 422, NOT_RUN)
        self.assertEqual(code_of(other), "key-reused")
        self.assertEqual(self.runs(), 1)

    async def test_keys_of_accounts_are_apart(self):
        await self.one.book("a", "k")
        other = await self.two.post(
            "/services/booking/bookings",
            {"slot": "a", "stand_in": {}},
            in_process_callers.fakes.OTHER_TOKEN,
            Idempotency_Key="k",
        )
        self.assert_told(other, 200, RAN)
        self.assertEqual(self.runs(), 2)

    async def test_large_answer_is_not_kept_but_known_to_have_run(self):
        sent = {"fault": "large", "bytes": 100_000}
        self.assert_told(await self.one.book("a", "k", **sent), 200, RAN)
        again = await self.two.book("a", "k", **sent)
        self.assert_told(again, 409, RAN)
        self.assertEqual(code_of(again), "answer-not-kept")
        self.assertEqual(self.runs(), 1)

    async def test_replica_that_goes_in_the_middle(self):
        """The connection breaks; the booking may or may not be written."""
        for number, fault in enumerate(
            ("crash-before", "crash-after", "truncate", "no-length")
        ):
            with self.subTest(fault):
                key = f"k{number}"
                first = await self.one.book("a", key, fault=fault)
                again = await self.two.book("a", key, fault=fault)
                self.assert_told(first, 502, UNKNOWN)
                self.assert_told(again, 409, UNKNOWN)
                self.assertEqual(code_of(again), "claim-unknown")
        self.assertEqual(self.runs(), 3)

    async def test_error_of_the_service_is_its_answer(self):
        for router in (self.one, self.two):
            answer = await router.book("a", "k", fault="status", status=500)
            self.assert_told(answer, 500, RAN)
        self.assertEqual(self.runs(), 1)

    async def test_replica_out_of_reach_goes_elsewhere_under_a_new_claim(self):
        """A claim names the one replica that may be asked again.

        The first replica refuses the connection, the second books and its
        connection breaks. A resend that asked the first one, which
        deduplicates keys but never saw this one, would book twice.
        """
        self.local.add_booking("b2", honours_keys=True)
        self.start()
        await self.local.stop("b1")
        first = await self.one.book("a", "k", fault="crash-after")
        self.assert_told(first, 502, UNKNOWN)
        (claim,) = [claim for _, claim in self.ledger.claims.values()]
        self.assertEqual(claim.target, "b2")
        self.assertEqual(self.runs(), 1)

    async def test_replica_that_deduplicates_is_asked_again(self):
        self.local.add_booking("b2", honours_keys=True)
        self.start()
        del self.one.fakes.targets["b1"]
        first = await self.one.book("a", "k", fault="crash-after")
        self.assert_told(first, 502, UNKNOWN)
        again = await self.two.book("a", "k", fault="crash-after")
        self.assert_told(again, 409, UNKNOWN)
        self.assertEqual(self.runs(), 1)
        self.assertEqual(self.local.bookings["b2"].received, 2)
        self.assertEqual(self.replica.received, 0)

    async def test_caller_that_leaves_finds_its_answer_later(self):
        """A learner's phone drops the line while the booking runs."""
        body = b'{"slot": "a", "stand_in": {"fault": "slow", "seconds": 0.5}}'
        head = (
            "POST /services/booking/bookings HTTP/1.1\r\nHost: r\r\n"
            f"Authorization: Bearer {in_process_callers.fakes.TOKEN}\r\n"
            f"Idempotency-Key: k\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        async with self.one.raw(head.encode() + body):
            await in_process_callers.wait_until(lambda: self.replica.running)
        drain = self.one.fakes.needs.drain
        self.assertTrue(await drain.wait_idle(10))
        again = await self.two.post(
            "/services/booking/bookings", body, Idempotency_Key="k"
        )
        self.assert_told(again, 200, RAN)
        self.assertEqual(self.runs(), 1)


class TestRouterLost(ServiceCase):
    """A router frozen or killed around claim, dispatch and settle."""

    def hold(self, name):
        """Freeze router one in `name` of the ledger, before or after it."""
        gate, reached = asyncio.Event(), asyncio.Event()
        step, when = name.split()
        needs = self.one.fakes.needs
        real = getattr(needs, step)

        async def held(*given):
            if when == "before":
                reached.set()
                await gate.wait()
            result = await real(*given)
            if when == "after":
                reached.set()
                await gate.wait()
            return result

        setattr(needs, step, held)
        return gate, reached

    async def frozen(self, name, **more):
        """Begin a booking at router one and wait until it is frozen."""
        gate, reached = self.hold(name)
        first = asyncio.ensure_future(self.one.book("a", "k", **more))
        await asyncio.wait_for(reached.wait(), 10)
        return gate, first

    async def test_frozen_before_the_claim(self):
        """The resend books; the router that wakes must not book again."""
        gate, first = await self.frozen("claim before")
        self.assert_told(await self.two.book("a", "k"), 200, RAN)
        gate.set()
        self.assert_told(await first, 200, RAN)
        self.assertEqual(self.runs(), 1)

    async def test_frozen_between_claim_and_dispatch(self):
        """The resend is told ``unknown``: the holder may yet wake."""
        gate, first = await self.frozen("claim after")
        again = await self.two.book("a", "k")
        self.assertEqual(code_of(again), "claim-in-progress")
        self.ledger.mark_unknown("acme", "k")
        again = await self.two.book("a", "k")
        self.assertEqual(code_of(again), "claim-unknown")
        self.assertEqual(self.runs(), 0)
        gate.set()
        self.assert_told(await first, 200, RAN)
        self.assert_told(await self.two.book("a", "k"), 200, RAN)
        self.assertEqual(self.runs(), 1)

    async def test_woken_after_the_deadline_sends_nothing(self):
        """Long after its caller gave up, a frozen router wakes up.

        It holds the claim, so it may run the call; but nobody waits for it
        any more. It frees the key instead.
        """
        service = fleet.ServicePolicy(timeout_seconds=0.5)
        self.one.fakes.preset.services["booking"] = service
        gate, first = await self.frozen("claim after")
        await asyncio.sleep(0.6)
        gate.set()
        self.assert_told(await first, 504, NOT_RUN)
        self.assertEqual(self.runs(), 0)
        self.assert_told(await self.two.book("a", "k"), 200, RAN)

    async def test_frozen_or_killed_between_dispatch_and_settle(self):
        gate, first = await self.frozen("settle before")
        self.assertEqual(self.runs(), 1)
        self.ledger.mark_unknown("acme", "k")
        again = await self.two.book("a", "k")
        self.assertEqual(code_of(again), "claim-unknown")
        gate.set()
        self.assert_told(await first, 200, RAN)
        self.assertEqual(self.runs(), 1)

    async def test_holder_that_restarted_is_known_at_once(self):
        """A router dies with a booking in hand and is back in a second.

        The caller's resends were told "in progress" for half a minute, till
        the claim's time was over, though nobody ran it any more.
        """
        await self.frozen("claim after")
        asked = []

        async def gone(attempt):
            asked.append(attempt)
            return False

        self.two.fakes.needs.may_run = gone
        again = await self.two.book("a", "k")
        self.assert_told(again, 409, UNKNOWN)
        self.assertEqual(code_of(again), "claim-unknown")
        self.assertTrue(asked[0].startswith("r1."))
        self.assertEqual(self.runs(), 0)

    async def test_holder_that_settled_meanwhile_is_believed(self):
        """The holder settles between the ledger's word and its own."""
        gate, first = await self.frozen("settle before")

        async def settled(_):
            gate.set()
            await first
            return False

        self.two.fakes.needs.may_run = settled
        self.assert_told(await self.two.book("a", "k"), 200, RAN)
        self.assertEqual(self.runs(), 1)

    async def test_killed_after_settle_before_the_answer(self):
        await self.frozen("settle after")
        self.assert_told(await self.two.book("a", "k"), 200, RAN)
        self.assertEqual(self.runs(), 1)

    async def test_settlement_that_fails_is_no_reason_to_lie(self):
        """The keepers lose their quorum while the booking runs."""
        self.ledger.fail_settle = errors.NoQuorumError("no leader")
        self.assert_told(await self.one.book("a", "k"), 200, RAN)
        again = await self.two.book("a", "k")
        self.assert_told(again, 409, UNKNOWN)
        self.assertEqual(self.runs(), 1)

    async def test_lost_reply_of_a_granted_claim_is_asked_again(self):
        real = self.one.fakes.needs.claim
        replies = [errors.CommitUnknownError("reply lost")]

        async def lossy(*given):
            claim = await real(*given)
            if replies:
                raise replies.pop()
            return claim

        self.one.fakes.needs.claim = lossy
        self.assert_told(await self.one.book("a", "k"), 200, RAN)
        self.assertEqual(self.runs(), 1)

    async def test_claim_without_any_reply_is_freed_later(self):
        """The keepers take the claim and are cut off before they say so.

        Nothing was sent, so the booking must not stay barred for good.
        """
        real = self.one.fakes.needs.claim

        async def silent(*given):
            await real(*given)
            raise errors.CommitUnknownError("reply lost")

        self.one.fakes.needs.claim = silent
        answer = await self.one.book("a", "k")
        self.assert_told(answer, 503, UNKNOWN)
        self.assertEqual(code_of(answer), "commit-unknown")
        settlements = self.one.fakes.needs.settlements
        await in_process_callers.wait_until(lambda: not settlements.pending)
        self.assert_told(await self.two.book("a", "k"), 200, RAN)
        self.assertEqual(self.runs(), 1)


class TestNoLedger(ServiceCase):
    """Refusals before the ledger could speak of the key."""

    async def test_without_quorum_nothing_runs(self):
        self.ledger.fail = errors.NoQuorumError("no leader")
        first = await self.one.post(
            "/services/booking/bookings",
            {"slot": "a"},
            Idempotency_Key="k",
            Amaranthring_First_Send="1",
        )
        self.assert_told(first, 503, NOT_RUN)
        self.assertEqual(self.replica.received, 0)

    async def test_without_a_replica_the_ledger_is_asked(self):
        """All replicas are cut off; only the ledger knows what ran."""
        await self.one.book("a", "k")
        self.two.fakes.targets.clear()
        self.two.fakes.preset.services["booking"] = fleet.ServicePolicy()
        self.assert_told(await self.two.book("a", "k"), 200, RAN)
        self.assert_told(await self.two.book("a", "new"), 503, NOT_RUN)
        self.ledger.fail = errors.NoQuorumError("no leader")
        self.assert_told(await self.two.book("a", "other"), 503, UNKNOWN)
        self.ledger.fail = None
        self.assert_told(await self.one.book("a", "new"), 200, RAN)
        self.assertEqual(self.runs(), 2)

    async def test_resend_without_quorum_is_not_told_not_run(self):
        """The learner is told "not booked" and books again elsewhere.

        The booking runs and its answer is lost on the way. Then the quorum
        is lost, or the router is full, and the learner's application sends
        the same key again. That call is refused and surely did not run; but
        the learner asks about the booking, and it did.
        """
        await self.one.book("a", "k")
        self.ledger.fail = errors.NoQuorumError("no leader")
        again = await self.two.book("a", "k")
        self.assert_told(again, 503, UNKNOWN)
        self.two.fakes.limit_error = errors.RateLimitedError("too many")
        again = await self.two.book("a", "k")
        self.assert_told(again, 429, UNKNOWN)
        self.assertEqual(self.runs(), 1)


class TestCallWithoutKey(ServiceCase):
    """Calls that no ledger protects."""

    async def test_never_sent_twice_after_the_first_byte(self):
        other = self.local.add_booking("b2")
        self.start()
        answer = await self.one.book("a", fault="crash-before")
        self.assert_told(answer, 502, UNKNOWN)
        self.assertEqual((self.replica.received, other.received), (1, 0))

    async def test_unreachable_replica_saw_no_byte(self):
        other = self.local.add_booking("b2")
        self.start()
        await self.local.stop("b1")
        self.assert_told(await self.one.book("a"), 200, RAN)
        self.assertEqual(len(other.runs), 1)
        await self.local.stop("b2")
        self.assert_told(await self.one.book("a"), 502, NOT_RUN)

    async def test_refusal_of_the_service_goes_elsewhere(self):
        answer = await self.one.book("a", fault="refuse")
        self.assert_told(answer, 502, NOT_RUN)
        self.assertEqual(self.runs(), 0)

    async def test_idempotent_call_is_repeated(self):
        other = self.local.add_booking("b2")
        self.start()
        policy = fleet.ServicePolicy(idempotent_methods=["POST"])
        self.one.fakes.preset.services["booking"] = policy
        answer = await self.one.book("a", fault="crash-before")
        self.assert_told(answer, 502, UNKNOWN)
        self.assertEqual((self.replica.received, other.received), (1, 1))

    async def test_slow_service_is_given_up_at_its_timeout(self):
        policy = fleet.ServicePolicy(timeout_seconds=0.5)
        self.one.fakes.preset.services["booking"] = policy
        answer = await self.one.book("a", fault="hang-after")
        self.assert_told(answer, 504, UNKNOWN)


class TestToldAndRan(ServiceCase):
    """Many bookings with faults, each resent until its caller gives up."""

    async def test_what_callers_were_told_is_what_ran(self):
        """No booking is lost or doubled whatever breaks on the way."""
        self.local.add_booking("b2", honours_keys=True)
        self.start()
        drawn = random.Random(SEED)
        told = {}
        faults = ["", "", "crash-before", "crash-after", "truncate", "refuse"]

        async def caller(number):
            key, fault = f"k{number}", drawn.choice(faults)
            answer = None
            for _ in range(3):
                router = drawn.choice((self.one, self.two))
                answer = await router.book(f"slot {number}", key, fault=fault)
                if answer.headers["Amaranthring-Outcome"] == RAN:
                    break
            told[key] = answer.headers["Amaranthring-Outcome"]

        for start in range(0, 60, 12):
            await asyncio.gather(*map(caller, range(start, start + 12)))
            down = bool(drawn.randrange(2))
            self.ledger.fail_settle = (
                errors.LinkError("lost") if down else None
            )
        ran = [
            run["key"]
            for one in self.local.bookings.values()
            for run in one.runs
        ]
        self.assertEqual(len(ran), len(set(ran)), "a booking is doubled")
        for key, outcome in told.items():
            if outcome == NOT_RUN:
                self.assertNotIn(key, ran)
            if outcome == RAN:
                self.assertIn(key, ran)
        self.assertEqual({*told.values()}, {NOT_RUN, RAN, UNKNOWN})
