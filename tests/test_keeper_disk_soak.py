"""Random faults of keepers with slow disks, as processes, by seed.

``KEEPER_SOAK_SEED`` chooses the series, ``KEEPER_SOAK_SECONDS`` its length,
``KEEPER_SOAK_KEEPERS`` and ``KEEPER_SOAK_ROUTERS`` the size. The final fault
and the time of a sync after it come from the seed, unless
``KEEPER_SOAK_FINAL`` and ``KEEPER_SOAK_SYNC`` (seconds) name them. With
``KEEPER_SOAK_FOLDERS=1`` syncs of folders take as long as those of files.
With ``KEEPER_SOAK_AT_ONCE=8`` that many changes are in progress from before
the final fault, which then also finds disks slow, to its end; the final fault
``wipe`` has to be named. Logs stay in ``KEEPER_SOAK_KEEP``, if it names a
folder.
"""

import asyncio
import os
import pathlib
import random
import tempfile
import time
import unittest

from amaranthring.testing import keeper_logs
from amaranthring.testing import operator_calls
from amaranthring.testing import plan_changes
from amaranthring.testing import slow_disks
from amaranthring.testing import soak_fleet

SEED = os.environ.get("KEEPER_SOAK_SEED", "3")
SECONDS = float(os.environ.get("KEEPER_SOAK_SECONDS", "6"))
KEEPERS = int(os.environ.get("KEEPER_SOAK_KEEPERS", "3"))
ROUTERS = int(os.environ.get("KEEPER_SOAK_ROUTERS", "7"))
FINAL = os.environ.get("KEEPER_SOAK_FINAL", "")
SYNC = os.environ.get("KEEPER_SOAK_SYNC", "")
FOLDERS = os.environ.get("KEEPER_SOAK_FOLDERS", "") == "1"
AT_ONCE = int(os.environ.get("KEEPER_SOAK_AT_ONCE", "0"))
KEEP = os.environ.get("KEEPER_SOAK_KEEP", "")
# Disks that may be lost in one series, by the number of keepers.
LOST_DISKS = {3: 1, 6: 2}
START_SECONDS = 20.0
# Bounds of the users' rules.
RECOVER_SECONDS = 12.0
STABLE_SECONDS = 3.0
ACK_SECONDS = 4.0
APPLY_SECONDS = 2.0
# Longest syncs for which recovery, and acknowledgements, have their bounds.
SYNC_SECONDS = (0.005, 0.05, 0.1, 0.15, 0.2, 0.3, 0.45, 0.6)
ACK_SYNC_SECONDS = 0.2
CALM_SECONDS = 6.0
# Changes while a keeper is away: its place in the log is compacted away.
LAG_CHANGES = 80
LAG_SECONDS = 10.0
# Changes of one of the operators around the final fault.
CROWD_CHANGES = 1000
CROWD_SECONDS = 15.0
TAIL_LINES = 12
DELAY_SAMPLE_SECONDS = 0.02


class TestSlowDisks(unittest.IsolatedAsyncioTestCase):
    """Keepers that lose power, disks and links while plans change."""

    async def asyncSetUp(self):
        # Debug mode slows the relays, which share this loop, several times.
        asyncio.get_running_loop().set_debug(False)
        self.rng = random.Random(SEED)
        # Drawn from in an order that depends on timing.
        self.details = random.Random(f"details {SEED}")
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        if KEEP:
            self.folder = pathlib.Path(KEEP) / f"{KEEPERS}-{SEED}"
            self.folder.mkdir(parents=True)
        groups = [1, 1, ROUTERS - 2]
        self.fleet = soak_fleet.Fleet(self.folder, KEEPERS, groups, FOLDERS)
        self.operators = plan_changes.Operators(
            self.fleet.controls, random.Random(f"operators {SEED}")
        )
        self.steps = []
        self.disks_left = LOST_DISKS[KEEPERS]
        self.began_at = time.time()
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start()

    async def test_plan_is_kept_and_comes_back(self):
        """Faults overlap; then all run, with disks that stay slow.

        Nothing acknowledged is lost, a plan is read within the bound, and a
        leader stays.
        """
        first = plan_changes.Operators.change_many
        async with asyncio.timeout(START_SECONDS):
            await first(self.operators, 1, START_SECONDS)
        callers = [
            asyncio.ensure_future(call())
            for call in (
                self.operators.change_often,
                self.operators.change_often,
                self.operators.read_often,
            )
        ]
        await self.inject_faults()
        self.operators.calm = True
        sync_seconds, final, most = await self.inject_final_fault()
        last_fault_at = time.time()
        due = last_fault_at + RECOVER_SECONDS
        recovered = await self.read_until(due, "after the last fault")
        calm_at = last_fault_at + STABLE_SECONDS * (2 if most else 1)
        await asyncio.sleep(max(0.0, calm_at - time.time()))
        # The first read may have been answered by a leader that the last
        # fault deposed afterwards.
        await self.read_until(max(due, time.time() + 1), "in a calm time")
        calm_end = time.time() + CALM_SECONDS
        late = await self.worst_delay(CALM_SECONDS)
        await self.read_until(calm_end + STABLE_SECONDS, "at the end")
        self.operators.running = False
        await asyncio.gather(*callers)
        lines = keeper_logs.read(self.fleet.logs)
        self.check_safety(lines)
        self.check_leader(lines, calm_at)
        self.check_changes(calm_at, calm_end, sync_seconds)
        self.check_routers(lines, calm_at, calm_end)
        self.note(f"relays were late by {late:.3f} s in the calm time")
        stood = keeper_logs.worst_delay(lines, calm_at)
        self.note(f"keepers' loops were late by {stood} s in it at most")
        self.report(lines, last_fault_at, recovered, (sync_seconds, final))

    async def worst_delay(self, seconds):
        """Return how late this loop, and so the relays, was at worst."""
        worst = 0.0
        end = time.monotonic() + seconds
        while (now := time.monotonic()) < end:
            await asyncio.sleep(DELAY_SAMPLE_SECONDS)
            late = time.monotonic() - now - DELAY_SAMPLE_SECONDS
            worst = max(worst, late)
        return worst

    # -- faults ----------------------------------------------------------

    def note(self, step):
        self.steps.append(f"{time.time() - self.began_at:6.2f} s {step}")

    async def inject_faults(self):
        """Start a fault now and then; return when all have ended."""
        faults = []
        end = time.monotonic() + SECONDS
        kinds = (
            [self.restart] * 4
            + [self.freeze, self.silence, self.cut] * 2
            + [self.slow_disk] * 4
            + [self.lag, self.lose_power, self.lose_disk, self.restart_routers]
        )
        while time.monotonic() < end:
            await asyncio.sleep(self.rng.uniform(0.2, 1.5))
            fault = self.rng.choice(kinds)
            faults.append(asyncio.ensure_future(fault()))
        await asyncio.gather(*faults)

    def take(self, count=1):
        """Return up to `count` keepers that no fault concerns, now taken."""
        free = [n for n in self.fleet.names if n not in self.fleet.busy]
        names = self.details.sample(free, min(count, len(free)))
        self.fleet.busy.update(names)
        return names

    async def bring_back(self, names, seconds):
        """Start keepers again after `seconds` and give them free."""
        await asyncio.sleep(seconds)
        for name in names:
            self.fleet.restart_keeper(name)
            self.note(f"{name} starts")
        self.fleet.busy.difference_update(names)

    async def restart(self):
        for name in self.take():
            how = self.details.choice(("ends", "is killed", "loses power"))
            self.note(f"{name} {how}")
            if how == "ends":
                await self.fleet.terminate(name)
            elif how == "is killed":
                self.fleet.kill([name])
            else:
                self.fleet.lose_power([name], self.details)
            await self.bring_back([name], self.details.uniform(0.1, 2.5))

    async def freeze(self):
        for name in self.take():
            seconds = self.details.uniform(0.1, 3.0)
            self.note(f"{name} stands still for {seconds:.2f} s")
            self.fleet.processes[name].pause()
            await asyncio.sleep(seconds)
            self.fleet.processes[name].resume()
            self.fleet.busy.discard(name)

    async def silence(self):
        share = self.details.choice((0.3, 1.0))
        self.note(f"open connections go silent, share {share}")
        for relay in self.fleet.relays.values():
            if self.details.random() < share:
                relay.silence()

    async def cut(self):
        one, other = self.details.sample(self.fleet.names, 2)
        relays = self.fleet.links_between(one, other)
        if self.details.random() < 0.5:
            relays, other = self.fleet.links_of(one), "all"
        seconds = self.details.uniform(0.3, 4.0)
        self.note(f"{one} cut from {other} for {seconds:.2f} s")
        for relay in relays:
            relay.block()
        await asyncio.sleep(seconds)
        for relay in relays:
            relay.heal()

    async def slow_disk(self):
        names = self.fleet.names
        if self.details.random() < 0.5:
            names = [self.details.choice(names)]
        seconds = self.details.uniform(0.5, 4.0)
        mode = self.random_mode(seconds)
        self.note(f"disk of {','.join(names)} for {seconds:.2f} s: {mode}")
        self.fleet.set_disks(names, mode)
        await asyncio.sleep(seconds)
        self.fleet.set_disks(names, slow_disks.Mode())
        if mode.full:
            self.restart_ended(names)

    def restart_ended(self, names):
        """Start keepers again that ended as their new folder was full."""
        ended = set(names) & set(self.fleet.ended()) - self.fleet.busy
        for name in sorted(ended):
            self.note(f"{name} ended by its full disk and starts again")
            self.fleet.start_keeper(name)

    def random_mode(self, seconds):
        high = self.details.choice(SYNC_SECONDS)
        return self.details.choice(
            (
                slow_disks.Mode(high, high),
                slow_disks.Mode(0.0, 2 * high),
                slow_disks.Mode(stalled_until=time.monotonic() + seconds),
                slow_disks.Mode(full=True),
            )
        )

    async def lag(self):
        """Restart a keeper that lacks a snapshot while another is away."""
        names = self.take(2)
        if len(names) < 2:
            self.fleet.busy.difference_update(names)
            return
        lagging, away = names
        self.note(f"{lagging} is away for {LAG_CHANGES} changes")
        self.fleet.kill([lagging])
        await self.operators.change_many(LAG_CHANGES, LAG_SECONDS)
        self.note(f"{away} is away, {lagging} is needed")
        self.fleet.kill([away])
        await self.bring_back([lagging], 0.0)
        await self.bring_back([away], self.details.uniform(0.5, 3.0))

    async def lose_power(self):
        names = self.take(KEEPERS)
        self.note(f"{','.join(names)} and the routers lose power")
        self.fleet.lose_power(names, self.details)
        self.fleet.kill(list(self.fleet.router_groups))
        await self.bring_back(names, self.details.uniform(0.1, 1.0))
        for name in self.fleet.router_groups:
            self.fleet.start_router(name)

    async def lose_disk(self):
        if not self.disks_left:
            return
        for name in self.take():
            self.disks_left -= 1
            self.note(f"{name} loses its disk")
            self.fleet.kill([name])
            self.fleet.lose_disk(name)
            await self.bring_back([name], self.details.uniform(0.1, 1.0))

    async def restart_routers(self):
        self.note("routers restart")
        self.fleet.kill(list(self.fleet.router_groups))
        for name in self.fleet.router_groups:
            self.fleet.start_router(name)

    # -- the final fault -------------------------------------------------

    async def inject_final_fault(self):
        """Return the time of a sync, the fault, and if it took most."""
        sync_seconds = float(SYNC or self.rng.choice(SYNC_SECONDS))
        mode = slow_disks.Mode(sync_seconds, sync_seconds)
        if self.rng.random() < 0.3:
            mode.low = 0.0
        finals = {
            "power": self.final_power,
            "lag": self.final_lag,
            "silence": self.final_silence,
            "restart": self.final_restart,
        }
        final = FINAL or self.rng.choice(list(finals))
        finals["wipe"] = self.final_wipe
        crowd = []
        if AT_ONCE:
            self.fleet.set_disks(self.fleet.names, mode)
            crowd = [
                asyncio.ensure_future(
                    self.operators.change_many(CROWD_CHANGES, CROWD_SECONDS)
                )
                for _ in range(AT_ONCE)
            ]
            await asyncio.sleep(self.details.uniform(0.5, 1.5))
        self.operators.changed.clear()
        try:
            async with asyncio.timeout(RECOVER_SECONDS):
                await self.operators.changed.wait()
        except TimeoutError:
            self.operators.problems.append(
                f"no change within {RECOVER_SECONDS} s of the series"
            )
        self.note(f"final: {final}, then syncs of {mode.low}, {mode.high} s")
        await finals[final](mode)
        for change in crowd:
            change.cancel()
        self.note("all run")
        return sync_seconds, final, final in ("power", "restart")

    async def final_power(self, mode):
        """All lose power; as many disks as may be lost are lost."""
        self.fleet.set_disks(self.fleet.names, mode)
        lost = self.details.sample(self.fleet.names, self.disks_left)
        self.note(f"all lose power, {lost} their disks")
        self.fleet.lose_power(self.fleet.names, self.details)
        self.fleet.kill(list(self.fleet.router_groups))
        for name in lost:
            self.fleet.lose_disk(name)
        await self.bring_back(self.fleet.names, self.details.uniform(0.1, 1.0))
        for name in self.fleet.router_groups:
            self.fleet.start_router(name)

    async def final_wipe(self, mode):
        """As many disks as may be lost are lost while the others run on."""
        self.fleet.set_disks(self.fleet.names, mode)
        lost = self.details.sample(self.fleet.names, self.disks_left)
        self.note(f"{lost} lose their disks")
        self.fleet.kill(lost)
        for name in lost:
            self.fleet.lose_disk(name)
        await self.bring_back(lost, self.details.uniform(0.1, 1.0))

    async def final_lag(self, mode):
        """Restart a keeper that lacks a snapshot, and all routers."""
        lagging, away = self.details.sample(self.fleet.names, 2)
        self.note(f"{lagging} is away for {LAG_CHANGES} changes")
        self.fleet.kill([lagging])
        await self.operators.change_many(LAG_CHANGES, LAG_SECONDS)
        self.fleet.set_disks(self.fleet.names, mode)
        self.fleet.kill([away])
        if self.disks_left:
            self.note(f"{away} loses its disk")
            self.fleet.lose_disk(away)
        self.fleet.kill(list(self.fleet.router_groups))
        await self.bring_back([lagging, away], self.details.uniform(0.1, 0.5))
        for name in self.fleet.router_groups:
            self.fleet.start_router(name)

    async def final_restart(self, mode):
        """Kill all keepers at the same moment."""
        self.fleet.set_disks(self.fleet.names, mode)
        self.fleet.kill(self.fleet.names)
        await self.bring_back(self.fleet.names, self.details.uniform(0.1, 1.0))

    async def final_silence(self, mode):
        """Let open connections go silent twice, as a restart ends some."""
        self.fleet.set_disks(self.fleet.names, mode)
        await self.silence()
        await asyncio.sleep(self.details.uniform(0.5, 2.5))
        if self.details.random() < 0.5:
            await self.restart()
        await self.silence()

    async def read_until(self, due, when):
        """Return the seconds until a plan is read; it must be by `due`."""
        operator = operator_calls.Operator(self.fleet.controls)
        began = time.time()
        answered = False
        while not answered and time.time() < due:
            for address in self.fleet.controls:
                answered = await self.operators.read(operator, address)
                if answered:
                    break
            await asyncio.sleep(0.05)
        operator.close_all()
        seconds = round(time.time() - began, 2)
        if not answered:
            self.operators.problems.append(f"no plan read {when}: {seconds} s")
        return seconds

    # -- checks ----------------------------------------------------------

    def check_safety(self, lines):
        problems = self.operators.problems
        for term, names in keeper_logs.double_leaders(lines).items():
            problems.append(f"term {term} has leaders {sorted(names)}")
        for (name, term), given in keeper_logs.double_votes(lines).items():
            problems.append(f"{name} voted in term {term} for {sorted(given)}")
        for name in self.fleet.ended():
            problems.append(f"{name} has ended by itself")

    def check_leader(self, lines, calm_at):
        for line in lines:
            if (
                line.event == "keeper.steps-down"
                and line.fields.get("reason") == "lost-its-quorum"
                and line.at > calm_at
            ):
                self.operators.problems.append(
                    f"{line.source} lost its quorum in a calm time"
                )

    def check_changes(self, calm_at, calm_end, sync_seconds):
        if sync_seconds > ACK_SYNC_SECONDS:
            return
        calm = [c for c in self.operators.acknowledged if c.sent_at > calm_at]
        if not calm:
            self.operators.problems.append("no change in the calm time")
        for change in calm:
            seconds = change.acked_at - change.sent_at
            if seconds > ACK_SECONDS:
                self.operators.problems.append(
                    f"change {change.version} took {seconds:.1f} s"
                )

    def check_routers(self, lines, calm_at, calm_end):
        plans = {
            router: []
            for names in self.fleet.router_groups.values()
            for router in names
        }
        for line in lines:
            if line.event == "soak.plan":
                version = int(line.fields["version"])
                digest = line.fields["digest"]
                self.operators.check_digest(version, digest, "router")
                plans[line.fields["router"]].append((line.at, version))
        for change in self.operators.acknowledged:
            due = change.acked_at + APPLY_SECONDS
            if change.acked_at < calm_at or due > calm_end:
                continue
            for router, taken in plans.items():
                if not any(
                    at <= due and version >= change.version
                    for at, version in taken
                ):
                    self.operators.problems.append(
                        f"{router} lacks {change.version} {APPLY_SECONDS} s "
                        "after its acknowledgement"
                    )

    def report(self, lines, last_fault_at, recovered, final):
        """Write the summary; fail with the series if rules are broken."""
        history = keeper_logs.leaderships(lines, last_fault_at)
        text = "\n".join(
            [
                f"KEEPER_SOAK_SEED={SEED} KEEPER_SOAK_KEEPERS={KEEPERS} "
                f"KEEPER_SOAK_SECONDS={SECONDS} sync and final: {final}",
                f"read after {recovered} s; "
                f"{len(self.operators.acknowledged)} changes, "
                f"{self.operators.reads} reads",
                *self.steps,
                "since the final fault:",
                *history,
            ]
        )
        if KEEP:
            problems = "\n".join(self.operators.problems[:20])
            (self.folder / "summary").write_text(f"{text}\n{problems}\n")
        tails = keeper_logs.tails(self.fleet.logs, TAIL_LINES)
        self.assertEqual(
            [], self.operators.problems[:20], f"\n{text}\n{tails}"
        )
