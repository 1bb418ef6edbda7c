"""Tests of a short seeded soak run, the fault schedule and the packet codec."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from soak._faults import Fault, FaultKind, generate_faults
from soak._run import run_soak
from soak._wire import ACK, Segment, decode, encode

CALLER, ROUTE = ("127.0.0.2", 1024), ("198.18.0.1", 443)
SEED = 1
LENGTH_S = 6.0
# The next version removes a route.
RESTORE = Fault(kind=FaultKind.STORE_RESTORE, at_s=1.0, duration_s=0.5, selector=9)


class FaultsTest(unittest.TestCase):
    """Guards against seeds that are not reproducible and fault kinds that are never generated."""

    def test_a_seed_gives_the_same_faults(self):
        self.assertEqual(generate_faults(seed=7, length_s=20), generate_faults(seed=7, length_s=20))

    def test_every_kind_is_generated(self):
        kinds = {f.kind for seed in range(50) for f in generate_faults(seed=seed, length_s=20)}
        self.assertEqual(kinds, set(FaultKind))


class WireTest(unittest.TestCase):
    """Guards the checksum by which callers and targets detect packets that a VM modified."""

    def test_a_token_leaves_the_checksum_valid(self):
        data = encode(CALLER, ROUTE, Segment(ACK, 0, 5, 6, b"request"))
        with_token = b"\1\2\3\4" + data[4:]
        source, destination, segment = decode(with_token)
        self.assertEqual((source, destination), (CALLER, ROUTE))
        self.assertEqual((segment.payload, segment.token), (b"request", 0x01020304))
        self.assertTrue(segment.has_valid_checksum)

    def test_modified_bytes_invalidate_the_checksum(self):
        data = encode(CALLER, ROUTE, Segment(ACK, 0, 5, 6, b"request"))
        self.assertFalse(decode(data[:-1] + b"T")[2].has_valid_checksum)


class SoakTest(unittest.TestCase):
    """Guards the documented guarantees with VM processes and a few faults."""

    def check_run(self, faults: tuple[Fault, ...]) -> None:
        with tempfile.TemporaryDirectory() as folder:
            result = asyncio.run(run_soak(seed=SEED, faults=faults, folder=Path(folder), vms=3))
        self.assertEqual(result.findings, [])
        self.assertGreater(result.answered, 0)

    def test_a_short_run_has_no_findings(self):
        self.check_run(generate_faults(seed=SEED, length_s=LENGTH_S))

    def test_version_whose_revision_was_given_out_before_is_in_force(self):
        self.check_run((RESTORE,))

    def test_vms_that_were_cut_off_from_each_other_during_a_restore(self):
        """Each side enters the next epoch alone, then both exchange what the copy lacks."""
        cut = Fault(kind=FaultKind.VM_CUT, at_s=0.5, duration_s=3.0, selector=0)
        self.check_run((cut, RESTORE))


if __name__ == "__main__":
    unittest.main()
