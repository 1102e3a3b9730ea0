"""Signals to daemons at any moment of their life, as processes."""

import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time
import unittest

import tornado

from amaranthring.platform import node
from amaranthring.testing import local_fleet

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGES = pathlib.Path(tornado.__file__).resolve().parent.parent
# First module of this project that every daemon imports; before it the
# interpreter starts, which no program can change.
FIRST_MODULE = b"amaranthring.core.clocks"
START_SECONDS = 20.0
GRACE_SECONDS = 4.0
# Longest pause between two signals; a start takes a tenth of a second.
PAUSE_SECONDS = 0.002


class Daemon:
    """A daemon, started as the platform does, whose imports are traced."""

    def __init__(self, role, folder):
        self.role = role
        self.log = folder / f"{role}.log"
        settings = folder / f"{role}.json"
        settings.write_text(json.dumps(make_settings(role, folder)))
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                [
                    *(sys.executable, "-S", "-X", "importtime"),
                    *("-m", "amaranthring.platform", role),
                ],
                bufsize=0,
                env=os.environ
                | {
                    node.PATH_VARIABLE: str(settings),
                    "PYTHONPATH": f"{ROOT}:{PACKAGES}",
                },
                stdout=log,
                stderr=subprocess.PIPE,
            )

    def wait_first_import(self):
        """Wait until the daemon has imported its first module."""
        os.set_blocking(self.process.stderr.fileno(), False)
        seen = b""
        end = time.monotonic() + START_SECONDS
        while FIRST_MODULE not in seen and time.monotonic() < end:
            seen += self.process.stderr.read() or b""
            time.sleep(PAUSE_SECONDS / 10)

    def send(self, *numbers):
        """Send signals at this moment; wait for a random time."""
        for number in numbers:
            self.process.send_signal(number)
        # A full pipe would halt the daemon.
        self.process.stderr.read()
        time.sleep(random.uniform(0.0, PAUSE_SECONDS))

    def has_started(self):
        """Return whether the daemon has logged its start."""
        return f"{self.role}.started" in self.log.read_text()

    def end(self):
        """Kill the daemon if it runs."""
        self.process.kill()
        self.process.wait()
        self.process.stderr.close()


class TestDaemon(unittest.TestCase):
    """A daemon of the platform that gets signals while it starts and ends."""

    def start(self, role):
        """Start a daemon, and send SIGHUP all the time until it says so."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        daemon = Daemon(role, pathlib.Path(folder.name))
        self.addCleanup(daemon.end)
        daemon.wait_first_import()
        began = time.monotonic()
        while not daemon.has_started():
            daemon.send(signal.SIGHUP)
            after = time.monotonic() - began
            self.assertLess(after, START_SECONDS)
            self.assertIsNone(
                daemon.process.poll(), f"{role} ended after {after:.3f} s"
            )
        return daemon.process, daemon

    def test_hangup_at_any_moment_of_the_start(self):
        """Guards against daemons that a reload ends before its handler."""
        for role in ("router", "keeper"):
            with self.subTest(role=role):
                process, _ = self.start(role)
                process.terminate()
                self.assertEqual(0, process.wait(START_SECONDS))

    def test_signals_at_any_moment_of_the_stop(self):
        """Guards against an exit that a second signal cuts short."""
        for role in ("router", "keeper"):
            with self.subTest(role=role):
                process, daemon = self.start(role)
                process.terminate()
                while process.poll() is None:
                    daemon.send(signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
                self.assertEqual(0, process.returncode)


def make_settings(role, folder):
    """Return the settings of a process that is alone in its fleet."""
    ip = f"127.{random.SystemRandom().randrange(1, 250)}.0.1"
    ports = [f"{ip}:{port}" for port in local_fleet.free_ports(3)]
    listen = {"control": ports[0]}
    if role == "router":
        listen = {"frontend": ports[0], "readiness": ports[1]}
    fleet_port = int(ports[2].rpartition(":")[2])
    return {
        "node_name": role,
        "zone": "here",
        "ip": ip,
        "internal_ports": [fleet_port, fleet_port],
        "listen": listen,
        "seeds": [ports[0]],
        "bootstrap": True,
        "data_dir": str(folder / "data") if role == "keeper" else "",
        "heartbeat_ms": 500,
        "bounds": {"grace_s": GRACE_SECONDS},
    }
