"""Tests of the limit of new flows to cold targets."""

import unittest
from itertools import count
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from mulberryswitch.directory import ColdLimit, Position
from mulberryswitch.directory.tests.builders import (
    build_directory,
    build_evacuation_record,
    build_record,
    build_target_record,
)
from mulberryswitch.forwarding import ColdBounds, ColdGate, Forward, Forwarder, Reset
from mulberryswitch.forwarding.tests.builders import build_packet

BOUNDS = ColdBounds(overage=1.5, slack=5)
COLD_PER_S = 10.0
LIMIT = COLD_PER_S * BOUNDS.overage + BOUNDS.slack


def build_gate(*, is_owner: bool = True) -> ColdGate:
    return ColdGate(bounds=BOUNDS, is_owner=lambda key, now_s: is_owner)


def count_most_in_a_second(times: list[float]) -> int:
    return max((sum(s <= t < s + 1.0 for t in times) for s in times), default=0)


class GateTest(unittest.TestCase):
    """Any second must stay within the limit, and most of it must be usable."""

    def send(self, gate: ColdGate, now_s: float, priority: int = 0) -> bool:
        is_open = gate.is_open(key="t1", cold_per_s=COLD_PER_S, priority=priority, now_s=now_s)
        if is_open:
            gate.observe_flow(key="t1", now_s=now_s)
        return is_open

    @given(st.lists(st.floats(0.0, 0.3), max_size=200))
    def test_any_second_stays_within_the_limit(self, gaps):
        gate, now_s, sent = build_gate(), 0.0, []
        for gap_s in gaps:
            now_s += gap_s
            if self.send(gate, now_s):
                sent.append(now_s)
        self.assertLessEqual(count_most_in_a_second(sent), LIMIT)

    def test_four_fifths_of_the_limit_are_used_under_load(self):
        gate = build_gate()
        sent = [n for n in range(10_000) if self.send(gate, n / 1_000)]
        self.assertGreaterEqual(len(sent), 0.8 * LIMIT * 10)

    def test_only_the_owner_sends(self):
        self.assertFalse(self.send(build_gate(is_owner=False), 1.0))

    def test_urgent_requests_get_the_last_of_the_window(self):
        gate = build_gate()
        low = sum(self.send(gate, 1.0, priority=2) for _ in range(100))
        urgent = sum(self.send(gate, 1.0) for _ in range(100))
        self.assertEqual((low, urgent), (14, 4))

    def test_idle_windows_are_dropped(self):
        gate = build_gate()
        self.send(gate, 1.0)
        gate.forget_idle(9.0)
        self.assertEqual(gate._windows, {})


class FailbackTest(unittest.TestCase):
    """A release, or a zone that returns cold, must not get its full share at once."""

    def setUp(self):
        records = [
            build_record("config", 5, version=1, routes={443: "feeds"}),
            build_target_record("warm", 6, zone="zb"),
            build_target_record("cold", 7, zone="za", cold_s=2.0),
        ]
        self.directory = build_directory(*records)
        self.directory.config.cold_limits = {"feeds": ColdLimit(per_s=COLD_PER_S, start_s=2.0)}
        self.ports = count(1_000)
        self.forwarder = self.build_forwarder(build_gate())

    def build_forwarder(self, gate: ColdGate) -> Forwarder:
        return Forwarder(
            directory=self.directory,
            zone="za",
            rng=Random(1),
            count=lambda name, amount: None,
            cold_gate=gate,
        )

    def open(self, now_s: float) -> str:
        """Open a flow and return the key of its target, or the empty string if it is refused."""
        packet = build_packet(caller_port=next(self.ports), opens=True)
        (action,) = self.forwarder.observe_packet(packet=packet, now_s=now_s)
        return action.target.key if isinstance(action, Forward) else ""

    def play(self, start_s: float, end_s: float) -> list[tuple[float, str]]:
        """Open 500 flows a second whose callers confirm nothing."""
        steps = range(round(500 * (end_s - start_s)))
        times = [start_s + step / 500 for step in steps]
        return [(now_s, self.open(now_s)) for now_s in times]

    def test_cold_target_gets_its_rate_and_the_rest_goes_elsewhere(self):
        placed = self.play(0.0, 2.0)
        to_cold = [now_s for now_s, key in placed if key == "cold"]
        self.assertLessEqual(count_most_in_a_second(to_cold), LIMIT)
        self.assertGreater(len(to_cold), LIMIT)
        self.assertEqual([key for _, key in placed if not key], [])

    def test_vm_that_does_not_own_it_sends_nothing(self):
        self.forwarder = self.build_forwarder(build_gate(is_owner=False))
        self.assertEqual({key for _, key in self.play(0.0, 1.0)}, {"warm"})

    def test_warm_target_is_not_limited(self):
        self.assertGreater(sum(key == "cold" for _, key in self.play(2.5, 3.5)), 2 * LIMIT)

    def test_service_without_a_limit_is_not_limited(self):
        self.directory.config.cold_limits = {}
        self.assertGreater(sum(key == "cold" for _, key in self.play(0.0, 1.0)), 2 * LIMIT)

    def test_what_cold_targets_cannot_take_is_refused_at_once(self):
        self.directory.apply_records(
            records=[build_record("warm", 11)], position=Position(revision=11), now_s=0.0
        )
        self.directory._table._departures.clear()
        placed = self.play(0.0, 1.0)
        self.assertLessEqual(sum(bool(key) for _, key in placed), LIMIT)
        packet = build_packet(caller_port=9, opens=True)
        (action,) = self.forwarder.observe_packet(packet=packet, now_s=1.0)
        self.assertIsInstance(action, Reset)

    def test_zone_whose_evacuation_is_taken_back_counts_as_cold(self):
        """Its targets may have become cold meanwhile, and their records may come later."""
        for revision, record in ((11, build_evacuation_record("za", 11)), (12, None)):
            record = record or build_record("evacuate/za", 12)
            self.directory.apply_records(
                records=[record], position=Position(revision=revision), now_s=float(revision)
            )
        placed = self.play(12.0, 14.0)
        to_cold = [now_s for now_s, key in placed if key == "cold"]
        self.assertLessEqual(count_most_in_a_second(to_cold), LIMIT)
        self.assertGreater(sum(key == "cold" for _, key in self.play(14.1, 15.1)), 2 * LIMIT)


if __name__ == "__main__":
    unittest.main()
