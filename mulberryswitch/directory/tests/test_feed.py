"""Tests of the selection of readers and sources, and of the schedule of reads."""

import unittest
from collections.abc import Callable
from random import Random

from mulberryswitch.contracts import MemberState
from mulberryswitch.directory import (
    START,
    Feed,
    Pause,
    Position,
    ReadAll,
    ReadPlanner,
    Source,
    Watch,
)
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
        "position": Position(revision=5),
        "heard_s": heard_s,
        "confirmed_s": heard_s - age_s,
        "is_reader": True,
    }
    return Source(**(fields | changes))


def is_after(revision: int) -> Callable[[Source], bool]:
    """Return a predicate for the sources that are ahead of `revision`."""
    return lambda source: source.position > Position(revision=revision)


class ReaderTest(unittest.TestCase):
    """Every zone must have a live reader, without all VMs reading the store at once."""

    def setUp(self):
        self.members = build_members(20)
        self.ranked = [m.vm for m in rank_readers(zone="z0", members=self.members)]

    def is_reader(
        self, rank: int, *, now_s: float, sources=(), revision: int = 5, started_s: float = 0.0
    ) -> bool:
        position = Position(revision=revision)
        feed = Feed(vm=self.ranked[rank], zone="z0")
        feed.is_reader(members=self.members, position=position, now_s=started_s)
        for source in sources:
            feed.observe_announce(source)
        return feed.is_reader(members=self.members, position=position, now_s=now_s)

    def test_two_vms_of_a_zone_read(self):
        sources = [build_source(self.ranked[0], heard_s=1.0)]
        reading = [self.is_reader(rank, now_s=1.2, sources=sources) for rank in range(10)]
        self.assertEqual(reading, [True, True] + [False] * 8)

    def test_loads_go_to_the_first_live_reader(self):
        """Sending loads to two readers doubles the traffic; a silent reader loses them."""
        feed = Feed(vm=self.ranked[9], zone="z0")
        for rank, heard_s in ((1, 9.9), (0, 9.8)):
            feed.observe_announce(build_source(self.ranked[rank], heard_s=heard_s))
        self.assertEqual(feed.pick_load_aggregator(self.members, 10.0).vm, self.ranked[0])
        feed.observe_announce(build_source(self.ranked[1], heard_s=13.0))
        self.assertEqual(feed.pick_load_aggregator(self.members, 13.0).vm, self.ranked[1])
        self.assertIsNone(feed.pick_load_aggregator(self.members, 20.0))

    def test_ranks_follow_the_members(self):
        """The cached ranks must be recomputed when the members change."""
        feed = Feed(vm=self.ranked[1], zone="z0")
        self.assertFalse(feed.is_load_aggregator(self.members))
        left = [member for member in self.members if member.vm != self.ranked[0]]
        self.assertTrue(feed.is_load_aggregator(left))

    def test_a_vm_that_starts_leaves_the_reading_to_others(self):
        """Many VMs that start, each first by its own view, would multiply the calls."""
        others = [build_source(self.ranked[rank], heard_s=10.5, age_s=0.1) for rank in range(1, 3)]
        for now_s, sources, expected in (
            (10.7, [], False),
            (10.9, [], True),
            (10.9, others[:1], True),
            (10.9, others, False),
            (12.4, others, False),
            (12.6, others, True),
        ):
            with self.subTest(now_s=now_s, readers=len(sources)):
                is_reader = self.is_reader(0, now_s=now_s, sources=sources, started_s=10.0)
                self.assertIs(is_reader, expected)

    def test_a_vm_that_has_joined_reads_by_its_rank(self):
        others = [build_source(self.ranked[rank], heard_s=15.0) for rank in range(1, 3)]
        self.assertTrue(self.is_reader(0, now_s=15.1, sources=others, started_s=10.0))

    def test_a_vm_without_a_revision_reads(self):
        self.assertTrue(self.is_reader(9, now_s=0.1, revision=0))

    def test_silent_readers_are_replaced_in_order_of_rank(self):
        sources = [build_source(self.ranked[0], heard_s=1.0)]
        self.assertTrue(self.is_reader(2, now_s=2.1, sources=sources))
        self.assertFalse(self.is_reader(5, now_s=2.1, sources=sources))
        self.assertTrue(all(self.is_reader(r, now_s=4.0, sources=sources) for r in range(10)))

    def test_readers_that_cannot_reach_the_store_are_replaced(self):
        """A reader may be partitioned from a store that serves other VMs."""
        sources = [build_source(self.ranked[0], heard_s=9.0, age_s=4.2)]
        self.assertTrue(self.is_reader(2, now_s=9.1, sources=sources))
        self.assertFalse(self.is_reader(4, now_s=9.1, sources=sources))

    def test_reader_with_a_newer_position_reaches_the_store(self):
        """While a large configuration spreads, the VMs that wait for it must not all read it."""
        newer = build_source(self.ranked[0], heard_s=9.0, position=Position(revision=99))
        self.assertFalse(self.is_reader(2, now_s=9.1, sources=[newer]))

    def test_vm_whose_pulls_make_no_progress_reads(self):
        feed = Feed(vm=self.ranked[7], zone="z0")
        members, position = self.members, Position(revision=7)
        for now_s in (1.0, 3.0, 5.0):
            feed.observe_announce(build_source(self.ranked[0], heard_s=now_s))
            feed.observe_pull_failure(vm=self.ranked[0], now_s=now_s)
        self.assertFalse(feed.is_reader(members=members, position=position, now_s=5.0))
        feed.observe_announce(build_source(self.ranked[0], heard_s=6.0))
        self.assertTrue(feed.is_reader(members=members, position=position, now_s=6.0))
        feed.observe_pull_progress()
        self.assertFalse(feed.is_reader(members=members, position=position, now_s=6.0))

    def test_a_store_outage_bounds_the_readers_of_a_large_zone(self):
        sources = [build_source(self.ranked[0], heard_s=60.0, age_s=50.0)]
        reading = [self.is_reader(rank, now_s=60.1, sources=sources) for rank in range(10)]
        self.assertEqual(sum(reading), 6)

    def test_another_zones_confirmation_counts(self):
        """Readers of another zone that reach the store make more readers unnecessary here."""
        sources = [
            build_source(self.ranked[0], heard_s=9.0, age_s=8.0),
            build_source("vm-1", heard_s=9.0, zone="z1"),
        ]
        self.assertFalse(self.is_reader(2, now_s=9.1, sources=sources))


class SourceTest(unittest.TestCase):
    """A VM that is behind must pull from a suitable peer."""

    def setUp(self):
        self.feed = Feed(vm="vm-0", zone="z0")
        self.feed.observe_announce(build_source("near", heard_s=1.0, position=Position(revision=7)))
        self.feed.observe_announce(
            build_source("far", heard_s=1.5, position=Position(revision=7), zone="z1")
        )

    def pick(self, revision: int, now_s: float, members=()) -> Source | None:
        return self.feed.pick_source(members=members, is_ahead=is_after(revision), now_s=now_s)

    def test_a_peer_of_the_same_zone_is_preferred(self):
        self.assertEqual(self.pick(6, 2.0).vm, "near")

    def test_no_source_is_returned_if_no_peer_is_ahead(self):
        self.assertIsNone(self.pick(7, 2.0))

    def test_a_peer_is_skipped_for_a_while_after_a_failed_pull(self):
        self.feed.observe_pull_failure(vm="near", now_s=2.0)
        self.assertEqual(self.pick(6, 2.1).vm, "far")
        self.assertEqual(self.pick(6, 2.6).vm, "near")

    def test_pulls_are_spread_over_the_distribution_tree(self):
        """A reader that serves its whole zone over a small link delays its callers' packets."""
        members = build_members(72)
        pulls: dict[str, int] = {}
        for member in (m for m in members if m.zone == "z0"):
            feed = Feed(vm=member.vm, zone="z0")
            for reader in pick_readers(zone="z0", members=members):
                if reader.vm != member.vm:
                    feed.observe_announce(
                        build_source(reader.vm, heard_s=1.0, position=Position(revision=7))
                    )
            source = feed.pick_source(members=members, is_ahead=is_after(6), now_s=2.0)
            pulls[source.vm] = pulls.get(source.vm, 0) + 1
        self.assertEqual(sum(pulls.values()), 36)
        self.assertLessEqual(max(pulls.values()), 5)

    def test_a_parent_is_skipped_after_a_failed_pull(self):
        members = build_members(72)
        vm = rank_readers(zone="z0", members=members)[20].vm
        feed = Feed(vm=vm, zone="z0")
        feed.observe_announce(build_source("near", heard_s=1.0, position=Position(revision=7)))
        parent = feed.pick_source(members=members, is_ahead=is_after(6), now_s=2.0)
        self.assertNotEqual(parent.vm, "near")
        feed.observe_pull_failure(vm=parent.vm, now_s=2.0)
        source = feed.pick_source(members=members, is_ahead=is_after(6), now_s=2.1)
        self.assertEqual(source.vm, "near")

    def test_a_parent_that_is_behind_itself_is_asked_again(self):
        """A whole zone that turned to its readers would fill their links."""
        self.assertFalse(self.feed.observe_pull_without_news(vm="parent", now_s=2.0))
        self.assertFalse(self.feed.observe_pull_without_news(vm="parent", now_s=3.5))
        self.assertTrue(self.feed.observe_pull_without_news(vm="parent", now_s=4.1))
        self.assertTrue(self.feed.observe_pull_without_news(vm="near", now_s=2.0))

    def test_recipients_are_the_zone_and_the_readers_of_other_zones(self):
        members = build_members(20)
        names = {member.vm for member in self.feed.list_recipients(members)}
        local = {m.vm for m in members if m.zone == "z0"} - {"vm-0"}
        remote = {m.vm for m in pick_readers(zone="z1", members=members)}
        self.assertEqual(names, local | remote)


class ReadPlannerTest(unittest.TestCase):
    """Reads must be cheap for the store and still deliver changes quickly."""

    def setUp(self):
        self.planner = ReadPlanner()
        self.rng = Random(1)

    def test_the_first_read_is_of_all_records_and_the_next_is_a_watch(self):
        self.assertEqual(self.planner.decide(position=START, now_s=0.0), ReadAll())
        self.planner.observe_success(size_bytes=0, now_s=0.0)
        self.assertIsInstance(self.planner.decide(position=Position(revision=4), now_s=0.0), Watch)

    def test_lost_history_requires_a_consistent_full_read(self):
        self.planner.observe_history_lost()
        self.assertEqual(
            self.planner.decide(position=Position(revision=4), now_s=0.0),
            ReadAll(),
        )

    def test_watch_after_a_failure_does_not_wait(self):
        """It tells the epoch of a store that was restored during the failure."""
        self.planner.observe_failure(is_loaded=True, now_s=0.0, rng=self.rng)
        self.assertEqual(self.planner.decide(position=Position(revision=4), now_s=1.0).wait_s, 0.0)
        self.planner.observe_success(size_bytes=0, now_s=1.0)
        step = self.planner.decide(position=Position(revision=4), now_s=1.0)
        self.assertGreater(step.wait_s, 0.0)

    def test_watch_ends_when_a_confirmation_is_needed(self):
        for due_s, wait_s in ((1.5, 0.52), (9.0, 2.5), (0.5, 2.5)):
            with self.subTest(due_s):
                step = self.planner.decide(position=Position(revision=4), now_s=1.0, due_s=due_s)
                self.assertAlmostEqual(step.wait_s, wait_s)

    def test_changes_in_quick_succession_are_batched(self):
        self.planner.observe_success(size_bytes=200, now_s=1.0)
        self.assertIsInstance(self.planner.decide(position=Position(revision=4), now_s=1.1), Pause)
        self.assertIsInstance(self.planner.decide(position=Position(revision=4), now_s=1.5), Watch)

    def test_reads_of_large_configurations_are_spaced_further_apart(self):
        self.planner.observe_success(size_bytes=200_000, now_s=1.0)
        self.assertIsInstance(self.planner.decide(position=Position(revision=4), now_s=1.6), Pause)
        self.assertIsInstance(self.planner.decide(position=Position(revision=4), now_s=1.8), Watch)

    def test_failures_back_off_up_to_a_limit(self):
        waits = []
        for _ in range(8):
            self.planner.observe_failure(is_loaded=True, now_s=0.0, rng=self.rng)
            waits.append(self.planner.decide(position=Position(revision=4), now_s=0.0).wait_s)
        self.assertLess(waits[0], 0.11)
        self.assertTrue(0.6 < waits[-1] <= 1.0)


if __name__ == "__main__":
    unittest.main()
