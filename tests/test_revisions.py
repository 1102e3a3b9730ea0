"""Distribution of revisions to the routers of a fake fleet."""

import os
import pathlib
import tempfile
import unittest
from unittest import mock

from amaranthring.core import fleet
from amaranthring.keepers import commands
from amaranthring.routers import revisions
from amaranthring.testing import fake_state


class Fleet:
    """Keepers and routers of two data centres, with links that can be cut."""

    def __init__(self, names=("a1", "a2", "a3", "b1", "b2", "b3")):
        self.group = fake_state.FakeGroup()
        self.group.apply(fake_state.bootstrap())
        self.routers = {}
        self.names = names
        self.started = {}
        self.seen = {}
        self.cuts = set()

    def allowed(self, one, other):
        return not {one, other} & self.cuts

    def start(self, name, **options):
        neighbours = [n for n in self.names if n[0] == name[0]]
        options.setdefault("neighbours", neighbours)
        router, mesh = fake_state.make_revisions(
            name,
            name[0],
            options.pop("group", self.group),
            self.routers,
            allowed=self.allowed,
            **options,
        )
        self.started[name] = router
        seen = self.seen.setdefault(name, [])
        router.subscribe(lambda c: seen.append((c.revision, c.in_force)))
        router.start()
        return router, mesh

    def change(self, number):
        book = self.group.machine.book
        name = "ordinary" if book.in_force == "peak" else "peak"
        command = commands.SwitchPreset(
            name,
            command_id=f"command-{number}",
            operator="ana",
            if_match=book.parts.revision,
        )
        return self.group.apply(command).revision

    def all_at(self, revision):
        return all(
            m.current.revision == revision for m in self.started.values()
        )

    async def stop(self):
        for router in self.started.values():
            await router.stop()


def flip_bit(data, position=0.5):
    index = int(len(data) * position)
    return data[:index] + bytes([data[index] ^ 1]) + data[index + 1 :]


def flip_late_bit(data):
    return flip_bit(data, 0.99)


def read(path):
    return pathlib.Path(path).read_bytes()


def write(path, data):
    pathlib.Path(path).write_bytes(data)


class TestRevisions(unittest.IsolatedAsyncioTestCase):
    """Routers with reachable and unreachable keepers."""

    async def asyncSetUp(self):
        self.fleet = Fleet()
        for name, value in (
            ("COMPARE_SECONDS", 0.05),
            ("WATCH_SECONDS", 0.2),
            ("CUT_OFF_SECONDS", 0.3),
        ):
            patch = mock.patch.object(revisions, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.path = os.path.join(self.folder.name, "revision")

    async def asyncTearDown(self):
        await self.fleet.stop()

    async def test_every_change_is_applied_everywhere_in_order(self):
        for name in self.fleet.names:
            self.fleet.start(name)
        await fake_state.wait_until(
            lambda: all(m.ready for m in self.started())
        )
        for number in range(30):
            revision = self.fleet.change(number)
            if number % 5 == 0:
                await fake_state.wait_until(
                    lambda r=revision: self.fleet.all_at(r)
                )
        await fake_state.wait_until(lambda: self.fleet.all_at(31))
        for seen in self.fleet.seen.values():
            numbers = [revision for revision, _ in seen]
            self.assertEqual(numbers, sorted(set(numbers)))
            for revision, in_force in seen:
                expected = "peak" if revision % 2 == 0 else "ordinary"
                self.assertEqual(in_force, expected)

    def started(self):
        return self.fleet.started.values()

    async def test_lost_broadcast_is_repaired(self):
        # A relay's broadcast is lost. Comparing revisions must repair it.
        meshes = [self.fleet.start(name)[1] for name in self.fleet.names]
        await fake_state.wait_until(
            lambda: all(m.ready for m in self.started())
        )
        for mesh in meshes:
            mesh.drop_next = 5
        revision = self.fleet.change(1)
        await fake_state.wait_until(lambda: self.fleet.all_at(revision))
        pulled = sum(
            m.metrics.counters["revisions.pulled"] for m in self.started()
        )
        self.assertGreater(pulled, 0)

    async def test_cut_off_start_takes_the_highest_of_its_data_centre(self):
        # a2 holds revision 1, a3 revision 2, and a1 starts cut off with
        # revision 1 on disk. Taking its file or the first reply would
        # activate an older preset.
        await self.write_file()
        group = fake_state.FakeGroup(self.fleet.group.machine)
        self.fleet.start("a2", group=group)
        await fake_state.wait_until(lambda: self.fleet.all_at(1))
        group.cut = True
        self.fleet.cuts.add("a2")
        self.fleet.change(1)
        router, _ = self.fleet.start("a3")
        await fake_state.wait_until(lambda: router.ready)
        self.fleet.group.cut = True
        with mock.patch.object(revisions, "COMPARE_SECONDS", 60.0):
            self.fleet.cuts.clear()
            router, _ = self.fleet.start("a1", path=self.path)
            await fake_state.wait_until(lambda: router.ready)
        self.assertEqual(router.current.revision, 2)

    async def test_cut_off_start_without_any_revision_is_not_ready(self):
        self.fleet.group.cut = True
        self.fleet.start("a1")
        self.fleet.start("a2")
        await fake_state.wait_until(lambda: self.counted("a1") >= 4)
        self.assertFalse(any(m.ready for m in self.started()))
        self.fleet.group.cut = False
        await fake_state.wait_until(
            lambda: all(m.ready for m in self.started())
        )

    def counted(self, name):
        metrics = self.fleet.started[name].metrics
        return metrics.counters["revisions.keepers-unreachable"]

    async def test_own_file_is_not_enough_with_neighbours(self):
        # The neighbours may have taken a change while the router was down;
        # cut off from them it must not serve from its own file.
        await self.write_file()
        self.fleet.group.cut = True
        router, _ = self.fleet.start("a1", path=self.path)
        await fake_state.wait_until(lambda: self.counted("a1") >= 4)
        self.assertEqual(router.current.revision, 1)
        self.assertFalse(router.ready)

    async def test_file_makes_the_only_router_of_a_data_centre_ready(self):
        await self.write_file()
        self.fleet.group.cut = True
        router, _ = self.fleet.start("a1", path=self.path, neighbours=[])
        await fake_state.wait_until(lambda: router.ready)
        self.assertEqual(router.current.revision, 1)

    async def write_file(self):
        router, _ = self.fleet.start("a1", path=self.path)
        await fake_state.wait_until(lambda: router.ready)
        await router.stop()
        self.fleet.routers.clear()
        self.fleet.started.clear()

    async def test_cut_off_data_centre_restarts_with_its_newest_file(self):
        # Both routers restart without keepers, a2 with a newer file than
        # a1; both must activate the newer revision.
        await self.write_file()
        self.fleet.change(1)
        other = self.path + "-2"
        router, _ = self.fleet.start("a2", path=other)
        await fake_state.wait_until(lambda: router.ready)
        await self.fleet.stop()
        self.fleet.routers.clear()
        self.fleet.started.clear()
        self.fleet.group.cut = True
        self.fleet.start("a1", path=self.path)
        self.fleet.start("a2", path=other)
        await fake_state.wait_until(
            lambda: all(m.ready for m in self.started())
        )
        await fake_state.wait_until(lambda: self.fleet.all_at(2))

    async def test_damaged_file_is_ignored(self):
        await self.write_file()
        whole = read(self.path)
        for damage in (
            flip_bit,
            flip_late_bit,
            lambda data: data[:50],
            lambda data: b"",
        ):
            write(self.path, damage(whole))
            self.fleet.group.cut = True
            router, _ = self.fleet.start("a1", path=self.path, neighbours=[])
            self.assertEqual(router.current.revision, 0)
            counters = router.metrics.counters
            self.assertEqual(counters["revisions.file-damaged"], 1)
            await router.stop()

    async def test_diverged_router_pulls_the_full_state(self):
        # The router's state diverged, so no delta applies; without pulling
        # the full state it would stay behind.
        router, _ = self.fleet.start("a1")
        await fake_state.wait_until(lambda: router.ready)
        router.parts.items["drained/x"] = "never said"
        router.parts.digest_sum += 1
        revision = self.fleet.change(1)
        await fake_state.wait_until(
            lambda: router.current.revision == revision
        )
        self.assertEqual(router.current.drained, {})
        self.assertEqual(router.metrics.counters["revisions.refused"], 1)

    async def test_keepers_that_lost_their_state_roll_nobody_back(self):
        router, _ = self.fleet.start("a1")
        self.fleet.change(1)
        await fake_state.wait_until(lambda: router.current.revision == 2)
        empty = fake_state.FakeGroup()
        empty.apply(fake_state.bootstrap())
        router.query = empty.query
        counters = router.metrics.counters
        await fake_state.wait_until(
            lambda: counters["revisions.keepers-behind"] > 0
        )
        self.assertEqual(router.current.revision, 2)

    async def test_status_shows_every_router_at_the_keepers(self):
        for name in self.fleet.names:
            self.fleet.start(name)
        ask = commands.StateQuery("status")

        def revisions_shown():
            view = self.fleet.group.queries.routers
            return {name: seen.revision for name, seen in view.items()}

        await fake_state.wait_until(lambda: len(revisions_shown()) == 6)
        revision = self.fleet.change(1)
        await fake_state.wait_until(
            lambda: set(revisions_shown().values()) == {revision}
        )
        view = (await self.fleet.group.query(ask)).view
        self.assertEqual(sorted(view["routers"]), list(self.fleet.names))

    async def test_change_reaches_a_data_centre_cut_from_the_keepers(self):
        self.fleet.start("a1")
        cut = fake_state.FakeGroup()
        cut.cut = True
        router, _ = self.fleet.start("b1", group=cut)
        await fake_state.wait_until(lambda: router.current.revision == 1)
        revision = self.fleet.change(1)
        await fake_state.wait_until(
            lambda: router.current.revision == revision
        )
        self.assertIsInstance(router.current, fleet.FleetConfig)
