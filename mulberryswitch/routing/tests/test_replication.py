"""Tests of takeover, replication and handover over an in-memory network."""

import unittest

from mulberryswitch.contracts import PEER_CODEC, PacketKind, ResultCode
from mulberryswitch.routing import shard_of

from .builders import (
    SERVICE,
    Network,
    make_flows,
    make_members,
    make_sheet,
    make_target,
    make_targets,
)


class ReplicationTest(unittest.TestCase):
    def setUp(self):
        self.sheet = make_sheet({SERVICE: make_targets(7)})
        self.members = make_members(6)
        self.net = Network(self.sheet, self.members)
        self.net.run(1)

    def open_flows(self, count: int, prefix: str = "flow") -> dict[bytes, str]:
        return {
            flow: self.net.vms[self.net.owner(shard_of(flow))]
            .get_shard(SERVICE, shard_of(flow))
            .apply_open(flow=flow, now_s=self.net.now_s)
            for flow in make_flows(count, prefix=prefix)
        }

    def resolve(self, flows) -> dict[bytes, str]:
        return {
            flow: self.net.vms[self.net.owner(shard_of(flow))]
            .get_shard(SERVICE, shard_of(flow))
            .lookup(flow=flow, now_s=self.net.now_s)
            for flow in flows
        }

    def test_new_fleet_is_complete_and_owned_once(self):
        """Guards against a new fleet whose owners wait for state that no VM has."""
        for shard in range(16):
            owners = [vm for vm, s in self.net.vms.items() if s.owns(SERVICE, shard)]
            self.assertEqual(len(owners), 1)
            self.assertTrue(self.net.vms[owners[0]].get_shard(SERVICE, shard).complete)

    def test_owner_fails(self):
        """Guards against a standby that takes over and resolves open flows to other targets."""
        opened = self.open_flows(2000)
        self.net.run(2)
        victim = self.net.owner(0)
        del self.net.vms[victim]
        self.net.set_members(tuple(m for m in self.members if m.vm != victim))
        self.assertEqual(self.resolve(opened), opened)

    def test_join_takes_over_unreplicated_flows(self):
        """Guards against losing flows that are not replicated yet when a shard moves as planned."""
        opened = self.open_flows(2000)
        joined = make_members(9)
        for member in joined[6:]:
            self.net.start(member, self.sheet, joined)
        self.net.set_members(joined)
        self.net.run(1)
        self.assertTrue(any(self.net.owner(n) in ("vm-6", "vm-7", "vm-8") for n in range(16)))
        self.assertEqual(self.resolve(opened), opened)

    def test_joined_vm_resolves_no_unknown_flow_before_state(self):
        """Guards against wrong pins by a VM that is the rendezvous owner but holds no state yet."""
        self.open_flows(200)
        joined = make_members(9)
        self.net.drops = lambda sender, receiver: True
        for member in joined[6:]:
            self.net.start(member, self.sheet, joined)
        self.net.deliver()
        shards = self.net.vms["vm-6"]
        waiting = [n for n in range(16) if shards.serves(SERVICE, n)]
        self.assertTrue(waiting)
        for shard in waiting:
            flows = shards.get_shard(SERVICE, shard)
            self.assertIs(flows.lookup(flow=b"x", now_s=self.net.now_s), ResultCode.NOT_OWNER)
            self.assertIs(flows.apply_open(flow=b"x", now_s=self.net.now_s), ResultCode.NOT_OWNER)
            self.assertTrue(shards.owns(SERVICE, shard) or shards.find_server(SERVICE, shard))

    def test_planned_shutdown(self):
        """Guards against losing flows that are not replicated yet in a planned shutdown."""
        opened = self.open_flows(2000)
        victim = self.net.owner(0)
        shards = self.net.vms[victim]
        self.net.send(victim, shards.decide_handover(now_s=self.net.now_s))
        self.net.deliver()
        self.assertFalse(shards.is_handover_done(now_s=self.net.now_s))
        self.net.set_members(tuple(m for m in self.members if m.vm != victim))
        self.net.run(1.5)
        self.assertTrue(shards.is_handover_done(now_s=self.net.now_s))
        self.assertEqual(self.resolve(opened), opened)

    def test_partition_heals(self):
        """Guards against losing the pins made on the side of a partition that loses ownership."""
        sides = [[m for m in self.members if (m.zone == "north") == near] for near in (1, 0)]
        self.net.blocked_links = {
            (a.vm, b.vm) for s in (0, 1) for a in sides[s] for b in sides[1 - s]
        }
        leaving = make_target("feeds-6", state="leaving")
        sheet = make_sheet({SERVICE: (*make_targets(6), leaving)}, version=2)
        opened = {}
        for number, side in enumerate(sides):
            for member in side:
                self.net.apply_sheet(member.vm, sheet)
                self.net.apply_view(member.vm, tuple(side))
            self.net.run(2)
            for flow in make_flows(500, prefix=f"side-{number}"):
                opened[flow] = self.net.route(side[0].vm, flow, PacketKind.OPEN)[1]
        self.net.run(2)
        self.net.blocked_links = set()
        self.net.set_members(self.members)
        self.net.run(4)
        self.assertEqual(self.resolve(opened), opened)

    def test_handover_in_the_same_millisecond_as_a_state_reply(self):
        """Guards against a handover that is taken for a duplicate and leaves the shard unserved."""
        joined = make_members(9)
        for member in joined[6:]:
            self.net.start(member, self.sheet, joined)
        self.net.deliver()
        self.net.set_members(joined)
        waiting = [vm for vm, s in self.net.vms.items() if s.counters().shards_awaiting_state]
        self.assertEqual(waiting, [])

    def test_messages_stay_below_the_limit(self):
        """Guards against state messages above the size that peers accept."""
        sizes = []
        owner = self.net.owner(0)
        flows = self.net.vms[owner].get_shard(SERVICE, 0)
        flows.apply_targets(targets=make_targets(7), connections=10**6, now_s=self.net.now_s)
        flows.apply_targets(targets=make_targets(2), connections=10**6, now_s=self.net.now_s)
        for flow in make_flows(30_000):
            flows.apply_open(flow=flow, now_s=self.net.now_s)
        self.net.on_send = lambda out: sizes.append(len(PEER_CODEC.encode(out.message)))
        self.net.run(3)
        self.assertGreater(len(sizes), 2)
        self.assertLess(max(sizes), 256 * 1024)
