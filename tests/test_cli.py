"""Exit codes and error lines of the command, run as a process."""

import pathlib
import subprocess
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).parent.parent


def run(*arguments):
    """Return exit code, stdout and stderr of the command."""
    process = subprocess.run(
        [sys.executable, "-m", "amaranthring", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    return process.returncode, process.stdout, process.stderr


class TestCommand(unittest.TestCase):
    """Mistakes on the command line give one-line errors, no traceback."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def write_operator_file(self, routers, token="me secret"):
        secret = self.folder / "token"
        secret.write_text(token)
        secret.chmod(0o600)
        path = self.folder / "operator.ini"
        path.write_text(
            f"[operator]\nrouters = {routers}\ntoken_file = {secret}\n"
            "timeout_seconds = 2\n"
        )
        return str(path)

    def assert_fails(self, result, code, text):
        self.assertEqual(result[0], code, result)
        self.assertIn(text, result[2])
        self.assertNotIn("Traceback", result[2])
        for line in result[2].splitlines():
            self.assertTrue(line.startswith("amaranthring: "), line)

    def test_help_lists_command_groups(self):
        code, out, err = run("--help")
        self.assertEqual(code, 0)
        for group in ("preset", "target", "keeper", "account", "settings"):
            self.assertIn(group, out + err)

    def test_unknown_settings_key(self):
        # If fire parsed this file name as Python, it would print a syntax
        # warning besides the error line.
        path = self.folder / "router-1.ini"
        path.write_text("[process]\nnam = r1\n")
        result = run("router", "--settings", str(path))
        self.assert_fails(result, 2, "[process] nam is not known")

    def test_missing_settings_file(self):
        result = run("keeper", "--settings", str(self.folder / "none-1.ini"))
        self.assert_fails(result, 2, "No such file or directory")

    def test_unknown_command_and_benchmark(self):
        self.assertEqual(run("nonsense")[0], 2)
        self.assert_fails(run("bench", "nonsense"), 2, "no such benchmark")

    def test_unreachable_fleet(self):
        operator = self.write_operator_file("http://127.0.0.1:1")
        result = run("--operator", operator, "preset", "list")
        self.assert_fails(result, 1, "no router answered")

    def test_operator_file_with_missing_token_file(self):
        path = self.folder / "operator.ini"
        path.write_text("[operator]\ntoken_file = /nonexistent\n")
        result = run("--operator", str(path), "status")
        self.assert_fails(result, 2, "secret file cannot be read")

    def test_preset_from_a_file_that_is_not_json(self):
        preset = self.folder / "peak.json"
        preset.write_text("{")
        operator = self.write_operator_file("http://127.0.0.1:1")
        result = run(
            "--operator", operator, "preset", "put", "peak", str(preset)
        )
        self.assert_fails(result, 2, "not JSON")
