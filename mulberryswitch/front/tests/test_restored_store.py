"""Tests of a store that comes back from a copy some seconds old and repeats revisions."""

import unittest
from dataclasses import replace
from random import Random

from mulberryswitch.contracts import FEED_CODEC, FeedAnnounce
from mulberryswitch.directory import START, Position, Source
from mulberryswitch.directory.tests.builders import build_record
from mulberryswitch.front import Front
from mulberryswitch.front._packing import pack_records
from mulberryswitch.platform import ADAPTER
from standins.store import StoreFault

from .builders import (
    FrontTestCase,
    RunningFront,
    build_config,
    build_settings,
    build_target_entry,
    wait_until,
)

# Upper bound of the delay of a change, as the platform states it.
CONFIG_TIMEOUT_S = 3.0


class RestoredStoreTest(FrontTestCase):
    """What the operator writes after a restore must be in force, and nothing older."""

    async def publish(self, version: int, *fronts: Front) -> None:
        """Publish a version and wait until it is in force."""
        self.store.put("op/config", build_config(version))
        await self.wait_for_version(version, *fronts)

    async def wait_for_version(self, version: int, *fronts: Front) -> None:
        await wait_until(
            lambda: all(front.directory.version == version for front in fronts),
            timeout_s=CONFIG_TIMEOUT_S,
        )

    async def wait_for_epoch(self, *fronts: Front) -> None:
        await wait_until(
            lambda: all(front.directory.epoch == self.store.epoch for front in fronts),
            timeout_s=CONFIG_TIMEOUT_S,
        )

    def build_second_settings(self, **changes):
        options = {"vm_number": 2, "seeds": (self.settings.peer_address,)} | changes
        return build_settings(self.store.port, **options)

    async def test_version_whose_revision_was_given_out_before_is_in_force(self):
        async with RunningFront(self.settings) as front:
            await wait_until(lambda: front.is_ready)
            await self.publish(4, front)
            copied_s = self.store.clock()
            for version in (8, 11):
                await self.publish(version, front)
            self.store.restore(at_s=copied_s)
            calls = len(self.store.calls)
            await wait_until(lambda: len(self.store.calls) > calls + 1)
            for version in (11, 14):
                self.store.put("op/config", build_config(version))
            await self.wait_for_version(14, front)

    async def test_watch_that_succeeds_in_the_next_epoch_is_followed_by_a_full_read(self):
        """The store gives all lost revisions out again before the reader asks."""
        async with RunningFront(self.settings) as front:
            await wait_until(lambda: front.is_ready)
            copied_s = self.store.clock()
            await self.publish(4, front)
            self.store.fault = StoreFault.BUSY
            await wait_until(lambda: front.reader.planner.failures > 1)
            self.store.restore(at_s=copied_s)
            for version in (4, 8, 11):
                self.store.put("op/config", build_config(version))
            self.store.put("servers/i-3", build_target_entry(9))
            self.store.fault = StoreFault.NONE
            await self.wait_for_version(11, front)
            self.assertIn("servers/i-3", front.directory.targets)

    async def test_epoch_is_noticed_although_a_watch_at_the_repeated_revision_waits(self):
        async with RunningFront(self.settings) as front:
            await wait_until(lambda: front.is_ready)
            copied_s = self.store.clock()
            await self.publish(4, front)
            self.store.fault = StoreFault.BUSY
            await wait_until(lambda: front.reader.planner.failures > 1)
            self.store.restore(at_s=copied_s)
            self.store.put("op/config", build_config(8))
            self.store.fault = StoreFault.NONE
            # Half of the bound remains for the way to the other VMs.
            await wait_until(lambda: front.directory.version == 8, timeout_s=CONFIG_TIMEOUT_S / 2)

    async def test_starting_vm_does_not_use_a_stale_read_from_before_the_restore(self):
        """Its revision stands for another change by then, so that no watch closes the gap."""
        copied_s = self.store.clock()
        self.store.put("op/config", build_config(4))
        self.store.put("servers/i-3", build_target_entry(9))
        self.store.freeze_stale_reads()
        self.store.restore(at_s=copied_s)
        self.store.put("op/config", build_config(8))
        self.store.delete("servers/i-1")
        async with RunningFront(self.settings) as front:
            await wait_until(lambda: front.is_ready)
            self.assertEqual(front.directory.version, 8)
            self.assertEqual(list(front.directory.targets), ["servers/i-2"])

    async def test_configuration_in_force_and_missing_target_survive_the_copy(self):
        async with RunningFront(self.settings) as front:
            await wait_until(lambda: front.is_ready)
            copied_s = self.store.clock()
            self.store.put("servers/i-3", build_target_entry(9))
            await self.publish(4, front)
            self.store.restore(at_s=copied_s)
            await self.wait_for_epoch(front)
            self.assertEqual(front.directory.version, 4)
            self.assertIn("servers/i-3", front.directory.targets)
            await wait_until(lambda: "servers/i-3" not in front.directory.targets, timeout_s=4.0)

    async def test_vm_cut_off_from_the_store_follows_its_peers_to_the_next_epoch(self):
        async with RunningFront(self.settings) as first:
            async with RunningFront(self.build_second_settings()) as second:
                await wait_until(lambda: first.is_ready and second.is_ready)
                await wait_until(lambda: len(second.peers.membership.live()) == 2)
                second.reader.store._http.port = 9
                second.reader.store.close()
                copied_s = self.store.clock()
                await self.publish(4, first, second)
                self.store.restore(at_s=copied_s)
                await self.wait_for_epoch(first, second)
                await self.publish(8, first, second)

    async def test_starting_vm_learns_from_peers_what_the_copy_lacks(self):
        """It reads the older configuration, and a target that has left, from the copy."""
        async with RunningFront(self.settings) as first:
            await wait_until(lambda: len(first.directory.targets) == 2)
            copied_s = self.store.clock()
            entry = build_target_entry(self.targets[0].port, state="draining")
            self.store.put("servers/i-1", entry)
            self.store.put("servers/i-3", build_target_entry(9))
            await self.publish(4, first)
            self.store.delete("servers/i-1")
            await wait_until(lambda: "servers/i-1" not in first.directory.targets)
            self.store.restore(at_s=copied_s)
            await self.wait_for_epoch(first)
            async with RunningFront(self.build_second_settings()) as second:
                await self.wait_for_version(4, second)
                self.assertNotIn("servers/i-1", second.directory.targets)
                self.assertFalse(second.directory.needs_heritage)


class PullTest(unittest.TestCase):
    """VMs of two epochs must exchange what helps, and no more."""

    def setUp(self):
        front = Front(settings=build_settings(9), adapter=ADAPTER, rng=Random(1))
        self.peers = front.peers
        self.sync = self.peers.directory_sync
        self.directory = self.sync.directory
        self.directory.position = Position(2, 15)
        self.directory.config.version = 8

    def build_source(self, position: Position, **changes) -> Source:
        source = Source(
            vm="front-2",
            zone="za",
            address="127.0.0.1:9",
            position=position,
            heard_s=0.0,
            confirmed_s=0.0,
            is_reader=True,
            version=8,
        )
        return replace(source, **changes)

    def test_vm_of_the_former_epoch_is_not_ahead(self):
        source = self.build_source(Position(1, 99), version=11, keeps_heritage=True)
        self.assertFalse(self.sync._is_ahead(source))

    def test_vm_of_the_next_epoch_is_ahead_at_a_lower_revision(self):
        self.assertTrue(self.sync._is_ahead(self.build_source(Position(3, 4))))

    def test_newer_version_at_the_same_position_comes_with_all_records(self):
        for position in (Position(2, 15), Position(2, 14)):
            source = self.build_source(position, version=11)
            with self.subTest(position):
                self.assertTrue(self.sync._is_ahead(source) and self.sync._has_heritage(source))

    def test_newer_version_at_a_later_position_comes_as_a_change(self):
        """Each change of the configuration would make every VM pull all records."""
        source = self.build_source(Position(2, 16), version=11)
        self.assertTrue(self.sync._is_ahead(source))
        self.assertFalse(self.sync._has_heritage(source))

    def test_changes_in_an_announcement_of_another_epoch_are_not_applied(self):
        change = build_record("r", 16, epoch=3)
        for epoch, revision in ((1, 15), (3, 15), (2, 16)):
            announce = FeedAnnounce(
                fleet=self.peers.fleet,
                vm="front-2",
                zone="za",
                epoch=epoch,
                revision=16,
                version=8,
                keeps_heritage=False,
                age_ms=0,
                is_reader=True,
                loads=(),
                after=15,
                packed=pack_records([replace(change, epoch=epoch)]),
            )
            with self.subTest(epoch):
                self.peers._receive(FEED_CODEC.encode(announce), ("127.0.0.1", 9))
                self.assertEqual(self.directory.position, Position(2, revision))

    def test_heritage_is_fetched_once(self):
        source = self.build_source(Position(2, 15), keeps_heritage=True)
        self.assertFalse(self.sync._is_ahead(source))
        self.directory._transition.needs_heritage = True
        self.assertTrue(self.sync._is_ahead(source))

    def test_cached_part_is_not_given_for_another_epoch(self):
        self.directory._log.clear(self.directory.position)
        for after in (START, Position(2, 15), Position(1, 15), Position(2, 15)):
            with self.subTest(after):
                is_same = after == self.directory.position
                self.assertIs(self.peers.pull_server._get_part(after).is_whole, not is_same)


if __name__ == "__main__":
    unittest.main()
