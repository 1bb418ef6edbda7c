"""Tests of zones that are evacuated."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from mulberryswitch.directory import Directory, Position, Record, build_token
from mulberryswitch.directory.tests.builders import (
    build_config_record,
    build_evacuation_record,
    build_record,
    build_target,
    build_target_record,
    decode,
)

ZONES = ("za", "zb", "zc")


def build_records() -> list[Record]:
    targets = [build_target_record(f"t-{zone}", 6, epoch=1, zone=zone) for zone in ZONES]
    return [build_config_record(5, routes={443: "feeds"}, epoch=1), *targets]


class EvacuationTestCase(unittest.TestCase):
    """Fixture with one target in each zone."""

    def setUp(self):
        self.directory = self.build_directory()
        self.revision = 10

    def build_directory(self) -> Directory:
        directory = Directory(decode=decode, zones=frozenset(ZONES))
        directory.apply_snapshot(records=build_records(), position=Position(1, 10), now_s=0.0)
        return directory

    def apply(self, *records: Record, now_s: float = 1.0) -> None:
        position = Position(self.directory.epoch, max(record.revision for record in records))
        self.directory.apply_records(records=records, position=position, now_s=now_s)

    def evacuate(self, *zones: str, now_s: float = 1.0) -> None:
        for zone in zones:
            self.revision += 1
            self.apply(build_evacuation_record(zone, self.revision, epoch=1), now_s=now_s)

    def take_back(self, zone: str, now_s: float = 2.0) -> None:
        self.revision += 1
        self.apply(build_record(f"evacuate/{zone}", self.revision, epoch=1), now_s=now_s)

    def get_zones(self, now_s: float = 1.0, directory: Directory | None = None) -> list[str]:
        """Return the zones whose targets get new flows."""
        directory = directory or self.directory
        return sorted(target.zone for target in directory.list_serving("feeds", now_s))


class RequestTest(EvacuationTestCase):
    """New flows must leave a zone at once, and open ones must stay."""

    def test_new_flows_go_elsewhere_until_it_is_taken_back(self):
        self.evacuate("zb")
        self.assertEqual(self.get_zones(), ["za", "zc"])
        self.take_back("zb")
        self.assertEqual(self.get_zones(), ["za", "zb", "zc"])
        self.evacuate("zb")
        self.assertEqual(self.get_zones(), ["za", "zc"])

    def test_open_flows_find_their_target(self):
        self.evacuate("zb")
        token = build_token(build_target("t-zb").identity)
        self.assertEqual(self.directory.find_target(token).zone, "zb")

    def test_all_zones_may_be_evacuated(self):
        """The request holds without exception, so nothing is left that could serve."""
        self.evacuate(*ZONES)
        self.assertEqual(self.get_zones(), [])

    def test_a_target_that_starts_in_the_zone_gets_nothing(self):
        self.evacuate("zb")
        self.apply(build_target_record("new", 20, epoch=1, zone="zb"))
        self.assertEqual(self.get_zones(), ["za", "zc"])

    def test_lapsed_targets_of_the_zone_get_nothing(self):
        """Lapsed targets of a service stay in use for a while, but not those of the zone."""
        self.evacuate("zb")
        deletions = [build_record(f"t-{zone}", 20 + n, epoch=1) for n, zone in enumerate(ZONES)]
        self.apply(*deletions, now_s=3.0)
        self.assertEqual(self.get_zones(3.1), ["za", "zc"])

    def test_request_before_the_configuration(self):
        directory = Directory(decode=decode)
        records = [build_evacuation_record("za", 4, epoch=1)]
        directory.apply_snapshot(records=records, position=Position(1, 4), now_s=0.0)
        self.assertFalse(directory.is_loaded)
        directory.apply_records(records=build_records(), position=Position(1, 10), now_s=1.0)
        self.assertEqual(self.get_zones(directory=directory), ["zb", "zc"])

    def test_unknown_zone_is_logged_and_changes_nothing(self):
        with self.assertLogs("directory", "WARNING"):
            self.evacuate("elsewhere")
        self.assertEqual(self.get_zones(), list(ZONES))

    def test_a_request_that_is_written_again_keeps_its_start(self):
        self.evacuate("zb", now_s=1.0)
        self.evacuate("zb", now_s=5.0)
        (item,) = self.directory.evacuations.list_zones()
        self.assertEqual((item.zone, item.since_s), ("zb", 1.0))

    @given(st.lists(st.tuples(st.sampled_from(ZONES), st.booleans()), max_size=12))
    def test_any_order_of_requests(self, steps):
        self.setUp()
        evacuated = set()
        for zone, is_request in steps:
            if is_request:
                self.evacuate(zone)
                evacuated.add(zone)
            else:
                self.take_back(zone)
                evacuated.discard(zone)
            self.assertEqual(self.get_zones(), sorted({*ZONES} - evacuated))
            self.assertEqual(self.directory.evacuations.zones, evacuated)


class SpreadTest(EvacuationTestCase):
    """Requests must reach other VMs, also those that start or were cut off."""

    def test_peer_gets_the_request_as_a_change(self):
        behind = self.build_directory()
        self.evacuate("zb")
        changes = self.directory.list_changes(behind.position)
        behind.apply_records(records=changes, position=self.directory.position, now_s=2.0)
        self.assertEqual(self.get_zones(directory=behind), ["za", "zc"])

    def test_snapshot_without_the_request_takes_it_back(self):
        self.evacuate("zb")
        self.directory.apply_snapshot(records=build_records(), position=Position(1, 30), now_s=2.0)
        self.assertEqual(self.get_zones(2.0), list(ZONES))


class RestoreTest(EvacuationTestCase):
    """A store that comes back from an older copy must not open an evacuated zone."""

    def restore(self, *records: Record, revision: int = 10, now_s: float = 10.0) -> None:
        copy = [
            Record(
                key=record.key,
                revision=record.revision,
                created_revision=record.created_revision,
                value=record.value,
                epoch=2,
            )
            for record in (*build_records(), *records)
        ]
        self.directory.apply_snapshot(records=copy, position=Position(2, revision), now_s=now_s)

    def confirm_until(self, end_s: int) -> None:
        """Let the store confirm the position each second."""
        for now_s in range(11, end_s + 1):
            self.directory.apply_due(now_s=now_s, confirmed_s=now_s)

    def test_request_that_the_copy_lacks_holds_until_it_can_be_written_again(self):
        self.evacuate("zb")
        self.restore()
        self.assertEqual(self.get_zones(11.0), ["za", "zc"])
        self.apply(build_evacuation_record("zb", 11, epoch=2), now_s=11.0)
        self.confirm_until(20)
        self.assertEqual(self.get_zones(20.0), ["za", "zc"])

    def test_request_that_is_not_written_again_ends(self):
        self.evacuate("zb")
        self.restore()
        self.confirm_until(20)
        self.assertEqual(self.get_zones(20.0), list(ZONES))

    def test_request_of_the_copy_holds_until_it_is_taken_back_again(self):
        self.evacuate("zb")
        self.take_back("zb")
        self.restore(build_evacuation_record("zb", 9, epoch=2))
        self.assertEqual(self.get_zones(10.0), ["za", "zc"])
        self.apply(build_record("evacuate/zb", 11, epoch=2), now_s=11.0)
        self.assertEqual(self.get_zones(11.0), list(ZONES))

    def test_starting_vm_learns_from_a_peer_what_the_copy_lacks(self):
        self.evacuate("zb")
        self.restore()
        peer, self.directory = self.directory, Directory(decode=decode)
        self.restore(now_s=10.5)
        self.assertEqual(self.get_zones(10.5), list(ZONES))
        self.directory.apply_snapshot(
            records=peer.list_records(),
            position=peer.position,
            now_s=11.0,
            heritage=peer.build_heritage(11.0),
        )
        self.assertEqual(self.get_zones(11.0), ["za", "zc"])
        self.confirm_until(20)
        self.assertEqual(self.get_zones(20.0), list(ZONES))


if __name__ == "__main__":
    unittest.main()
