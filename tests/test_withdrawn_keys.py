"""Client accounts that a plan leaves out, lists, or lists none of."""

import asyncio
import json
import signal
import time
import unittest
import uuid

from amaranthring import errors
from amaranthring import routing
from amaranthring.platform import control
from amaranthring.platform import documents
from amaranthring.platform import headers
from amaranthring.testing import scripted_target
from tests import platform_case

# Time in which a plan takes effect at all routers.
APPLY_SECONDS = 3.0
HELD = "key-alba"
# Values that are no list, and that Python takes for empty.
EMPTY_VALUES = (None, {}, "", 0, False)


def document(**fields):
    """Return a configuration; a field of the value ... is left out."""
    plan = platform_case.configuration(1) | fields
    return {name: value for name, value in plan.items() if value is not ...}


def encode(**fields):
    return json.dumps(document(**fields)).encode()


class TestDocuments(unittest.TestCase):
    """What a configuration says on the accounts of callers."""

    def needs_key(self, plan):
        return routing.RouteTable(plan).needs_key

    def test_empty_list_is_told_from_none(self):
        """Guards against a plan without accounts that admits everybody."""
        for decode in (documents.decode, documents.decode_acknowledged):
            self.assertTrue(self.needs_key(decode(encode())))
            self.assertTrue(self.needs_key(decode(encode(tenants=[]))))
            self.assertFalse(self.needs_key(decode(encode(tenants=...))))

    def test_accounts_without_keys_admit_nobody(self):
        """Guards against an account whose last key goes on working."""
        for account in (
            {"name": "alba"},
            {"name": "alba", "api_keys": []},
        ):
            plan = documents.decode(encode(tenants=[account]))
            table = routing.RouteTable(plan)
            self.assertTrue(table.needs_key)
            self.assertIsNone(table.account_of(HELD))

    def test_other_values_are_refused(self):
        """Guards against a value that opens all routes by mistake."""
        accepted = []
        account = {"name": "alba", "api_keys": [HELD]}
        for value in (*EMPTY_VALUES, True, 7, "alba", {"name": "alba"}):
            for fields in (
                {"tenants": value},
                {"tenants": [account | {"api_keys": value}]},
                {"routes": value},
                {"backends": value},
            ):
                try:
                    documents.decode(encode(**fields))
                    accepted.append(fields)
                except errors.InvalidPlanError:
                    continue
        self.assertEqual([], accepted)

    def test_plans_of_earlier_releases_are_read(self):
        """Guards against routers without a plan after an upgrade."""
        for value in EMPTY_VALUES:
            stored = encode(tenants=value)
            plan = documents.decode_acknowledged(stored)
            self.assertFalse(self.needs_key(plan))
            self.assertEqual(2, len(control.read_routes(stored).services))


class TestFleet(platform_case.PlatformCase):
    """Processes whose operator withdraws keys."""

    accounts = ...

    async def asyncSetUp(self):
        self.accounts = platform_case.configuration(1)["tenants"]
        await super().asyncSetUp()
        # Routers are ready before they have heard of a replica.
        async with asyncio.timeout(APPLY_SECONDS):
            while 503 in await self.statuses():  # noqa: ASYNC110
                await asyncio.sleep(0.05)

    def configuration(self):
        return document(version=self.version, tenants=self.accounts)

    async def status(self, router, key):
        """Return the status of one request, whose key may be None."""
        given = {} if key is None else {headers.AUTHORIZATION: f"Bearer {key}"}
        reader, writer = await asyncio.open_connection(
            self.ip(router), self.port
        )
        response = await scripted_target.send_on(
            reader,
            writer,
            "/a/x",
            "POST",
            **{
                headers.REQUEST_ID: uuid.uuid4().hex,
                headers.DEADLINE: "3000",
                platform_case.ROUTER: router,
                platform_case.SENT: repr(time.monotonic()),
            },
            **given,
        )
        writer.close()
        return response.status

    async def statuses(self):
        """Return the statuses of a known, of an unknown and of no key."""
        return [
            await self.status(router, key)
            for router in self.router_names
            for key in (HELD, "unknown", None)
        ]

    async def change(self, accounts):
        """Put accounts in force, and wait until all routers know."""
        self.accounts = accounts
        await self.configure()
        await asyncio.sleep(APPLY_SECONDS)

    async def test_withdrawn_keys_stay_withdrawn(self):
        """Guards against keys that work again once no account is listed."""
        self.assertEqual([200, 401, 401] * 2, await self.statuses())
        await self.change([])
        self.assertEqual([401] * 6, await self.statuses())
        for how in (signal.SIGTERM, signal.SIGKILL):
            await self.restart("keeper", how)
            for name in self.router_names:
                await self.restart(name, how)
            self.assertEqual([401] * 6, await self.statuses())
        await self.change(...)
        self.assertEqual([200] * 6, await self.statuses())
