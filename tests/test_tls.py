"""TLS towards callers, operators and targets, from the settings."""

import pathlib
import shutil
import ssl
import subprocess
import sys
import tempfile
import time
import unittest
import urllib.error
import urllib.request

from amaranthring import errors
from amaranthring import settings
from amaranthring.settings import file_checks
from amaranthring.testing import local_fleet

DATA = pathlib.Path(__file__).parent / "data"


class TestTls(unittest.TestCase):
    """One router with a certificate that is good for loopback only."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        for name in ("loopback.pem", "loopback.key"):
            shutil.copy(DATA / name, self.folder / name)
        (self.folder / "loopback.key").chmod(0o600)
        self.certificate = str(self.folder / "loopback.pem")
        self.key = str(self.folder / "loopback.key")

    def start_router(self):
        local_fleet.write_settings(self.folder, routers=1, keepers=1)
        path = self.folder / "router-1.ini"
        lines = "[listen]\n"
        for prefix in ("", "internal_"):
            lines += f"{prefix}certificate_file = {self.certificate}\n"
            lines += f"{prefix}certificate_key_file = {self.key}\n"
        path.write_text(path.read_text().replace("[listen]\n", lines))
        fleet = local_fleet.LocalFleet(self.folder, self.folder / "logs")
        self.addCleanup(fleet.stop_all)
        fleet.start("router-1")
        return fleet.settings["router-1"].listen

    def health(self, address, context):
        """Return the status of the health check, asked until it answers."""
        until = time.monotonic() + 20
        while True:
            try:
                url = f"https://{address}/health"
                urllib.request.urlopen(url, context=context, timeout=5)
            except urllib.error.HTTPError as error:
                return error.code
            except urllib.error.URLError as error:
                if isinstance(error.reason, ssl.SSLError):
                    raise error.reason from error
                self.assertLess(time.monotonic(), until)
                time.sleep(0.05)

    def test_callers_and_operators_are_served_over_tls(self):
        listen = self.start_router()
        trusted = ssl.create_default_context(cafile=self.certificate)
        self.assertEqual(self.health(listen.callers, trusted), 503)
        with self.assertRaises(ssl.SSLCertVerificationError):
            self.health(listen.callers, ssl.create_default_context())
        operator = self.folder / "operator.ini"
        text = operator.read_text().replace("http://", "https://")
        trust = f"certificate_file = {self.certificate}\n"
        operator.write_text(text + trust)
        self.assertEqual(self.status(operator), 0)
        operator.write_text(text)
        self.assertEqual(self.status(operator), 1)

    def status(self, operator):
        """Return the exit code of ``amaranthring status``."""
        return subprocess.run(
            [
                sys.executable,
                "-m",
                "amaranthring",
                "--operator",
                str(operator),
                "status",
            ],
            capture_output=True,
            timeout=30,
            check=False,
        ).returncode

    def test_certificate_and_key_go_together(self):
        with self.assertRaises(errors.SettingsError):
            file_checks.load_tls_context(self.certificate, "")
        with self.assertRaises(errors.SettingsError):
            file_checks.load_tls_context(self.key, self.key)
        (self.folder / "loopback.key").chmod(0o644)
        with self.assertRaises(errors.SettingsError) as caught:
            file_checks.load_tls_context(self.certificate, self.key)
        self.assertIn("open to others", str(caught.exception))

    def test_settings_name_all_four_files(self):
        example = settings.example("router")
        self.assertIn("internal_certificate_key_file", example)
