"""Tests of the forwarding decision on each packet."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from mulberryswitch.directory import Directory, Position
from mulberryswitch.directory.tests.builders import (
    build_config_record,
    build_evacuation_record,
    build_record,
    build_target_record,
    decode,
)
from mulberryswitch.forwarding import Forward, Reset
from mulberryswitch.forwarding.tests.builders import (
    PathTest,
    build_fleet,
    build_forwarder,
    build_packet,
    token_of,
)


class OpeningTest(PathTest):
    """New flows must reach a target that answers, or be reset at once."""

    def test_an_opening_carries_the_token_of_its_target(self):
        (action,) = self.send(0.0)
        self.assertEqual(action.token, token_of(action.target.key))

    def test_an_unknown_route_is_reset_at_once(self):
        self.assertIsInstance(self.send(0.0, port=999, opens=True)[0], Reset)

    def test_an_opening_to_a_service_without_targets_is_reset_at_once(self):
        """A request that cannot be served must not wait for its deadline."""
        self.assertIsInstance(self.send(0.0, port=81, opens=True)[0], Reset)

    def test_an_opening_is_reset_at_once_if_all_targets_are_evacuated(self):
        self.directory.apply_records(
            records=[build_evacuation_record("za", 11)], position=Position(revision=11), now_s=0.0
        )
        self.assertIsInstance(self.send(0.1)[0], Reset)
        self.assertEqual(self.forwarder.counts["openings_refused_evacuated"], 1)

    def test_a_hedge_leaves_an_evacuated_zone(self):
        """The first target was chosen before the request; the second one is not."""
        self.open(0.0)
        records = [
            build_evacuation_record("za", 11),
            build_target_record("t9", 12, zone="zb"),
        ]
        self.directory.apply_records(records=records, position=Position(revision=12), now_s=0.01)
        (action,) = self.forwarder.decide_tick(now_s=0.05)
        self.assertEqual(action.target.key, "t9")

    def test_an_opening_without_an_answer_goes_to_another_target(self):
        first = self.open(0.0)
        self.assertEqual(self.forwarder.decide_tick(now_s=0.01), [])
        (action,) = self.forwarder.decide_tick(now_s=0.05)
        self.assertNotEqual(action.target.key, first)
        self.assertEqual(action.token, token_of(action.target.key))

    def test_an_answered_opening_is_not_sent_again(self):
        first = self.open(0.0)
        self.acknowledge(0.01, first)
        self.assertEqual(self.forwarder.decide_tick(now_s=0.05), [])

    def test_an_early_retransmission_goes_to_the_same_target(self):
        self.assertEqual(self.open(0.0), self.open(0.01))

    def test_a_target_that_did_not_answer_is_ejected(self):
        first = self.open(0.0)
        self.forwarder.decide_tick(now_s=0.05)
        chosen = {self.open(0.06, caller_port=port, opens=True) for port in range(2000, 2020)}
        self.assertNotIn(first, chosen)

    def test_a_refused_caller_gets_another_target_at_once(self):
        """A crashed process resets openings unseen by the VMs, and a caller tries only 3 times."""
        first = self.open(0.0)
        second = self.open(0.015, caller_port=1001, opens=True)
        third = self.open(0.030, caller_port=1002, opens=True)
        self.assertEqual(len({first, second, third}), 3)

    def test_ejected_targets_are_used_if_all_are_silent(self):
        """Ejection must never leave a service without targets."""
        self.open(0.0)
        self.assertTrue(self.forwarder.decide_tick(now_s=0.05))
        for now_s in (0.2, 0.6):
            self.assertTrue(self.open(now_s))
        health = [self.forwarder.loads.get_or_create(token_of(f"t{i}")).health for i in (1, 2, 3)]
        self.assertEqual([h.is_ejected(0.6) for h in health].count(True), 2)
        self.assertTrue(self.open(0.61, caller_port=1001, opens=True))

    def test_an_abandoned_opening_blames_only_the_first_target(self):
        """A crashed target refused the caller; later targets answer a caller that is gone."""
        first = self.open(0.0)
        (action,) = self.forwarder.decide_tick(now_s=0.05)
        for now_s in (0.1, 0.15, 0.3):
            self.assertEqual(self.forwarder.decide_tick(now_s=now_s), [])
        health = self.forwarder.loads.get_or_create(token_of(action.target.key)).health
        self.assertFalse(health.is_ejected(0.1))
        second = self.open(0.31, caller_port=1001, opens=True)
        self.acknowledge(0.32, second, caller_port=1001)
        self.assertNotEqual(second, first)
        self.assertEqual(len(health.evidence.list_witnesses(0.4)), 0)
        self.check_failures(first, 1)

    def test_a_retransmission_blames_the_second_target_too(self):
        self.open(0.0)
        (action,) = self.forwarder.decide_tick(now_s=0.05)
        third = self.open(0.2)
        health = self.forwarder.loads.get_or_create(token_of(action.target.key)).health
        self.assertTrue(health.is_ejected(0.25))
        self.acknowledge(0.21, third)
        self.assertEqual(len(health.evidence.list_witnesses(0.4)), 1)

    def test_a_pause_of_this_process_blames_no_target(self):
        """Answers wait unread in the socket after a pause."""
        first = self.open(0.0)
        self.forwarder.decide_tick(now_s=0.01)
        self.assertEqual(self.forwarder.decide_tick(now_s=3.0), [])
        self.acknowledge(3.001, first)
        self.assertEqual(self.forwarder.decide_tick(now_s=3.05), [])


class StartTest(unittest.TestCase):
    """A VM without a configuration must hold openings and reset no flows."""

    def test_openings_are_held_until_the_first_configuration(self):
        directory = Directory(decode=decode)
        forwarder = build_forwarder(directory)
        self.assertEqual(forwarder.observe_packet(packet=build_packet(), now_s=0.0), [])
        records = [
            build_config_record(5, routes={443: "feeds"}),
            build_target_record("t1", 6),
        ]
        directory.apply_snapshot(records=records, position=Position(revision=6), now_s=0.4)
        (action,) = forwarder.observe_change(0.4)
        self.assertEqual(action.target.key, "t1")

    def test_an_expired_held_opening_is_not_placed(self):
        directory = Directory(decode=decode)
        forwarder = build_forwarder(directory)
        forwarder.observe_packet(packet=build_packet(), now_s=0.0)
        records = [build_config_record(5, routes={443: "feeds"}), build_target_record("t1", 6)]
        directory.apply_snapshot(records=records, position=Position(revision=6), now_s=2.0)
        self.assertEqual(forwarder.observe_change(2.0), [])

    def test_packets_of_open_flows_are_not_reset_before_the_configuration(self):
        forwarder = build_forwarder(Directory(decode=decode))
        packet = build_packet(token=token_of("t1"), sequence=1)
        for step in range(20):
            self.assertEqual(forwarder.observe_packet(packet=packet, now_s=step / 2), [])


class OpenFlowTest(PathTest):
    """Open flows must stay on their target and must not be reset without need."""

    def test_any_vm_finds_the_target_by_the_token(self):
        (action,) = self.send(0.0, token=token_of("t2"), sequence=5, payload_bytes=10)
        self.assertEqual((action.target.key, action.token), ("t2", 0))

    def test_a_draining_target_keeps_its_flows(self):
        draining = [build_target_record("t2", 11, draining=True)]
        self.directory.apply_records(records=draining, position=Position(revision=11), now_s=1.0)
        (action,) = self.send(2.0, token=token_of("t2"), sequence=5, payload_bytes=10)
        self.assertEqual(action.target.key, "t2")

    def test_a_flow_of_a_removed_route_is_reset(self):
        removed = [build_config_record(11, version=2, routes={80: "feeds"})]
        self.directory.apply_records(records=removed, position=Position(revision=11), now_s=1.0)
        (action,) = self.send(2.0, token=token_of("t2"), sequence=5, payload_bytes=10)
        self.assertIsInstance(action, Reset)

    def test_a_flow_of_an_unknown_route_is_forwarded(self):
        """A VM with an older configuration must not break flows that peers opened."""
        (action,) = self.send(2.0, port=999, token=token_of("t2"), sequence=5, payload_bytes=10)
        self.assertEqual(action.target.key, "t2")

    def test_a_flow_of_a_target_that_left_is_reset(self):
        for revision, record in (
            (11, build_target_record("t2", 11, draining=True)),
            (12, build_record("t2", 12)),
        ):
            self.directory.apply_records(
                records=[record], position=Position(revision=revision), now_s=1.0
            )
        (action,) = self.send(2.0, token=token_of("t2"), sequence=5, payload_bytes=10)
        self.assertIsInstance(action, Reset)

    def test_a_flow_of_a_lapsed_target_is_kept_until_the_grace_period_ends(self):
        self.directory.apply_records(
            records=[build_record("t2", 11)], position=Position(revision=11), now_s=1.0
        )
        fields = {"token": token_of("t2"), "sequence": 5, "payload_bytes": 10}
        self.assertIsInstance(self.send(3.0, **fields)[0], Forward)
        # The grace period has ended, but there was nothing to answer before.
        self.assertIsInstance(self.send(4.0, **fields)[0], Forward)
        self.assertIsInstance(self.send(5.6, **fields)[0], Reset)

    def test_flows_of_a_lapsed_target_continue_while_it_answers(self):
        """A target that cannot reach the store for a while must not lose its running requests."""
        self.directory.apply_records(
            records=[build_record("t2", 11)], position=Position(revision=11), now_s=1.0
        )
        fields = {"token": token_of("t2"), "payload_bytes": 10}
        for step in range(1, 20):
            now_s = 1.0 + 0.5 * step
            for port in (1000, 1001):
                (action,) = self.send(
                    now_s, caller_port=port, sequence=10 * step, acknowledged=600 * step, **fields
                )
                self.assertIsInstance(action, Forward, now_s)
            self.forwarder.decide_tick(now_s=now_s)
        (action,) = self.send(now_s + 2.6, sequence=10 * step, acknowledged=600 * step, **fields)
        self.assertIsInstance(action, Reset)

    def test_a_lapsed_target_gets_no_new_flows(self):
        self.directory.apply_records(
            records=[build_record("t2", 11)], position=Position(revision=11), now_s=1.0
        )
        self.acknowledge(1.0, "t2", caller_port=9)
        opened = {self.open(1.1, caller_port=port) for port in range(2000, 2040)}
        self.assertEqual(opened, {"t1", "t3"})

    def test_an_unknown_token_is_reset_only_after_a_grace_period(self):
        """A peer may have placed the flow on a target that this VM has yet to learn of."""
        fields = {"token": 12345, "sequence": 5, "payload_bytes": 10}
        self.assertEqual(self.send(0.0, **fields), [])
        self.assertEqual(self.send(0.6, **fields), [])
        self.assertIsInstance(self.send(1.4, **fields)[0], Reset)

    def test_a_reset_is_not_answered_by_a_reset(self):
        self.assertEqual(self.send(0.0, port=999, opens=True, resets=True), [])


class AnyPacketTest(unittest.TestCase):
    """Any sequence of packets must keep the counters consistent."""

    def test_a_request_after_the_end_of_a_flow_is_not_counted(self):
        forwarder = build_forwarder(build_fleet("t1"))
        for changes in ({"finishes": True}, {"payload_bytes": 9, "sequence": 50}):
            packet = build_packet(token=token_of("t1"), acknowledges=True, **changes)
            forwarder.observe_packet(packet=packet, now_s=0.0)
        self.assertEqual(forwarder.loads.get_or_create(token_of("t1")).busy, 0)

    @given(
        st.lists(
            st.tuples(
                st.integers(0, 3),
                st.sampled_from([0, 1, token_of("t1"), token_of("t2")]),
                st.integers(0, 2**32 - 1),
                st.integers(0, 2**32 - 1),
                st.integers(0, 1200),
                st.tuples(*[st.booleans()] * 4),
                st.sampled_from([443, 80, 81, 999]),
            ),
            max_size=40,
        )
    )
    def test_counts_stay_in_step(self, steps):
        forwarder = build_forwarder(build_fleet("t1", "t2"))
        for number, (port, token, sequence, acknowledged, size, flags, route) in enumerate(steps):
            opens, acknowledges, finishes, resets = flags
            packet = build_packet(
                caller_port=port,
                port=route,
                token=token,
                sequence=sequence,
                acknowledged=acknowledged,
                payload_bytes=size,
                opens=opens,
                acknowledges=acknowledges,
                finishes=finishes,
                resets=resets,
            )
            for action in forwarder.observe_packet(packet=packet, now_s=number / 50):
                if isinstance(action, Forward):
                    self.assertEqual(action.target.service, "feeds")
            forwarder.decide_tick(now_s=number / 50)
        for load in forwarder.loads._loads.values():
            self.assertGreaterEqual(min(load.openings, load.long_flows, load.busy), 0)
        for key in list(forwarder.flows.flows):
            forwarder.flows.remove(key)
        for load in forwarder.loads._loads.values():
            self.assertEqual((load.openings, load.long_flows, load.busy), (0, 0, 0))


if __name__ == "__main__":
    unittest.main()
