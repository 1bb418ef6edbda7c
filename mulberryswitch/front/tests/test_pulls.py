"""Tests of what peers send each other."""

import unittest
import zlib

import msgpack
from hypothesis import given
from hypothesis import strategies as st

from mulberryswitch.contracts import FEED_CODEC, MAX_PULL_BYTES, DecodeError, FeedAnnounce
from mulberryswitch.directory.tests.builders import build_record, build_target_record
from mulberryswitch.front._pulls import pack_records, unpack_records


class RecordsTest(unittest.TestCase):
    """Guards a VM against bytes of a stranger on the peers' port."""

    def test_records_arrive_as_they_were(self):
        records = [build_target_record("t1", 5), build_record("t2", 6)]
        self.assertEqual(unpack_records(pack_records(records)), records)

    def test_a_bomb_is_refused(self):
        with self.assertRaises(DecodeError):
            unpack_records(zlib.compress(bytes(MAX_PULL_BYTES + 1)))

    def test_rows_of_the_wrong_form(self):
        for rows in ([[1, 2, 3, b""]], [["k", 1]], [["k", 1, 1, "text"]], 7, {"k": 1}):
            with self.subTest(rows), self.assertRaises(DecodeError):
                unpack_records(zlib.compress(msgpack.packb(rows)))

    @given(st.binary(max_size=200))
    def test_any_bytes(self, data):
        for packed in (data, zlib.compress(data)):
            try:
                records = unpack_records(packed)
            except DecodeError:
                continue
            self.assertEqual(list(records), [])


class DatagramTest(unittest.TestCase):
    """Guards the datagrams between VMs."""

    @given(st.binary(max_size=200))
    def test_any_bytes(self, data):
        try:
            FEED_CODEC.decode(data)
        except DecodeError as exc:
            self.assertTrue(str(exc))

    def test_an_announcement(self):
        announce = FeedAnnounce(
            fleet="f", vm="a", zone="z", revision=5, age_ms=3, is_reader=True, loads=()
        )
        self.assertEqual(FEED_CODEC.decode(FEED_CODEC.encode(announce)), announce)


if __name__ == "__main__":
    unittest.main()
