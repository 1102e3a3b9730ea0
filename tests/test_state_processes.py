"""Operators' changes on a fleet of processes whose keepers fail."""

import json
import pathlib
import random
import re
import signal
import tempfile
import time
import unittest

from amaranthring.testing import local_fleet

IN_FORCE = re.compile(r"revision\.in-force revision=(\d+) preset=(\S+)")
CHANGES = 18
SECONDS = 30.0
PRESETS = ("ordinary", "peak", "maintenance")


class FleetCase(unittest.TestCase):
    """Three keepers, three routers, one in each data centre."""

    extra = ""

    def setUp(self):
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        folder = pathlib.Path(temporary.name)
        local_fleet.write_settings(folder, routers=3)
        for path in folder.glob("keeper-*.ini"):
            # The section [keeper] is the last one in these files.
            path.write_text(path.read_text() + self.extra)
        self.fleet = local_fleet.LocalFleet(folder, folder / "logs")
        self.addCleanup(self.fleet.stop_all)
        self.keepers = self.fleet.names("keeper")
        self.routers = self.fleet.names("router")
        for name in [*self.keepers, *self.routers]:
            self.fleet.start(name)
        self.fleet.wait_ready(self.routers)
        token = (folder / "operator.token").read_text().split()[1]
        self.headers = {"Authorization": f"Bearer {token}"}
        self.rng = random.Random(11)

    def ask(self, method, path, headers=None, body=None):
        router = self.rng.choice(self.routers)
        url = f"{self.fleet.internal_url(router)}/operators/{path}"
        sent = self.headers | (headers or {})
        data = None if body is None else json.dumps(body).encode()
        status, answer = local_fleet.http_request(method, url, sent, data)
        return status, json.loads(answer or b"{}")

    def switch(self, name, revision, command_id):
        """Switch the preset; resend through any router until answered."""
        headers = {
            "If-Match": str(revision),
            "Amaranthring-Command-Id": command_id,
        }
        deadline = time.monotonic() + SECONDS
        while time.monotonic() < deadline:
            status, answer = self.ask(
                "POST", "switch", headers, {"preset": name}
            )
            if status not in (0, 503):
                return status, answer
        raise AssertionError("no answer to a command")

    def leader(self):
        status, answer = self.ask("GET", "keepers")
        for row in answer.get("keepers", {}).values():
            if status == 200 and row.get("role") == "leader":
                return row["keeper"]
        return self.rng.choice(self.keepers)


class TestKeepersFail(FleetCase):
    """Presets are switched while keepers are killed and suspended."""

    def test_accepted_changes_survive_leader_failures(self):
        # Guards against changes that are lost with the leader, applied
        # twice by a resend, or undone by a leader that resumes: a revision
        # would have another preset, or a router an older revision.
        accepted = {}
        suspended = ""
        revision = 1
        for number in range(CHANGES):
            if number % 6 == 2:
                self.fleet.processes[self.leader()].kill()
            if number % 6 == 4:
                suspended = self.leader()
                self.fleet.processes[suspended].pause()
            name = PRESETS[number % 3]
            status, answer = self.switch(name, revision, f"command-{number}")
            self.assertEqual(status, 200, answer)
            self.assertEqual(answer["in_force"], name)
            revision = answer["revision"]
            self.assertNotIn(revision, accepted)
            accepted[revision] = name
            if number % 6 == 3:
                self.restart_killed()
            if suspended:
                self.fleet.processes[suspended].signal(signal.SIGCONT)
                suspended = ""
        self.check_routers(accepted)
        self.check_resends(accepted)

    def restart_killed(self):
        for name in self.keepers:
            if self.fleet.processes[name].popen.poll() is not None:
                self.fleet.start(name)

    def check_routers(self, accepted):
        last = max(accepted)
        self.fleet.wait(
            lambda: all(
                last in dict(self.logged_revisions(name))
                for name in self.routers
            ),
            "last revision on every router",
        )
        for name in self.routers:
            logged = self.logged_revisions(name)
            self.assertEqual(logged, sorted(set(logged)), name)
            for revision, preset in logged:
                if revision in accepted:
                    self.assertEqual(preset, accepted[revision], name)

    def logged_revisions(self, router):
        text = (self.fleet.logs / f"{router}.log").read_text()
        return [(int(r), preset) for r, preset in IN_FORCE.findall(text)]

    def check_resends(self, accepted):
        """Check that a command that is sent again gets its first reply."""
        revision = 1
        for number, (expected, name) in enumerate(accepted.items()):
            status, answer = self.switch(name, revision, f"command-{number}")
            self.assertEqual((status, answer["revision"]), (200, expected))
            revision = expected
        _, answer = self.ask("GET", "status")
        self.assertEqual(answer["revision"], max(accepted))


class TestOrders(FleetCase):
    """Orders to engines that check fencing numbers."""

    extra = (
        "order_seconds = 5\norder_listen_seconds = 2\n"
        "order_patience_seconds = 0.5\n"
    )

    def test_fencing_numbers_grow_across_leaders(self):
        # A new leader must continue from the log: it may neither repeat an
        # order nor reuse a fencing number.
        data_centres = local_fleet.DATA_CENTRES
        for number in range(2):
            self.fleet.start_target(
                "engine",
                f"engine-{number}",
                "--data-centre",
                data_centres[number],
                "--fencing",
            )
        self.fleet.wait_targets(2, self.routers)
        self.request_models({"m2": 2}, 1, "command-1")
        self.wait_done(2)
        self.fleet.processes[self.leader()].kill()
        self.request_models({"m2": 2, "m3": 1}, 2, "command-2")
        self.wait_done(3)
        orders = self.orders()
        self.assertEqual([o["fencing"] for o in orders], [3, 2, 1])
        actions = sorted(o["action"] for o in orders)
        self.assertEqual(actions, ["load m2", "load m2", "load m3"])

    def request_models(self, models, revision, command_id):
        headers = {
            "If-Match": str(revision),
            "Amaranthring-Command-Id": command_id,
        }
        path = "presets/ordinary"
        body = {"desired_models": models}
        self.fleet.wait(
            lambda: self.ask("PUT", path, headers, body)[0] == 200,
            "preset accepted",
        )

    def orders(self):
        _, answer = self.ask("GET", "orders")
        return answer.get("orders", [])

    def wait_done(self, count):
        self.fleet.wait(
            lambda: [o["state"] for o in self.orders()] == ["done"] * count,
            f"{count} orders done",
            40.0,
        )
