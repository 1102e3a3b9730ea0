"""Orders to targets: planning, fencing, limits and leader changes."""

import asyncio
import contextlib
import itertools
import json
import unittest

import tornado.httpserver
import tornado.testing
import tornado.web

from amaranthring import errors
from amaranthring.core import fleet
from amaranthring.core import records
from amaranthring.keepers import commands
from amaranthring.keepers import orders
from amaranthring.keepers import planner
from amaranthring.keepers import reconciler
from amaranthring.keepers import state_machine
from amaranthring.targets import orders as target_orders
from amaranthring.testing import fake_state

KINDS = commands.OrderKind


def engine(name, *serves, data_centre="a", role="mixed", **more):
    return records.Target(
        name,
        more.pop("incarnation", 1),
        records.TargetKind.ENGINE,
        more.pop("address", "127.0.0.1:1"),
        data_centre,
        "north",
        serves,
        role=role,
        **more,
    )


def not_blocked(*_):
    return ""


def planned(preset, targets, drained=(), busy=None, blocked=not_blocked):
    steps = planner.plan(preset, targets, drained, busy or {}, blocked)
    return [(step.target.name, str(step.kind), step.wanted) for step in steps]


class TestPlan(unittest.TestCase):
    """Planning of orders from the desired state."""

    def preset(self, **models):
        return fleet.Preset("p", desired_models=models)

    def test_missing_replicas_are_spread_over_data_centres(self):
        targets = [
            engine("e1", "m", data_centre="a"),
            engine("e2", data_centre="a"),
            engine("e3", data_centre="b"),
            engine("e4", data_centre="b"),
        ]
        steps = planned(self.preset(m=3), targets)
        self.assertEqual(len(steps), 2)
        self.assertIn("e2", [name for name, _, _ in steps])

    def test_no_orders_in_desired_state(self):
        targets = [engine("e1", "m"), engine("e2", "other")]
        self.assertEqual(planned(self.preset(m=1), targets), [])
        self.assertEqual(planned(fleet.Preset("p"), targets), [])

    def test_surplus_is_unloaded_only_without_pending_loads(self):
        targets = [engine(f"e{n}", "m") for n in range(3)]
        steps = planned(self.preset(m=1), targets)
        self.assertEqual([kind for _, kind, _ in steps], ["unload"] * 2)
        self.assertEqual(
            planned(self.preset(m=1), targets, busy={"x": "m"}), []
        )

    def test_drained_busy_and_blocked_targets_get_no_model(self):
        targets = [engine("e1"), engine("e2"), engine("e3")]
        steps = planned(
            self.preset(m=3),
            targets,
            {"e1"},
            {"e2": ""},
            lambda target, *_: "failed" if target.name == "e3" else "",
        )
        self.assertEqual(steps, [])

    def test_roles(self):
        preset = fleet.Preset("p", desired_roles={"e1": "prefill"})
        self.assertEqual(
            planned(preset, [engine("e1"), engine("e2")]),
            [("e1", "role", "prefill")],
        )


class TestOrders(unittest.TestCase):
    """Replicated order state: fencing numbers, load limits, attempts."""

    def setUp(self):
        self.machine = state_machine.StateMachine()
        self.stamp = 1000.0

    def apply(self, command):
        return self.machine.apply(
            1, self.stamp, fake_state.round_trip(command)
        )

    def begin(self, target, wanted="m", supersedes=0, **more):
        begin = commands.BeginOrder(
            target, 1, KINDS.LOAD, wanted, supersedes, **more
        )
        return self.apply(begin).fencing

    def end(self, fencing, done=False, **more):
        self.apply(commands.EndOrder(fencing, done, **more))

    def test_fencing_numbers_grow_across_snapshots(self):
        self.assertEqual(self.begin("e1"), 1)
        data = self.machine.snapshot()
        self.machine = state_machine.StateMachine()
        self.machine.restore(data)
        with self.assertRaises(errors.RefusedError):
            self.begin("e1")
        self.assertEqual(self.begin("e1", supersedes=1), 2)
        with self.assertRaises(errors.NotFoundError):
            self.end(1, True)
        self.end(2, True, seen=40)
        self.stamp += 3600
        self.assertEqual(self.begin("e1"), 41)

    def test_weight_store_limits(self):
        for number in range(4):
            self.begin(f"e{number}")
        with self.assertRaises(errors.RateLimitedError):
            self.begin("e5")
        for number in range(4):
            self.end(number + 1, True)
        self.begin("e5", loads_per_minute=5)
        with self.assertRaises(errors.RateLimitedError):
            self.begin("e6", loads_per_minute=5)
        self.stamp += 61
        self.begin("e6", loads_per_minute=5)

    def test_failures_of_model_are_bounded(self):
        # A model that cannot be loaded must not occupy the weight store
        # for ever.
        begun = 0
        for second in range(4 * 3600):
            self.stamp += 1
            if second % 10:
                continue
            for target in ("e1", "e2", "e3", "e4"):
                with contextlib.suppress(errors.RefusedError):
                    self.end(self.begin(target), detail="broken")
                    begun += 1
        self.assertEqual(begun, orders.MAX_MODEL_FAILURES)
        self.apply(fake_state.bootstrap())
        preset = fleet.Preset("ordinary", desired_models={"m": 1})
        self.apply(
            commands.PutPreset(
                preset, command_id="c" * 8, operator="ana", if_match=1
            )
        )
        self.begin("e1")

    def test_retry_backoff_and_attempt_limit(self):
        times = []
        while len(times) < orders.MAX_ATTEMPTS:
            self.stamp += 1
            with contextlib.suppress(errors.RefusedError):
                self.end(self.begin("e1"))
                times.append(self.stamp)
        pauses = [b - a for a, b in itertools.pairwise(times)]
        self.assertEqual(pauses, [30.0, 60.0])
        self.stamp += 7200
        with self.assertRaises(errors.RefusedError):
            self.begin("e1")


class OrdersHandler(tornado.web.RequestHandler):
    """Executes orders, or fails as configured by the test."""

    def initialize(self, target):
        self.target = target

    async def post(self):
        order = json.loads(self.request.body)
        if (
            self.target.checks_fencing
            and order["fencing"] < self.target.highest_fencing
        ):
            self.set_status(409)
            self.finish({"fencing": self.target.highest_fencing})
            return
        self.target.highest_fencing = max(
            self.target.highest_fencing, order["fencing"]
        )
        self.target.orders.append(order)
        await asyncio.sleep(self.target.delay_seconds)
        self.set_status(self.target.status)
        for name, value in self.target.headers.items():
            self.set_header(name, value)
        self.finish({})


class FakeTarget:
    """An engine on loopback that accepts orders."""

    def __init__(self, checks_fencing=True):
        self.checks_fencing = checks_fencing
        self.highest_fencing = 0
        self.orders = []
        self.status = 200
        self.headers = {}
        self.delay_seconds = 0.0
        app = tornado.web.Application(
            [("/v1/orders", OrdersHandler, {"target": self})],
            log_function=lambda _: None,
        )
        self.server = tornado.httpserver.HTTPServer(app)
        sock, port = tornado.testing.bind_unused_port()
        self.server.add_sockets([sock])
        self.address = f"127.0.0.1:{port}"

    def record(self, name, *serves):
        return engine(
            name, *serves, address=self.address, fencing=self.checks_fencing
        )


class TestReconciler(unittest.IsolatedAsyncioTestCase):
    """Leaders that send orders over HTTP."""

    async def asyncSetUp(self):
        self.group = fake_state.FakeGroup()
        self.group.apply(fake_state.bootstrap())
        self.leaders = []
        self.put_preset({"m": 1})

    def put_preset(self, models):
        book = self.group.machine.book
        self.group.apply(
            commands.PutPreset(
                fleet.Preset("ordinary", desired_models=models),
                command_id=f"command-{book.parts.revision}",
                operator="ana",
                if_match=book.parts.revision,
            )
        )

    async def asyncTearDown(self):
        for leader in self.leaders:
            leader.stop()

    def lead(self, targets, **more):
        lease = more.pop("lease", lambda: True)
        send = more.pop("send", target_orders.send)
        options = reconciler.Options(
            0.02, 0.0, more.pop("order_seconds", 5.0), 0.1, 0.0, **more
        )
        leader = reconciler.Reconciler(
            self.group.machine, self.group.propose, lease, send, options
        )
        leader.update_targets(commands.ReadyTargets("a", targets))
        leader.start()
        self.leaders.append(leader)
        return leader

    def states(self):
        rows = self.group.machine.orders.view()
        return [(row["fencing"], row["state"]) for row in rows]

    async def test_model_is_loaded_once(self):
        target = FakeTarget()
        self.put_preset({"org/m@2+adapter": 1})
        self.lead([target.record("e1")])
        await fake_state.wait_until(lambda: self.states() == [(1, "done")])
        self.assertEqual(
            target.orders,
            [
                {
                    "order": "1",
                    "kind": "load",
                    "fencing": 1,
                    "model": "org/m",
                    "version": "2",
                    "adapter": "adapter",
                }
            ],
        )

    async def test_target_that_asks_for_rest_gets_no_orders(self):
        """Guards against orders to a target that asked for rest."""
        target = FakeTarget()
        target.status = 503
        target.headers = {"Retry-After": "3000"}
        self.lead([target.record("e1")], order_seconds=0.1)
        await fake_state.wait_until(lambda: self.states() == [(1, "failed")])
        orders = self.group.machine.orders
        left = orders.busy_until["e1"] - self.group.machine.stamp
        self.assertAlmostEqual(3000.0, left, delta=5.0)

    async def test_fencing_number_behind_target_is_raised(self):
        # After data loss, the keepers' fencing numbers may be lower than
        # the last one that a target has seen.
        target = FakeTarget()
        target.highest_fencing = 500
        self.lead([target.record("e1")])
        await fake_state.wait_until(
            lambda: self.group.machine.orders.fencing == 500
        )
        self.assertEqual(self.states(), [(1, "failed")])
        self.assertEqual(target.orders, [])

    async def test_open_order_is_resent_with_higher_fencing_number(self):
        # A new leader cannot know whether an open order was sent. It sends
        # the order again, and a late copy of the first must be rejected.
        target = FakeTarget()
        record = target.record("e1")
        begin = commands.BeginOrder("e1", 1, KINDS.LOAD, "m")
        old = self.group.apply(begin).fencing
        self.lead([record], order_seconds=60.0)
        await fake_state.wait_until(lambda: (old + 1, "done") in self.states())
        body = target_orders.order_body("load", "m", old)
        late = await target_orders.send(record, body, lambda: None, 5.0)
        self.assertEqual((late.done, late.newer_fencing), (False, old + 1))
        self.assertEqual([o["fencing"] for o in target.orders], [old + 1])

    async def test_new_leader_waits_for_open_order_without_fencing(
        self,
    ):
        # Without fencing, an order of the previous leader that is still in
        # flight could be executed after a new one.
        target = FakeTarget(checks_fencing=False)
        begin = commands.BeginOrder("e1", 1, KINDS.LOAD, "m")
        old = self.group.apply(begin).fencing
        leader = self.lead([target.record("e1")], order_seconds=0.5)
        self.assertFalse(
            leader._can_resolve(self.group.machine.orders.open["e1"])
        )
        await fake_state.wait_until(lambda: (old + 1, "done") in self.states())
        self.assertGreaterEqual(leader.clock() - leader.leader_since, 0.6)

    async def test_frozen_leader_sends_nothing_after_lease(self):
        # Without fencing at the target, only the lease check keeps a leader
        # that was frozen after the commit from sending the order.
        target = FakeTarget(checks_fencing=False)
        lease = [True]
        connecting = asyncio.Event()

        async def freeze(record, body, check, seconds):
            connecting.set()
            lease[0] = False
            return await target_orders.send(record, body, check, seconds)

        self.lead([target.record("e1")], lease=lambda: lease[0], send=freeze)
        await connecting.wait()
        await fake_state.wait_until(lambda: self.states() == [(1, "failed")])
        self.assertEqual(target.orders, [])
        detail = self.group.machine.orders.view()[0]["detail"]
        self.assertIn("not sent", detail)

    async def test_last_replica_is_not_unloaded_on_stale_report(self):
        # While two of three replicas are being unloaded, reports still show
        # three; the last one must not be unloaded because of that.
        targets = [FakeTarget() for _ in range(3)]
        for target in targets:
            target.delay_seconds = 0.1
        self.lead([t.record(f"e{n}", "m") for n, t in enumerate(targets)])
        await fake_state.wait_until(lambda: len(self.states()) >= 2)
        await asyncio.sleep(0.5)
        ordered = [target.orders for target in targets]
        self.assertEqual(sum(map(len, ordered)), 2)
        self.assertIn([], ordered)

    async def test_loaded_replica_counts_before_it_is_reported(self):
        targets = [FakeTarget() for _ in range(3)]
        self.lead([t.record(f"e{n}") for n, t in enumerate(targets)])
        await fake_state.wait_until(lambda: self.states() == [(1, "done")])
        await asyncio.sleep(0.3)
        self.assertEqual(self.states(), [(1, "done")])

    async def test_failed_load_is_not_retried_at_once(self):
        target = FakeTarget()
        target.status = 500
        self.lead([target.record("e1")])
        await fake_state.wait_until(lambda: self.states() == [(1, "failed")])
        await asyncio.sleep(0.2)
        self.assertEqual(len(target.orders), 1)
        self.assertIn("500", self.group.machine.orders.view()[0]["detail"])

    async def test_no_order_while_previous_may_be_running(self):
        # A target that never answered may still be executing the order, so
        # it gets no other until the order timeout has passed again.
        target = FakeTarget(checks_fencing=False)
        target.delay_seconds = 60.0
        self.lead([target.record("e1")], order_seconds=0.2)
        await fake_state.wait_until(lambda: self.states() == [(1, "failed")])
        self.put_preset({"m": 1, "n": 1})
        await fake_state.wait_until(lambda: len(target.orders) == 2)
        second, first = self.group.machine.orders.view()
        self.assertGreaterEqual(second["began"] - first["ended"], 0.2)

    async def test_result_is_committed_after_quorum_returns(self):
        target = FakeTarget()
        target.delay_seconds = 0.2
        self.lead([target.record("e1", "x")])
        await fake_state.wait_until(lambda: len(target.orders) == 1)
        self.group.cut = True
        await asyncio.sleep(0.4)
        self.assertEqual(self.states(), [(1, "open")])
        self.group.cut = False
        await fake_state.wait_until(lambda: self.states() == [(1, "done")])
        self.assertEqual(len(target.orders), 1)

    async def test_slow_commit_of_a_result_ends_no_leader(self):
        """Guards against leaders that give no orders any more."""
        target = FakeTarget()
        leader = self.lead([target.record("e1")])
        propose = leader.propose

        async def propose_slowly(command, timeout):
            answer = None
            try:
                answer = await propose(command, timeout)
            finally:
                await asyncio.sleep(0.1)
            return answer

        leader.propose = propose_slowly
        await fake_state.wait_until(lambda: self.states() == [(1, "done")])
        await asyncio.sleep(0.5)
        self.assertFalse(leader.task.done())
        self.assertEqual({}, leader.uncommitted)

    async def test_order_to_unknown_target_fails(self):
        begin = commands.BeginOrder("e1", 1, KINDS.LOAD, "m")
        self.group.apply(begin)
        self.lead([], order_seconds=0.1)
        await fake_state.wait_until(lambda: self.states() == [(1, "failed")])
