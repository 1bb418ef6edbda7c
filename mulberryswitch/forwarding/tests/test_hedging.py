"""Tests of early second openings within a limit."""

import unittest
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from mulberryswitch.forwarding import Forwarder, HedgeLimits
from mulberryswitch.forwarding._hedging import HedgeBudget
from mulberryswitch.forwarding._opening_times import OpeningTimes
from mulberryswitch.forwarding.tests.builders import PathTest, build_fleet, token_of

TICK_S = 0.002
USUAL_S = 0.004


class OpeningTimesTest(unittest.TestCase):
    """The delay of hedges must follow the usual times, whatever single openings take."""

    def test_quantiles(self):
        times = OpeningTimes()
        for number in range(1, 1_001):
            times.observe_time(number / 100_000)
        self.assertAlmostEqual(times.get_quantile(0.95), 0.0095, delta=0.0025)
        self.assertAlmostEqual(times.get_quantile(0.5), 0.005, delta=0.0013)

    def test_nothing_is_known_from_few_samples(self):
        times = OpeningTimes()
        for _ in range(49):
            times.observe_time(0.001)
        self.assertEqual(times.get_quantile(0.9), float("inf"))

    def test_long_openings_move_a_quantile_by_their_share_only(self):
        times = OpeningTimes()
        for number in range(1_000):
            times.observe_time(9.9 if number % 50 == 0 else 0.004)
        self.assertLess(times.get_quantile(0.95), 0.006)
        self.assertEqual(times.get_quantile(0.99), float("inf"))

    def test_former_times_are_forgotten(self):
        times = OpeningTimes()
        for time_s in [0.02] * 10_000 + [0.002] * 30_000:
            times.observe_time(time_s)
        self.assertLess(times.get_quantile(0.95), 0.003)

    @given(st.lists(st.floats(0.0, 1e6), min_size=50, max_size=200), st.floats(0.01, 1.0))
    def test_any_times(self, samples, quantile):
        times = OpeningTimes()
        for sample in samples:
            times.observe_time(sample)
        covered = sum(sample <= times.get_quantile(quantile) * 1.0001 for sample in samples)
        self.assertGreaterEqual(covered + 1e-6, quantile * len(samples))


class BudgetTest(unittest.TestCase):
    """VMs must not overrun the limit together, whatever they know of each other."""

    @given(
        st.floats(0.0, 0.2),
        st.lists(st.tuples(st.integers(0, 3), st.sampled_from("osf")), max_size=300),
    )
    def test_hedges_of_all_vms_stay_within_the_share_at_any_time(self, share, steps):
        budgets = [HedgeBudget(share=share) for _ in range(4)]
        opened = spent = 0
        for vm, step in steps:
            if step == "o":
                budgets[vm].observe_opening()
                opened += 1
            elif step == "f":
                budgets[vm].charge_failover()
            else:
                spent += budgets[vm].spend()
            self.assertLessEqual(spent, share * opened + 1e-6)

    def test_failovers_use_the_budget_up(self):
        budget = HedgeBudget(share=0.1)
        for _ in range(20):
            budget.observe_opening()
        budget.charge_failover()
        self.assertEqual([budget.spend(), budget.spend()], [True, False])

    def test_a_quiet_hour_does_not_allow_a_burst(self):
        budget = HedgeBudget(share=0.2)
        for _ in range(100_000):
            budget.observe_opening()
        self.assertEqual(sum(budget.spend() for _ in range(1_000)), 20)


class HedgeTest(PathTest):
    """Load: one target of three accepts openings slowly, or not at all, now and then."""

    def setUp(self):
        super().setUp()
        self.directory = build_fleet("t1", "t2", "t3")
        self.port = 2_000
        self.set_limits(HedgeLimits(share=0.1))

    def set_limits(self, limits: HedgeLimits) -> None:
        self.counts: dict[str, int] = {}

        def count(name: str, amount: int) -> None:
            self.counts[name] = self.counts.get(name, 0) + amount

        self.forwarder = Forwarder(
            directory=self.directory, zone="za", rng=Random(1), count=count, hedge_limits=limits
        )
        self.now_s = 0.0

    def play_opening(self, slow: dict[str, float] | None = None, route_port: int = 443) -> float:
        """Open a flow whose caller takes the first answer; return the time that this took."""
        slow = slow or {}
        self.port += 1
        start_s = self.now_s
        key = {"caller_port": self.port, "port": route_port}
        sent = {self.open(start_s, opens=True, **key): start_s}
        while True:
            answers = {name: s + slow.get(name, USUAL_S) for name, s in sent.items()}
            first = min(answers, key=answers.get)
            if answers[first] <= self.now_s:
                self.acknowledge(self.now_s, first, **key)
                self.send(
                    self.now_s,
                    token=token_of(first),
                    finishes=True,
                    sequence=1,
                    acknowledged=1,
                    **key,
                )
                return self.now_s - start_s
            self.now_s += TICK_S
            for action in self.forwarder.decide_tick(now_s=self.now_s):
                if action.packet.flow[1] == self.port:
                    sent[action.target.key] = self.now_s

    def play(
        self, count: int, *, slow: dict[str, float] | None = None, every: int = 1, **options
    ) -> list[float]:
        """Open flows one after the other; targets are slow at each `every`-th one only."""
        times = []
        for number in range(count):
            is_slow = number % every == 0
            times.append(self.play_opening(slow=slow if is_slow else None, **options))
            self.now_s += 0.01
        return times

    def test_slow_openings_are_cut(self):
        load = {"slow": {"t1": 0.028}, "every": 5}
        with_hedges = sorted(self.play(1_000, **load)[200:])
        self.assertLessEqual(self.counts["hedges_sent"], 100)
        self.assertGreater(self.counts["hedges_won"], 20)
        self.set_limits(HedgeLimits())
        without = sorted(self.play(1_000, **load)[200:])
        self.assertLess(with_hedges[-20], 0.6 * without[-20])

    def test_opening_over_the_limit_counts_once(self):
        self.set_limits(HedgeLimits(share=0.05))
        self.play(100)
        while self.forwarder.hedging.spend("feeds"):
            pass
        self.play_opening(slow={"t1": 0.02, "t2": 0.02, "t3": 0.02})
        self.assertEqual(self.counts["hedges_over_limit"], 1)

    def test_nothing_is_hedged_without_a_limit(self):
        self.set_limits(HedgeLimits())
        self.play(300, slow={"t1": 0.02})
        self.assertNotIn("hedges_sent", self.counts)
        self.assertNotIn("hedges_over_limit", self.counts)

    def test_requests_that_may_not_be_repeated_are_not_hedged(self):
        self.play(400, slow={"t1": 0.02}, route_port=80)
        self.assertNotIn("hedges_sent", self.counts)

    def test_limit_of_a_service(self):
        self.set_limits(HedgeLimits(share=0.1, by_service={"feeds": 0.0}))
        self.play(300, slow={"t1": 0.02})
        self.assertNotIn("hedges_sent", self.counts)

    def test_a_target_that_was_only_slower_is_not_blamed(self):
        self.play(100)
        self.play(40, slow={"t1": 0.02})
        health = self.forwarder.loads.get_or_create(token_of("t1")).health
        self.assertEqual(health.evidence.list_witnesses(self.now_s), ())

    def test_a_target_that_accepts_nothing_is_ejected(self):
        """Hedges must not hide that it has ended."""
        self.play(200)
        self.play(20, slow={"t1": 60.0})
        health = self.forwarder.loads.get_or_create(token_of("t1")).health
        self.assertTrue(health.is_ejected(self.now_s) or health.ejection_s)

    def test_a_target_that_has_ended_still_gets_witnesses(self):
        """Else the requests of its open flows hang until their deadline."""
        self.play(200)
        for _ in range(20):
            self.play_opening(slow={"t1": 60.0})
            self.now_s += 0.002
        health = self.forwarder.loads.get_or_create(token_of("t1")).health
        self.assertTrue(health.evidence.list_witnesses(self.now_s))

    def test_last_target_is_not_paid_for_without_another(self):
        self.directory = build_fleet("t1")
        self.set_limits(HedgeLimits(share=0.1))
        self.play(100)
        self.play(20, slow={"t1": 0.02})
        self.assertNotIn("hedges_sent", self.counts)


if __name__ == "__main__":
    unittest.main()
