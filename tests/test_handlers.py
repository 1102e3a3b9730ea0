"""Invalid input from callers: one typed error each, and nothing runs."""

import asyncio
import json
import unittest

from amaranthring.callers import codec
from amaranthring.core import hashing
from amaranthring.testing import fake_dependencies
from amaranthring.testing import in_process_callers

MAX_BODY_BYTES = 20_000
AUTHORIZED = f"Authorization: Bearer {fake_dependencies.TOKEN}\r\n"


class TestTokens(unittest.TestCase):
    """Tokens by which callers are known."""

    def test_token_is_read_as_it_was_set(self):
        """Guards against a token that is in force and lets nobody in."""
        config = fake_dependencies.Fakes().config
        for token in ("jeton-d'\u00e9t\u00e9-1234", "a token with blanks"):
            digest = hashing.token_hash(token)
            config.accounts["acme"].token_hashes.append(digest)
            sent = token.encode().decode("latin1")
            caller = codec.decode_caller(
                {"Authorization": f"Bearer {sent} "}, config, codec.Accounts()
            )
            self.assertEqual("acme", caller.account.name)


class TestInvalidInput(unittest.IsolatedAsyncioTestCase):
    """One router with small limits before an engine and a replica."""

    async def asyncSetUp(self):
        self.local = in_process_callers.Harness(
            body_bytes_most=MAX_BODY_BYTES,
            header_bytes_most=4096,
            header_seconds=0.3,
            body_seconds=1.0,
        )
        self.addAsyncCleanup(self.local.close)
        self.engine = self.local.add_engine()
        self.replica = self.local.add_booking()
        self.router = self.local.add_router()

    def assert_rejected(self, response, status, code):
        """Check the typed error, and that nothing ran or is in flight."""
        error = json.loads(response.body)["error"]
        self.assertEqual((response.code, error["code"]), (status, code))
        self.assertEqual(response.headers["Amaranthring-Outcome"], "not-run")
        self.assertEqual(error["outcome"], "not-run")
        name = response.headers["Amaranthring-Request-Id"]
        self.assertEqual(error["request_id"], name)
        self.assertTrue(error["message"] and error["expected"])
        self.assertEqual((self.engine.runs, self.replica.received), ([], 0))
        self.assertEqual(self.router.fakes.needs.drain.in_flight, 0)

    async def raw_response(self, data, rest=b""):
        """Send raw bytes and return everything received until the close."""
        async with self.router.raw(data) as stream:
            if rest:
                await stream.write(rest)
            return await asyncio.wait_for(stream.read_until_close(), 20)

    async def test_invalid_chat_bodies_are_rejected(self):
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
                response = await self.router.chat(body)
                self.assert_rejected(response, 400, "bad-request")

    async def test_unknown_model_service_path_and_method(self):
        response = await self.router.chat(
            in_process_callers.chat_body(model="nix")
        )
        self.assert_rejected(response, 404, "not-found")
        response = await self.router.post("/services/nix/x", {})
        self.assert_rejected(response, 404, "not-found")
        response = await self.router.post("/v1/nix", {})
        self.assert_rejected(response, 404, "not-found")
        response = await self.router.post("/v1/models", {})
        self.assert_rejected(response, 405, "method")

    async def test_unknown_account(self):
        for token in ("wrong", ""):
            response = await self.router.post(
                "/v1/chat/completions", in_process_callers.chat_body(), token
            )
            self.assert_rejected(response, 401, "unauthenticated")

    async def test_malformed_headers(self):
        bad = [
            {"Amaranthring_Class": "nix"},
            {"Amaranthring_Deadline": "soon"},
            {"Amaranthring_Deadline": "-1"},
            {"Amaranthring_Deadline": "nan"},
        ]
        for headers in bad:
            with self.subTest(headers):
                response = await self.router.chat(
                    in_process_callers.chat_body(), **headers
                )
                self.assert_rejected(response, 400, "bad-request")
        for key in ("two words", "x" * 256):
            response = await self.router.post(
                "/services/booking/x",
                {},
                Idempotency_Key=key,
                Amaranthring_First_Send="1",
            )
            self.assert_rejected(response, 400, "bad-request")

    async def test_too_large_body_gets_a_response(self):
        """The response must arrive although the body is not read whole.

        A router that responds and closes on unread bytes resets the
        connection, and its caller gets no response at all.
        """
        data = in_process_callers.raw_chat_request(
            in_process_callers.chat_body("x" * 400 * MAX_BODY_BYTES)
        )
        async with self.router.raw(data) as stream:
            response = await stream.read_until(b'"request_id"')
        self.assertIn(b" 413 ", response.split(b"\r\n")[0])
        self.assertIn(b"too-large", response)
        self.assertEqual(self.engine.runs, [])

    async def test_too_large_chunked_body_is_rejected(self):
        head = (
            "POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\n"
            f"{AUTHORIZED}Transfer-Encoding: chunked\r\n\r\n"
        ).encode()
        chunk = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"
        response = await self.raw_response(head + chunk * 4 + b"0\r\n\r\n")
        self.assertIn(b" 413 ", response.split(b"\r\n")[0])
        self.assertIn(b"too-large", response)

    async def test_too_large_headers_are_rejected(self):
        response = await self.router.chat(
            in_process_callers.chat_body(), X_Long="x" * 5000
        )
        self.assert_rejected(response, 431, "headers-too-large")

    async def test_slow_headers_are_rejected_but_idle_is_allowed(self):
        async with self.router.raw(b"") as idle:
            response = await self.raw_response(b"POST /v1/chat/comple")
            self.assertIn(b" 408 ", response.split(b"\r\n")[0])
            self.assertIn(b"headers-late", response)
            await idle.write(
                in_process_callers.raw_chat_request(
                    in_process_callers.chat_body()
                )
            )
            await idle.read_until(b"data: [DONE]")

    async def test_slow_body_is_rejected(self):
        data = in_process_callers.raw_chat_request(
            in_process_callers.chat_body()
        )
        response = await self.raw_response(data[:-10])
        self.assertIn(b" 408 ", response.split(b"\r\n")[0])
        self.assertIn(b"body-late", response)
        self.assertEqual(self.engine.runs, [])

    async def test_caller_that_disconnects_within_its_body(self):
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

    async def test_connection_is_kept_alive_after_an_error(self):
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

    async def test_http_1_0_response_is_not_chunked(self):
        data = in_process_callers.raw_chat_request(
            in_process_callers.chat_body()
        ).replace(b"HTTP/1.1", b"HTTP/1.0")
        response = await self.raw_response(data)
        head, _, body = response.partition(b"\r\n\r\n")
        self.assertNotIn(b"chunked", head)
        self.assertEqual(
            in_process_callers.parse_events(body)[-1].data, "[DONE]"
        )

    async def test_query_and_method_reach_the_service(self):
        response = await self.router.client.fetch(
            f"http://127.0.0.1:{self.router.port}/services/booking/a/b?c=d",
            method="DELETE",
            headers={"Authorization": f"Bearer {fake_dependencies.TOKEN}"},
        )
        self.assertEqual(response.code, 200)
        (run,) = self.replica.runs
        self.assertEqual((run["method"], run["path"]), ("DELETE", "/a/b"))
