"""Tests of the routes and targets in force."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from mulberryswitch.directory import Directory, Record, build_token
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
    """Guards against a configuration that goes back."""

    def test_an_older_snapshot_changes_nothing(self):
        directory = build_directory(build_config_record(9, version=5, routes={443: "feeds"}))
        old = [build_config_record(3, version=2, routes={443: "scans"})]
        self.assertFalse(directory.apply_snapshot(records=old, revision=4, now_s=1.0))
        self.assertEqual((directory.version, directory.revision), (5, 10))

    def test_a_stale_snapshot_cannot_bring_back_an_older_value_of_a_key(self):
        """A read that may be old can start below what later pages already showed."""
        directory = build_directory(build_config_record(14, version=5, routes={443: "feeds"}))
        old = [build_config_record(12, version=4, routes={443: "scans"})]
        directory.apply_snapshot(records=old, revision=13, now_s=1.0)
        self.assertEqual(directory.version, 5)

    def test_changes_that_were_applied_are_not_applied_again(self):
        """A peer that is behind must not revive a deleted target."""
        directory = build_directory(build_target_record("t1", 5))
        directory.apply_records(records=[build_record("t1", 11)], revision=11, now_s=1.0)
        late = [build_target_record("t1", 8)]
        self.assertFalse(directory.apply_records(records=late, revision=9, now_s=1.0))
        self.assertEqual(get_names(directory, now_s=9.0), set())

    @given(st.lists(st.integers(0, 30), min_size=1, max_size=12))
    def test_revision_never_falls(self, revisions):
        directory = Directory(decode=decode)
        highest = 0
        for number, revision in enumerate(revisions):
            record = build_config_record(revision, version=number + 1, routes={443: "feeds"})
            apply = directory.apply_snapshot if number % 2 else directory.apply_records
            apply(records=[record], revision=revision, now_s=0.0)
            highest = max(highest, revision)
            self.assertEqual(directory.revision, highest)


class ForeignRecordTest(unittest.TestCase):
    """Guards the others against a record of another writer."""

    def test_an_unreadable_record_names_no_target(self):
        directory = build_directory(
            build_target_record("t1", 5), build_record("t2", 6, something="else")
        )
        self.assertEqual(get_names(directory), {"t1"})

    def test_a_target_whose_record_becomes_unreadable_is_used_no_more(self):
        directory = build_directory(build_target_record("t1", 5), build_target_record("t2", 5))
        bad = [build_record("t1", 11, something="else")]
        directory.apply_records(records=bad, revision=11, now_s=1.0)
        self.assertEqual(get_names(directory, now_s=1.0), {"t2"})


class DepartureTest(unittest.TestCase):
    """Guards open flows of targets that leave, and services whose records lapse together."""

    def test_a_draining_target_takes_no_flows_and_keeps_its_token(self):
        directory = build_directory(
            build_target_record("t1", 5, draining=True), build_target_record("t2", 5)
        )
        self.assertEqual(get_names(directory), {"t2"})
        token = build_token(build_target("t1").identity)
        self.assertEqual(directory.find_target(token).key, "t1")

    def test_a_drained_target_is_gone_as_soon_as_its_record_is(self):
        directory = build_directory(build_target_record("t1", 5, draining=True))
        directory.apply_records(records=[build_record("t1", 11)], revision=11, now_s=1.0)
        departure = directory.find_departure(build_token(build_target("t1").identity))
        self.assertTrue(departure.is_gone(1.0))

    def test_a_lapsed_target_may_return(self):
        directory = build_directory(build_target_record("t1", 5))
        directory.apply_records(records=[build_record("t1", 11)], revision=11, now_s=1.0)
        departure = directory.find_departure(build_token(build_target("t1").identity))
        self.assertFalse(departure.is_gone(2.9))
        self.assertTrue(departure.is_gone(3.6))

    def test_targets_that_lapse_together_stay_in_use(self):
        """An outage of the store must not take a service away that lives."""
        names = ["t1", "t2", "t3"]
        directory = build_directory(*(build_target_record(name, 5) for name in names))
        lapse = [build_record(name, 11 + i) for i, name in enumerate(names)]
        directory.apply_records(records=lapse, revision=13, now_s=1.0)
        self.assertEqual(get_names(directory, now_s=2.0), set(names))
        back = [build_target_record("t1", 14)]
        directory.apply_records(records=back, revision=14, now_s=2.0)
        self.assertEqual(get_names(directory, now_s=2.0), set(names))
        self.assertEqual(get_names(directory, now_s=4.0), {"t1"})

    def test_one_target_of_many_that_lapses_is_left_out(self):
        names = ["t1", "t2", "t3"]
        directory = build_directory(*(build_target_record(name, 5) for name in names))
        directory.apply_records(records=[build_record("t2", 11)], revision=11, now_s=1.0)
        self.assertEqual(get_names(directory, now_s=1.1), {"t1", "t3"})

    def test_a_departure_is_forgotten_after_the_life_of_a_flow(self):
        directory = build_directory(build_target_record("t1", 5))
        directory.apply_records(records=[build_record("t1", 11)], revision=11, now_s=1.0)
        later = [build_target_record("t2", 12)]
        directory.apply_records(records=later, revision=12, now_s=62.0)
        self.assertIsNone(directory.find_departure(build_token(build_target("t1").identity)))


class SuccessorTest(unittest.TestCase):
    """Guards against the next owner of an address or of a name."""

    def test_the_next_owner_of_an_address_does_not_get_its_flows(self):
        """Flows name a process, not an address, which another service may have by then."""
        directory = build_directory(build_target_record("t1", 5))
        directory.apply_records(
            records=[build_record("t1", 11), build_target_record("t2", 12, service="scans")],
            revision=12,
            now_s=1.0,
        )
        old, new = (build_target(name) for name in ("t1", "t2"))
        self.assertEqual(old.address, new.address)
        self.assertIsNone(directory.find_target(build_token(old.identity)))
        self.assertEqual(directory.find_target(build_token(new.identity)).service, "scans")
        self.assertEqual(get_names(directory, now_s=9.0), set())

    def test_a_target_that_starts_again_under_its_name_is_cold_and_in_use(self):
        directory = build_directory(build_target_record("t1", 5))
        again = [build_target_record("t1", 11, cold_s=2.0)]
        directory.apply_records(records=again, revision=11, now_s=1.0)
        self.assertEqual(get_names(directory), {"t1"})
        self.assertEqual(directory.cold_until_s["t1"], 3.0)


class RouteTest(unittest.TestCase):
    """Guards flows of routes that come and go."""

    def test_a_removed_route_is_known_as_removed_until_it_returns(self):
        directory = build_directory(build_config_record(5, routes={443: "feeds", 80: "scans"}))
        for revision, routes in ((11, {443: "feeds"}), (12, {443: "feeds", 80: "scans"})):
            record = build_config_record(revision, version=revision, routes=routes)
            directory.apply_records(records=[record], revision=revision, now_s=1.0)
            self.assertEqual((ROUTE_HOST, 80) in directory.removed_routes, revision == 11)


class TokenTest(unittest.TestCase):
    """Guards flows of targets whose identities share a token."""

    def test_the_older_target_keeps_a_shared_token(self):
        same = {"identity": b"12345678"}
        directory = Directory(
            decode=lambda record: build_target(record.key, **same),
        )
        records = [
            Record(key=name, revision=9, created_revision=created, value=b"{}")
            for name, created in (("young", 8), ("old", 3))
        ]
        directory.apply_snapshot(records=records, revision=10, now_s=0.0)
        self.assertEqual(directory.find_target(build_token(b"12345678")).key, "old")
        self.assertEqual(get_names(directory), {"old"})

    @given(st.binary(min_size=8, max_size=8))
    def test_no_token_is_zero(self, identity):
        """A token of 0 says that a caller has had no answer."""
        self.assertTrue(0 < build_token(identity) < 2**32)


class ExchangeTest(unittest.TestCase):
    """Guards what peers are told."""

    def test_changes_after_a_revision(self):
        directory = build_directory(build_target_record("t1", 5))
        for revision in (11, 12):
            record = build_target_record(f"t{revision}", revision)
            directory.apply_records(records=[record], revision=revision, now_s=1.0)
        self.assertEqual([r.key for r in directory.list_changes(11)], ["t12"])

    def test_a_peer_from_before_the_snapshot_gets_everything(self):
        directory = build_directory(build_target_record("t1", 5))
        self.assertIsNone(directory.list_changes(9))

    def test_the_log_is_bounded(self):
        directory = build_directory()
        for revision in range(11, 800):
            record = build_target_record("t1", revision, slots=revision)
            directory.apply_records(records=[record], revision=revision, now_s=1.0)
        self.assertIsNone(directory.list_changes(12))
        self.assertEqual(len(directory.list_changes(789)), 10)

    def test_a_deletion_reaches_a_peer(self):
        first, second = (build_directory(build_target_record("t1", 5)) for _ in range(2))
        first.apply_records(records=[build_record("t1", 11)], revision=11, now_s=1.0)
        second.apply_records(
            records=first.list_changes(second.revision), revision=first.revision, now_s=1.0
        )
        self.assertEqual((second.targets, second.revision), ({}, 11))


if __name__ == "__main__":
    unittest.main()
