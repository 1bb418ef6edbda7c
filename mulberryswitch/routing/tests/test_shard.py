"""Tests of the flow table of one shard."""

import unittest
from collections import Counter

from mulberryswitch.contracts import ResultCode
from mulberryswitch.routing import IDLE_TIMEOUT_S

from .builders import START_S, make_flows, make_shard, make_target, make_targets


class FlowShardTest(unittest.TestCase):
    def open_all(self, shard, flows, now_s=START_S):
        return {flow: shard.apply_open(flow=flow, now_s=now_s) for flow in flows}

    def test_open_is_idempotent_and_spread(self):
        """Guards against a repeated open that moves a flow, and against an overloaded target."""
        shard = make_shard()
        flows = make_flows(1000)
        first = self.open_all(shard, flows)
        self.assertEqual(self.open_all(shard, flows), first)
        counts = Counter(first.values())
        self.assertLessEqual(max(counts.values()), 1.25 * 1000 / 7 + 3)
        self.assertEqual(shard.count_by_target(), dict(sorted(counts.items())))

    def test_change_of_targets_moves_no_open_flow(self):
        """Guards against breaking flows when a target is added or drained, also after a rebase."""
        shard = make_shard()
        first = self.open_all(shard, make_flows(500))
        targets = (*make_targets(6), make_target("feeds-6", state="leaving"), make_target("new"))
        shard.apply_targets(targets=targets, connections=4000, now_s=START_S + 1)
        self.assertTrue(shard.needs_rebase(now_s=START_S + 60))
        shard.apply_rebase_start()
        shard.apply_rebase_end()
        for flow, target in first.items():
            self.assertEqual(shard.lookup(flow=flow, now_s=START_S + 60), target)
        later = self.open_all(shard, make_flows(200, prefix="later"), START_S + 60)
        self.assertNotIn("feeds-6", later.values())
        self.assertIn("new", later.values())

    def test_limits(self):
        """Guards against exceeding the connection limit of a target, and an unbounded table."""
        shard = make_shard(connections=16 * 10)
        opened = self.open_all(shard, make_flows(100))
        self.assertEqual(set(Counter(opened.values()).values()), {10, 30})
        self.assertEqual(Counter(opened.values())[ResultCode.CONNECTION_LIMIT], 30)
        shard = make_shard(max_flows=5)
        opened = self.open_all(shard, make_flows(6))
        self.assertEqual(opened[b"flow-5"], ResultCode.FLOW_TABLE_FULL)

    def test_former_owner_and_successor_keep_the_limit_together(self):
        """Guards against a target above its limit while a handover is not acknowledged."""
        former = make_shard(connections=16 * 12)
        self.open_all(former, make_flows(50))
        successor = make_shard(connections=16 * 12)
        counts = former.count_by_target()
        successor.apply_state(base=former.base, pins={}, counts=counts, now_s=START_S)
        former.apply_handover(until_s=START_S + 3, is_successor=False)
        successor.apply_handover(until_s=START_S + 3, is_successor=True)
        for shard, prefix in ((former, "former"), (successor, "successor")):
            opened = self.open_all(shard, make_flows(60, prefix=prefix), START_S + 1)
            self.assertIn(ResultCode.CONNECTION_LIMIT, opened.values())
        for target, count in counts.items():
            both = former.count_at(target) + successor.count_at(target) - count
            self.assertLessEqual(both, 12)
            self.assertGreaterEqual(both, 11)
        opened = self.open_all(successor, make_flows(60, prefix="later"), START_S + 3)
        self.assertLess(Counter(opened.values())[ResultCode.CONNECTION_LIMIT], 60)

    def test_idle_flows_expire_and_active_ones_stay(self):
        """Guards against a table that fills with idle flows, and against expiring active ones."""
        shard = make_shard()
        flows = make_flows(400)
        self.open_all(shard, flows)
        now_s = START_S
        while now_s < START_S + IDLE_TIMEOUT_S + 180:
            now_s += 1
            shard.apply_tick(now_s=now_s)
            shard.lookup(flow=flows[0], now_s=now_s)
        self.assertEqual([flow for flow, _ in shard.flows], flows[:1])

    def test_target_lost_returns_its_flows(self):
        """Guards against flows that stay pinned to a failed target."""
        shard = make_shard()
        opened = self.open_all(shard, make_flows(100))
        ended = shard.apply_target_lost(target="feeds-1")
        self.assertEqual(set(ended), {f for f, t in opened.items() if t == "feeds-1"})
        self.assertEqual(shard.count_at("feeds-1"), 0)

    def test_joining_target_starts_slowly(self):
        """Guards against overloading a joining target, which has the fewest flows."""
        shard = make_shard()
        self.open_all(shard, make_flows(700))
        targets = (*make_targets(7), make_target("new", state="joining"))
        shard.apply_targets(targets=targets, connections=4000, now_s=START_S + 1)
        self.open_all(shard, make_flows(70, prefix="later"), START_S + 4)
        self.assertLessEqual(shard.count_at("new"), 0.15 * 100 + 3)
