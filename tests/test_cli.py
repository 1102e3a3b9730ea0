"""The real command: exit codes, one clear line, never a traceback."""

import pathlib
import subprocess
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).parent.parent


def run(*arguments):
    """Return exit code, output and error output of the command."""
    ended = subprocess.run(
        [sys.executable, "-m", "amaranthring", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    return ended.returncode, ended.stdout, ended.stderr


class TestCommand(unittest.TestCase):
    """What a newcomer types wrongly, and what is said."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def operator(self, routers, token="me secret"):
        secret = self.folder / "token"
        secret.write_text(token)
        secret.chmod(0o600)
        path = self.folder / "operator.ini"
        path.write_text(
            f"[operator]\nrouters = {routers}\ntoken_file = {secret}\n"
            "timeout_seconds = 2\n"
        )
        return str(path)

    def assert_says(self, ended, code, text):
        self.assertEqual(ended[0], code, ended)
        self.assertIn(text, ended[2])
        self.assertNotIn("Traceback", ended[2])
        for line in ended[2].splitlines():
            self.assertTrue(line.startswith("amaranthring: "), line)

    def test_help_names_every_group(self):
        code, out, err = run("--help")
        self.assertEqual(code, 0)
        for group in ("preset", "target", "keeper", "account", "settings"):
            self.assertIn(group, out + err)

    def test_broken_settings_file(self):
        # A name that reads like a number once drew a warning of fire's.
        path = self.folder / "router-1.ini"
        path.write_text("[process]\nnam = r1\n")
        ended = run("router", "--settings", str(path))
        self.assert_says(ended, 2, "[process] nam is not known")

    def test_missing_settings_file(self):
        ended = run("keeper", "--settings", str(self.folder / "none-1.ini"))
        self.assert_says(ended, 2, "No such file or directory")

    def test_unknown_command_and_benchmark(self):
        self.assertEqual(run("nonsense")[0], 2)
        self.assert_says(run("bench", "nonsense"), 2, "no such benchmark")

    def test_unreachable_fleet(self):
        operator = self.operator("http://127.0.0.1:1")
        ended = run("--operator", operator, "preset", "list")
        self.assert_says(ended, 1, "no router answered")

    def test_operator_file_without_token_file(self):
        path = self.folder / "operator.ini"
        path.write_text("[operator]\ntoken_file = /nonexistent\n")
        ended = run("--operator", str(path), "status")
        self.assert_says(ended, 2, "secret file cannot be read")

    def test_preset_from_a_file_that_is_not_json(self):
        preset = self.folder / "peak.json"
        preset.write_text("{")
        operator = self.operator("http://127.0.0.1:1")
        ended = run(
            "--operator", operator, "preset", "put", "peak", str(preset)
        )
        self.assert_says(ended, 2, "not JSON")
