"""Pin flows to targets with the flow table alone, without any daemon."""

from mulberryswitch.contracts import Target, TargetState
from mulberryswitch.routing import FlowShard


def build_target(name: str, state: TargetState = TargetState.ACTIVE) -> Target:
    """Return a target of the service "reports" in one zone."""
    return Target(name=name, service="reports", zone="north", address="127.0.0.1:9000", state=state)


def main() -> None:
    """Open flows, drain a target and show that no open flow moves."""
    shard = FlowShard(service="reports", shard=0)
    shard.apply_start(fleet_is_new=True, now_s=0.0)
    names = ("t1", "t2", "t3")
    shard.apply_targets(targets=[build_target(n) for n in names], connections=4000, now_s=0.0)
    flows = [bytes([number]) for number in range(60)]
    before = {flow: shard.apply_open(flow=flow, now_s=1.0) for flow in flows}

    drained = [build_target("t1", TargetState.LEAVING), build_target("t2"), build_target("t3")]
    shard.apply_targets(targets=drained, connections=4000, now_s=2.0)
    moved = sum(shard.lookup(flow=flow, now_s=3.0) != before[flow] for flow in flows)
    late = {shard.apply_open(flow=b"late" + flow, now_s=3.0) for flow in flows}
    print(f"open flows moved: {moved}; targets of new flows: {sorted(late)}")


if __name__ == "__main__":
    main()
