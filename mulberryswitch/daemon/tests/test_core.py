"""Tests of the node core: invalid input, traces, status and removed targets."""

import unittest

from mulberryswitch.contracts import Forward, Packet, PacketKind, Reply, ReplyKind, ResultCode
from mulberryswitch.daemon import build_explanation, build_gauges, build_holds, build_status
from mulberryswitch.links import FabricPackets, PeerMessages, SendFabricMessage, SendPeerMessage

from .builders import (
    JOINING_TARGET,
    SERVICE_ADDRESSES,
    build_document,
    build_fleet,
    open_flow,
    send_request,
)

ADDRESS = SERVICE_ADDRESSES["feeds"]


def build_packet(**changes) -> Packet:
    fields = {"kind": PacketKind.REQUEST, "flow": b"flow", "address": ADDRESS, "request_id": 1}
    return Packet(**{**fields, **changes})


class NodeCoreTest(unittest.TestCase):
    """Checks that invalid input ends in a counted drop or a result code, and the operator views."""

    def setUp(self):
        self.fleet = build_fleet()
        self.core = self.fleet.cores["a0"]
        self.counts = {}
        for part in (self.core, self.core.packets, self.core.flows, self.core.requests):
            part.count = lambda name, amount: self.counts.update({name: amount})

    def handle(self, event):
        return self.core.handle(event, self.fleet.now_s)

    def send(self, packet):
        return self.handle(FabricPackets(packets=(packet,)))

    def test_unknown_address_is_refused_with_a_receipt(self):
        (effect,) = self.send(build_packet(address="10.9.9.9:1"))
        self.assertEqual(effect.message.code, ResultCode.UNKNOWN_ADDRESS)
        self.assertEqual(effect.message.kind, ReplyKind.REFUSED)
        self.assertEqual(len(effect.message.receipt), 16)

    def test_retry_to_an_unknown_address_is_unknown_without_receipt(self):
        (effect,) = self.send(build_packet(address="10.9.9.9:1", attempt=2))
        self.assertEqual(effect.message.kind, ReplyKind.UNKNOWN)

    def test_packets_out_of_range_and_replies_are_dropped_and_counted(self):
        for packet in (build_packet(kind=77), build_packet(flow=b""), Reply(kind=1, flow=b"f")):
            with self.subTest(packet=packet):
                self.counts.clear()
                self.assertEqual(self.send(packet), [])
                self.assertIn("packets_malformed", self.counts)

    def test_data_of_an_unknown_flow_does_not_reach_another_service(self):
        self.send(build_packet(kind=PacketKind.DATA, request_id=0, body=b"feeds|1"))
        self.fleet.run(1.0)
        self.assertEqual(sum(t.wrong_service for t in self.fleet.targets.values()), 0)

    def test_forward_for_another_service_is_declined(self):
        """Two VMs can map an address to different services while a new version spreads."""
        forward = Forward(
            packet=build_packet(),
            service="scans",
            version=9,
            hops=0,
            entry_vm="b1",
            entry_zone="b",
        )
        effects = self.handle(PeerMessages(vm="b1", messages=(forward,)))
        (declined,) = [e.message for e in effects if isinstance(e, SendPeerMessage)]
        self.assertEqual(declined.code, ResultCode.SERVICE_MISMATCH)

    def test_unknown_peer_message_is_counted(self):
        self.handle(PeerMessages(vm="b1", messages=("text",)))
        self.assertIn("peer_messages_unknown", self.counts)

    def test_each_hop_extends_the_trace(self):
        names = []

        def record(name, traceparent, attributes):
            names.append(name)
            return f"{traceparent}+{name}"

        for core in self.fleet.cores.values():
            core.packets.record_hop = core.requests.record_hop = record
        deadline_ms = int((self.fleet.now_s + 3.0) * 1000)
        packet = build_packet(trace="t", body=b"feeds|0.01", deadline_ms=deadline_ms)
        self.fleet.deliver("a0", FabricPackets(packets=(packet,)))
        self.fleet.run(0.5)
        self.assertEqual(names[0], "entry")
        self.assertEqual(names[-1], "target")

    def test_status_explanation_and_holds_describe_the_fleet(self):
        flow = open_flow(self.fleet)
        send_request(self.fleet, work_s=5.0)
        self.fleet.run(1.0)
        now_s = self.fleet.now_s
        status = [build_status(core, now_s) for core in self.fleet.cores.values()]
        self.assertEqual({s["version"] for s in status}, {1})
        self.assertEqual(len(status[0]["members"]), 6)
        owners = [
            build_explanation(core, flow=flow.flow, address=ADDRESS)
            for core in self.fleet.cores.values()
        ]
        self.assertEqual(len({explained["owner"] for explained in owners}), 1)
        (pinned,) = {explained["pinned_target"] for explained in owners} - {""}
        self.assertIn(flow.flow, self.fleet.targets[pinned].flows)
        holds = [build_holds(core) for core in self.fleet.cores.values()]
        self.assertEqual(sum(len(hold["requests"]) for hold in holds), 1)
        gauges = [build_gauges(core, now_s) for core in self.fleet.cores.values()]
        self.assertEqual(sum(gauge["requests_running"] for gauge in gauges), 1)
        self.assertEqual(sum(gauge["flows_open"] for gauge in gauges), 1)

    def test_link_to_a_removed_target_is_closed_once_its_flow_ended(self):
        """A link to a removed target stays while a flow uses it, and is closed after that."""
        flow = open_flow(self.fleet)
        self.fleet.run(1.0)
        target = next(t for t in self.fleet.targets.values() if flow.flow in t.flows)
        self.fleet.publish(build_document(without=(target.name, JOINING_TARGET)))
        self.fleet.run(8.0)
        owner = next(c for c in self.fleet.cores.values() if c.flows.count_flows_by_target())
        self.assertTrue(owner.sessions.is_up(target.name))
        self.assertIsNone(flow.closed_code)
        self.fleet.kill_target(target.name)
        self.fleet.run(12.0)
        self.assertIsNotNone(flow.closed_code)
        self.assertNotIn(target.name, owner.sessions.list_names())

    def test_vm_without_configuration_is_not_announced(self):
        """Without a configuration a VM can only refuse, so the fabric must not send it packets."""
        self.fleet.platform_mode = "down"
        for name in list(self.fleet.names):
            self.fleet.kill(name)
        self.fleet.names.append("a9")
        self.fleet.start_vm("a9")
        self.fleet.run(3.0)
        self.assertNotIn("a9", self.fleet.announced)
        effects = self.fleet.cores["a9"].handle(
            FabricPackets(packets=(build_packet(),)), self.fleet.now_s
        )
        (reply,) = [effect.message for effect in effects if isinstance(effect, SendFabricMessage)]
        self.assertEqual(reply.code, ResultCode.NO_CONFIGURATION)
