"""Bad input from callers: each gets one typed answer, and nothing is lost."""

import asyncio
import json
import unittest

from amaranthring.testing import fake_dependencies
from amaranthring.testing import in_process_callers

BODY_MOST = 20_000
AUTHORIZED = f"Authorization: Bearer {fake_dependencies.TOKEN}\r\n"


class TestBadInput(unittest.IsolatedAsyncioTestCase):
    """One router with small bounds before an engine and a replica."""

    async def asyncSetUp(self):
        self.local = in_process_callers.Harness(
            body_bytes_most=BODY_MOST,
            header_bytes_most=4096,
            header_seconds=0.3,
            body_seconds=1.0,
        )
        self.addAsyncCleanup(self.local.close)
        self.engine = self.local.add_engine()
        self.replica = self.local.add_booking()
        self.router = self.local.add_router()

    def assert_refused(self, answer, status, code):
        """Check the typed form, and that nothing ran or is still counted."""
        error = json.loads(answer.body)["error"]
        self.assertEqual((answer.code, error["code"]), (status, code))
        self.assertEqual(answer.headers["Amaranthring-Outcome"], "not-run")
        self.assertEqual(error["outcome"], "not-run")
        name = answer.headers["Amaranthring-Request-Id"]
        self.assertEqual(error["request_id"], name)
        self.assertTrue(error["message"] and error["expected"])
        self.assertEqual((self.engine.runs, self.replica.received), ([], 0))
        self.assertEqual(self.router.fakes.needs.drain.in_flight, 0)

    async def raw_answer(self, data, rest=b""):
        """Send raw bytes and return all that comes until the close."""
        async with self.router.raw(data) as stream:
            if rest:
                await stream.write(rest)
            return await asyncio.wait_for(stream.read_until_close(), 20)

    async def test_body_that_is_no_chat(self):
        message = {"role": "user", "content": "x"}
        bad = [
            b"",
            b"{",
            b"[]",
            b"\xff\xfe",
            {"messages": [message]},
            {"model": "m1"},
            {"model": "m1", "messages": []},
            {"model": 7, "messages": [message]},
            {"model": "m1", "messages": [{"content": "x"}]},
            {"model": "m1", "messages": [message], "stream": "yes"},
            in_process_callers.chat_body(prompt_cache_key="x" * 300),
        ]
        for body in bad:
            with self.subTest(body):
                answer = await self.router.chat(body)
                self.assert_refused(answer, 400, "bad-request")

    async def test_unknown_model_service_path_and_method(self):
        answer = await self.router.chat(
            in_process_callers.chat_body(model="nix")
        )
        self.assert_refused(answer, 404, "not-found")
        answer = await self.router.post("/services/nix/x", {})
        self.assert_refused(answer, 404, "not-found")
        answer = await self.router.post("/v1/nix", {})
        self.assert_refused(answer, 404, "not-found")
        answer = await self.router.post("/v1/models", {})
        self.assert_refused(answer, 405, "method")

    async def test_unknown_account(self):
        for token in ("wrong", ""):
            answer = await self.router.post(
                "/v1/chat/completions", in_process_callers.chat_body(), token
            )
            self.assert_refused(answer, 401, "unauthenticated")

    async def test_malformed_headers(self):
        bad = [
            {"Amaranthring_Class": "nix"},
            {"Amaranthring_Deadline": "soon"},
            {"Amaranthring_Deadline": "-1"},
            {"Amaranthring_Deadline": "nan"},
        ]
        for headers in bad:
            with self.subTest(headers):
                answer = await self.router.chat(
                    in_process_callers.chat_body(), **headers
                )
                self.assert_refused(answer, 400, "bad-request")
        for key in ("two words", "x" * 256):
            answer = await self.router.post(
                "/services/booking/x",
                {},
                Idempotency_Key=key,
                Amaranthring_First_Send="1",
            )
            self.assert_refused(answer, 400, "bad-request")

    async def test_body_above_the_bound(self):
        """The answer must survive what is left of the body.

        A router that answers and closes on unread bytes resets the
        connection, and its caller sees no answer at all.
        """
        data = in_process_callers.raw_chat_request(
            in_process_callers.chat_body("x" * 400 * BODY_MOST)
        )
        async with self.router.raw(data) as stream:
            answer = await stream.read_until(b'"request_id"')
        self.assertIn(b" 413 ", answer.split(b"\r\n")[0])
        self.assertIn(b"too-large", answer)
        self.assertEqual(self.engine.runs, [])

    async def test_chunked_body_above_the_bound(self):
        head = (
            "POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\n"
            f"{AUTHORIZED}Transfer-Encoding: chunked\r\n\r\n"
        ).encode()
        chunk = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"
        answer = await self.raw_answer(head + chunk * 4 + b"0\r\n\r\n")
        self.assertIn(b" 413 ", answer.split(b"\r\n")[0])
        self.assertIn(b"too-large", answer)

    async def test_headers_above_the_bound(self):
        answer = await self.router.chat(
            in_process_callers.chat_body(), X_Long="x" * 5000
        )
        self.assert_refused(answer, 431, "headers-too-large")

    async def test_slow_headers_are_refused_while_idle_is_not(self):
        async with self.router.raw(b"") as idle:
            answer = await self.raw_answer(b"POST /v1/chat/comple")
            self.assertIn(b" 408 ", answer.split(b"\r\n")[0])
            self.assertIn(b"headers-late", answer)
            await idle.write(
                in_process_callers.raw_chat_request(
                    in_process_callers.chat_body()
                )
            )
            await idle.read_until(b"data: [DONE]")

    async def test_slow_body_is_refused(self):
        data = in_process_callers.raw_chat_request(
            in_process_callers.chat_body()
        )
        answer = await self.raw_answer(data[:-10])
        self.assertIn(b" 408 ", answer.split(b"\r\n")[0])
        self.assertIn(b"body-late", answer)
        self.assertEqual(self.engine.runs, [])

    async def test_caller_that_leaves_within_its_body(self):
        data = in_process_callers.raw_chat_request(
            in_process_callers.chat_body()
        )
        async with self.router.raw(data[:-10]):
            await in_process_callers.wait_until(
                lambda: self.router.fakes.needs.drain.in_flight
            )
        await in_process_callers.wait_until(
            lambda: not self.router.fakes.needs.drain.in_flight
        )

    async def test_connection_is_kept_alive_after_a_refusal(self):
        bad = in_process_callers.raw_chat_request(
            in_process_callers.chat_body(model="nix")
        )
        async with self.router.raw(bad) as stream:
            await stream.read_until(b"not-found")
            await stream.write(
                in_process_callers.raw_chat_request(
                    in_process_callers.chat_body()
                )
            )
            await stream.read_until(b"data: [DONE]")

    async def test_http_1_0_caller_gets_no_chunks(self):
        data = in_process_callers.raw_chat_request(
            in_process_callers.chat_body()
        ).replace(b"HTTP/1.1", b"HTTP/1.0")
        answer = await self.raw_answer(data)
        head, _, body = answer.partition(b"\r\n\r\n")
        self.assertNotIn(b"chunked", head)
        self.assertEqual(
            in_process_callers.parse_events(body)[-1].data, "[DONE]"
        )

    async def test_query_and_method_reach_the_service(self):
        answer = await self.router.client.fetch(
            f"http://127.0.0.1:{self.router.port}/services/booking/a/b?c=d",
            method="DELETE",
            headers={"Authorization": f"Bearer {fake_dependencies.TOKEN}"},
        )
        self.assertEqual(answer.code, 200)
        (run,) = self.replica.runs
        self.assertEqual((run["method"], run["path"]), ("DELETE", "/a/b"))
