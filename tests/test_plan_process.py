"""Start of a keeper process: consensus first, HTTP in the background."""

import asyncio
import json
import socket
import subprocess
import sys
import tempfile
import unittest
import urllib.request

from amaranthring import errors
from amaranthring import plan_keeper
from amaranthring.core import endpoints
from amaranthring.core import listeners
from amaranthring.registry import keeper as keepers
from amaranthring.testing import plan_keepers

LIST_MODULES_SCRIPT = """
import json, sys
import amaranthring.platform.daemon
import amaranthring.platform.keeper
print(json.dumps(sorted(sys.modules)))
"""


def free_address():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


def make_answer(_hub):
    async def answer(_call):
        return endpoints.Response(body=b"here")

    return answer


class TestKeeperProcess(unittest.IsolatedAsyncioTestCase):
    """A keeper with its control API."""

    def make_process(self, control):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        address = free_address()
        config = keepers.Config(
            address, "here", [address], True, folder.name, 1.0
        )
        process = plan_keeper.KeeperProcess(
            config,
            control,
            free_address(),
            plan_keepers.KEYS,
            lambda: make_answer,
        )
        self.addAsyncCleanup(process.stop)
        return process

    async def test_control_api_answers_after_start(self):
        control = free_address()
        process = self.make_process(control)
        await process.start()
        url = f"http://{control}/"
        response = await asyncio.to_thread(urllib.request.urlopen, url)
        self.assertEqual(b"here", response.read())

    async def test_address_in_use_fails(self):
        control = free_address()
        sockets = listeners.bind_sockets(control)
        self.addCleanup(sockets[0].close)
        with self.assertRaises(errors.ListenError):
            await self.make_process(control).start()


class TestImports(unittest.TestCase):
    """Modules imported before a keeper takes part in the consensus."""

    def test_http_server_is_not_imported_first(self):
        """Imports before the first vote delay the election after an outage."""
        done = subprocess.run(
            [sys.executable, "-c", LIST_MODULES_SCRIPT],
            capture_output=True,
            check=True,
        )
        loaded = json.loads(done.stdout)
        for name in ("tornado.httpserver", "http.client", "email", "asyncio"):
            with self.subTest(name=name):
                self.assertEqual(name == "asyncio", name in loaded)
