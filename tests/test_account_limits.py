"""Rate limits of client accounts over the fleet, and retry budgets."""

import asyncio
import unittest

from amaranthring import errors
from amaranthring.core import fleet
from amaranthring.policy import retries
from amaranthring.testing import fake_network as fakes
from amaranthring.testing import in_process_routers


async def no_pause(_seconds):
    """Return at once instead of waiting for an unanswered call."""


class TestAccountLimits(unittest.IsolatedAsyncioTestCase):
    """Six routers; account ``a`` may send 50 requests per second."""

    def setUp(self):
        self.fleet = in_process_routers.Routers(6, 1)
        self.fleet.network.pause = no_pause
        self.fleet.config.presets["ordinary"].accounts["a"] = (
            fleet.AccountPolicy(rate_per_second=50.0, burst=50.0)
        )

    async def send(self, per_second, seconds, routers=None):
        """Send requests to routers in turn; return how many were admitted."""
        admitted = 0
        live = routers or self.fleet.live()
        for number in range(int(per_second * seconds)):
            self.fleet.clock.now += 1 / per_second
            router = live[number % len(live)]
            try:
                await router.limits.check_limits(fakes.request(number))
                admitted += 1
            except errors.RateLimitedError as error:
                self.assertGreater(error.retry_after, 0)
        return admitted

    async def test_rate_holds_over_all_routers(self):
        # The routers together must not allow six times the rate.
        admitted = await self.send(300, 10)
        self.assertLessEqual(admitted, 50 * 10 + 50)
        self.assertGreaterEqual(admitted, 50 * 10 * 0.95)

    async def test_full_rate_is_available_through_one_router(self):
        # A router must not be limited to its sixth of the rate.
        admitted = await self.send(100, 10, self.fleet.live()[:1])
        self.assertGreaterEqual(admitted, 50 * 10 * 0.95)

    async def test_control_traffic_is_limited(self):
        self.fleet.network.counts.clear()
        await self.send(300, 10)
        asked = self.fleet.network.counts.get("rate-ask", 0)
        self.assertLessEqual(asked, 0.2 * 3000)

    async def test_routers_use_their_fraction_while_the_owner_is_silent(self):
        # A frozen owner must not cause all requests of its accounts to fail.
        live = self.fleet.live()
        owner = live[0].limits._owner("a")
        self.fleet.network.frozen.add(owner)
        others = [each for each in live if each.name != owner]
        admitted = await self.send(300, 10, others)
        self.assertGreaterEqual(admitted, 50 * 10 * 0.5)
        self.assertLessEqual(admitted, 50 * 10 + 50)

    async def test_two_partitions_stay_near_the_rate(self):
        # Two partitions must not each allow the full rate.
        for index, router in enumerate(self.fleet.live()):
            other_half = {f"r{n}" for n in range(6) if n % 2 != index % 2}
            router.mesh.hidden = other_half
            router.mesh.changed()
        admitted = await self.send(300, 10)
        self.assertLessEqual(admitted, 50 * 10 + 2 * 50)

    async def test_cancelled_caller_does_not_fail_others(self):
        gate = asyncio.Event()
        router = self.fleet.live()[0]
        if router.limits._owner("a") == router.name:
            router = self.fleet.live()[1]
        call = router.mesh.call

        async def slow(*arguments):
            await gate.wait()
            return await call(*arguments)

        router.mesh.call = slow
        checks = [
            asyncio.ensure_future(
                router.limits.check_limits(fakes.request(number))
            )
            for number in range(2)
        ]
        await asyncio.sleep(0.01)
        checks[0].cancel()
        gate.set()
        self.assertIsNone(await asyncio.wait_for(checks[1], 5))


class TestRetryBudget(unittest.TestCase):
    """Retries are limited to a tenth of recent successes."""

    def setUp(self):
        self.clock = in_process_routers.Clock()
        self.budget = retries.RetryBudget(lambda: 0.1, self.clock)

    def test_retries_are_limited_to_a_share_of_successes(self):
        for _ in range(100):
            self.budget.record_success("a")
        allowed = sum(self.budget.may_retry("a") for _ in range(100))
        self.assertLessEqual(allowed, 11)
        self.assertGreaterEqual(allowed, 10)

    def test_one_account_does_not_spend_the_others_budget(self):
        for account in ("a", "b"):
            for _ in range(100):
                self.budget.record_success(account)
        for _ in range(100):
            self.budget.may_retry("a")
        self.assertTrue(self.budget.may_retry("b"))

    def test_budget_is_refilled_by_successes(self):
        self.assertTrue(self.budget.may_retry("a"))
        self.assertFalse(self.budget.may_retry("a"))
        for _ in range(20):
            self.budget.record_success("a")
        self.assertTrue(self.budget.may_retry("a"))
