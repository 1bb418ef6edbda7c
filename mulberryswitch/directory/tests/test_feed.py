"""Tests of who reads the store and who learns from whom."""

import unittest
from random import Random

from mulberryswitch.contracts import MemberState
from mulberryswitch.directory import Feed, Pause, ReadAll, ReadPlanner, Source, Watch
from mulberryswitch.vms import Member, pick_readers, rank_readers


def build_members(count: int, zones: int = 2) -> list[Member]:
    return [
        Member(
            vm=f"vm-{i}",
            zone=f"z{i % zones}",
            address=f"10.0.0.{i}:7",
            incarnation=1,
            state=MemberState.ALIVE,
        )
        for i in range(count)
    ]


def build_source(vm: str, *, heard_s: float, age_s: float = 0.0, **changes) -> Source:
    fields = {
        "vm": vm,
        "zone": "z0",
        "address": "10.0.0.1:7",
        "revision": 5,
        "heard_s": heard_s,
        "confirmed_s": heard_s - age_s,
        "is_reader": True,
    }
    return Source(**(fields | changes))


class ReaderTest(unittest.TestCase):
    """Guards against a zone that nobody reads for, and against a fleet that reads at once."""

    def setUp(self):
        self.members = build_members(20)
        self.ranked = [m.vm for m in rank_readers(zone="z0", members=self.members)]

    def is_reader(self, rank: int, *, now_s: float, sources=(), revision: int = 5) -> bool:
        feed = Feed(vm=self.ranked[rank], zone="z0")
        feed.is_reader(members=self.members, revision=revision, now_s=0.0)
        for source in sources:
            feed.observe_announce(source)
        return feed.is_reader(members=self.members, revision=revision, now_s=now_s)

    def test_two_vms_of_a_zone_read(self):
        sources = [build_source(self.ranked[0], heard_s=1.0)]
        reading = [self.is_reader(rank, now_s=1.2, sources=sources) for rank in range(10)]
        self.assertEqual(reading, [True, True] + [False] * 8)

    def test_loads_go_to_the_first_reader_that_was_heard(self):
        """Loads that are told to two readers cost twice; to a silent one they are lost."""
        feed = Feed(vm=self.ranked[9], zone="z0")
        for rank, heard_s in ((1, 9.9), (0, 9.8)):
            feed.observe_announce(build_source(self.ranked[rank], heard_s=heard_s))
        self.assertEqual(feed.pick_load_aggregator(self.members, 10.0).vm, self.ranked[0])
        feed.observe_announce(build_source(self.ranked[1], heard_s=13.0))
        self.assertEqual(feed.pick_load_aggregator(self.members, 13.0).vm, self.ranked[1])
        self.assertIsNone(feed.pick_load_aggregator(self.members, 20.0))

    def test_ranks_follow_the_members(self):
        """Ranks are kept between changes of the members, and no longer."""
        feed = Feed(vm=self.ranked[1], zone="z0")
        self.assertFalse(feed.is_load_aggregator(self.members))
        left = [member for member in self.members if member.vm != self.ranked[0]]
        self.assertTrue(feed.is_load_aggregator(left))

    def test_a_vm_that_knows_nothing_reads(self):
        self.assertTrue(self.is_reader(9, now_s=0.1, revision=0))

    def test_silent_readers_are_replaced_one_after_the_other(self):
        sources = [build_source(self.ranked[0], heard_s=1.0)]
        self.assertTrue(self.is_reader(2, now_s=2.1, sources=sources))
        self.assertFalse(self.is_reader(5, now_s=2.1, sources=sources))
        self.assertTrue(all(self.is_reader(r, now_s=4.0, sources=sources) for r in range(10)))

    def test_readers_that_the_store_refuses_are_replaced(self):
        """A reader may be cut off from a store that serves the others."""
        sources = [build_source(self.ranked[0], heard_s=9.0, age_s=4.2)]
        self.assertTrue(self.is_reader(2, now_s=9.1, sources=sources))
        self.assertFalse(self.is_reader(4, now_s=9.1, sources=sources))

    def test_an_outage_of_the_store_does_not_make_a_large_zone_ask_it(self):
        sources = [build_source(self.ranked[0], heard_s=60.0, age_s=50.0)]
        reading = [self.is_reader(rank, now_s=60.1, sources=sources) for rank in range(10)]
        self.assertEqual(sum(reading), 6)

    def test_another_zones_confirmation_counts(self):
        """Readers of another zone that reach the store keep this zone's VMs from asking it."""
        sources = [
            build_source(self.ranked[0], heard_s=9.0, age_s=8.0),
            build_source("vm-1", heard_s=9.0, zone="z1"),
        ]
        self.assertFalse(self.is_reader(2, now_s=9.1, sources=sources))


class SourceTest(unittest.TestCase):
    """Guards a VM that is behind."""

    def setUp(self):
        self.feed = Feed(vm="vm-0", zone="z0")
        self.feed.observe_announce(build_source("near", heard_s=1.0, revision=7))
        self.feed.observe_announce(build_source("far", heard_s=1.5, revision=7, zone="z1"))

    def pick(self, revision: int, now_s: float, members=()) -> Source | None:
        return self.feed.pick_source(members=members, revision=revision, now_s=now_s)

    def test_a_near_peer_that_is_ahead_is_asked(self):
        self.assertEqual(self.pick(6, 2.0).vm, "near")

    def test_nobody_is_asked_without_need(self):
        self.assertIsNone(self.pick(7, 2.0))

    def test_a_peer_that_did_not_answer_is_left_alone_for_a_while(self):
        self.feed.observe_pull_failure(vm="near", now_s=2.0)
        self.assertEqual(self.pick(6, 2.1).vm, "far")
        self.assertEqual(self.pick(6, 2.6).vm, "near")

    def test_no_vm_serves_a_whole_zone(self):
        """A reader with a small link would hold up the packets of its own callers."""
        members = build_members(72)
        asked: dict[str, int] = {}
        for member in (m for m in members if m.zone == "z0"):
            feed = Feed(vm=member.vm, zone="z0")
            for reader in pick_readers(zone="z0", members=members):
                if reader.vm != member.vm:
                    feed.observe_announce(build_source(reader.vm, heard_s=1.0, revision=7))
            source = feed.pick_source(members=members, revision=6, now_s=2.0)
            asked[source.vm] = asked.get(source.vm, 0) + 1
        self.assertEqual(sum(asked.values()), 36)
        self.assertLessEqual(max(asked.values()), 5)

    def test_a_parent_that_does_not_answer_is_passed_over(self):
        members = build_members(72)
        vm = rank_readers(zone="z0", members=members)[20].vm
        feed = Feed(vm=vm, zone="z0")
        feed.observe_announce(build_source("near", heard_s=1.0, revision=7))
        parent = feed.pick_source(members=members, revision=6, now_s=2.0)
        self.assertNotEqual(parent.vm, "near")
        feed.observe_pull_failure(vm=parent.vm, now_s=2.0)
        source = feed.pick_source(members=members, revision=6, now_s=2.1)
        self.assertEqual(source.vm, "near")

    def test_listeners_are_the_zone_and_the_readers_of_others(self):
        members = build_members(20)
        names = {member.vm for member in self.feed.list_recipients(members)}
        near = {m.vm for m in members if m.zone == "z0"} - {"vm-0"}
        far = {m.vm for m in pick_readers(zone="z1", members=members)}
        self.assertEqual(names, near | far)


class ReadPlannerTest(unittest.TestCase):
    """Guards the price of reads and the time to news."""

    def setUp(self):
        self.planner = ReadPlanner()
        self.rng = Random(1)

    def test_the_first_read_is_cheap_and_the_next_is_a_watch(self):
        self.assertEqual(self.planner.decide(revision=0, now_s=0.0), ReadAll(may_be_stale=True))
        self.planner.observe_success(size_bytes=0, now_s=0.0)
        self.assertIsInstance(self.planner.decide(revision=4, now_s=0.0), Watch)

    def test_lost_history_needs_a_read_that_is_not_old(self):
        self.planner.observe_history_lost()
        self.assertEqual(self.planner.decide(revision=4, now_s=0.0), ReadAll(may_be_stale=False))

    def test_changes_in_quick_succession_are_read_together(self):
        self.planner.observe_success(size_bytes=200, now_s=1.0)
        self.assertIsInstance(self.planner.decide(revision=4, now_s=1.1), Pause)
        self.assertIsInstance(self.planner.decide(revision=4, now_s=1.2), Watch)

    def test_a_small_link_rests_between_large_configurations(self):
        self.planner.observe_success(size_bytes=200_000, now_s=1.0)
        self.assertIsInstance(self.planner.decide(revision=4, now_s=1.6), Pause)
        self.assertIsInstance(self.planner.decide(revision=4, now_s=1.8), Watch)

    def test_failures_back_off_up_to_a_limit(self):
        waits = []
        for _ in range(8):
            self.planner.observe_failure(is_loaded=True, now_s=0.0, rng=self.rng)
            waits.append(self.planner.decide(revision=4, now_s=0.0).wait_s)
        self.assertLess(waits[0], 0.11)
        self.assertTrue(0.6 < waits[-1] <= 1.0)


if __name__ == "__main__":
    unittest.main()
