"""Validation of settings files and checks of the files they name."""

import os
import pathlib
import tempfile
import unittest

from amaranthring import errors
from amaranthring import settings

VALID = """
[process]
name = r1
data_centre = porto
[fleet]
routers =
    r1 porto 127.0.0.1:9001
    r2 braga 127.0.0.1:9002
keys_file = {keys}
"""


class TestSettings(unittest.TestCase):
    """Settings files in a temporary folder."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.keys = self.write("keys", "k1 " + "ab" * 32 + "\n")

    def write(self, name, text, mode=0o600):
        path = self.folder / name
        path.write_text(text)
        path.chmod(mode)
        return str(path)

    def read_faults(self, text):
        path = self.write("bad.ini", text)
        with self.assertRaises(errors.SettingsError) as raised:
            settings.read(path)
        return str(raised.exception).splitlines()

    def test_valid_file(self):
        path = self.write("r1.ini", VALID.format(keys=self.keys))
        config = settings.read(path)
        self.assertEqual([p.name for p in config.routers()], ["r1", "r2"])
        self.assertEqual(config.callers.idle_seconds, 60.0)
        settings.check_files(config, "router")

    def test_all_faults_are_reported_with_the_nearest_key(self):
        faults = self.read_faults(
            "[process]\nnam = r1\n[listen]\ncallers = nowhere\n"
            "[fleet]\nrouters = r1 dc1\n[calers]\nx = 1\n"
        )
        text = "\n".join(faults)
        self.assertIn("[process] name is missing", text)
        self.assertIn("nam is not known; nearest known: name", text)
        self.assertIn("[listen] callers: given 'nowhere'", text)
        self.assertIn("[fleet] routers: given 'r1 dc1'", text)
        self.assertIn("[fleet] keys_file is missing", text)
        self.assertIn("[calers] is not known; nearest known: callers", text)

    def test_duplicate_router_is_a_fault(self):
        lines = "r1 a 127.0.0.1:1\n    r1 b 127.0.0.1:2"
        faults = self.read_faults(
            f"[process]\nname=r1\ndata_centre=a\n[fleet]\nkeys_file=k\n"
            f"routers =\n    {lines}\n"
        )
        self.assertIn("'r1' stands twice", faults[0])

    def test_missing_and_binary_files_raise_settings_errors(self):
        with self.assertRaises(errors.SettingsError):
            settings.read(str(self.folder / "none.ini"))
        path = self.folder / "binary.ini"
        path.write_bytes(b"\xff\xfe[process]")
        with self.assertRaises(errors.SettingsError):
            settings.read(str(path))

    def test_secret_file_accessible_to_others_is_refused(self):
        os.chmod(self.keys, 0o644)
        with self.assertRaises(errors.SettingsError) as raised:
            settings.read_keys(self.keys)
        self.assertIn("open to others", str(raised.exception))
        self.assertNotIn("abab", str(raised.exception))

    def test_errors_about_keys_do_not_contain_them(self):
        short = self.write("short", "k1 abcdef\n")
        words = self.write("words", "k1 sec ret\n")
        for path in (short, words):
            with self.assertRaises(errors.SettingsError) as raised:
                settings.read_keys(path)
            self.assertNotIn("abcdef", str(raised.exception))
            self.assertNotIn(
                "sec", str(raised.exception).replace("secret", "")
            )

    def test_all_faults_of_named_files_are_reported(self):
        text = VALID.format(keys="/nonexistent/keys")
        text += "operators_file = /nonexistent/operators\n"
        text += "[listen]\ncertificate_file = /nonexistent/c.pem\n"
        config = settings.read(self.write("r1.ini", text))
        with self.assertRaises(errors.SettingsError) as raised:
            settings.check_files(config, "router")
        lines = str(raised.exception).splitlines()
        self.assertEqual(len(lines), 3)

    def test_keeper_needs_a_data_folder(self):
        text = VALID.format(keys=self.keys)
        text += "keepers = r1 porto 127.0.0.1:9100\n"
        config = settings.read(self.write("k1.ini", text))
        with self.assertRaises(errors.SettingsError) as raised:
            settings.check_files(config, "keeper")
        self.assertIn("data_folder is missing", str(raised.exception))

    def test_examples_exist_for_every_role(self):
        for role in ("router", "keeper", "operator"):
            self.assertIn("=", settings.example(role))
        with self.assertRaises(errors.UsageError):
            settings.example("nobody")

    def test_reference_page_matches_the_models(self):
        root = pathlib.Path(__file__).parent.parent
        page = (root / "docs" / "CONFIGURATION.md").read_text()
        self.assertIn(settings.reference().strip(), page)
