"""Wiring of a router by the composition root."""

import dataclasses
import pathlib
import tempfile
import unittest

from amaranthring import router_parts
from amaranthring import settings
from amaranthring.core import fleet
from amaranthring.core import links
from amaranthring.testing import fake_network
from amaranthring.testing import local_fleet


class TestRouter(unittest.IsolatedAsyncioTestCase):
    """A router that is wired and not started."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name)
        local_fleet.write_settings(path, routers=1, keepers=1)
        loaded = settings.read(str(path / "router-1.ini"))
        identity = links.Identity("router-1", "router", "porto", 1)
        self.router = router_parts.Router(loaded, identity)

    def announce(self, count):
        for number in range(count):
            target = fake_network.target(f"e{number}", "porto")
            address = f"127.0.0.1:{number + 1}"
            target = dataclasses.replace(target, address=address)
            self.router.table.announce(target)

    async def test_simultaneous_deaths_reach_the_crash_tracker(self):
        """Requests of a lost rack must not become suspects."""
        self.announce(6)
        entries = list(self.router.table.entries.values())
        for entry in entries:
            entry.heard_at -= 3600
        self.router.table.expired_at = self.router.table.clock()
        self.router.table.expire()
        suspicion = self.router.suspicion
        self.assertTrue(suspicion.recent_deaths.correlated(suspicion.clock()))

    async def test_drain_reaches_the_admission_owner_at_once(self):
        self.announce(2)
        calls = []
        self.router.owners.config_changed = lambda: calls.append(True)
        for callback in self.router.revisions.callbacks:
            callback(fleet.FleetConfig(revision=2))
        self.assertEqual(calls, [True])

    async def test_not_ready_without_a_revision_or_when_stopping(self):
        self.assertIn("revision", self.router.not_ready_reason())
        self.router.stopping = True
        self.assertEqual(self.router.not_ready_reason(), "stopping")
