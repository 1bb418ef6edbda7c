"""Tests of the settings file of the users' platform."""

import contextlib
import socket
import unittest

from hypothesis import given
from hypothesis import strategies as st

from mulberryswitch.front import Address, FrontSettingsError
from mulberryswitch.platform import parse_settings
from mulberryswitch.platform._early import open_packet_socket

TEXT = """nodeName=front-1
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
    """Guards a VM against a settings file that it cannot use."""

    def test_a_file(self):
        settings = parse_settings(TEXT)
        self.assertEqual(settings.packet_address, Address("10.1.0.10", 8172))
        self.assertEqual(settings.peer_address, Address("10.1.0.10", 7720))
        self.assertEqual(settings.seeds[1], Address("10.2.0.40", 7720))
        self.assertEqual(settings.shutdown_s, 6.0)

    def test_no_seeds(self):
        self.assertEqual(parse_settings(TEXT.replace("seeds=", "former=")).seeds, ())

    def test_problems_are_named(self):
        for old, new in (
            ("nodeName=", "x="),
            ("8172", "70000"),
            ("7720,7735", "all"),
            ("graceS=6", "graceS=soon"),
            ("graceS=6", "graceS=-1"),
            ("10.200.1.7:8169", "8169"),
        ):
            with self.subTest(new), self.assertRaises(FrontSettingsError):
                parse_settings(TEXT.replace(old, new))

    def test_the_packet_socket_is_bound_before_the_rest_is_loaded(self):
        """Packets that come while the libraries load wait in its buffer."""
        with socket.socket(type=socket.SOCK_DGRAM) as free:
            free.bind(("127.0.0.1", 0))
            port = free.getsockname()[1]
        text = TEXT.replace("10.1.0.10:8172", f"127.0.0.1:{port}")
        with open_packet_socket(text) as bound, socket.socket(type=socket.SOCK_DGRAM) as caller:
            caller.sendto(b"early", bound.getsockname())
            bound.settimeout(2.0)
            self.assertEqual(bound.recv(100), b"early")

    def test_a_bad_packet_address_is_left_to_the_full_check(self):
        for value in ("nowhere", "10.1.0.10:", "10.1.0.10:99999999999", "", "192.0.2.1:8172"):
            with self.subTest(value):
                self.assertIsNone(open_packet_socket(f"listen.datagramAddr={value}"))
        self.assertIsNone(open_packet_socket(""))

    @given(st.text(max_size=300))
    def test_any_text(self, text):
        with contextlib.suppress(FrontSettingsError):
            parse_settings(text)


if __name__ == "__main__":
    unittest.main()
