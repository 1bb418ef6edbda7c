"""Use the flow shard as a library: pin flows to targets without a daemon."""

from mulberryswitch.contracts import Target, TargetState
from mulberryswitch.routing import FlowShard


def build_target(name: str, state: TargetState = TargetState.ACTIVE) -> Target:
    """Return a target of the service "reports" in zone "north"."""
    return Target(name=name, service="reports", zone="north", address="127.0.0.1:9000", state=state)


def main() -> None:
    """Open flows, drain a target and show that no open flow changes its target."""
    shard = FlowShard(service="reports", shard=0)
    shard.apply_start(fleet_is_new=True, now_s=0.0)
    names = ("t1", "t2", "t3")
    shard.apply_targets(targets=[build_target(n) for n in names], connections=4000, now_s=0.0)
    flows = [bytes([number]) for number in range(60)]
    old_targets = {flow: shard.apply_open(flow=flow, now_s=1.0) for flow in flows}

    with_leaving = [build_target("t1", TargetState.LEAVING), build_target("t2"), build_target("t3")]
    shard.apply_targets(targets=with_leaving, connections=4000, now_s=2.0)
    reassigned = sum(shard.lookup(flow=flow, now_s=3.0) != old_targets[flow] for flow in flows)
    new_targets = {shard.apply_open(flow=b"late" + flow, now_s=3.0) for flow in flows}
    print(f"open flows reassigned: {reassigned}; targets of new flows: {sorted(new_targets)}")


if __name__ == "__main__":
    main()
