"""Tests of the wire codecs against malformed and oversized input."""

import contextlib
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from mulberryswitch.contracts import (
    FABRIC_CODEC,
    MEMBERSHIP_CODEC,
    PEER_CODEC,
    TARGET_CODEC,
    Codec,
    DecodeError,
    Forward,
    Packet,
    ResultCode,
    check_packet,
)

CODECS = (FABRIC_CODEC, PEER_CODEC, TARGET_CODEC, MEMBERSHIP_CODEC)


def make_packet(**changes) -> Packet:
    return Packet(**{"kind": 2, "flow": b"flow-1", "address": "10.0.0.1:443", **changes})


class CodecTest(unittest.TestCase):
    """Guards the daemons against malformed messages and values of a wrong type in a field."""

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.binary(max_size=200), st.sampled_from(CODECS))
    def test_arbitrary_bytes_raise_only_decode_error(self, data: bytes, codec: Codec):
        with contextlib.suppress(DecodeError):
            codec.decode(data)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.data())
    def test_altered_message_is_rejected_or_stays_typed(self, data):
        """A changed byte must not put a value of another type into a field."""
        raw = bytearray(FABRIC_CODEC.encode(make_packet(body=b"x" * 20)))
        index = data.draw(st.integers(0, len(raw) - 1))
        raw[index] = data.draw(st.integers(0, 255))
        try:
            message = FABRIC_CODEC.decode(bytes(raw))
        except DecodeError:
            return
        if isinstance(message, Packet):
            self.assertIs(type(message.flow), bytes)
            self.assertIs(type(message.attempt), int)

    def test_nested_message_round_trip(self):
        forward = Forward(
            packet=make_packet(),
            service="reports",
            version=3,
            hops=1,
            entry_vm="vm-1",
            entry_zone="north",
        )
        self.assertEqual(PEER_CODEC.decode(PEER_CODEC.encode(forward)), forward)

    def test_oversized_message_has_its_own_code(self):
        with self.assertRaises(DecodeError) as caught:
            FABRIC_CODEC.encode(make_packet(body=b"x" * 20_000))
        self.assertEqual(caught.exception.code, ResultCode.OVERSIZED_PACKET)

    def test_field_ranges(self):
        for changes in (
            {"kind": 9},
            {"flow": b""},
            {"flow": b"x" * 17},
            {"address": ""},
            {"attempt": 0},
            {"receipt": b"short"},
        ):
            with self.subTest(changes), self.assertRaises(DecodeError):
                check_packet(make_packet(**changes))
