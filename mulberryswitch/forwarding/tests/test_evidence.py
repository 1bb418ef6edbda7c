"""Tests of when the open flows of a silent target are given up."""

import math
import unittest

from mulberryswitch.directory import Position
from mulberryswitch.directory.tests.builders import build_record
from mulberryswitch.forwarding import Forward, Reset, Witness
from mulberryswitch.forwarding._evidence import LAPSED_SILENCE_S, TargetEvidence
from mulberryswitch.forwarding.tests.builders import CALLER, PathTest, token_of


def build_witnesses(*pairs: tuple[str, int]) -> list[Witness]:
    return [Witness(vm=vm, caller=caller) for vm, caller in pairs]


class WitnessTest(unittest.TestCase):
    """Loss at one caller or at one VM must not look like a target that has ended."""

    def is_lost(self, *witnesses: tuple[str, int], peers_heard_s: float = 0.9) -> bool:
        evidence = TargetEvidence()
        evidence.observe_failures(build_witnesses(*witnesses), 0.3)
        return evidence.is_request_lost(since_s=0.0, peers_heard_s=peers_heard_s, now_s=1.0)

    def test_callers_and_vms_that_differ_suffice(self):
        self.assertTrue(self.is_lost(("a", 1), ("b", 2)))

    def test_one_caller_at_several_vms_is_one_witness(self):
        self.assertFalse(self.is_lost(("a", 1), ("b", 1), ("c", 1)))

    def test_one_vm_with_a_full_link_is_one_witness(self):
        self.assertFalse(self.is_lost(("a", 1), ("a", 2), ("a", 3)))

    def test_vm_without_peers_decides_alone(self):
        self.assertTrue(self.is_lost(("a", 1), ("a", 2), peers_heard_s=math.inf))
        self.assertFalse(self.is_lost(("a", 1), ("a", 1), peers_heard_s=math.inf))

    def test_an_answer_to_a_peer_contradicts_earlier_witnesses(self):
        evidence = TargetEvidence()
        evidence.observe_failures(build_witnesses(("a", 1), ("b", 2)), 0.3)
        evidence.observe_peer_answer(0.4)
        self.assertFalse(evidence.do_witnesses_agree(0.5))

    def test_witnesses_are_bounded(self):
        evidence = TargetEvidence()
        evidence.observe_failures(build_witnesses(*(("a", n) for n in range(1_000))), 0.3)
        self.assertEqual(len(evidence.list_witnesses(0.3)), 16)


class LapsedRecordTest(PathTest):
    """A target without a record may only be cut off from the store."""

    def setUp(self):
        super().setUp()
        self.send(0.0, token=token_of("t2"), sequence=99, acknowledged=7)
        self.directory.apply_records(
            records=[build_record("t2", 11)], position=Position(revision=11), now_s=1.0
        )

    def request(self, now_s: float, **changes) -> list:
        fields = {"token": token_of("t2"), "sequence": 100, "acknowledged": 7, "payload_bytes": 50}
        return self.send(now_s, **(fields | changes))

    def test_a_request_after_a_pause_is_forwarded(self):
        """The flow was idle for longer than the silence that is allowed, so it proves nothing."""
        self.assertIsInstance(self.request(9.0)[0], Forward)
        self.assertIsInstance(self.request(9.0 + LAPSED_SILENCE_S)[0], Forward)

    def test_a_request_without_an_answer_ends_all_flows(self):
        self.request(9.0)
        self.assertIsInstance(self.request(9.1 + LAPSED_SILENCE_S)[0], Reset)
        other = self.request(9.2 + LAPSED_SILENCE_S, caller_port=1001)
        self.assertIsInstance(other[0], Reset)

    def test_an_answer_keeps_the_flow(self):
        self.request(9.0)
        self.request(10.0, sequence=150, acknowledged=90)
        self.assertIsInstance(self.request(11.8, sequence=150, acknowledged=90)[0], Forward)

    def test_witnesses_of_long_before_do_not_count(self):
        """The record may lapse much later, because the target cannot reach the store."""
        evidence = self.forwarder.loads.get_or_create(token_of("t2")).health.evidence
        evidence.observe_failures(build_witnesses(("a", 1), ("b", 2)), 0.5)
        evidence.given_up_s -= 20.0
        self.assertIsInstance(self.request(9.0)[0], Forward)

    def test_a_target_that_witnesses_gave_up_is_gone_at_once(self):
        evidence = self.forwarder.loads.get_or_create(token_of("t2")).health.evidence
        evidence.observe_failures(build_witnesses(("a", 1), ("b", 2)), 2.0)
        self.assertIsInstance(self.request(9.0)[0], Reset)


class LostDatagramsTest(PathTest):
    """Two lost datagrams at one caller, while a target without other traffic works for long."""

    def test_users_behind_one_address_are_one_witness(self):
        self.forwarder.loads.has_peers = True
        first = self.open(0.0)
        self.acknowledge(0.01, first)
        health = self.forwarder.loads.get_or_create(token_of(first)).health
        busy = {"token": token_of(first), "sequence": 1, "acknowledged": 1, "payload_bytes": 9}
        self.send(0.02, **busy)
        for number in range(3):
            witness = Witness(vm="", caller=CALLER)
            health.observe_confirmed_failure(
                witness=witness, since_s=0.1 + 0.01 * number, now_s=0.2
            )
        self.forwarder.loads.observe_zone(zone="za", entries=[], now_s=0.6, is_own=True)
        for now_s in (0.22, 0.62, 0.9):
            self.assertIsInstance(self.send(now_s, **busy)[0], Forward)


if __name__ == "__main__":
    unittest.main()
