"""Tests of the routing decisions for packets."""

import unittest
from dataclasses import replace

from mulberryswitch.contracts import MAX_HOPS, Packet, PacketKind, ResultCode
from mulberryswitch.routing import (
    UNPINNED,
    Drop,
    ForwardTo,
    RefuseLocally,
    Router,
    ServeFlow,
    ServeRequest,
    shard_of,
)
from mulberryswitch.vms import pick_owner

from .builders import SERVICE, START_S, ZONES, make_members, make_sheet, make_targets

SHEET = make_sheet({SERVICE: make_targets(7)})
MEMBERS = make_members(6)
VIEW = {"sheet": SHEET, "members": MEMBERS, "members_version": 1, "now_s": START_S}
FLOW = b"flow-1"


def make_packet(kind: PacketKind, **changes) -> Packet:
    return Packet(**{"kind": kind, "flow": FLOW, "address": f"{SERVICE}:443", **changes})


def find_owner(key: str) -> str:
    return pick_owner(key=key, members=MEMBERS, zones=frozenset(ZONES)).vm


FLOW_OWNER = find_owner(f"flows|{SERVICE}|{shard_of(FLOW)}")
DISPATCHER = find_owner(f"queue|{SERVICE}")
ENTRY = next(m.vm for m in MEMBERS if m.vm not in (FLOW_OWNER, DISPATCHER))


class RouterTest(unittest.TestCase):
    def make_forward(self, kind: PacketKind, **changes):
        route = Router(vm=ENTRY, zone="north").decide(packet=make_packet(kind), **VIEW)
        return replace(route.forward, **changes)

    def test_entry_routes_by_kind(self):
        """Guards against flow packets at the dispatcher, and extra hops of one-shot requests."""
        router = Router(vm=ENTRY, zone="north")
        for kind, request_id, vm in (
            (PacketKind.OPEN, 0, FLOW_OWNER),
            (PacketKind.DATA, 0, FLOW_OWNER),
            (PacketKind.CLOSE, 0, FLOW_OWNER),
            (PacketKind.REQUEST, 0, DISPATCHER),
            (PacketKind.CANCEL, 0, DISPATCHER),
            (PacketKind.REQUEST, 3, FLOW_OWNER),
        ):
            with self.subTest(kind=kind, request_id=request_id):
                packet = make_packet(kind, request_id=request_id)
                route = router.decide(packet=packet, **VIEW)
                self.assertIsInstance(route, ForwardTo)
                self.assertEqual((route.vm, route.forward.hops), (vm, 0))

    def test_request_on_a_flow_reaches_the_dispatcher_with_its_target(self):
        """Guards against a request that returns to the shard owner or loses its pinned target."""
        packet = make_packet(PacketKind.REQUEST, request_id=3)
        for pinned, sent in (("feeds-1", "feeds-1"), ("", UNPINNED)):
            forward = self.make_forward(PacketKind.OPEN, packet=packet)
            owner = Router(vm=FLOW_OWNER, zone="north")
            route = owner.decide_forwarded(forward=forward, **VIEW)
            self.assertEqual(route, ServeFlow(service=SERVICE, shard=shard_of(FLOW)))
            route = owner.decide_dispatch(forward=forward, pinned=pinned, **VIEW)
            self.assertEqual((route.vm, route.forward.pinned), (DISPATCHER, sent))
            dispatcher = Router(vm=DISPATCHER, zone="north")
            route = dispatcher.decide_forwarded(forward=route.forward, **VIEW)
            self.assertEqual(route, ServeRequest(service=SERVICE, pinned=pinned))

    def test_refusals(self):
        """Guards against routing packets of no known service or of a mismatched one."""
        router = Router(vm=ENTRY, zone="north")
        unknown = make_packet(PacketKind.OPEN, address="elsewhere:1")
        for packet, view, code in (
            (unknown, VIEW, ResultCode.UNKNOWN_ADDRESS),
            (unknown, {**VIEW, "sheet": None}, ResultCode.NO_CONFIGURATION),
            (
                make_packet(PacketKind.OPEN),
                {**VIEW, "members": (), "members_version": 2},
                ResultCode.NO_PATH,
            ),
        ):
            route = router.decide(packet=packet, **view)
            self.assertEqual(route, RefuseLocally(code=code))
        forward = self.make_forward(PacketKind.OPEN, service="scans")
        route = router.decide_forwarded(forward=forward, **VIEW)
        self.assertEqual(route, RefuseLocally(code=ResultCode.SERVICE_MISMATCH))

    def test_hop_limit(self):
        """Guards against forwarding loops between VMs with different views."""
        router = Router(vm=ENTRY, zone="north")
        for kind, expected in (
            (PacketKind.OPEN, RefuseLocally),
            (PacketKind.REQUEST, RefuseLocally),
            (PacketKind.DATA, Drop),
        ):
            forward = self.make_forward(kind, hops=MAX_HOPS)
            route = router.decide_forwarded(forward=forward, **VIEW)
            self.assertIsInstance(route, expected)
        forward = self.make_forward(PacketKind.DATA, hops=MAX_HOPS - 1)
        route = router.decide_forwarded(forward=forward, **VIEW)
        self.assertEqual((route.vm, route.forward.hops), (FLOW_OWNER, MAX_HOPS))

    def test_owners_follow_the_view(self):
        """Guards against routes to a cached owner that has failed."""
        router = Router(vm=ENTRY, zone="north")
        packet = make_packet(PacketKind.OPEN)
        router.decide(packet=packet, **VIEW)
        rest = tuple(m for m in MEMBERS if m.vm != FLOW_OWNER)
        route = router.decide(packet=packet, **{**VIEW, "members": rest, "members_version": 2})
        self.assertNotEqual(getattr(route, "vm", ENTRY), FLOW_OWNER)
