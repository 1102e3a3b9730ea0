"""Keepers of a routing plan: updates, disk failures, subscribed routers."""

import asyncio
import collections
import dataclasses
import tempfile
import time
import unittest
from unittest import mock

from amaranthring import errors
from amaranthring.core import hashing
from amaranthring.keepers import membership
from amaranthring.keepers import messages as keeper_messages
from amaranthring.keepers import plans
from amaranthring.keepers import replication
from amaranthring.registry import messages
from amaranthring.registry import subscriber
from amaranthring.testing import plan_keepers
from tests import keepers_case


class KeepersCase(keepers_case.KeepersCase):
    """Three keepers, with routers that subscribe to them."""

    def make_router(self, name="router-1"):
        applied = []
        router = plan_keepers.make_subscriber(
            name, self.keepers.seeds, applied
        )
        self.addCleanup(router.stop)
        return router, applied

    async def until(self, condition, seconds=10.0):
        return await plan_keepers.wait_until(condition, seconds)

    def any_follower(self):
        leader = self.keepers.leader()
        others = [k for k in self.keepers.running.values() if k is not leader]
        return others[0]


class TestUpdates(KeepersCase):
    """The highest version is in force, whatever the order of the updates."""

    async def test_highest_version_wins_and_resends_are_acknowledged(self):
        self.assertEqual(3, await self.keepers.put(3, b"three"))
        self.assertEqual(3, await self.keepers.put(3, b"three"))
        self.assertEqual(3, await self.keepers.put(2, b"two"))
        for address in self.keepers.running:
            plan = await self.keepers.read(address)
            self.assertEqual(3, plan.version)
            self.assertEqual(b"three", plans.decompress(plan.body))

    async def test_two_operators_send_one_version_to_two_keepers(self):
        """Two plans have the same version.

        Both are acknowledged, but all keepers must return the same one.
        """
        addresses = list(self.keepers.running)
        await asyncio.gather(
            self.keepers.put(5, b"of one", addresses[0]),
            self.keepers.put(5, b"of the other", addresses[1]),
        )
        documents = {
            plans.decompress((await self.keepers.read(address)).body)
            for address in addresses
        }
        self.assertEqual(1, len(documents))

    async def test_keeper_without_quorum_answers_no_read(self):
        """A keeper without a quorum must not reply from stale state."""
        await self.keepers.put(1, b"one")
        last = self.any_follower()
        for address in list(self.keepers.running):
            if address != last.config.address:
                await self.keepers.stop(address)
        with self.assertRaises(errors.AmaranthringError):
            await last.hub.read()
        with self.assertRaises(errors.AmaranthringError):
            await last.hub.put(2, b"two")


class TestFullDisk(KeepersCase):
    """Keepers whose disks refuse writes temporarily."""

    async def fill(self, keeper):
        """Fill the disk of `keeper` and wait for its fault."""
        self.keepers.full_disks.add(keeper.config.address)
        version = self.version = getattr(self, "version", 1) + 1
        await self.keepers.put(version, b"while full")
        await self.until(lambda: keeper.group.fault)

    async def test_two_full_disks_in_succession(self):
        """A keeper whose full disk was freed must participate again.

        Otherwise the next full disk ends the quorum.
        """
        leader = self.keepers.leader()
        others = [k for k in self.keepers.running.values() if k is not leader]
        for keeper in (others[0], leader):
            await self.fill(keeper)
            self.keepers.full_disks.clear()
            await self.until(lambda k=keeper: k.group.fault is None)
        await self.fill(others[1])
        self.assertEqual(9, await self.keepers.put(9, b"nine"))
        plan = await self.keepers.read()
        self.assertEqual(b"nine", plans.decompress(plan.body))

    async def test_recovered_keeper_has_all_acknowledged_plans(self):
        keeper = self.any_follower()
        await self.keepers.put(1, b"one")
        await self.fill(keeper)
        await self.keepers.put(7, b"seven")
        self.keepers.full_disks.clear()
        await self.until(lambda: keeper.machine.version == 7)
        self.assertEqual(b"seven", plans.decompress(keeper.machine.body))

    async def test_keeper_with_full_disk_forwards_requests(self):
        """A keeper with a full disk must forward requests to the leader."""
        leader = self.keepers.leader()
        address = leader.config.address
        await self.fill(leader)
        self.assertEqual(5, await self.keepers.put(5, b"five", address))
        plan = await self.keepers.read(address)
        self.assertEqual(b"five", plans.decompress(plan.body))
        self.assertIsNotNone(leader.group.fault)

    async def test_leader_does_not_fill_its_link_with_refused_snapshots(self):
        """A refused snapshot must not be sent again at once.

        Repeated snapshots delay the leader's heartbeats until it loses its
        quorum.
        """
        keeper = self.any_follower()
        await self.fill(keeper)
        sent = []
        send = replication._send_chunk

        async def counting(*args):
            sent.append(time.monotonic())
            return await send(*args)

        with mock.patch.object(replication, "_send_chunk", counting):
            for version in range(10, 30):
                await self.keepers.put(version, b"more")
            await self.until(lambda: sent)
            await asyncio.sleep(1.2)
            self.assertLessEqual(len(sent), 2)
            self.keepers.full_disks.clear()
            await self.until(lambda: keeper.machine.version == 29)

    async def test_full_disk_is_retried_until_it_is_freed(self):
        keeper = self.any_follower()
        await self.fill(keeper)
        tries = "keeper.disk-tries"
        await self.until(lambda: keeper.metrics.counters.get(tries, 0) > 1)
        self.assertIsNotNone(keeper.group.fault)


class TestMembership(KeepersCase):
    """Keepers that lose their disk, are replaced or are added."""

    async def test_wiped_keeper_rejoins_with_a_new_disk(self):
        """A keeper with a lost disk must not vote under its old identity.

        With a keeper that missed an acknowledged plan, it would form a
        majority without that plan.
        """
        await self.keepers.put(1, b"one")
        lost = self.any_follower().config.address
        before = self.keepers.running[lost].group.disk_id
        await self.keepers.stop(lost)
        await self.keepers.put(2, b"two")
        self.keepers.wipe(lost)
        back = self.keepers.start(lost)
        self.assertNotEqual(before, back.group.disk_id)
        await self.until(
            lambda: lost in self._voters_with_disk(back.group.disk_id)
        )
        self.assertEqual(2, (await self.keepers.read(lost)).version)

    def _voters_with_disk(self, disk):
        leader = self.keepers.leader()
        voters = leader.group.members.voters if leader else []
        return [member.name for member in voters if member.disk == disk]

    async def test_replacement_joins_at_its_new_address(self):
        await self.keepers.put(1, b"one")
        stopped = self.any_follower().config.address
        await self.keepers.stop(stopped)
        new = self.keepers.new_address()
        self.keepers.start(new)
        await self.until(lambda: new in self.keepers.voters())
        self.assertNotIn(stopped, self.keepers.voters())
        self.assertEqual(1, (await self.keepers.read(new)).version)

    async def test_fourth_keeper_is_a_spare_and_a_fifth_makes_five(self):
        fourth, fifth = self.keepers.new_address(), self.keepers.new_address()
        self.keepers.start(fourth)
        await self.until(lambda: self._learners() == {fourth})
        self.assertEqual(3, len(self.keepers.voters()))
        self.keepers.start(fifth)
        await self.until(lambda: len(self.keepers.voters()) == 5)

    def _learners(self):
        leader = self.keepers.leader()
        learners = leader.group.members.learners if leader else []
        return {member.name for member in learners}

    async def test_late_keeper_forms_no_second_group(self):
        """A new keeper that is alone must not form an empty group.

        It would reply that there is no plan.
        """
        await self.keepers.put(1, b"one")
        for address in list(self.keepers.running):
            await self.keepers.stop(address)
        late = self.keepers.start(self.keepers.new_address())
        await asyncio.sleep(0.5)
        self.assertEqual([], late.group.members.voters)
        with self.assertRaises(errors.AmaranthringError):
            await late.hub.read()

    async def test_plan_survives_a_restart_of_all_keepers(self):
        for version in range(1, 14):
            await self.keepers.put(version, b"plan %d" % version)
        for address in list(self.keepers.running):
            await self.keepers.stop(address)
        for address in self.keepers.seeds:
            self.keepers.start(address)
        self.assertEqual(13, (await self.keepers.read()).version)


class TestLearners(KeepersCase):
    """Learners beside three voters."""

    def learners(self):
        leader = self.keepers.leader()
        members = leader.group.members.learners if leader else []
        return {member.name for member in members}

    async def test_new_learner_is_given_time_to_answer(self):
        """A new learner that has not replied yet must not count as silent.

        Otherwise the leader removes it at once, and a replaced VM leaves the
        group without a spare.
        """
        leader = self.keepers.leader()
        await asyncio.sleep(leader.group.options.replace_seconds + 0.1)
        new = self.keepers.new_address()
        members = leader.group.members
        learner = keeper_messages.Member("d", new, new, "here")
        changed = membership.with_learner(members, learner)
        await leader.group.propose(changed, 2.0)
        step = membership.next_step(leader.group)
        self.assertTrue(step is None or step.learners)

    async def test_removed_learner_rejoins(self):
        """A learner that was removed for its silence must ask to rejoin."""
        new = self.keepers.new_address()
        self.keepers.start(new)
        await self.until(lambda: new in self.learners())
        joined = self.keepers.running[new].group
        await self.until(lambda: joined.leader_disk)
        # By then its discovery of the group has ended.
        await asyncio.sleep(0.3)
        leader = self.keepers.leader()
        disk = joined.disk_id
        smaller = membership.without(leader.group.members, disk)
        await leader.group.propose(smaller, 2.0)
        leader.group.drop_unknown_peers()
        self.assertEqual(set(), self.learners())
        await self.until(lambda: new in self.learners(), 5.0)


class TestFirstStart(unittest.IsolatedAsyncioTestCase):
    """More keepers than seeds, all started together."""

    async def test_other_keepers_do_not_block_the_seeds(self):
        """Three seeds must form a group although other keepers ask them too.

        A seed that waits for replies of exactly the seeds never forms one.
        """
        asyncio.get_running_loop().set_debug(False)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        keepers = plan_keepers.PlanKeepers(folder.name)
        self.addAsyncCleanup(keepers.stop_all)
        others = [keepers.new_address() for _ in range(3)]
        for address in [*others, *keepers.seeds[1:]]:
            keepers.start(address, first=True)
        await asyncio.sleep(1.5)
        keepers.start(keepers.seeds[0], first=True)
        await plan_keepers.wait_until(keepers.leader)
        await plan_keepers.wait_until(lambda: len(keepers.voters()) == 5)
        self.assertEqual(1, await keepers.put(1, b"one", others[0]))
        for address in keepers.running:
            self.assertEqual(1, (await keepers.read(address)).version)


class TestSubscription(KeepersCase):
    """A router's plan and targets, and when it counts as confirmed."""

    async def test_router_receives_each_plan_and_is_confirmed(self):
        router, applied = self.make_router()
        await self.keepers.put(1, b"one")
        await self.until(lambda: router.version == 1)
        await self.until(lambda: router.is_fresh(1.0))
        await self.keepers.put(2, b"two")
        await self.until(lambda: router.version == 2)
        self.assertEqual([b"one", b"two"], applied)

    async def test_new_leader_confirms_at_once(self):
        """A new leader must confirm routers without their next poll.

        Until they are confirmed, routers refuse every caller.
        """
        with mock.patch.object(subscriber, "RENEW_SECONDS", 30.0):
            router, _ = self.make_router()
            await self.keepers.put(1, b"one")
            await self.until(lambda: router.is_fresh(1.0))
            for address in list(self.keepers.running):
                await self.keepers.stop(address)
            await asyncio.sleep(subscriber.UNCONFIRMED_SECONDS)
            for address in self.keepers.seeds:
                self.keepers.start(address)
            await self.until(lambda: len(router.open_links()) == 3)
            await self.until(lambda: router.is_fresh(1.0))

    async def test_new_link_is_asked_at_once(self):
        """A router must ask a keeper as soon as their link opens.

        It has missed the notice of one that leads already.
        """
        with mock.patch.object(subscriber, "RENEW_SECONDS", 30.0):
            router, _ = self.make_router()
            await self.keepers.put(1, b"one")
            await self.until(lambda: router.is_fresh(1.0))
            await self.until(lambda: len(router.open_links()) == 3)
            # Every keeper has been asked, and is asked next in 30 s.
            asked = [
                k.handlers.received for k in self.keepers.running.values()
            ]
            await self.until(
                lambda: all(kinds["registry-renew"] for kinds in asked)
            )
            router.confirmed_at = float("-inf")
            for link in router.open_links():
                link.close()
            await self.until(lambda: router.is_fresh(1.0), 2.0)

    async def test_notice_during_a_request_is_not_lost(self):
        """A notice during a pending request must trigger another request.

        The pending one may be answered before the leader can confirm.
        """
        patched = mock.patch.object(subscriber, "RENEW_SECONDS", 30.0)
        patched.start()
        self.addCleanup(patched.stop)
        router, _ = self.make_router()
        await self.until(lambda: len(router.open_links()) == 3)
        asked = []

        async def slow(address, link):
            asked.append(address)
            await asyncio.sleep(0.05)

        router.confirmed_at = float("-inf")
        with (
            mock.patch.object(router, "_renew", slow),
            mock.patch.object(router, "is_fresh", lambda _: False),
        ):
            asked.clear()
            link = router.open_links()[0]
            for _ in range(3):
                router._on_notice(link, messages.PlanNotice(1, True))
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.15)
            address = router._address_of(link)
        self.assertEqual(2, asked.count(address))

    async def test_router_is_not_confirmed_without_a_quorum(self):
        """A keeper without a quorum must not confirm a router's plan.

        It cannot know of a key that the other keepers have revoked.
        """
        router, _ = self.make_router()
        await self.keepers.put(1, b"one")
        await self.until(lambda: router.is_fresh(1.0))
        for address in list(self.keepers.running)[1:]:
            await self.keepers.stop(address)
        await asyncio.sleep(1.5)
        self.assertFalse(router.is_fresh(1.0))
        # One keeper still replies, so the router itself is not cut off.
        self.assertFalse(router.is_cut_off())
        await self.keepers.stop(next(iter(self.keepers.running)))
        await self.until(router.is_cut_off)

    async def test_refused_plan_keeps_the_old_one(self):
        router, applied = self.make_router()
        await self.keepers.put(1, b"one")
        await self.until(lambda: router.version == 1)

        def refuse(_document):
            raise errors.InvalidPlanError("of a newer kind")

        router.apply_plan = refuse
        await self.keepers.put(2, b"two")
        await asyncio.sleep(0.7)
        self.assertEqual(1, router.version)
        self.assertEqual([b"one"], applied)

    async def test_keeper_that_dies_does_not_delay_the_fetch(self):
        """A router must not wait for a keeper that announced a plan and died.

        Otherwise it keeps using the replaced plan until the timeout.
        """
        router, _ = self.make_router()
        await self.keepers.put(1, b"one")
        await self.until(lambda: router.version == 1)
        await self.until(lambda: len(router.open_links()) == 3)
        asked = []

        async def hang(_link, _message):
            asked.append(1)
            await asyncio.sleep(60)

        first = max(
            router.open_links(),
            key=lambda link: hashing.weight("router-1", link.peer.name),
        )
        dead = self.keepers.running[first.peer.name]
        dead.handlers.by_class[messages.FetchPlan] = hang
        await self.keepers.put(2, b"two")
        await self.until(lambda: router.version == 2, 1.5)
        self.assertTrue(asked)

    async def test_routers_fetch_from_all_keepers(self):
        """Routers must spread their fetches of a plan over all keepers.

        The leader announces it first; its link alone is too slow for all.
        """
        served = collections.Counter()

        def counting(address, answer):
            async def count(link, message):
                served[address] += 1
                return await answer(link, message)

            return count

        for address, keeper in self.keepers.running.items():
            handlers = keeper.handlers.by_class
            answer = handlers[messages.FetchPlan]
            handlers[messages.FetchPlan] = counting(address, answer)
        routers = [self.make_router(f"router-{n}")[0] for n in range(18)]
        await self.keepers.put(1, b"one")
        for router in routers:
            await self.until(lambda r=router: r.version == 1)
            await self.until(lambda r=router: len(r.open_links()) == 3)
        served.clear()
        await self.keepers.put(2, b"two")
        for router in routers:
            await self.until(lambda r=router: r.version == 2)
        names = [f"router-{n}" for n in range(18)]
        # The addresses, and so the choices, differ from run to run.
        chosen = [hashing.first(name, self.keepers.seeds) for name in names]
        self.assertEqual(collections.Counter(chosen), served)

    def test_routers_are_spread_over_keepers(self):
        seeds = [f"10.0.{n}.1:7340" for n in range(3)]
        names = [f"router-{n}" for n in range(300)]
        chosen = [hashing.first(name, seeds) for name in names]
        self.assertLessEqual(max(collections.Counter(chosen).values()), 120)

    async def test_router_finds_keepers_that_its_settings_do_not_name(self):
        router, _ = self.make_router()
        new = self.keepers.new_address()
        self.keepers.start(new)
        await self.until(lambda: new in router.diallers)

    async def test_router_reports_in_its_own_data_centre(self):
        """Routers must report to the keeper in their own data centre.

        Otherwise routers in a partitioned data centre do not learn of each
        other's prompts.
        """
        for name in ("router-1", "router-2", "router-3"):
            router, _ = self.make_router(name)
            await self.until(lambda f=router: len(f.open_links()) == 3)
            address = sorted(router.diallers)[1]
            link = router.diallers[address].link
            link.peer = dataclasses.replace(link.peer, data_centre="there")
            router.identity = dataclasses.replace(
                router.identity, data_centre="there"
            )
            self.assertIs(link, router.home_link())
            link.close()
            await self.until(lambda f=router, k=link: f.home_link() is not k)
            self.assertIsNotNone(router.home_link())

    async def test_announcement_at_one_keeper_reaches_every_router(self):
        one, _ = self.make_router("router-1")
        two, _ = self.make_router("router-2")
        await self.until(lambda: one.home_link() and two.home_link())
        record = messages.TargetRecord("a", "s", "v:1", "here", sequence=1)
        hub = self.any_follower().hub
        await plan_keepers.retry(lambda: self._announce(hub, record))
        for router in (one, two):
            await self.until(lambda f=router: "a" in f.table.entries)
        hub.leave("a")
        for router in (one, two):
            table = router.table
            await self.until(lambda t=table: not list(t.active()))

    async def _announce(self, hub, record):
        hub.announce(record)

    async def test_silent_target_is_marked_everywhere(self):
        router, _ = self.make_router()
        await self.until(router.home_link)
        record = messages.TargetRecord("a", "s", "v:1", "here", sequence=1)
        self.any_follower().hub.announce(record)
        await self.until(lambda: "a" in router.table.entries)
        await self.until(lambda: router.table.entries["a"].record.silent)

    async def test_partitioned_keeper_accepts_no_announcement(self):
        """A partitioned keeper must not acknowledge that a target leaves.

        The target would shut down while routers still send to it.
        """
        last = self.any_follower()
        for address in list(self.keepers.running):
            if address != last.config.address:
                await self.keepers.stop(address)
        await self.until(lambda: not last.group.leader())
        record = messages.TargetRecord("a", "s", "v:1", "here", sequence=1)
        with self.assertRaises(errors.NotReadyError):
            last.hub.announce(record)
