"""Targets that ask for rest, or say in an answer that they leave."""

import asyncio
import time

from amaranthring.testing import scripted_target
from tests import test_forwarding

LEAVING = {scripted_target.LEAVING.replace("-", "_"): "1"}


class NoticeCase(test_forwarding.RouterCase):
    """Base class: requests one after the other, and when they arrived."""

    async def keep_asking(self, seconds, *paths, interval=0.04, **headers):
        """Send requests for `seconds`; return the responses."""
        got = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            path = paths[len(got) % len(paths)]
            got.append(await self.ask(path, "POST", **headers))
            await asyncio.sleep(interval)
        return got

    def arrivals(self, number, since):
        """Return when requests reached a target, in seconds from `since`."""
        times = [seen.at - since for seen in self.targets[number].requests]
        return [seconds for seconds in times if seconds > 0]

    def prefer(self, number):
        """Make a target the first choice, as it has the least load."""
        for other in range(len(self.targets)):
            view = self.router.placer.views[f"t{other}"]
            view.running = 0 if other == number else 5


class TestRest(NoticeCase):
    """Targets that answer 503 with ``Retry-After``."""

    async def test_resting_target_gets_no_request(self):
        """A target asks for rest and gets the next requests all the same."""
        for path in ("/a/x", "/b/x", "/c/x"):
            for keep_alive in (False, True):
                answer = scripted_target.respond()
                await self.begin(
                    scripted_target.ask_for_rest(1.2, answer), answer
                )
                for target in self.targets:
                    target.keep_alive = keep_alive
                self.prefer(0)
                first = await self.ask(path, "POST")
                asked_at = time.monotonic()
                later = await self.keep_asking(1.0, path)
                self.assertEqual(
                    {200}, {got.status for got in [first, *later]}
                )
                self.assertEqual([], self.arrivals(0, asked_at))

    async def test_callers_hear_at_once_when_all_targets_rest(self):
        """All targets ask for rest; callers are told to come back too soon."""
        await self.begin(
            scripted_target.respond_not_run(Retry_After="2"),
            scripted_target.respond_not_run(Retry_After="4"),
        )
        await self.ask("/a/x", "POST")
        asked_at = time.monotonic()
        for path in ("/a/x", "/b/x", "/c/x"):
            got = await self.ask(path, "POST", Test_Patience="30")
            self.assertEqual(503, got.status)
            self.assertLess(got.seconds, 0.2)
            left = 2.0 - (time.monotonic() - asked_at)
            self.assertAlmostEqual(
                left, float(got.headers["Retry-After"]), delta=0.2
            )
        self.assertEqual([1, 1], [len(one.requests) for one in self.targets])


class TestLeaving(NoticeCase):
    """Targets that say in an answer that they leave."""

    async def test_target_that_says_it_leaves_gets_no_request(self):
        """No keeper tells the router that a target leaves; its answer does."""
        await self.begin(
            scripted_target.respond(**LEAVING), scripted_target.respond()
        )
        self.prefer(0)
        self.assertEqual(200, (await self.ask("/a/x")).status)
        told_at = time.monotonic()
        later = await self.keep_asking(1.0, "/a/x", "/b/x", "/c/x")
        self.assertEqual({200}, {got.status for got in later})
        self.assertEqual([], self.arrivals(0, told_at))
