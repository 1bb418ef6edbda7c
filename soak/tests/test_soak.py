"""A short seeded run of the soak, and its parts without processes."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from soak._faults import FaultKind, draw_faults
from soak._run import run_soak
from soak._wire import ACK, Segment, decode, encode

CALLER, ROUTE = ("127.0.0.2", 1024), ("198.18.0.1", 443)
SEED = 1
LENGTH_S = 6.0


class FaultsTest(unittest.TestCase):
    """Guards runs against seeds that do not repeat, and kinds that never come."""

    def test_a_seed_repeats(self):
        self.assertEqual(draw_faults(seed=7, length_s=20), draw_faults(seed=7, length_s=20))

    def test_every_kind_comes(self):
        kinds = {f.kind for seed in range(50) for f in draw_faults(seed=seed, length_s=20)}
        self.assertEqual(kinds, set(FaultKind))


class WireTest(unittest.TestCase):
    """Guards the check that VMs pass packets on as they are."""

    def test_a_packet_and_its_token(self):
        data = encode(CALLER, ROUTE, Segment(ACK, 0, 5, 6, b"request"))
        with_token = b"\1\2\3\4" + data[4:]
        source, destination, segment = decode(with_token)
        self.assertEqual((source, destination), (CALLER, ROUTE))
        self.assertEqual((segment.payload, segment.token), (b"request", 0x01020304))
        self.assertTrue(segment.is_sealed)

    def test_changed_bytes(self):
        data = encode(CALLER, ROUTE, Segment(ACK, 0, 5, 6, b"request"))
        self.assertFalse(decode(data[:-1] + b"T")[2].is_sealed)


class SoakTest(unittest.TestCase):
    """Guards the promises of the pages with real processes and a few faults."""

    def test_a_short_run(self):
        with tempfile.TemporaryDirectory() as folder:
            result = asyncio.run(run_soak(seed=SEED, length_s=LENGTH_S, folder=Path(folder), vms=3))
        self.assertEqual(result.findings, [])
        self.assertGreater(result.answered, 0)


if __name__ == "__main__":
    unittest.main()
