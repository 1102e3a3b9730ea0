"""Retries and leader discovery of the keeper client."""

import asyncio
import math
import unittest

import tornado.testing

from amaranthring import errors
from amaranthring import settings
from amaranthring.core import links
from amaranthring.keepers import client
from amaranthring.keepers import messages
from amaranthring.testing import keeper
from amaranthring.testing import keeper_processes


class TestKeeperClient(unittest.IsolatedAsyncioTestCase):
    """A client of three keepers with scripted answers."""

    async def asyncSetUp(self):
        self.asked = []
        self.servers = {}
        self.silent = set()
        peers = []
        self.answers = {}
        for name in ("k1", "k2", "k3"):
            handlers = links.Handlers()
            handlers.add(messages.Propose, self.answer_of(name))
            handlers.add(messages.Ping, self.pong_of(name))
            server = links.LinkServer(
                links.Identity(name, "keeper", "dc"),
                keeper_processes.KEYS,
                handlers,
            )
            sock, port = tornado.testing.bind_unused_port()
            server.add_sockets([sock])
            self.addCleanup(server.close_all)
            self.servers[name] = server
            address = f"127.0.0.1:{port}"
            peers.append(
                settings.PeerAddress(
                    name=name, data_centre="dc", address=address
                )
            )
        identity = links.Identity("r1", "router", "dc")
        self.client = client.KeeperClient(
            "g", peers, identity, keeper_processes.KEYS
        )
        self.client.start()
        self.addCleanup(self.client.stop)
        diallers = self.client.diallers.values()
        await keeper_processes.wait_until(
            lambda: all(d.link for d in diallers)
        )
        self.client.leader = "k1"

    def answer_of(self, name):
        async def answer(link, message):
            self.asked.append(name)
            scripted = self.answers[name]
            if scripted is None:
                await asyncio.sleep(30)
            if scripted == "close":
                link.close()
                return None
            if isinstance(scripted, Exception):
                raise scripted
            return scripted

        return answer

    def pong_of(self, name):
        async def pong(link, message):
            if name in self.silent:
                await asyncio.sleep(30)
            return message

        return pong

    async def test_command_is_not_sent_on_unresponsive_link(self):
        # A command left in the connection would be committed after the
        # partition, although its caller was told that it did not run.
        self.answers = dict.fromkeys(("k1", "k2", "k3"), keeper.Value("1"))
        self.silent = {"k1"}
        await self.client.propose(keeper.Set("a", "1"), 5)
        self.assertNotIn("k1", self.asked)
        self.silent = {"k1", "k2", "k3"}
        self.client.last_heard.clear()
        self.asked.clear()
        with self.assertRaises(errors.NoQuorumError) as caught:
            await self.client.propose(keeper.Set("a", "1"), 1)
        self.assertEqual(caught.exception.outcome, errors.Outcome.NOT_RUN)
        self.assertEqual(self.asked, [])

    async def test_follows_leader_hint(self):
        refusal = errors.NotLeaderError("x", given="k1", expected="k3")
        self.answers = {"k1": refusal, "k3": keeper.Value("1")}
        reply = await self.client.propose(keeper.Set("a", "1"), 5)
        self.assertEqual(reply.value, "1")
        self.assertEqual(self.asked, ["k1", "k3"])

    async def test_non_idempotent_command_is_sent_once(self):
        # If only the answer is lost, a retry would apply the command twice.
        self.answers = dict.fromkeys(("k2", "k3"), keeper.Value("1"))
        for lost in ("close", errors.CommitUnknownError("x"), None):
            self.asked.clear()
            self.client.leader = "k1"
            self.client.last_heard["k1"] = math.inf
            self.answers["k1"] = lost
            with self.assertRaises(errors.CommitUnknownError):
                await self.client.propose(keeper.Set("a", "1"), 0.5)
            self.assertEqual(self.asked, ["k1"])
            dialler = self.client.diallers["k1"]
            await keeper_processes.wait_until(lambda d=dialler: d.link)

    async def test_idempotent_command_is_retried(self):
        self.answers = dict.fromkeys(("k2", "k3"), keeper.Value("1"))
        self.answers["k1"] = "close"
        reply = await self.client.propose(keeper.Add("c1"), 5)
        self.assertEqual(reply.value, "1")
        self.assertEqual(len(self.asked), 2)

    async def test_rejection_by_state_machine_is_not_retried(self):
        refusal = errors.RevisionConflictError("x", given="1", expected="2")
        self.answers = {"k1": refusal}
        with self.assertRaises(errors.RevisionConflictError):
            await self.client.propose(keeper.Set("a", "1"), 5)
        self.assertEqual(self.asked, ["k1"])

    async def test_timeout_without_leader_is_not_run(self):
        refusal = errors.NoQuorumError("x")
        self.answers = dict.fromkeys(("k1", "k2", "k3"), refusal)
        with self.assertRaises(errors.NoQuorumError) as caught:
            await self.client.propose(keeper.Set("a", "1"), 0.5)
        self.assertEqual(caught.exception.outcome, errors.Outcome.NOT_RUN)
        self.assertEqual(set(self.asked), {"k1", "k2", "k3"})

    async def test_partitioned_router_fails_fast(self):
        """A router that reaches only one of three keepers fails fast.

        Calls must not run into their timeout with an unknown outcome, and
        must succeed again after the partition.
        """
        self.answers = {
            "k1": messages.Members(),
            "k3": errors.NoQuorumError("no leader"),
        }
        self.partition("k1", "k2")
        command = messages.Members()
        loop = asyncio.get_running_loop()
        began = loop.time()
        while loop.time() - began < client.LEADERLESS_SECONDS:
            with self.assertRaises(errors.NoQuorumError):
                await self.client.propose(command, 5.0, False)
        self.asked.clear()
        began = loop.time()
        with self.assertRaises(errors.NoQuorumError) as caught:
            await self.client.propose(command, 5.0, False)
        self.assertLess(loop.time() - began, 1.0)
        self.assertEqual(caught.exception.outcome, errors.Outcome.NOT_RUN)
        self.assertEqual(set(self.asked), {"k3"})
        self.heal()
        dialler = self.client.diallers["k1"]
        await keeper_processes.wait_until(lambda: dialler.link)
        for name in ("k2", "k3"):
            # Either link may be the first to be reconnected.
            self.answers[name] = errors.NotLeaderError("k1", expected="k1")
        done = await self.client.propose(command, 5.0, False)
        self.assertEqual(done, messages.Members())

    def partition(self, *names):
        """Drop all answers of `names`, also on new connections."""
        self.silent.update(names)
        for name in names:
            self.servers[name].handle_stream = self.hang

    def heal(self):
        for name in self.silent:
            del self.servers[name].handle_stream
        self.silent.clear()

    async def hang(self, stream, _address):
        await keeper_processes.wait_until(lambda: not self.silent)
        stream.close()
