"""Tests of the settings file of the users' platform."""

import contextlib
import unittest

from hypothesis import given
from hypothesis import strategies as st

from mulberryswitch.front import Address, FrontSettingsError
from mulberryswitch.platform import parse_settings

SETTINGS_TEXT = """nodeName=front-1
role=front
ip=10.1.0.10
zone=tw-north-a
zones.tw-north-a=tw-north
listen.datagramAddr=10.1.0.10:8172
listen.ready=10.1.0.10:8167
listen.control=10.1.0.10:8166
internalPortRange=7720,7735
seeds=10.1.0.10:8166,10.2.0.40:8166
bounds.graceS=6
bounds.flowMaxS=60
platform.address=10.200.1.7:8169
newField=something
"""


class SettingsTest(unittest.TestCase):
    """Parsing of the settings file and rejection of invalid values."""

    def test_valid_file(self):
        settings = parse_settings(SETTINGS_TEXT)
        self.assertEqual(settings.packet_address, Address("10.1.0.10", 8172))
        self.assertEqual(settings.peer_address, Address("10.1.0.10", 7720))
        self.assertEqual(settings.seeds[1], Address("10.2.0.40", 7720))
        self.assertEqual(settings.shutdown_s, 6.0)

    def test_seeds_are_optional(self):
        self.assertEqual(parse_settings(SETTINGS_TEXT.replace("seeds=", "former=")).seeds, ())

    def test_invalid_values_are_rejected(self):
        for old, new in (
            ("nodeName=", "x="),
            ("8172", "70000"),
            ("7720,7735", "all"),
            ("graceS=6", "graceS=soon"),
            ("graceS=6", "graceS=-1"),
            ("10.200.1.7:8169", "8169"),
        ):
            with self.subTest(new), self.assertRaises(FrontSettingsError):
                parse_settings(SETTINGS_TEXT.replace(old, new))

    @given(st.text(max_size=300))
    def test_arbitrary_text(self, text):
        with contextlib.suppress(FrontSettingsError):
            parse_settings(text)


if __name__ == "__main__":
    unittest.main()
