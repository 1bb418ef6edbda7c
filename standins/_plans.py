"""Plan of an end-to-end run: two services, 3 and 2 active targets, six VMs in two zones."""

from itertools import count

from ._cluster import ClusterPlan, ServicePlan, TargetPlan, VmPlan, find_free_ports

__all__ = [
    "FEEDS",
    "JOINING_TARGET",
    "LEAVING_TARGET",
    "SCANS",
    "build_plan",
    "list_initial_targets",
]

ZONES = ("zone-a", "zone-b")
FEEDS = "feeds"
SCANS = "scans"
JOINING_TARGET = "feeds-4"
LEAVING_TARGET = "feeds-1"
TARGETS = (
    ("feeds-1", FEEDS, "zone-a"),
    ("feeds-2", FEEDS, "zone-a"),
    ("feeds-3", FEEDS, "zone-b"),
    ("feeds-4", FEEDS, "zone-b"),
    ("scans-1", SCANS, "zone-a"),
    ("scans-2", SCANS, "zone-b"),
)
VM_COUNT = 6
PORTS_PER_VM = 3
CALLERS = 2
# A low rate of each fault, so that retries and duplicates occur in every run.
FABRIC_IMPAIRMENT = {"loss": 0.001, "duplicate": 0.001, "reorder": 0.01, "delay_s": 0.001}


def _build_services() -> tuple[ServicePlan, ...]:
    # The load takes about half of the slots: 2 x 70/s x 30 ms of 9 and 2 x 10/s x 100 ms of 4.
    return (
        ServicePlan(
            name=FEEDS,
            address="10.80.0.1:443",
            slots=3,
            rate=70.0,
            long_flows=20,
            idempotent_share=0.0,
            work_ms=30,
            answer_bytes=500,
        ),
        ServicePlan(
            name=SCANS,
            address="10.80.0.2:443",
            slots=2,
            rate=10.0,
            long_flows=5,
            idempotent_share=0.8,
            work_ms=100,
            answer_bytes=40_000,
        ),
    )


def build_plan(*, load_s: float, seed: int = 1, flow_spread_s: float = 1.0) -> ClusterPlan:
    """Return the plan of a run on free ports; see `ClusterPlan` for the parameters."""
    ports = iter(find_free_ports(len(TARGETS) + PORTS_PER_VM * VM_COUNT + 3))
    numbers = count(1)
    vms = tuple(
        VmPlan(
            name=f"vm-{next(numbers)}",
            zone=ZONES[index % len(ZONES)],
            peer_port=next(ports),
            fabric_port=next(ports),
            operator_port=next(ports),
        )
        for index in range(VM_COUNT)
    )
    return ClusterPlan(
        zones=ZONES,
        services=_build_services(),
        targets=tuple(
            TargetPlan(name=name, service=service, zone=zone, port=next(ports))
            for name, service, zone in TARGETS
        ),
        vms=vms,
        callers=CALLERS,
        load_s=load_s,
        flow_spread_s=flow_spread_s,
        platform_port=next(ports),
        fabric_caller_port=next(ports),
        fabric_vm_port=next(ports),
        seed=seed,
        fabric=FABRIC_IMPAIRMENT,
    )


def list_initial_targets(plan: ClusterPlan) -> set[str]:
    """Return the names of the targets in the first configuration."""
    return {target.name for target in plan.targets} - {JOINING_TARGET}
