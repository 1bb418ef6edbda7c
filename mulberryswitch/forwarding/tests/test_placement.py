"""Tests of the choice of a service and a target."""

import unittest
from collections import Counter
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from mulberryswitch.contracts import LoadEntry
from mulberryswitch.directory.tests.builders import build_route, build_target
from mulberryswitch.forwarding import (
    Candidate,
    TargetHealth,
    TargetLoads,
    Witness,
    get_load_period_s,
    pick_service,
    pick_target,
    sample_targets,
    subtract_entries,
)

WITNESSES = [Witness(vm="front-1", caller=1), Witness(vm="front-2", caller=2)]


def build_answered_health(now_s: float) -> TargetHealth:
    health = TargetHealth()
    health.observe_answer(now_s)
    return health


def build_candidate(name: str, work: float = 0.0, *, zone: str = "za", **changes) -> Candidate:
    return Candidate(target=build_target(name, zone=zone), work=work, **changes)


def pick(*candidates: Candidate, tried: tuple[str, ...] = (), seed: int = 1) -> str:
    target = pick_target(candidates=candidates, zone="za", tried=tried, rng=Random(seed))
    return target.key if target else ""


class TargetChoiceTest(unittest.TestCase):
    """New flows must get short waits and, if possible, survive a partition between zones."""

    def test_the_shortest_wait_wins(self):
        self.assertEqual(pick(build_candidate("t1", 2), build_candidate("t2", 1)), "t2")

    def test_a_cold_target_is_rated_as_slower(self):
        self.assertEqual(pick(build_candidate("t1", 1, speed=0.4), build_candidate("t2", 1)), "t2")

    def test_a_flow_stays_in_its_zone_while_no_queue_is_likely(self):
        self.assertEqual(pick(build_candidate("t1", 2), build_candidate("t2", 0, zone="zb")), "t1")

    def test_a_queue_in_the_own_zone_sends_a_flow_to_another_zone(self):
        self.assertEqual(pick(build_candidate("t1", 6), build_candidate("t2", 0, zone="zb")), "t2")

    def test_an_ejected_target_is_a_last_resort(self):
        self.assertEqual(
            pick(build_candidate("t1", is_ejected=True), build_candidate("t2", 9, zone="zb")),
            "t2",
        )
        self.assertEqual(pick(build_candidate("t1", is_ejected=True)), "t1")

    def test_a_target_that_was_tried_is_avoided_before_an_ejected_one(self):
        candidates = build_candidate("t1"), build_candidate("t2", is_ejected=True)
        self.assertEqual(pick(*candidates, tried=("t1",)), "t2")

    def test_no_candidates(self):
        self.assertEqual(pick(), "")

    def test_simultaneous_choices_are_spread_over_targets(self):
        """VMs that see the same loads must not all choose the same target."""
        candidates = [build_candidate(f"t{i}", i / 100) for i in range(30)]
        chosen = Counter(pick(*candidates, seed=seed) for seed in range(200))
        self.assertLess(max(chosen.values()), 80)


class ServiceChoiceTest(unittest.TestCase):
    """Routes must be split over services by weight, consistently for each flow."""

    def test_the_choice_is_stable_for_each_flow(self):
        route = build_route(443, "feeds", shares=(("feeds", 9.0), ("scans", 1.0)))
        flows = [(7, port, 8, 443) for port in range(3000)]
        chosen = [pick_service(route=route, flow=flow) for flow in flows]
        self.assertEqual(chosen, [pick_service(route=route, flow=flow) for flow in flows])
        self.assertTrue(200 < chosen.count("scans") < 400)

    @given(st.lists(st.floats(0.001, 1000), min_size=1, max_size=6), st.integers(0, 2**16 - 1))
    def test_some_service_is_always_chosen(self, weights, port):
        shares = tuple((f"s{i}", weight) for i, weight in enumerate(weights))
        route = build_route(443, "feeds", shares=shares)
        self.assertIn(pick_service(route=route, flow=(1, port, 2, 443)), dict(shares))


class HealthTest(unittest.TestCase):
    """A silent target must get no new flows, and must not be excluded forever."""

    def test_ejections_double_up_to_a_limit_and_end_with_an_answer(self):
        health = TargetHealth()
        lengths = []
        now_s = 0.0
        for _ in range(7):
            self.assertTrue(health.observe_unanswered_opening(since_s=now_s, now_s=now_s + 0.03))
            lengths.append(health.ejection_s)
            now_s = health.ejected_until_s
        self.assertEqual(lengths, [0.5, 1.0, 2.0, 4.0, 8.0, 8.0, 8.0])
        health.observe_answer(now_s)
        self.assertFalse(health.is_ejected(now_s))
        self.assertTrue(health.observe_unanswered_opening(since_s=now_s + 1, now_s=now_s + 2))
        self.assertEqual(health.ejection_s, 0.5)

    def test_an_opening_sent_before_the_last_answer_does_not_eject(self):
        health = build_answered_health(2.0)
        self.assertFalse(health.observe_unanswered_opening(since_s=1.9, now_s=2.1))

    def test_a_report_is_ignored_after_a_recent_answer(self):
        """A partitioned VM must not make its zone eject a target that answers."""
        health = build_answered_health(2.0)
        health.observe_peer_report(ejection_s=1.0, witnesses=WITNESSES, now_s=2.1)
        self.assertFalse(health.is_ejected(2.1) or health.evidence.list_witnesses(2.1))
        health.observe_peer_report(ejection_s=1.0, witnesses=WITNESSES[:1], now_s=3.0)
        self.assertTrue(health.is_ejected(3.5))


class SampleTest(unittest.TestCase):
    """Sampling must bound the cost of new flows and still find the targets that answer."""

    def sample(self, targets, silent=()):
        return sample_targets(
            targets=targets, zone="za", is_usable=lambda t: t.key not in silent, rng=Random(1)
        )

    def build(self, count: int) -> list:
        return [build_target(f"t{n}", zone=("za", "zb")[n % 2]) for n in range(count)]

    def test_the_sample_of_a_large_service_is_bounded(self):
        sample = self.sample(self.build(1_000))
        self.assertEqual([t.zone for t in sample], ["za"] * 3 + ["zb"] * 3)

    def test_all_targets_of_a_small_service_are_sampled(self):
        self.assertEqual(len(self.sample(self.build(6))), 6)

    def test_the_only_target_that_answers_is_found(self):
        targets = self.build(40)
        silent = {target.key for target in targets} - {"t6"}
        self.assertIn("t6", [target.key for target in self.sample(targets, silent)])

    def test_silent_targets_are_sampled_if_no_other_is_left(self):
        targets = self.build(40)
        self.assertTrue(self.sample(targets, {target.key for target in targets}))


class SharedLoadTest(unittest.TestCase):
    """VMs of a zone must place flows by correct sums of their loads."""

    def build_entry(self, long_flows: int, busy: int = 0, token: int = 1) -> LoadEntry:
        return LoadEntry(token=token, long_flows=long_flows, busy=busy)

    def test_a_reader_sums_the_shares_of_its_zone(self):
        loads = TargetLoads()
        loads.get_or_create(1).long_flows = 2
        for vm, flows in (("vm-1", 3), ("vm-2", 4), ("vm-1", 5)):
            loads.observe_share(vm=vm, entries=[self.build_entry(flows)], now_s=1.0)
        self.assertEqual(loads.sum_zone_loads(1.5), [self.build_entry(11)])

    def test_the_own_share_is_subtracted_from_the_sum(self):
        rest = subtract_entries([self.build_entry(9, 2)], [self.build_entry(4, 3)])
        self.assertEqual(rest, [self.build_entry(5, 0)])

    def test_the_last_answer_to_any_vm_of_the_zone_counts(self):
        """A target that answers any VM of the zone is live."""
        loads = TargetLoads()
        loads.get_or_create(1).long_flows = 1
        loads.get_or_create(1).health.observe_answer(0.0)
        entry = LoadEntry(token=1, long_flows=2, busy=0, silent_ds=3)
        loads.observe_share(vm="vm-1", entries=[entry], now_s=5.0)
        self.assertAlmostEqual(loads.get_or_create(1).health.evidence.last_answer_s, 4.7)
        (total,) = loads.sum_zone_loads(5.5)
        self.assertEqual((total.long_flows, total.silent_ds), (3, 8))

    def test_answers_to_peers_are_not_relayed(self):
        """If VMs relayed them to each other, an unresponsive target would appear live forever."""
        loads = TargetLoads()
        loads.get_or_create(1).long_flows = 1
        loads.get_or_create(1).health.observe_answer(0.0)
        entry = LoadEntry(token=1, long_flows=2, busy=0, silent_ds=3)
        loads.observe_zone(zone="za", entries=[entry], now_s=5.0, is_own=True)
        self.assertEqual(loads.build_share(5.0)[0].silent_ds, 50)

    def test_large_sums_are_sent_less_often(self):
        """Control traffic must not grow with the number of targets of a zone."""
        self.assertEqual(get_load_period_s(10), 0.3)
        self.assertEqual(get_load_period_s(200), 3.6)

    def test_loads_of_a_silent_peer_expire(self):
        loads = TargetLoads()
        loads.observe_zone(zone="za", entries=[self.build_entry(9)], now_s=1.0)
        self.assertEqual(len(loads.list_peer_loads(1, 2.0)), 1)
        self.assertEqual(loads.list_peer_loads(1, 3.0), [])
        loads.drop_unknown([], 3.0)
        self.assertEqual(loads.list_zones(1.0), [])


if __name__ == "__main__":
    unittest.main()
