"""Tests of the replica of routes and targets."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from mulberryswitch.directory import Directory, Position, Record, build_token
from mulberryswitch.directory._change_log import MAX_LOG_BYTES
from mulberryswitch.directory.tests.builders import (
    ROUTE_HOST,
    build_config_record,
    build_directory,
    build_record,
    build_target,
    build_target_record,
    decode,
)


def get_names(directory: Directory, service: str = "feeds", now_s: float = 0.0) -> set[str]:
    return {target.key for target in directory.list_serving(service, now_s)}


class RevisionTest(unittest.TestCase):
    """The configuration must never revert to an older revision."""

    def test_an_older_snapshot_changes_nothing(self):
        directory = build_directory(build_config_record(9, version=5, routes={443: "feeds"}))
        old = [build_config_record(3, version=2, routes={443: "scans"})]
        self.assertFalse(
            directory.apply_snapshot(records=old, position=Position(revision=4), now_s=1.0)
        )
        self.assertEqual((directory.version, directory.revision), (5, 10))

    def test_a_stale_snapshot_does_not_restore_an_older_value_of_a_key(self):
        """Pages of a stale read can be newer than the revision of its first page."""
        directory = build_directory(build_config_record(14, version=5, routes={443: "feeds"}))
        old = [build_config_record(12, version=4, routes={443: "scans"})]
        directory.apply_snapshot(records=old, position=Position(revision=13), now_s=1.0)
        self.assertEqual(directory.version, 5)

    def test_changes_are_applied_only_once(self):
        """A late change from a peer that is behind must not restore a deleted target."""
        directory = build_directory(build_target_record("t1", 5))
        directory.apply_records(
            records=[build_record("t1", 11)], position=Position(revision=11), now_s=1.0
        )
        late = [build_target_record("t1", 8)]
        self.assertFalse(
            directory.apply_records(records=late, position=Position(revision=9), now_s=1.0)
        )
        self.assertEqual(get_names(directory, now_s=9.0), set())

    @given(st.lists(st.integers(0, 30), min_size=1, max_size=12))
    def test_revision_never_falls(self, revisions):
        directory = Directory(decode=decode)
        highest = 0
        for number, revision in enumerate(revisions):
            record = build_config_record(revision, version=number + 1, routes={443: "feeds"})
            apply = directory.apply_snapshot if number % 2 else directory.apply_records
            apply(records=[record], position=Position(revision=revision), now_s=0.0)
            highest = max(highest, revision)
            self.assertEqual(directory.revision, highest)


class ForeignRecordTest(unittest.TestCase):
    """A record of an unrelated writer must not affect the other records."""

    def test_an_unreadable_record_is_ignored(self):
        directory = build_directory(
            build_target_record("t1", 5), build_record("t2", 6, something="else")
        )
        self.assertEqual(get_names(directory), {"t1"})

    def test_a_target_whose_record_becomes_unreadable_is_removed(self):
        directory = build_directory(build_target_record("t1", 5), build_target_record("t2", 5))
        bad = [build_record("t1", 11, something="else")]
        directory.apply_records(records=bad, position=Position(revision=11), now_s=1.0)
        self.assertEqual(get_names(directory, now_s=1.0), {"t2"})


class DepartureTest(unittest.TestCase):
    """Departing targets must keep their open flows; a store outage must not empty a service."""

    def test_a_draining_target_gets_no_new_flows_and_keeps_its_token(self):
        directory = build_directory(
            build_target_record("t1", 5, draining=True), build_target_record("t2", 5)
        )
        self.assertEqual(get_names(directory), {"t2"})
        token = build_token(build_target("t1").identity)
        self.assertEqual(directory.find_target(token).key, "t1")

    def test_a_drained_target_is_gone_once_its_record_is_deleted(self):
        directory = build_directory(build_target_record("t1", 5, draining=True))
        directory.apply_records(
            records=[build_record("t1", 11)], position=Position(revision=11), now_s=1.0
        )
        departure = directory.find_departure(build_token(build_target("t1").identity))
        self.assertTrue(departure.is_gone(1.0))

    def test_a_lapsed_target_has_a_grace_period(self):
        directory = build_directory(build_target_record("t1", 5))
        directory.apply_records(
            records=[build_record("t1", 11)], position=Position(revision=11), now_s=1.0
        )
        departure = directory.find_departure(build_token(build_target("t1").identity))
        self.assertFalse(departure.is_gone(2.9))
        self.assertTrue(departure.is_gone(3.6))

    def test_targets_that_lapse_together_stay_in_use(self):
        """During a store outage the leases of live targets expire together."""
        names = ["t1", "t2", "t3"]
        directory = build_directory(*(build_target_record(name, 5) for name in names))
        lapse = [build_record(name, 11 + i) for i, name in enumerate(names)]
        directory.apply_records(records=lapse, position=Position(revision=13), now_s=1.0)
        self.assertEqual(get_names(directory, now_s=2.0), set(names))
        renewed = [build_target_record("t1", 14)]
        directory.apply_records(records=renewed, position=Position(revision=14), now_s=2.0)
        self.assertEqual(get_names(directory, now_s=2.0), set(names))
        self.assertEqual(get_names(directory, now_s=4.0), {"t1"})

    def test_a_single_lapsed_target_of_many_is_excluded(self):
        names = ["t1", "t2", "t3"]
        directory = build_directory(*(build_target_record(name, 5) for name in names))
        directory.apply_records(
            records=[build_record("t2", 11)], position=Position(revision=11), now_s=1.0
        )
        self.assertEqual(get_names(directory, now_s=1.1), {"t1", "t3"})

    def test_a_departure_is_dropped_after_the_maximum_lifetime_of_a_flow(self):
        directory = build_directory(build_target_record("t1", 5))
        directory.apply_records(
            records=[build_record("t1", 11)], position=Position(revision=11), now_s=1.0
        )
        later = [build_target_record("t2", 12)]
        directory.apply_records(records=later, position=Position(revision=12), now_s=62.0)
        self.assertIsNone(directory.find_departure(build_token(build_target("t1").identity)))


class SuccessorTest(unittest.TestCase):
    """A process that reuses an address or a key must not inherit the state of its predecessor."""

    def test_a_reused_address_does_not_inherit_flows(self):
        """A token identifies a process, because another service may reuse its address."""
        directory = build_directory(build_target_record("t1", 5))
        directory.apply_records(
            records=[build_record("t1", 11), build_target_record("t2", 12, service="scans")],
            position=Position(revision=12),
            now_s=1.0,
        )
        old, new = (build_target(name) for name in ("t1", "t2"))
        self.assertEqual(old.address, new.address)
        self.assertIsNone(directory.find_target(build_token(old.identity)))
        self.assertEqual(directory.find_target(build_token(new.identity)).service, "scans")
        self.assertEqual(get_names(directory, now_s=9.0), set())

    def test_a_target_that_restarts_under_its_key_is_cold_and_available(self):
        directory = build_directory(build_target_record("t1", 5))
        restarted = [build_target_record("t1", 11, cold_s=2.0)]
        directory.apply_records(records=restarted, position=Position(revision=11), now_s=1.0)
        self.assertEqual(get_names(directory), {"t1"})
        self.assertEqual(directory.cold_until_s["t1"], 3.0)


class RouteTest(unittest.TestCase):
    """A removed route must be distinguishable from an unknown one."""

    def test_a_removed_route_is_recorded_until_it_is_added_again(self):
        directory = build_directory(build_config_record(5, routes={443: "feeds", 80: "scans"}))
        for revision, routes in ((11, {443: "feeds"}), (12, {443: "feeds", 80: "scans"})):
            record = build_config_record(revision, version=revision, routes=routes)
            directory.apply_records(
                records=[record], position=Position(revision=revision), now_s=1.0
            )
            self.assertEqual((ROUTE_HOST, 80) in directory.config.removed_routes, revision == 11)


class TokenTest(unittest.TestCase):
    """Flows must stay with their target when two identities collide on a token."""

    def test_the_older_target_keeps_a_shared_token(self):
        same = {"identity": b"12345678"}
        directory = Directory(
            decode=lambda record: build_target(record.key, **same),
        )
        records = [
            Record(key=name, revision=9, created_revision=created, value=b"{}")
            for name, created in (("young", 8), ("old", 3))
        ]
        directory.apply_snapshot(records=records, position=Position(revision=10), now_s=0.0)
        self.assertEqual(directory.find_target(build_token(b"12345678")).key, "old")
        self.assertEqual(get_names(directory), {"old"})

    def test_a_restore_does_not_move_a_shared_token(self):
        """The older target registers again after the younger one, so its record is the newer."""
        boots = {"old": 3, "young": 8}
        directory = Directory(
            decode=lambda record: build_target(
                record.key, identity=b"12345678", boot_ms=boots[record.key]
            ),
        )
        for epoch, names in ((1, ("old", "young")), (2, ("young", "old"))):
            records = [
                Record(key=name, revision=n, created_revision=n, value=b"{}", epoch=epoch)
                for n, name in enumerate(names, start=1)
            ]
            directory.apply_snapshot(records=records, position=Position(epoch, 9), now_s=0.0)
            self.assertEqual(directory.find_target(build_token(b"12345678")).key, "old")

    @given(st.binary(min_size=8, max_size=8))
    def test_no_token_is_zero(self, identity):
        """A token of 0 says that a caller has had no answer."""
        self.assertTrue(0 < build_token(identity) < 2**32)


class ExchangeTest(unittest.TestCase):
    """Peers that are behind must receive every change."""

    def test_changes_after_a_revision(self):
        directory = build_directory(build_target_record("t1", 5))
        for revision in (11, 12):
            record = build_target_record(f"t{revision}", revision)
            directory.apply_records(
                records=[record], position=Position(revision=revision), now_s=1.0
            )
        self.assertEqual([r.key for r in directory.list_changes(Position(revision=11))], ["t12"])

    def test_the_log_does_not_reach_back_before_the_snapshot(self):
        directory = build_directory(build_target_record("t1", 5))
        self.assertIsNone(directory.list_changes(Position(revision=9)))

    def apply(self, directory: Directory, *records: Record) -> None:
        position = Position(revision=records[-1].revision)
        directory.apply_records(records=records, position=position, now_s=1.0)

    def test_the_log_keeps_the_newest_change_of_a_key(self):
        """A peer that is behind by 800 versions of a large configuration needs the last one."""
        directory = build_directory()
        for revision in range(11, 800):
            self.apply(directory, build_target_record("t1", revision, slots=revision))
        for after in (10, 12, 798):
            changes = directory.list_changes(Position(revision=after))
            with self.subTest(after):
                self.assertEqual([record.revision for record in changes], [799])
        self.assertEqual(directory.list_changes(Position(revision=799)), [])

    def test_the_log_is_bounded_in_bytes(self):
        directory = build_directory()
        size_bytes = MAX_LOG_BYTES // 10
        for revision in range(11, 41):
            record = build_record(f"t{revision}", revision, filler="x" * size_bytes)
            self.apply(directory, record)
        self.assertIsNone(directory.list_changes(Position(revision=11)))
        kept = directory.list_changes(Position(revision=34))
        self.assertEqual([record.revision for record in kept], [35, 36, 37, 38, 39, 40])
        self.assertLessEqual(directory._log._size_bytes, MAX_LOG_BYTES)

    def test_record_of_a_later_page_reaches_peers_at_the_position_of_the_first(self):
        """A snapshot may hold a record that is newer than its position; the watch repeats it."""
        later = build_target_record("t2", 12)
        directory = build_directory(build_target_record("t1", 5), later, revision=10)
        self.apply(directory, later)
        changes = directory.list_changes(Position(revision=10))
        self.assertEqual(changes, [later])

    def test_a_deletion_reaches_a_peer(self):
        first, second = (build_directory(build_target_record("t1", 5)) for _ in range(2))
        first.apply_records(
            records=[build_record("t1", 11)], position=Position(revision=11), now_s=1.0
        )
        second.apply_records(
            records=first.list_changes(second.position), position=first.position, now_s=1.0
        )
        self.assertEqual((second.targets, second.revision), ({}, 11))


if __name__ == "__main__":
    unittest.main()
