"""Chats through a router's way: whole answers, broken streams, leaving."""

import json
import unittest

from amaranthring.testing import engine
from amaranthring.testing import local


class TestStreamedChat(unittest.IsolatedAsyncioTestCase):
    """A streamed chat through one router, with up to two engines."""

    async def asyncSetUp(self):
        self.local = local.Local()
        self.addAsyncCleanup(self.local.close)
        self.engine = self.local.add_engine()

    def assert_whole(self, answer, body):
        """Check that `answer` is the whole answer to `body`, once."""
        events = local.events_of(answer.body)
        self.assertEqual(local.text_of(events), engine.expected_text(body))
        self.assertEqual(events[-1].data, engine.END)
        numbers = [event.number for event in events]
        self.assertEqual(numbers, list(range(body["max_tokens"] + 1)))

    async def test_stream_is_whole_and_says_ran(self):
        router = self.local.add_router()
        body = local.chat()
        answer = await router.chat(body)
        self.assert_whole(answer, body)
        self.assertEqual(answer.headers["Amaranthring-Outcome"], "ran")
        self.assertTrue(answer.headers["Amaranthring-Request-Id"])
        self.assertEqual(router.fakes.running["e1"], 0)

    async def test_whole_answer_in_json(self):
        router = self.local.add_router()
        body = local.chat(stream=False)
        answer = await router.chat(body)
        choice = json.loads(answer.body)["choices"][0]
        expected = engine.expected_text(body)
        self.assertEqual(choice["message"]["content"], expected)
