"""TLS of the listeners for callers, operators and targets."""

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
    """One router with a certificate that is valid for loopback only."""

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

    def health_status(self, address, context):
        """Return the status of the health check, once it responds."""
        deadline = time.monotonic() + 20
        while True:
            try:
                url = f"https://{address}/health"
                urllib.request.urlopen(url, context=context, timeout=5)
            except urllib.error.HTTPError as error:
                return error.code
            except urllib.error.URLError as error:
                if isinstance(error.reason, ssl.SSLError):
                    raise error.reason from error
                self.assertLess(time.monotonic(), deadline)
                time.sleep(0.05)

    def test_callers_and_operators_are_served_over_tls(self):
        listen = self.start_router()
        trusted = ssl.create_default_context(cafile=self.certificate)
        self.assertEqual(self.health_status(listen.callers, trusted), 503)
        with self.assertRaises(ssl.SSLCertVerificationError):
            self.health_status(listen.callers, ssl.create_default_context())
        operator_file = self.folder / "operator.ini"
        settings_text = operator_file.read_text().replace(
            "http://", "https://"
        )
        certificate_line = f"certificate_file = {self.certificate}\n"
        operator_file.write_text(settings_text + certificate_line)
        self.assertEqual(self.status_exit_code(operator_file), 0)
        operator_file.write_text(settings_text)
        self.assertEqual(self.status_exit_code(operator_file), 1)

    def status_exit_code(self, operator_file):
        """Return the exit code of ``amaranthring status``."""
        return subprocess.run(
            [
                sys.executable,
                "-m",
                "amaranthring",
                "--operator",
                str(operator_file),
                "status",
            ],
            capture_output=True,
            timeout=30,
            check=False,
        ).returncode

    def test_unusable_certificate_or_key_is_rejected(self):
        with self.assertRaises(errors.SettingsError):
            file_checks.load_tls_context(self.certificate, "")
        with self.assertRaises(errors.SettingsError):
            file_checks.load_tls_context(self.key, self.key)
        (self.folder / "loopback.key").chmod(0o644)
        with self.assertRaises(errors.SettingsError) as caught:
            file_checks.load_tls_context(self.certificate, self.key)
        self.assertIn("open to others", str(caught.exception))

    def test_example_settings_contain_the_internal_key(self):
        example = settings.example("router")
        self.assertIn("internal_certificate_key_file", example)
