"""Tests of dissemination among peers, of starting VMs and of platform reads."""

import unittest
from dataclasses import replace
from random import Random

from mulberryswitch.configuration import Binding, Outgoing
from mulberryswitch.configuration._document import compute_digest
from mulberryswitch.configuration._readers import PlatformReads
from mulberryswitch.contracts import (
    PEER_CODEC,
    ConfigAnnounce,
    ConfigDocument,
    ConfigPull,
    ResultCode,
)
from mulberryswitch.vms import pick_readers

from .builders import Fleet, build_document, build_members, build_service

SEED = 11
ANNOUNCE = ConfigAnnounce(version=0, digest=b"", tombstones=bytes(8))


def build_fleet(count: int, document: bytes | None = None) -> Fleet:
    """Return a fleet past its start; with `document` in force as version 1."""
    fleet = Fleet(count=count, rng=Random(SEED))
    fleet.run(5)
    if document is not None:
        fleet.publish("vm0", document, 1)
        fleet.run(10)
    return fleet


class DisseminationTest(unittest.TestCase):
    def test_new_version_reaches_all_by_deltas(self):
        """Guards against slow dissemination and against full documents where deltas suffice."""
        fleet = build_fleet(40, build_document(build_service("a", count=100)))
        fleet.publish("vm0", build_document(build_service("a", count=101)), 2)
        sizes = []
        for _ in range(10):
            fleet.tick()
            while fleet.messages:
                sizes.append(len(PEER_CODEC.encode(fleet.messages[0][1].message)))
                fleet.deliver()
        self.assertEqual({version for version, _ in fleet.collect_keys()}, {2})
        self.assertLess(max(sizes), 600)
        self.assertLess(sum(sizes) / 40, 2_000)

    def test_repair_finds_missed_versions_and_tombstones(self):
        """Guards against VMs that stay behind after announces were lost."""
        fleet = build_fleet(6, build_document())
        fleet.publish("vm0", build_document(build_service("b")), 2)
        for _ in range(10):
            fleet.tick()
            fleet.messages.clear()
        self.assertEqual({version for version, _ in fleet.collect_keys()}, {1, 2})
        fleet.run(40)
        self.assertEqual({version for version, _ in fleet.collect_keys()}, {2})
        for node in fleet.nodes.values():
            self.assertEqual(
                dict(node.store.tombstones), {"10.0.97.1:80": "a", "10.0.98.1:80": "b"}
            )

    def test_skipped_versions_need_no_full_table(self):
        """Guards against sending the full table (0.5 MB) whenever VMs skip different versions."""
        addresses = [f"10.7.{i // 250}.{i % 250 + 1}:80" for i in range(500)]
        fleet = build_fleet(6, build_document(build_service("a", *addresses)))
        for vm, version in (("vm0", 2), ("vm0", 3), ("vm1", 3)):
            changed = build_service("a", *addresses, "1.1.1.1:1", count=version)
            fleet.publish(vm, build_document(changed), version)
        sizes = []
        for _ in range(80):
            fleet.tick()
            while fleet.messages:
                sizes.append(len(PEER_CODEC.encode(fleet.messages[0][1].message)))
                fleet.deliver()
        digests = {node.store.tombstones.digest for node in fleet.nodes.values()}
        self.assertEqual((len(digests), len(fleet.collect_keys())), (1, 1))
        self.assertLess(max(sizes), 11_000)

    def test_full_table_repairs_old_tombstones(self):
        """Guards against VMs that never converge on an old binding of one address."""
        fleet = build_fleet(4, build_document())
        fleet.nodes["vm1"].store.merge_bindings(bindings={"1.1.1.1:1": Binding("a", 1)})
        for version in range(2, 7):
            document = build_document(build_service("a", count=version))
            for vm in fleet.nodes:
                fleet.publish(vm, document, version)
        fleet.run(50)
        bound = [node.store.tombstones.get("1.1.1.1:1") for node in fleet.nodes.values()]
        self.assertIn(None, bound)
        fleet.run(250)
        bound = [node.store.tombstones.get("1.1.1.1:1") for node in fleet.nodes.values()]
        self.assertEqual(set(bound), {"a"})

    def test_unanswered_pull_goes_to_the_next_source(self):
        """Guards against a VM that waits for a peer that died after its announce."""
        fleet = build_fleet(4, build_document())
        node = fleet.nodes["vm1"]
        announce = replace(ANNOUNCE, version=9, digest=b"d")
        for sender, expected in (("vm2", ["vm2"]), ("vm3", []), ("vm3", [])):
            sent = node.observe_message(sender_vm=sender, message=announce, now_s=fleet.now_s)
            self.assertEqual([out.vm for out in sent], expected)
        sent = node.decide_tick(now_s=fleet.now_s + 1.0, rng=fleet.rng)
        self.assertIn(Outgoing(vm="vm3", message=ConfigPull(version=0, digest=b"")), sent)

    def test_peer_document_is_validated_again(self):
        """Guards against accepting a peer's invalid document, and against pulling it repeatedly."""
        fleet = build_fleet(2)
        invalid_document = build_document(build_service("a", slots=0))
        message = ConfigDocument(
            version=3,
            digest=b"?",
            base_version=0,
            base_digest=b"",
            document=invalid_document,
            tombstones=(),
        )
        node = fleet.nodes["vm1"]
        node.observe_message(sender_vm="vm0", message=message, now_s=2.0)
        self.assertEqual((node.mismatch_count, node.store.refused), (1, []))
        digest = compute_digest(invalid_document)
        message = replace(
            message, digest=digest, tombstones=(("host:1", "a", 1), ("1.1.1.1:1", "", 1))
        )
        node.observe_message(sender_vm="vm0", message=message, now_s=2.0)
        self.assertEqual(node.store.refused[0].problems[0].code, ResultCode.SHEET_SCHEMA)
        self.assertEqual((node.store.version, len(node.store.tombstones)), (0, 0))
        announce = replace(ANNOUNCE, version=3, digest=digest)
        for now_s, count in ((3.0, 0), (63.0, 1)):
            sent = node.observe_message(sender_vm="vm0", message=announce, now_s=now_s)
            self.assertEqual(len(sent), count)

    def test_delta_to_an_unknown_base_is_replaced_by_a_full_document(self):
        """Guards against a VM that is stuck at a version because peers no longer hold its base."""
        fleet = build_fleet(2, build_document())
        for version in range(2, 9):
            fleet.publish("vm0", build_document(build_service("a", count=version)), version)
        full_pull = ConfigPull(version=0, digest=b"")
        for base in (1, 99):
            message = ConfigDocument(
                version=8,
                digest=b"d",
                base_version=base,
                base_digest=b"x",
                document=b"{}",
                tombstones=(),
            )
            sent = fleet.nodes["vm1"].observe_message(sender_vm="vm0", message=message, now_s=5.0)
            self.assertEqual(sent, [Outgoing(vm="vm0", message=full_pull)])
        fleet.run(5)
        self.assertEqual(len(fleet.collect_keys()), 1)
        documents = [build_document(build_service("a", count=n)) for n in (2, 8)]
        self.assertLess(fleet.nodes["vm0"].size_bytes, 8 * max(map(len, documents)))

    def test_partitioned_zones_converge_to_the_higher_version(self):
        """Guards against a revert after a partition between zones has healed."""
        fleet = build_fleet(8, build_document())
        fleet.is_partitioned = True
        fleet.publish("vm0", build_document(build_service("a", count=2)), 2)
        fleet.publish("vm1", build_document(build_service("a", count=3)), 3)
        fleet.run(40)
        self.assertEqual({version for version, _ in fleet.collect_keys()}, {2, 3})
        fleet.is_partitioned = False
        fleet.run(40)
        self.assertEqual({version for version, _ in fleet.collect_keys()}, {3})

    def test_platform_restored_from_a_copy_changes_nothing_until_a_higher_version(self):
        """Guards against a revert, and VMs that differ, when versions are given out again."""
        fleet = build_fleet(8, build_document())
        fleet.publish("vm0", build_document(build_service("a", count=2)), 7)
        fleet.run(20)
        (key,) = set(fleet.collect_keys())
        fleet.publish("vm0", build_document(), 4)
        fleet.run(20)
        self.assertEqual(set(fleet.collect_keys()), {key})
        for vm, count in (("vm0", 3), ("vm1", 4)):
            fleet.publish(vm, build_document(build_service("a", count=count)), 7)
        fleet.run(20)
        self.assertEqual(len(set(fleet.collect_keys())), 1)
        fleet.publish("vm2", build_document(build_service("a", count=5)), 8)
        fleet.run(20)
        self.assertEqual({version for version, _ in fleet.collect_keys()}, {8})


class StartTest(unittest.TestCase):
    def test_starting_vm_prefers_peers_to_a_stale_platform(self):
        """Guards against a replaced VM that reverts to the document of a stale platform."""
        fleet = build_fleet(4)
        fleet.publish("vm0", build_document(build_service("a", count=2)), 7)
        fleet.run(10)
        vm = fleet.replace_vm(3)
        self.assertIsNone(fleet.publish(vm, build_document(), 6))
        fleet.tick(vms=[vm])
        fleet.deliver_all()
        self.assertEqual(fleet.nodes[vm].store.version, 7)
        fleet.run(8)
        self.assertEqual(fleet.nodes[vm].store.version, 7)

    def test_starting_vm_waits_at_most_one_second(self):
        """Guards against a VM that stays without configuration because no peer answers."""
        fleet = Fleet(count=3, rng=Random(SEED))
        fleet.publish("vm0", build_document(), 1)
        for _ in range(5):
            self.assertEqual(fleet.nodes["vm0"].store.version, 0)
            fleet.tick()
            fleet.messages.clear()
        self.assertEqual(fleet.nodes["vm0"].store.version, 1)

    def test_starting_vm_waits_for_an_announced_document_for_five_seconds(self):
        """Guards against accepting a stale platform read, and against an unbounded wait."""
        fleet = Fleet(count=3, rng=Random(SEED))
        node = fleet.nodes["vm0"]
        fleet.publish("vm0", build_document(), 1)
        for _ in range(4):
            fleet.tick(vms=["vm0"])
        newer = replace(ANNOUNCE, version=9, digest=b"d")
        while fleet.now_s < 5.0:
            self.assertEqual(node.store.version, 0)
            node.observe_message(sender_vm="vm1", message=newer, now_s=fleet.now_s)
            fleet.tick(vms=["vm0"])
        fleet.tick(vms=["vm0"])
        self.assertEqual(node.store.version, 1)

    def test_start_queries_peers_again_after_a_pause(self):
        """Guards against accepting a stale platform read while answers of peers are unread."""
        fleet = Fleet(count=3, rng=Random(SEED))
        fleet.tick()
        fleet.publish("vm0", build_document(), 1)
        fleet.tick(step_s=5.0)
        self.assertFalse(fleet.nodes["vm0"].may_accept_platform_document(now_s=fleet.now_s))


class PlatformReadTest(unittest.TestCase):
    def setUp(self):
        self.fleet = build_fleet(8)
        readers = {
            m.vm for zone in ("za", "zb") for m in pick_readers(zone=zone, members=build_members(8))
        }
        self.reader = self.fleet.nodes[min(readers)]
        self.other = self.fleet.nodes[min(self.fleet.nodes.keys() - readers)]

    def decide(self, node, now_s: float):
        return node.decide_platform_read(now_s=now_s, rng=Random(SEED))

    def test_two_vms_of_a_zone_watch(self):
        """Guards against a load on the platform that grows with the fleet."""
        plans = [self.decide(node, self.fleet.now_s) for node in self.fleet.nodes.values()]
        self.assertEqual([plan.wait_s for plan in plans if plan], [30.0] * 4)
        self.assertTrue(self.reader.is_reader)

    def test_other_vms_read_only_without_peer_messages(self):
        """Guards against an isolated VM that gets no versions, and against reads by every VM."""
        self.other.observe_message(sender_vm="vm0", message=ANNOUNCE, now_s=10.0)
        self.assertIsNone(self.decide(self.other, 14.9))
        self.assertEqual(self.decide(self.other, 20.0).wait_s, 0.0)
        self.other.observe_platform_unchanged(now_s=20.0)
        self.assertIsNone(self.decide(self.other, 29.4))

    def test_first_fallback_reads_are_spread(self):
        """Guards against a load peak at the platform when peer messages stop for all VMs."""
        first_s = []
        for seed in range(50):
            reads, rng = PlatformReads(), Random(seed)
            reads.observe_peer_message(0.0)
            ticks = (tick * 0.1 for tick in range(200))
            first_s.append(
                next(t for t in ticks if reads.decide(after=0, is_watching=False, now_s=t, rng=rng))
            )
        self.assertLessEqual(max(first_s), 10.1)
        peak = max(sum(s <= t < s + 0.5 for t in first_s) for s in first_s)
        self.assertLess(peak, len(first_s) * 0.3)

    def test_failures_back_off(self):
        """Guards against retries that keep an overloaded platform down."""
        now_s, gaps = 10.0, []
        for _ in range(10):
            self.assertIsNotNone(self.decide(self.reader, now_s))
            self.reader.observe_platform_failure(now_s=now_s)
            start_s = now_s
            while self.decide(self.reader, now_s) is None:
                now_s += 0.125
            self.reader.observe_platform_failure(now_s=now_s)
            gaps.append(now_s - start_s)
            now_s += 31.0
        self.assertLessEqual(gaps[0], 0.5)
        self.assertTrue(22.0 <= gaps[-1] <= 30.0)

    def test_rejected_answers_back_off_and_refused_versions_are_retried_late(self):
        """Guards against reading a stale platform or a refused sheet in a tight loop."""
        node, now_s = self.reader, 10.0
        node.observe_platform_document(document=build_document(), version=5, now_s=now_s)
        for version in (5, 4, 3):
            node.observe_platform_document(document=build_document(), version=version, now_s=now_s)
        self.assertIsNone(self.decide(node, now_s + 1.4))
        node.observe_platform_document(document=build_document()[:-4], version=6, now_s=now_s)
        self.assertEqual(self.decide(node, now_s + 60).after, 5)
        node.observe_platform_document(document=build_document(x=1), version=6, now_s=now_s + 60)
        self.assertEqual(self.decide(node, now_s + 119).after, 6)
        node.observe_platform_unchanged(now_s=now_s + 119)
        self.assertEqual(self.decide(node, now_s + 120).after, 5)

    def test_lost_read_times_out(self):
        """Guards against a VM that never reads again because the end of a read was not reported."""
        self.assertIsNotNone(self.decide(self.reader, 10.0))
        self.assertIsNone(self.decide(self.reader, 44.9))
        self.assertIsNone(self.decide(self.reader, 45.1))
        self.assertIsNotNone(self.decide(self.reader, 46.0))
