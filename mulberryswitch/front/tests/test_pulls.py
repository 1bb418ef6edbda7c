"""Tests of the encoding of records and datagrams between VMs."""

import unittest
import zlib

import msgpack
from hypothesis import given
from hypothesis import strategies as st

from mulberryswitch.contracts import FEED_CODEC, MAX_PULL_BYTES, DecodeError, FeedAnnounce
from mulberryswitch.directory.tests.builders import build_record, build_target_record
from mulberryswitch.front._packing import pack_records, unpack_records


class RecordsTest(unittest.TestCase):
    """Packed records; malformed bytes from any sender on the peer port must be rejected."""

    def test_records_survive_a_round_trip(self):
        records = [build_target_record("t1", 5), build_record("t2", 6)]
        self.assertEqual(unpack_records(pack_records(records)), records)

    def test_decompression_bomb_is_rejected(self):
        with self.assertRaises(DecodeError):
            unpack_records(zlib.compress(bytes(MAX_PULL_BYTES + 1)))

    def test_incomplete_records_are_rejected(self):
        packed = pack_records([build_target_record("t1", 5)])
        for size_bytes in range(len(packed)):
            with self.subTest(size_bytes), self.assertRaises(DecodeError):
                unpack_records(packed[:size_bytes])

    def test_malformed_rows_are_rejected(self):
        malformed = (
            [[1, 2, 3, 4, b""]],
            [["k", 1]],
            [["k", 1, 1, 1, "text", b""]],
            [["k", "1", 1, 1, b"", b""]],
            [["k", 1, 1, 1, b""]],
            [["k", 1, 1, 1, b"", b"short"]],
            [["k", 1, 1, 1, b"", "text"]],
        )
        for rows in (*malformed, 7, {"k": 1}):
            with self.subTest(rows), self.assertRaises(DecodeError):
                unpack_records(zlib.compress(msgpack.packb(rows)))

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes(self, data):
        for packed in (data, zlib.compress(data)):
            try:
                records = unpack_records(packed)
            except DecodeError:
                continue
            self.assertEqual(list(records), [])


class DatagramTest(unittest.TestCase):
    """Malformed datagrams must be rejected, and announcements must be decoded unchanged."""

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes(self, data):
        try:
            FEED_CODEC.decode(data)
        except DecodeError as exc:
            self.assertTrue(str(exc))

    def test_announcement_survives_a_round_trip(self):
        announce = FeedAnnounce(
            fleet="f",
            vm="a",
            zone="z",
            epoch=2,
            revision=5,
            version=8,
            keeps_heritage=True,
            age_ms=3,
            is_reader=True,
            loads=(),
        )
        self.assertEqual(FEED_CODEC.decode(FEED_CODEC.encode(announce)), announce)


if __name__ == "__main__":
    unittest.main()
