"""Runs the command as a process against a running fleet."""

import json
import re
import socket
import subprocess
import sys

from amaranthring.testing import local_fleet
from tests import fleet_case


class TestOperatorsCommand(fleet_case.FleetCase):
    """One router in each of three data centres."""

    routers = 3

    async def command(self, *words, operator="operator.ini"):
        """Return exit code, stdout and stderr of the command."""
        path = str(self.fleet.folder / operator)
        prefix = [sys.executable, "-m", "amaranthring", "--operator", path]

        def run():
            return subprocess.run(
                [*prefix, *words],
                capture_output=True,
                text=True,
                timeout=30,
                check=False,
            )

        process = await self.blocking(run)
        self.assertNotIn("Traceback", process.stderr)
        return process.returncode, process.stdout, process.stderr

    async def assert_succeeds(self, *words):
        code, out, err = await self.command(*words)
        self.assertEqual((code, err), (0, ""), words)
        return out

    async def assert_fails(self, text, *words, code=1, **options):
        result = await self.command(*words, **options)
        self.assertEqual((result[0], result[1]), (code, ""), result)
        self.assertEqual(len(result[2].splitlines()), 1, result[2])
        self.assertIn(text, result[2])

    async def test_commands(self):
        await self.check_reads()
        await self.check_changes()
        await self.check_refusals()
        await self.check_explain()
        await self.check_address_in_use()

    async def check_reads(self):
        self.assertIn("confirmed by all 3", await self.confirmed_status())
        self.assertIn("in force", await self.assert_succeeds("preset", "list"))
        out = await self.assert_succeeds("target", "list")
        self.assertIn("6 ready", out)
        out = await self.assert_succeeds("keeper", "status")
        self.assertIn("1 more losses are safe", out)
        out = await self.assert_succeeds("account", "show", "vanua")
        self.assertIn("weight: 1", out)
        out = await self.assert_succeeds("status", "--json")
        self.assertEqual(json.loads(out)["in_force"], "ordinary")

    async def confirmed_status(self):
        """Return the status once all routers have confirmed the revision."""
        out = ""
        for _ in range(20):
            out = await self.assert_succeeds("status")
            if "NOT CONFIRMED" not in out:
                break
        return out

    async def check_changes(self):
        words = ("preset", "switch", "peak", "--command-id", "once-more-1")
        first = await self.assert_succeeds(*words, "--revision", "1")
        again = await self.assert_succeeds(*words, "--revision", "1")
        self.assertEqual(first, again)
        out = await self.assert_succeeds("target", "drain", "engine-1")
        self.assertIn("revision 3", out)
        out = await self.assert_succeeds("target", "list")
        self.assertIn("1 drained", out)
        await self.assert_succeeds("target", "undrain", "engine-1")
        preset = self.fleet.folder / "night.json"
        preset.write_text('{"load_bound": 1.4}')
        await self.assert_succeeds("preset", "put", "night", str(preset))
        out = await self.assert_succeeds("preset", "history")
        self.assertIn("preset-put night", out)

    async def check_refusals(self):
        await self.assert_fails("no such preset", "preset", "show", "none")
        await self.assert_fails("no such target", "target", "show", "none")
        await self.assert_fails("no such account", "account", "show", "x")
        stale = ("preset", "switch", "ordinary", "--revision", "1")
        await self.assert_fails("revision", *stale)
        bad = self.fleet.folder / "bad.json"
        bad.write_text('{"load_bound": 0.5}')
        await self.assert_fails("load_bound", "preset", "put", "bad", str(bad))
        token = self.fleet.folder / "wrong.token"
        token.write_text("operator not-the-token\n")
        token.chmod(0o600)
        good = (self.fleet.folder / "operator.ini").read_text()
        wrong = good.replace("operator.token", "wrong.token")
        (self.fleet.folder / "wrong.ini").write_text(wrong)
        await self.assert_fails(
            "operators only", "status", operator="wrong.ini"
        )

    async def check_explain(self):
        """Explain a request of one router through another router."""
        token = local_fleet.ACCOUNTS["vanua"]
        body = {"model": "m1", "messages": [{"role": "user", "content": "a"}]}

        def send():
            return local_fleet.http_request(
                "POST",
                self.fleet.callers_url("router-3") + "/v1/chat/completions",
                {"Authorization": f"Bearer {token}"},
                json.dumps(body).encode(),
            )

        _, response = await self.blocking(send)
        match = re.search(r"router-3\.[0-9a-f]+", response.decode())
        request_id = match.group()
        out = await self.assert_succeeds("explain", request_id)
        self.assertIn("candidates", out)
        self.assertIn("granted", out)
        self.assertIn("end=done", out)
        self.assertRegex(out, r"cell=\S+ load=1 in_flight=1 targets=3")
        await self.assert_fails("no decisions", "explain", "router-3.00")

    async def check_address_in_use(self):
        """Start a router whose address is already in use."""
        text = (self.fleet.folder / "router-1.ini").read_text()
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            path = self.fleet.folder / "busy.ini"
            path.write_text(
                re.sub(r"callers = .*", f"callers = {address}", text).replace(
                    "internal = 127.0.0.1:", "internal = 127.0.0.2:"
                )
            )
            await self.assert_fails(
                f"cannot listen on {address}",
                "router",
                "--settings",
                str(path),
            )
