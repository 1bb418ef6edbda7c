"""Tests of the merge of two owners of a shard whose bases differ."""

import unittest

from mulberryswitch.contracts import ShardRole, ShardState
from mulberryswitch.routing import FlowShard
from mulberryswitch.routing._controller import Role, ShardController, ShardView

from .builders import SERVICE, START_S, make_flows, make_shard, make_targets

OLD_BASE, NEW_BASE = (tuple(target.name for target in make_targets(count)) for count in (3, 4))


def build_owner(base_targets: int) -> ShardController:
    """Return an owner whose base has some of the four active targets."""
    flows = make_shard(targets=make_targets(base_targets))
    flows.apply_targets(targets=make_targets(4), connections=4000, now_s=START_S)
    controller = ShardController(vm="vm-1", flows=flows)
    controller.view = ShardView(
        owner="vm-1",
        previous_owner="",
        standbys=("vm-3",),
        live_vms=frozenset({"vm-1", "vm-2", "vm-3"}),
    )
    controller._become_owner()
    return controller


def build_state(base: tuple[str, ...], role: ShardRole) -> ShardState:
    return ShardState(
        service=SERVICE,
        shard=0,
        sequence=1,
        full=True,
        base=base,
        pins=(),
        closed=(),
        counts=(0,) * len(base),
        role=role,
    )


def hand_over(controller: ShardController, base: tuple[str, ...]) -> None:
    state = build_state(base, ShardRole.HANDOVER)
    controller.observe_state(sender="vm-2", state=state, now_s=START_S)


def resolve(flows: FlowShard) -> list[str]:
    return [flows.lookup(flow=flow, now_s=START_S) for flow in make_flows(200)]


class HandoverTest(unittest.TestCase):
    """After a partition that was cut one way, two VMs own a shard, and one hands it over.

    Flows that neither has seen a packet of are known by the newer base only: the replica that the
    other VM took over from missed the last rebase.
    """

    def test_newer_base_is_adopted_and_replicated(self):
        controller = build_owner(3)
        self.assertEqual((controller.role, controller.flows.base), (Role.OWNER, OLD_BASE))
        hand_over(controller, NEW_BASE)
        self.assertEqual(controller.flows.base, NEW_BASE)
        self.assertEqual(resolve(controller.flows), resolve(build_owner(4).flows))
        self.assertTrue(all(stream.needs_snapshot for stream in controller.streams.values()))

    def test_older_base_is_not_adopted(self):
        controller = build_owner(4)
        hand_over(controller, OLD_BASE)
        self.assertEqual(controller.flows.base, NEW_BASE)

    def test_known_flows_keep_their_targets(self):
        controller = build_owner(3)
        opened = {
            flow: controller.flows.apply_open(flow=flow, now_s=START_S) for flow in make_flows(200)
        }
        hand_over(controller, NEW_BASE)
        found = {flow: controller.flows.lookup(flow=flow, now_s=START_S) for flow in opened}
        self.assertEqual(found, opened)


class TakeoverTest(unittest.TestCase):
    """After several failures at once, only a VM that is no standby may hold a replica."""

    def test_other_vms_have_as_long_to_answer_as_the_standbys(self):
        flows = FlowShard(service=SERVICE, shard=0)
        flows.apply_targets(targets=make_targets(4), connections=4000, now_s=START_S)
        controller = ShardController(vm="vm-1", flows=flows)
        controller.apply_view(build_owner(4).view, now_s=START_S)
        requested = []
        for quarter in range(1, 6):
            messages = controller.decide_tick(now_s=START_S + quarter / 4)
            requested += [message.vm for message in messages]
        self.assertEqual(controller.role, Role.AWAITING_STATE)
        self.assertGreaterEqual(requested.count("vm-2"), 3)
        # Earlier answers were lost.
        copy = build_state(OLD_BASE, ShardRole.COPY)
        controller.observe_state(sender="vm-2", state=copy, now_s=START_S + 1.3)
        controller.decide_tick(now_s=START_S + 3.0)
        self.assertEqual((controller.role, controller.flows.base), (Role.OWNER, OLD_BASE))


if __name__ == "__main__":
    unittest.main()
