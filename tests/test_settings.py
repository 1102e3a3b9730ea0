"""Settings files: every fault at once, secrets closed to others."""

import os
import pathlib
import tempfile
import unittest

from amaranthring import errors
from amaranthring import settings

GOOD = """
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
    """Files in a folder of their own."""

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

    def faults(self, text):
        path = self.write("bad.ini", text)
        with self.assertRaises(errors.SettingsError) as caught:
            settings.read(path)
        return str(caught.exception).splitlines()

    def test_good_file_is_read_whole(self):
        path = self.write("r1.ini", GOOD.format(keys=self.keys))
        made = settings.read(path)
        self.assertEqual([p.name for p in made.routers()], ["r1", "r2"])
        self.assertEqual(made.callers.idle_seconds, 60.0)
        settings.check_files(made, "router")

    def test_all_faults_are_told_at_once_with_the_nearest_key(self):
        faults = self.faults(
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
        faults = self.faults(
            f"[process]\nname=r1\ndata_centre=a\n[fleet]\nkeys_file=k\n"
            f"routers =\n    {lines}\n"
        )
        self.assertIn("'r1' stands twice", faults[0])

    def test_missing_and_binary_files_are_typed(self):
        with self.assertRaises(errors.SettingsError):
            settings.read(str(self.folder / "none.ini"))
        path = self.folder / "binary.ini"
        path.write_bytes(b"\xff\xfe[process]")
        with self.assertRaises(errors.SettingsError):
            settings.read(str(path))

    def test_secret_open_to_others_is_refused(self):
        os.chmod(self.keys, 0o644)
        with self.assertRaises(errors.SettingsError) as caught:
            settings.read_keys(self.keys)
        self.assertIn("open to others", str(caught.exception))
        self.assertNotIn("abab", str(caught.exception))

    def test_short_key_and_malformed_line_do_not_show_the_secret(self):
        short = self.write("short", "k1 abcdef\n")
        words = self.write("words", "k1 sec ret\n")
        for path in (short, words):
            with self.assertRaises(errors.SettingsError) as caught:
                settings.read_keys(path)
            self.assertNotIn("abcdef", str(caught.exception))
            self.assertNotIn(
                "sec", str(caught.exception).replace("secret", "")
            )

    def test_files_are_checked_all_at_once(self):
        text = GOOD.format(keys="/nonexistent/keys")
        text += "operators_file = /nonexistent/operators\n"
        text += "[listen]\ncertificate_file = /nonexistent/c.pem\n"
        made = settings.read(self.write("r1.ini", text))
        with self.assertRaises(errors.SettingsError) as caught:
            settings.check_files(made, "router")
        lines = str(caught.exception).splitlines()
        self.assertEqual(len(lines), 3)

    def test_keeper_needs_a_data_folder(self):
        text = GOOD.format(keys=self.keys)
        text += "keepers = r1 porto 127.0.0.1:9100\n"
        made = settings.read(self.write("k1.ini", text))
        with self.assertRaises(errors.SettingsError) as caught:
            settings.check_files(made, "keeper")
        self.assertIn("data_folder is missing", str(caught.exception))

    def test_examples_name_every_key(self):
        for role in ("router", "keeper", "operator"):
            self.assertIn("=", settings.example(role))
        with self.assertRaises(errors.UsageError):
            settings.example("nobody")

    def test_reference_page_is_what_the_models_say(self):
        root = pathlib.Path(__file__).parent.parent
        page = (root / "docs" / "CONFIGURATION.md").read_text()
        self.assertIn(settings.reference().strip(), page)
