"""Plain services: calls at most once, and the outcomes callers get."""

import asyncio
import json
import random
import unittest

from amaranthring import errors
from amaranthring.core import fleet
from amaranthring.testing import in_process_callers

SEED = 5
NOT_RUN, RAN, UNKNOWN = "not-run", "ran", "unknown"


def error_code(response):
    return json.loads(response.body)["error"]["code"]


class ServiceCase(unittest.IsolatedAsyncioTestCase):
    """Two routers with one ledger before one replica."""

    async def asyncSetUp(self):
        self.local = in_process_callers.Harness()
        self.addAsyncCleanup(self.local.close)
        self.replica = self.local.add_booking()
        self.ledger = self.local.ledger
        self.start_routers()

    def start_routers(self):
        """Start routers that know the current replicas."""
        self.one = self.local.add_router()
        self.two = self.local.add_router()

    def assert_response(self, response, status, outcome):
        """Check the status, the outcome and the headers of `response`."""
        reported = response.headers["Amaranthring-Outcome"]
        self.assertEqual(
            (response.code, reported), (status, outcome), response.body
        )
        self.assertTrue(response.headers["Amaranthring-Request-Id"])
        if response.code in (503, 504):
            self.assertIn("Retry-After", response.headers)

    def run_count(self):
        """Return how many calls ran at all replicas."""
        return sum(
            len(replica.runs) for replica in self.local.bookings.values()
        )


class TestKeyedCall(ServiceCase):
    """Responses to a resend under the same key."""

    async def test_resend_gets_the_stored_response(self):
        first = await self.one.book("a", "k")
        again = await self.two.book("a", "k")
        self.assert_response(first, 200, RAN)
        self.assert_response(again, 200, RAN)
        self.assertEqual(first.body, again.body)
        self.assertEqual(self.run_count(), 1)

    async def test_resend_while_the_first_call_runs(self):
        first = asyncio.ensure_future(
            self.one.book("a", "k", fault="slow", seconds=1.0)
        )
        await in_process_callers.wait_until(lambda: self.replica.running)
        again = await self.two.book("a", "k", fault="slow", seconds=1.0)
        self.assert_response(again, 409, UNKNOWN)
        self.assertEqual(error_code(again), "claim-in-progress")
        self.assertIn("Retry-After", again.headers)
        self.assert_response(await first, 200, RAN)
        self.assertEqual(self.run_count(), 1)

    async def test_key_with_another_body_is_rejected(self):
        await self.one.book("a", "k")
        other = await self.two.book("b", "k")
        self.assert_response(other, 422, NOT_RUN)
        self.assertEqual(error_code(other), "key-reused")
        self.assertEqual(self.run_count(), 1)

    async def test_keys_are_separate_for_each_account(self):
        await self.one.book("a", "k")
        other = await self.two.post(
            "/services/booking/bookings",
            {"slot": "a", "stand_in": {}},
            in_process_callers.fakes.OTHER_TOKEN,
            Idempotency_Key="k",
        )
        self.assert_response(other, 200, RAN)
        self.assertEqual(self.run_count(), 2)

    async def test_large_response_is_not_stored_but_known_to_have_run(self):
        sent = {"fault": "large", "bytes": 100_000}
        self.assert_response(await self.one.book("a", "k", **sent), 200, RAN)
        again = await self.two.book("a", "k", **sent)
        self.assert_response(again, 409, RAN)
        self.assertEqual(error_code(again), "answer-not-kept")
        self.assertEqual(self.run_count(), 1)

    async def test_replica_crash_during_the_call(self):
        """The connection breaks; the booking may or may not be stored."""
        for number, fault in enumerate(
            ("crash-before", "crash-after", "truncate", "no-length")
        ):
            with self.subTest(fault):
                key = f"k{number}"
                first = await self.one.book("a", key, fault=fault)
                again = await self.two.book("a", key, fault=fault)
                self.assert_response(first, 502, UNKNOWN)
                self.assert_response(again, 409, UNKNOWN)
                self.assertEqual(error_code(again), "claim-unknown")
        self.assertEqual(self.run_count(), 3)

    async def test_error_of_the_service_is_stored_as_its_response(self):
        for router in (self.one, self.two):
            response = await router.book("a", "k", fault="status", status=500)
            self.assert_response(response, 500, RAN)
        self.assertEqual(self.run_count(), 1)

    async def test_retry_at_another_replica_uses_a_new_claim(self):
        """A claim names the one replica that may be asked again.

        The first replica refuses the connection, the second books and its
        connection breaks. If the claim still named the first replica, a
        resend could book there a second time.
        """
        self.local.add_booking("b2", honours_keys=True)
        self.start_routers()
        await self.local.stop("b1")
        first = await self.one.book("a", "k", fault="crash-after")
        self.assert_response(first, 502, UNKNOWN)
        (claim,) = [claim for _, claim in self.ledger.claims.values()]
        self.assertEqual(claim.target, "b2")
        self.assertEqual(self.run_count(), 1)

    async def test_replica_that_deduplicates_is_asked_again(self):
        self.local.add_booking("b2", honours_keys=True)
        self.start_routers()
        del self.one.fakes.targets["b1"]
        first = await self.one.book("a", "k", fault="crash-after")
        self.assert_response(first, 502, UNKNOWN)
        again = await self.two.book("a", "k", fault="crash-after")
        self.assert_response(again, 409, UNKNOWN)
        self.assertEqual(self.run_count(), 1)
        self.assertEqual(self.local.bookings["b2"].received, 2)
        self.assertEqual(self.replica.received, 0)

    async def test_response_is_stored_after_a_disconnect(self):
        """A caller disconnects while the booking runs."""
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
        self.assert_response(again, 200, RAN)
        self.assertEqual(self.run_count(), 1)


class TestRouterLost(ServiceCase):
    """A router frozen or killed around claim, dispatch and settle."""

    def freeze(self, name):
        """Freeze router one before or after a call to the ledger."""
        gate, reached = asyncio.Event(), asyncio.Event()
        step, when = name.split()
        needs = self.one.fakes.needs
        original = getattr(needs, step)

        async def gated(*args):
            if when == "before":
                reached.set()
                await gate.wait()
            result = await original(*args)
            if when == "after":
                reached.set()
                await gate.wait()
            return result

        setattr(needs, step, gated)
        return gate, reached

    async def start_frozen(self, name, **more):
        """Start a booking at router one and wait until it is frozen."""
        gate, reached = self.freeze(name)
        first = asyncio.ensure_future(self.one.book("a", "k", **more))
        await asyncio.wait_for(reached.wait(), 10)
        return gate, first

    async def test_frozen_before_the_claim(self):
        """The resend books; the router that resumes must not book again."""
        gate, first = await self.start_frozen("claim before")
        self.assert_response(await self.two.book("a", "k"), 200, RAN)
        gate.set()
        self.assert_response(await first, 200, RAN)
        self.assertEqual(self.run_count(), 1)

    async def test_frozen_between_claim_and_dispatch(self):
        """The resend gets ``unknown``: the holder may still resume."""
        gate, first = await self.start_frozen("claim after")
        again = await self.two.book("a", "k")
        self.assertEqual(error_code(again), "claim-in-progress")
        self.ledger.mark_unknown("acme", "k")
        again = await self.two.book("a", "k")
        self.assertEqual(error_code(again), "claim-unknown")
        self.assertEqual(self.run_count(), 0)
        gate.set()
        self.assert_response(await first, 200, RAN)
        self.assert_response(await self.two.book("a", "k"), 200, RAN)
        self.assertEqual(self.run_count(), 1)

    async def test_resumed_after_the_deadline_sends_nothing(self):
        """A frozen router resumes long after its caller gave up.

        It holds the claim, so it could run the call, but no caller waits for
        it. It releases the key instead.
        """
        service = fleet.ServicePolicy(timeout_seconds=0.5)
        self.one.fakes.preset.services["booking"] = service
        gate, first = await self.start_frozen("claim after")
        await asyncio.sleep(0.6)
        gate.set()
        self.assert_response(await first, 504, NOT_RUN)
        self.assertEqual(self.run_count(), 0)
        self.assert_response(await self.two.book("a", "k"), 200, RAN)

    async def test_frozen_or_killed_between_dispatch_and_settle(self):
        gate, first = await self.start_frozen("settle before")
        self.assertEqual(self.run_count(), 1)
        self.ledger.mark_unknown("acme", "k")
        again = await self.two.book("a", "k")
        self.assertEqual(error_code(again), "claim-unknown")
        gate.set()
        self.assert_response(await first, 200, RAN)
        self.assertEqual(self.run_count(), 1)

    async def test_restarted_holder_is_detected_at_once(self):
        """A router crashes during a booking and restarts within a second.

        Resends must not get ``claim-in-progress`` until the claim expires,
        since no router runs the call any more.
        """
        await self.start_frozen("claim after")
        checked = []

        async def gone(attempt):
            checked.append(attempt)
            return False

        self.two.fakes.needs.may_run = gone
        again = await self.two.book("a", "k")
        self.assert_response(again, 409, UNKNOWN)
        self.assertEqual(error_code(again), "claim-unknown")
        self.assertTrue(checked[0].startswith("r1."))
        self.assertEqual(self.run_count(), 0)

    async def test_settlement_during_the_holder_check_counts(self):
        """The holder settles between the ledger's reply and its own."""
        gate, first = await self.start_frozen("settle before")

        async def settled(_):
            gate.set()
            await first
            return False

        self.two.fakes.needs.may_run = settled
        self.assert_response(await self.two.book("a", "k"), 200, RAN)
        self.assertEqual(self.run_count(), 1)

    async def test_killed_after_settle_before_the_response(self):
        await self.start_frozen("settle after")
        self.assert_response(await self.two.book("a", "k"), 200, RAN)
        self.assertEqual(self.run_count(), 1)

    async def test_failed_settlement_still_reports_ran(self):
        """The keepers lose their quorum while the booking runs."""
        self.ledger.fail_settle = errors.NoQuorumError("no leader")
        self.assert_response(await self.one.book("a", "k"), 200, RAN)
        again = await self.two.book("a", "k")
        self.assert_response(again, 409, UNKNOWN)
        self.assertEqual(self.run_count(), 1)

    async def test_lost_reply_of_a_granted_claim_is_retried(self):
        original = self.one.fakes.needs.claim
        replies = [errors.CommitUnknownError("reply lost")]

        async def lossy(*args):
            claim = await original(*args)
            if replies:
                raise replies.pop()
            return claim

        self.one.fakes.needs.claim = lossy
        self.assert_response(await self.one.book("a", "k"), 200, RAN)
        self.assertEqual(self.run_count(), 1)

    async def test_claim_without_reply_is_released_later(self):
        """The keepers grant the claim and are cut off before they reply.

        Nothing was sent, so the key must not stay blocked.
        """
        original = self.one.fakes.needs.claim

        async def silent(*args):
            await original(*args)
            raise errors.CommitUnknownError("reply lost")

        self.one.fakes.needs.claim = silent
        response = await self.one.book("a", "k")
        self.assert_response(response, 503, UNKNOWN)
        self.assertEqual(error_code(response), "commit-unknown")
        settlements = self.one.fakes.needs.settlements
        await in_process_callers.wait_until(lambda: not settlements.pending)
        self.assert_response(await self.two.book("a", "k"), 200, RAN)
        self.assertEqual(self.run_count(), 1)


class TestNoLedger(ServiceCase):
    """Errors raised before the ledger replied about the key."""

    async def test_without_quorum_nothing_runs(self):
        self.ledger.fail = errors.NoQuorumError("no leader")
        first = await self.one.post(
            "/services/booking/bookings",
            {"slot": "a"},
            Idempotency_Key="k",
            Amaranthring_First_Send="1",
        )
        self.assert_response(first, 503, NOT_RUN)
        self.assertEqual(self.replica.received, 0)

    async def test_without_a_replica_the_ledger_is_asked(self):
        """No replica is reachable; only the ledger knows what ran."""
        await self.one.book("a", "k")
        self.two.fakes.targets.clear()
        self.two.fakes.preset.services["booking"] = fleet.ServicePolicy()
        self.assert_response(await self.two.book("a", "k"), 200, RAN)
        self.assert_response(await self.two.book("a", "new"), 503, NOT_RUN)
        self.ledger.fail = errors.NoQuorumError("no leader")
        self.assert_response(await self.two.book("a", "other"), 503, UNKNOWN)
        self.ledger.fail = None
        self.assert_response(await self.one.book("a", "new"), 200, RAN)
        self.assertEqual(self.run_count(), 2)

    async def test_resend_without_quorum_gets_unknown(self):
        """A caller that gets ``not-run`` would book again elsewhere.

        The booking runs, but its response is lost. Then the quorum is lost,
        or a limit is reached, and the caller sends the same key again. That
        call does not run, but the first one did.
        """
        await self.one.book("a", "k")
        self.ledger.fail = errors.NoQuorumError("no leader")
        again = await self.two.book("a", "k")
        self.assert_response(again, 503, UNKNOWN)
        self.two.fakes.limit_error = errors.RateLimitedError("too many")
        again = await self.two.book("a", "k")
        self.assert_response(again, 429, UNKNOWN)
        self.assertEqual(self.run_count(), 1)


class TestCallWithoutKey(ServiceCase):
    """Calls without an idempotency key."""

    async def test_call_is_not_resent_after_the_first_byte(self):
        other = self.local.add_booking("b2")
        self.start_routers()
        response = await self.one.book("a", fault="crash-before")
        self.assert_response(response, 502, UNKNOWN)
        self.assertEqual((self.replica.received, other.received), (1, 0))

    async def test_unreachable_replica_is_replaced(self):
        other = self.local.add_booking("b2")
        self.start_routers()
        await self.local.stop("b1")
        self.assert_response(await self.one.book("a"), 200, RAN)
        self.assertEqual(len(other.runs), 1)
        await self.local.stop("b2")
        self.assert_response(await self.one.book("a"), 502, NOT_RUN)

    async def test_rejection_by_the_service_gives_not_run(self):
        response = await self.one.book("a", fault="refuse")
        self.assert_response(response, 502, NOT_RUN)
        self.assertEqual(self.run_count(), 0)

    async def test_idempotent_call_is_retried(self):
        other = self.local.add_booking("b2")
        self.start_routers()
        policy = fleet.ServicePolicy(idempotent_methods=["POST"])
        self.one.fakes.preset.services["booking"] = policy
        response = await self.one.book("a", fault="crash-before")
        self.assert_response(response, 502, UNKNOWN)
        self.assertEqual((self.replica.received, other.received), (1, 1))

    async def test_slow_service_times_out(self):
        policy = fleet.ServicePolicy(timeout_seconds=0.5)
        self.one.fakes.preset.services["booking"] = policy
        response = await self.one.book("a", fault="hang-after")
        self.assert_response(response, 504, UNKNOWN)


class TestOutcomes(ServiceCase):
    """Many bookings with faults, each resent until its caller gives up."""

    async def test_outcomes_match_what_ran(self):
        """No booking is lost or doubled, whatever fails."""
        self.local.add_booking("b2", honours_keys=True)
        self.start_routers()
        rng = random.Random(SEED)
        reported = {}
        faults = ["", "", "crash-before", "crash-after", "truncate", "refuse"]

        async def caller(number):
            key, fault = f"k{number}", rng.choice(faults)
            response = None
            for _ in range(3):
                router = rng.choice((self.one, self.two))
                response = await router.book(
                    f"slot {number}", key, fault=fault
                )
                if response.headers["Amaranthring-Outcome"] == RAN:
                    break
            reported[key] = response.headers["Amaranthring-Outcome"]

        for start in range(0, 60, 12):
            await asyncio.gather(*map(caller, range(start, start + 12)))
            down = bool(rng.randrange(2))
            self.ledger.fail_settle = (
                errors.LinkError("lost") if down else None
            )
        ran = [
            run["key"]
            for replica in self.local.bookings.values()
            for run in replica.runs
        ]
        self.assertEqual(len(ran), len(set(ran)), "a booking is doubled")
        for key, outcome in reported.items():
            if outcome == NOT_RUN:
                self.assertNotIn(key, ran)
            if outcome == RAN:
                self.assertIn(key, ran)
        self.assertEqual({*reported.values()}, {NOT_RUN, RAN, UNKNOWN})
