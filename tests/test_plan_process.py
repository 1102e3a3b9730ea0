"""How a keeper's process starts: the log first, HTTP meanwhile."""

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

LOADS = """
import json, sys
import amaranthring.platform.daemon
import amaranthring.platform.keeper
print(json.dumps(sorted(sys.modules)))
"""


def free_address():
    with socket.socket() as held:
        held.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{held.getsockname()[1]}"


def answers(_hub):
    async def answer(_call):
        return endpoints.Result(body=b"here")

    return answer


class TestKeeperProcess(unittest.IsolatedAsyncioTestCase):
    """A keeper with its control listener."""

    def made(self, control):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        address = free_address()
        place = keepers.Config(
            address, "here", [address], True, folder.name, 1.0
        )
        made = plan_keeper.KeeperProcess(
            place, control, free_address(), plan_keepers.KEYS, lambda: answers
        )
        self.addAsyncCleanup(made.stop)
        return made

    async def test_it_answers_once_all_is_loaded(self):
        control = free_address()
        made = self.made(control)
        await made.start()
        url = f"http://{control}/"
        got = await asyncio.to_thread(urllib.request.urlopen, url)
        self.assertEqual(b"here", got.read())

    async def test_address_that_is_taken_is_a_fault(self):
        control = free_address()
        held = listeners.listening(control)
        self.addCleanup(held[0].close)
        with self.assertRaises(errors.ListenError):
            await self.made(control).start()


class TestLoading(unittest.TestCase):
    """What a keeper loads before it takes part in the log."""

    def test_no_http_server_is_loaded_first(self):
        """All VMs lose power, and callers wait for a leader.

        Keepers run on a quarter of a core; what they load before they vote
        is time in which nobody is served.
        """
        done = subprocess.run(
            [sys.executable, "-c", LOADS], capture_output=True, check=True
        )
        loaded = json.loads(done.stdout)
        for name in ("tornado.httpserver", "http.client", "email", "asyncio"):
            with self.subTest(name=name):
                self.assertEqual(name == "asyncio", name in loaded)
