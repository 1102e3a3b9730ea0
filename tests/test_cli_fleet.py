"""The real command against a running fleet, as an operator on call uses it."""

import json
import re
import socket
import subprocess
import sys

from amaranthring.testing import local_fleet
from tests import fleet_case


class TestOperatorsCommand(fleet_case.FleetCase):
    """One router a data centre."""

    routers = 3

    async def command(self, *words, operator="operator.ini"):
        """Return exit code, output and error lines of the command."""
        path = str(self.fleet.folder / operator)
        line = [sys.executable, "-m", "amaranthring", "--operator", path]

        def run():
            return subprocess.run(
                [*line, *words],
                capture_output=True,
                text=True,
                timeout=30,
                check=False,
            )

        ended = await self.blocking(run)
        self.assertNotIn("Traceback", ended.stderr)
        return ended.returncode, ended.stdout, ended.stderr

    async def assert_done(self, *words):
        code, out, err = await self.command(*words)
        self.assertEqual((code, err), (0, ""), words)
        return out

    async def assert_refused(self, text, *words, code=1, **more):
        ended = await self.command(*words, **more)
        self.assertEqual((ended[0], ended[1]), (code, ""), ended)
        self.assertEqual(len(ended[2].splitlines()), 1, ended[2])
        self.assertIn(text, ended[2])

    async def test_an_hour_on_call(self):
        await self.reads()
        await self.changes()
        await self.refusals()
        await self.explains()
        await self.busy_port()

    async def reads(self):
        self.assertIn("confirmed by all 3", await self.settled_status())
        self.assertIn("in force", await self.assert_done("preset", "list"))
        out = await self.assert_done("target", "list")
        self.assertIn("6 ready", out)
        out = await self.assert_done("keeper", "status")
        self.assertIn("1 more losses are safe", out)
        out = await self.assert_done("account", "show", "vanua")
        self.assertIn("weight: 1", out)
        out = await self.assert_done("status", "--json")
        self.assertEqual(json.loads(out)["in_force"], "ordinary")

    async def settled_status(self):
        """Return the status once every router has reported."""
        out = ""
        for _ in range(20):
            out = await self.assert_done("status")
            if "NOT CONFIRMED" not in out:
                break
        return out

    async def changes(self):
        words = ("preset", "switch", "peak", "--command-id", "once-more-1")
        first = await self.assert_done(*words, "--revision", "1")
        again = await self.assert_done(*words, "--revision", "1")
        self.assertEqual(first, again)
        out = await self.assert_done("target", "drain", "engine-1")
        self.assertIn("revision 3", out)
        out = await self.assert_done("target", "list")
        self.assertIn("1 drained", out)
        await self.assert_done("target", "undrain", "engine-1")
        preset = self.fleet.folder / "night.json"
        preset.write_text('{"load_bound": 1.4}')
        await self.assert_done("preset", "put", "night", str(preset))
        out = await self.assert_done("preset", "history")
        self.assertIn("preset-put night", out)

    async def refusals(self):
        await self.assert_refused("no such preset", "preset", "show", "none")
        await self.assert_refused("no such target", "target", "show", "none")
        await self.assert_refused("no such account", "account", "show", "x")
        stale = ("preset", "switch", "ordinary", "--revision", "1")
        await self.assert_refused("revision", *stale)
        bad = self.fleet.folder / "bad.json"
        bad.write_text('{"load_bound": 0.5}')
        await self.assert_refused(
            "load_bound", "preset", "put", "bad", str(bad)
        )
        token = self.fleet.folder / "wrong.token"
        token.write_text("operator not-the-token\n")
        token.chmod(0o600)
        good = (self.fleet.folder / "operator.ini").read_text()
        wrong = good.replace("operator.token", "wrong.token")
        (self.fleet.folder / "wrong.ini").write_text(wrong)
        await self.assert_refused(
            "operators only", "status", operator="wrong.ini"
        )

    async def explains(self):
        """Explain a request of one router through another."""
        token = local_fleet.ACCOUNTS["vanua"]
        body = {"model": "m1", "messages": [{"role": "user", "content": "a"}]}

        def ask():
            return local_fleet.http_request(
                "POST",
                self.fleet.callers_url("router-3") + "/v1/chat/completions",
                {"Authorization": f"Bearer {token}"},
                json.dumps(body).encode(),
            )

        _, answer = await self.blocking(ask)
        found = re.search(r"router-3\.[0-9a-f]+", answer.decode())
        request_id = found.group()
        out = await self.assert_done("explain", request_id)
        self.assertIn("candidates", out)
        self.assertIn("granted", out)
        self.assertIn("end=done", out)
        self.assertRegex(out, r"cell=\S+ load=1 in_flight=1 targets=3")
        await self.assert_refused("no decisions", "explain", "router-3.00")

    async def busy_port(self):
        """Start a router whose address is taken."""
        text = (self.fleet.folder / "router-1.ini").read_text()
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            address = f"127.0.0.1:{taken.getsockname()[1]}"
            path = self.fleet.folder / "busy.ini"
            path.write_text(
                re.sub(r"callers = .*", f"callers = {address}", text).replace(
                    "internal = 127.0.0.1:", "internal = 127.0.0.2:"
                )
            )
            await self.assert_refused(
                f"cannot listen on {address}",
                "router",
                "--settings",
                str(path),
            )
