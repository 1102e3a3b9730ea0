"""Loading of the initial configuration from JSON and INI."""

import pathlib
import tempfile
import unittest

from amaranthring import errors
from amaranthring.keepers import initial_config

INI = """
[fleet]
in_force = peak
[preset.peak]
load_bound = 1.15
[preset.peak.accounts.shop.one]
weight = 3
[preset.peak.services.booking]
idempotent_methods = GET HEAD
[preset.peak.desired_models]
Org/Model@2 = 4
[account.shop.one]
token_hashes = %s
"""


class TestInitial(unittest.TestCase):
    """Valid and invalid files."""

    def load(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "initial"
            path.write_text(text)
            return initial_config.load(str(path))

    def test_ini(self):
        config = self.load(INI % ("ab" * 32))
        preset = config.presets[0]
        self.assertEqual((config.in_force, preset.load_bound), ("peak", 1.15))
        self.assertEqual(preset.accounts["shop.one"].weight, 3.0)
        self.assertEqual(preset.desired_models, {"Org/Model@2": 4})
        methods = preset.services["booking"].idempotent_methods
        self.assertEqual(methods, ["GET", "HEAD"])
        self.assertEqual(config.accounts[0].token_hashes, ["ab" * 32])

    def test_example_file(self):
        root = pathlib.Path(__file__).resolve().parent.parent
        path = root / "examples" / "fleet" / "initial.json"
        config = initial_config.load(str(path))
        self.assertEqual(config.in_force, "ordinary")

    def test_errors_name_the_file(self):
        cases = {
            "{": "malformed",
            "x": "malformed",
            "{}": "presets: missing",
            '{"presets": {}}': "in_force",
            '{"presets": {"ordinary": {"load_bound": 0}}}': "load_bound",
            "[preset.ordinary]\nretry = 1": "retry",
            INI % ("ab" * 32)
            + f"[account.other]\ntoken_hashes = {'ab' * 32}": "tokens of",
        }
        for text, expected in cases.items():
            with self.assertRaises(errors.SettingsError) as caught:
                self.load(text)
            self.assertIn(expected, str(caught.exception))
            self.assertIn("/initial", str(caught.exception))
        with self.assertRaises(errors.SettingsError):
            initial_config.load("/none/such")
