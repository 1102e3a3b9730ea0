"""The operators' HTTP API: tokens, validation, conflicts, lost answers."""

import json
import pathlib

import tornado.testing
import tornado.web

from amaranthring import errors
from amaranthring.core import hashing
from amaranthring.operators import base
from amaranthring.operators import handlers
from amaranthring.testing import fake_state

TOKEN = "operators-token-of-ana"


class TestOperators(tornado.testing.AsyncHTTPTestCase):
    """Two routers that use one group of keepers."""

    def get_app(self):
        self.group = fake_state.FakeGroup()
        self.group.apply(fake_state.bootstrap())
        routes = []
        for name in ("r1", "r2"):
            revisions, _ = fake_state.make_revisions(
                name, "dc1", self.group, {}
            )
            revisions.parts.apply(self.group.machine.config_since(0))
            revisions.current = revisions.parts.config()
            dependencies = base.Dependencies(
                {"ana": hashing.token_hash(TOKEN)},
                self.propose,
                self.query,
                revisions,
                {"r1": "dc1", "r2": "dc1"},
                lambda: [{"name": "e1", "state": "ready"}],
                change_keepers=self.change_keepers,
            )
            routes += [
                (f"/{name}{path}", handler, arguments)
                for path, handler, arguments in handlers.routes(dependencies)
            ]
        return tornado.web.Application(routes, log_function=lambda _: None)

    async def change_keepers(self, adding, keeper):
        self.keeper_change = (adding, keeper.name, keeper.address)

    async def propose(self, command, timeout):
        return await self.group.propose(command, timeout)

    async def query(self, message, timeout):
        return await self.group.query(message, timeout)

    def send(self, method, path, body=None, **headers):
        all_headers = {"Authorization": f"Bearer {TOKEN}"}
        names = {"id": "Amaranthring-Command-Id", "match": "If-Match"}
        all_headers |= {names.get(k, k): v for k, v in headers.items()}
        data = None if body is None else json.dumps(body)
        response = self.fetch(
            path,
            method=method,
            body=data,
            headers=all_headers,
            allow_nonstandard_methods=True,
            follow_redirects=False,
        )
        return response, json.loads(response.body)

    def switch(self, name, command_id, match, router="r1"):
        return self.send(
            "POST",
            f"/{router}/operators/switch",
            {"preset": name},
            id=command_id,
            match=match,
        )

    def test_requests_without_a_valid_token_are_refused(self):
        for token in ("", "Bearer wrong", "Basic x", "Bearer "):
            for path in ("/r1/operators/status", "/r1/operators/none"):
                response, body = self.send("GET", path, Authorization=token)
                self.assertEqual(response.code, 401)
                self.assertEqual(body["error"]["code"], "unauthenticated")

    def test_status_lists_unconfirmed_routers(self):
        _, body = self.send("GET", "/r1/operators/status")
        self.assertEqual(body["not_confirmed"], ["r1", "r2"])
        self.assertEqual(body["revision"], 1)

    def test_put_and_show_a_preset(self):
        response, body = self.send(
            "PUT",
            "/r1/operators/presets/sale",
            {"load_bound": 1.4, "accounts": {"big": {"weight": 3}}},
            id="command-1",
            match='"1"',
        )
        self.assertEqual((response.code, body["revision"]), (200, 2))
        response, body = self.send("GET", "/r2/operators/presets/sale")
        self.assertEqual(response.headers["ETag"], '"2"')
        self.assertEqual(body["preset"]["accounts"]["big"]["weight"], 3.0)

    def test_all_faults_of_a_preset_are_reported(self):
        preset = {"load_bound": 0.5, "retry": 1, "classes": {"a b": {}}}
        response, body = self.send(
            "PUT", "/r1/operators/presets/x", preset, id="command-1", match="1"
        )
        self.assertEqual(response.code, 400)
        for word in ("load_bound: given '0.5'", "retry", "classes"):
            self.assertIn(word, body["error"]["detail"])
        self.assertEqual(self.group.machine.book.parts.revision, 1)

    def test_example_presets_are_accepted(self):
        root = pathlib.Path(__file__).resolve().parent.parent
        paths = sorted((root / "examples" / "presets").glob("*.json"))
        self.assertEqual(len(paths), 3)
        for number, path in enumerate(paths):
            response, body = self.send(
                "PUT",
                f"/r1/operators/presets/{path.stem}",
                json.loads(path.read_text()),
                id=f"command-{number}",
                match=str(number + 1),
            )
            self.assertEqual(response.code, 200, body)

    def test_missing_and_malformed_headers(self):
        cases = (
            ({"id": "command-1"}, 428),
            ({"id": "command-1", "match": "*"}, 400),
            ({"match": "1"}, 400),
            ({"match": "1", "id": "short"}, 400),
        )
        for headers, code in cases:
            response, body = self.send(
                "POST", "/r1/operators/switch", {"preset": "peak"}, **headers
            )
            self.assertEqual(response.code, code, headers)
            self.assertEqual(body["error"]["outcome"], "not-run")

    def test_conflicting_changes_of_two_operators(self):
        # Both base their change on revision 1; the second is refused and gets
        # the current revision and preset.
        self.assertEqual(self.switch("peak", "command-1", "1")[0].code, 200)
        response, body = self.switch("ordinary", "command-2", "1", "r2")
        self.assertEqual(response.code, 412)
        self.assertEqual(response.headers["ETag"], '"2"')
        self.assertIn("preset peak", body["error"]["detail"])

    def test_lost_answer_is_unknown_and_resend_gets_it(self):
        # The command was accepted but its answer was lost, so the outcome must
        # not be ``not-run``. A resend through another router gets the answer.
        self.group.lost_replies = 1
        response, body = self.switch("peak", "command-1", "1")
        self.assertEqual(response.code, 503)
        self.assertEqual(body["error"]["outcome"], "unknown")
        self.assertIn("Retry-After", response.headers)
        self.assertIn("command-1", body["error"]["detail"])
        self.group.restart()
        response, body = self.switch("peak", "command-1", "1", "r2")
        self.assertEqual((response.code, body["revision"]), (200, 2))
        response, _ = self.switch("ordinary", "command-1", "1", "r2")
        self.assertEqual(response.code, 422)

    def test_operators_are_told_no_shorter_wait_than_is_needed(self):
        """Guards against a time to come back that is too short."""

        async def refuse(_command, _timeout):
            raise errors.NoQuorumError("no leader", retry_after=2.4)

        self.group.propose = refuse
        response, _ = self.switch("peak", "command-1", "1")
        self.assertEqual(
            (503, "3"), (response.code, response.headers["Retry-After"])
        )

    def test_without_keepers_changes_are_refused(self):
        self.group.cut = True
        response, body = self.switch("peak", "command-1", "1")
        self.assertEqual(
            (response.code, body["error"]["outcome"]), (503, "not-run")
        )
        _, body = self.send("GET", "/r1/operators/status")
        self.assertEqual((body["source"], body["revision"]), ("router", 1))
        response, _ = self.send("GET", "/r1/operators/presets/peak")
        self.assertEqual(response.headers["Amaranthring-Source"], "router")

    def test_account_tokens_are_replaced_and_never_shown(self):
        token = "a-token-of-the-account"
        for revision, body in ((1, {"tokens": [token]}), (2, {})):
            response, _ = self.send(
                "PUT",
                "/r1/operators/accounts/shop",
                body,
                id=f"command-{revision}",
                match=str(revision),
            )
            self.assertEqual(response.code, 200)
            response, shown = self.send("GET", "/r1/operators/accounts/shop")
            self.assertNotIn(hashing.token_hash(token), str(shown))
            self.assertEqual(len(shown["tokens"]), len(body))

    def test_tokens_that_no_header_can_carry_are_refused(self):
        """Guards against a token that is accepted and lets nobody in."""
        for token in (" a-token-of-the-account", "a-token-of-the-account\r\n"):
            response, _ = self.send(
                "PUT",
                "/r1/operators/accounts/shop",
                {"tokens": [token]},
                id="command-1",
                match="1",
            )
            self.assertEqual(response.code, 400)

    def test_token_of_another_account_is_refused(self):
        """Guards against callers that count as another account."""
        body = {"tokens": ["a-token-of-the-account"]}
        for name, command, match, status in (
            ("shop", "command-1", "1", 200),
            ("other", "command-2", "2", 400),
            ("shop", "command-3", "2", 200),
            # Again, as the answer may have been lost.
            ("shop", "command-1", "1", 200),
        ):
            response, _ = self.send(
                "PUT",
                f"/r1/operators/accounts/{name}",
                body,
                id=command,
                match=match,
            )
            self.assertEqual(response.code, status)

    def test_drain_and_undrain(self):
        path = "/r1/operators/targets/e1/drain"
        self.send("POST", path, {"reason": "disk"}, id="command-1", match="1")
        config = self.group.machine.book.parts.config()
        self.assertEqual(config.drained, {"e1": "disk"})
        path = "/r2/operators/targets/e1/undrain"
        self.send("POST", path, {}, id="command-2", match="2")
        config = self.group.machine.book.parts.config()
        self.assertEqual(config.drained, {})

    def test_change_of_keepers_is_validated_and_forwarded(self):
        path = "/r1/operators/keepers/add"
        body = {"name": "k4", "data_centre": "dc1", "address": "10.0.0.4:80"}
        response, _ = self.send("POST", path, body)
        self.assertEqual(response.code, 200)
        self.assertEqual(self.keeper_change, (True, "k4", "10.0.0.4:80"))
        for invalid in ({"name": "k4"}, body | {"address": "x"}, {}):
            response, _ = self.send("POST", path, invalid)
            self.assertEqual(response.code, 400)

    def test_views_and_unknown_names(self):
        self.switch("peak", "command-1", "1")
        _, body = self.send("GET", "/r1/operators/history?name=peak")
        changes = [row["change"] for row in body["history"]]
        self.assertEqual(changes, ["preset-put peak", "preset-switch peak"])
        for path in ("presets/none", "accounts/none", "targets/none", "x"):
            response, body = self.send("GET", f"/r1/operators/{path}")
            self.assertEqual(response.code, 404)
            self.assertEqual(body["error"]["code"], "not-found")
