"""Tests of the packets of the users' platform."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from mulberryswitch.directory.tests.builders import build_target
from mulberryswitch.forwarding import Forward, Reset
from mulberryswitch.platform import decode_packet, encode_forward, encode_reset

# Example packets of the published protocol.
OPENING = bytes.fromhex(
    "00000000 a1b2c3d5 01bb c6120001 9c41 64400007 0000 40 11223344 00000000".replace(" ", "")
)
RESET = bytes.fromhex(
    "00000000 00000000 9c41 64400007 01bb c6120001 0000 04 00000000 00000000".replace(" ", "")
)


def replace_bytes(data: bytes, offset: int, value: bytes) -> bytes:
    return data[:offset] + value + data[offset + len(value) :]


class DecodeTest(unittest.TestCase):
    """Decoding of callers' packets and rejection of malformed datagrams."""

    def test_published_opening(self):
        packet = decode_packet(OPENING)
        self.assertEqual(packet.flow, (0x64400007, 40001, 0xC6120001, 443))
        self.assertTrue(packet.opens)
        self.assertEqual((packet.sequence, packet.token), (0x11223344, 0))

    def test_retransmission_count_of_opening_is_not_an_acknowledgement(self):
        self.assertEqual(decode_packet(replace_bytes(OPENING, 27, b"\0\0\0\2")).acknowledged, 0)

    def test_wrong_length_is_rejected(self):
        self.assertIsNone(decode_packet(OPENING + b"x"))
        self.assertIsNone(decode_packet(replace_bytes(OPENING, 20, b"\0\1")))

    def test_syn_with_ack_is_rejected(self):
        self.assertIsNone(decode_packet(replace_bytes(OPENING, 22, bytes([64 | 8]))))

    @given(st.binary(max_size=1400))
    def test_arbitrary_bytes(self, data):
        packet = decode_packet(data)
        if packet is not None:
            self.assertEqual(packet.data, data)
            self.assertEqual(packet.payload_bytes, len(data) - 31)


class EncodeTest(unittest.TestCase):
    """Encoding for targets and callers; nothing but the token of a packet may change."""

    def test_token_is_set_on_opening(self):
        target = build_target("t1", identity=bytes.fromhex("000000267c9b76c2"))
        data = encode_forward(
            Forward(packet=decode_packet(OPENING), target=target, token=0x01020304)
        )
        self.assertEqual(data[:8].hex(), "000000267c9b76c2")
        self.assertEqual(data[8:12], b"\1\2\3\4")
        self.assertEqual(data[12:], OPENING[4:])

    def test_packet_of_open_flow_is_unchanged(self):
        packet = decode_packet(replace_bytes(OPENING, 22, b"\x08"))
        data = encode_forward(Forward(packet=packet, target=build_target("t1")))
        self.assertEqual(data[8:], packet.data)

    def test_published_reset(self):
        data, address = encode_reset(Reset(packet=decode_packet(OPENING)), 8172)
        self.assertEqual(data, RESET)
        self.assertEqual(address, ("100.64.0.7", 8172))

    def test_reset_of_open_flow_is_within_receive_window(self):
        packet = decode_packet(replace_bytes(replace_bytes(OPENING, 22, b"\x08"), 27, b"\0\0\1\0"))
        data, _ = encode_reset(Reset(packet=packet), 8172)
        self.assertEqual(data[23:27], b"\0\0\1\0")


if __name__ == "__main__":
    unittest.main()
