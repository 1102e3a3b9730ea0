"""Answers that belong to no request, or to another one.

``ANSWERS_SEED`` chooses the random answers, ``ANSWERS_COUNT`` their number.
"""

import asyncio
import collections
import os
import random
import time
from unittest import mock

from amaranthring.registry import targets
from amaranthring.testing import scripted_target
from tests import test_forwarding

SEED = os.environ.get("ANSWERS_SEED", "1")
COUNT = int(os.environ.get("ANSWERS_COUNT", "300"))
TARGETS = 3
REFUSALS = (400, 421, 429, 503)
# Statuses that promise that the request has not run.
NOT_RUN = {408, 421, 429, 503}
PATHS = ("/a/x", "/b/x", "/d/x")


def answer(request_id, status=200, body=b"good", signed=True, refused=False):
    """Return the bytes of an answer; without an id if it is empty."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    if request_id:
        lines.append(f"{scripted_target.ID}: {request_id}")
    if signed:
        lines.append(f"{scripted_target.SIGNED}: yes")
    if refused:
        lines.append(f"{scripted_target.REFUSED}: 1")
    return "\r\n".join([*lines, "", ""]).encode() + body


def refusal(request_id, status=503):
    """Return the bytes of an answer that the request has not run."""
    return answer(request_id, status, b"", signed=False, refused=True)


class AnswersCase(test_forwarding.RouterCase):
    """Targets that run each request, and write what a script says."""

    async def begin_writing(self, script, count=TARGETS):
        """Start targets that keep connections.

        Parameters
        ----------
        script : callable
            Takes the id of the request and that of the one before on the
            connection; returns bytes, and whether it goes on listening.
        """
        self.script = script
        self.last_ids = {}
        await self.begin(*[self.write] * count)
        for target in self.targets:
            target.keep_alive = True

    async def write(self, seen, writer):
        request_id = seen.headers[scripted_target.ID]
        last_id = self.last_ids.get(writer, "")
        self.last_ids[writer] = request_id
        for part in self.script(request_id, last_id):
            if part is None:
                scripted_target.abort_connection(writer)
                return
            writer.write(part)
            await asyncio.sleep(0)

    async def ask_as(self, request_id, path="/b/x", **headers):
        """Send a request under an id."""
        return await self.ask(path, "POST", Test_Id=request_id, **headers)


class TestRefusals(AnswersCase):
    """Statements that a request has not run."""

    async def test_refusal_without_an_id_is_passed_over(self):
        """Guards against a booking that runs again for a stray refusal."""
        for status in REFUSALS:
            await self.begin_writing(
                lambda own, _, status=status: [
                    refusal("", status),
                    answer(own),
                ]
            )
            for number in range(4):
                got = await self.ask_as(f"id{number}")
                self.assertEqual((200, b"good"), (got.status, got.body))
            self.assertEqual(4, self.ran())

    async def test_late_refusal_of_an_earlier_request_is_passed_over(self):
        """Guards against a booking that ran and is answered as not run."""
        await self.begin_writing(
            lambda own, last: [refusal(last), None] if last else [answer(own)],
            count=1,
        )
        self.assertEqual(200, (await self.ask_as("id1")).status)
        got = await self.ask_as("id2")
        self.assertEqual(502, got.status)
        self.assertEqual(2, self.ran())

    async def test_foreign_refusal_alone_promises_nothing(self):
        """Guards against a second run after an answer to nobody."""
        await self.begin_writing(lambda *_: [refusal("other"), None])
        got = await self.ask_as("id1")
        self.assertEqual(502, got.status)
        self.assertEqual(1, self.ran())

    async def test_own_refusal_is_believed(self):
        """Guards against giving up what another target may run."""
        first = []

        def refuse_once(own, _):
            first.append(own)
            return [refusal(own) if len(first) == 1 else answer(own)]

        await self.begin_writing(refuse_once)
        self.assertEqual(200, (await self.ask_as("id1")).status)
        self.assertEqual(2, self.ran())


class TestReplacedTargets(AnswersCase):
    """Targets at whose addresses others answer."""

    async def test_stray_misdirection_removes_no_target(self):
        """Guards against sound targets that are lost for one wrong answer."""
        await self.begin_writing(
            lambda own, _: [refusal("", 421), answer(own)]
        )
        for number in range(2 * TARGETS):
            await self.ask_as(f"id{number}")
        ready = self.router.relay.placer.eligibility.ready("s")
        self.assertEqual(TARGETS, len(ready))

    async def test_target_that_is_still_announced_comes_back(self):
        """Guards against a target that one answer removes for good."""
        wrong = [True]

        def misdirect(own, _):
            return [refusal(own, 421) if wrong[0] else answer(own)]

        await self.begin_writing(misdirect, count=1)
        with mock.patch.object(targets, "REPLACED_SECONDS", 0.2):
            self.assertEqual(503, (await self.ask_as("id1")).status)
            wrong[0] = False
            self.assertEqual(503, (await self.ask_as("id2")).status)
            await asyncio.sleep(0.2)
            self.assertEqual(200, (await self.ask_as("id3")).status)


class TestRandomAnswers(AnswersCase):
    """Answers that are split, doubled, late, foreign or broken off."""

    async def test_nothing_of_others_counts(self):
        """Guards against second runs, false promises and foreign bytes."""
        self.rng = random.Random(SEED)
        self.really_run = collections.Counter()
        patch = mock.patch.object(targets, "REPLACED_SECONDS", 0.0)
        patch.start()
        self.addCleanup(patch.stop)
        await self.begin_writing(self.draw)
        for number in range(COUNT):
            path = self.rng.choice(PATHS)
            own = f"id{number}"
            # Targets that failed are tried all the same.
            self.router.relay.placer.views.clear()
            started_at = time.monotonic()
            got = await self.ask_as(own, path, Test_Patience="0.3")
            runs = self.really_run[own]
            what = f"seed {SEED}, request {number}, {path}, {got.status}"
            self.assertLess(time.monotonic() - started_at, 1.0, what)
            if got.status == 200 and got.complete:
                self.assertEqual(f"good {own}".encode(), got.body, what)
            if path == "/b/x":
                self.assertLessEqual(runs, 1, what)
            if got.status in NOT_RUN:
                self.assertEqual(0, runs, what)
        served = sum(self.really_run.values())
        self.assertLess(COUNT / 2, served)

    def draw(self, own, last):
        """Return random bytes, and note whether the request has run."""
        rng = self.rng
        others = ["", last, "other"]
        parts = [
            self.draw_foreign(rng.choice(others))
            for _ in range(rng.choice((0, 0, 1, 1, 2, 3)))
        ]
        refused = rng.random() < 0.1
        self.really_run[own] += not refused
        end = rng.random()
        if refused:
            parts.append(refusal(own, rng.choice(REFUSALS)))
        elif end < 0.6:
            parts.append(answer(own, body=f"good {own}".encode()))
        elif end < 0.7:
            parts.append(answer(own, 500, b"no"))
        elif end < 0.8:
            parts.append(answer(own, body=b"x" * 50)[: rng.randrange(1, 90)])
        data = b"".join(parts)
        if end > 0.9:
            data += self.draw_foreign(rng.choice(others))
        cut = rng.randrange(len(data) + 1)
        pieces = [data[:cut], data[cut:]]
        if refused or end < 0.7:
            return pieces
        return [*pieces, None]

    def draw_foreign(self, request_id):
        """Return an answer that is not the one to the request."""
        rng = self.rng
        kind = rng.random()
        if kind < 0.5:
            return refusal(request_id, rng.choice(REFUSALS))
        if kind < 0.9:
            return answer(request_id, rng.choice((200, 404, 500)), b"foreign")
        return bytes(rng.randrange(256) for _ in range(rng.randrange(40)))
