"""Slopes behind docs/CAPACITY.md: cost per packet, flow, member, endpoint and change.

Each quantity is measured at three sizes or more, and a straight line is fitted. Processor time is
process time of this interpreter; memory is what Python allocated (tracemalloc) unless a row says
that it is resident memory.
"""

import random
import resource
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence

from mulberryswitch.configuration import ConfigStore, build_delta, check_sheet
from mulberryswitch.contracts import (
    FABRIC_CODEC,
    PEER_CODEC,
    Forward,
    MemberState,
    Packet,
    PacketKind,
    Target,
    TargetState,
)
from mulberryswitch.routing import FlowShard, FlowShards
from mulberryswitch.vms import Member, pick_owner

from .configuration import build_document
from .membership import measure_costs

__all__ = ["main"]

MICRO = 1e6


def measure_s(action: Callable[[], object]) -> float:
    """Return the processor seconds of one call."""
    start_s = time.process_time()
    action()
    return time.process_time() - start_s


def measure_bytes(action: Callable[[], object]) -> tuple[object, int]:
    """Return the result of `action` and the bytes that it keeps allocated."""
    tracemalloc.start()
    result = action()
    kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return result, kept


def print_fit(name: str, unit: str, sizes: Sequence[int], values: Sequence[float]) -> None:
    """Print the values at each size, the slope, the intercept and the coefficient R squared."""
    slope, intercept = statistics.linear_regression(sizes, values)
    spread = statistics.pvariance(values)
    errors = [value - slope * size - intercept for size, value in zip(sizes, values, strict=True)]
    r_squared = 1 - statistics.fmean(e * e for e in errors) / spread if spread else 1.0
    points = ", ".join(f"{size}: {value:.4g}" for size, value in zip(sizes, values, strict=True))
    print(f"| {name} | {points} | {slope:.4g} {unit} | {intercept:.4g} | {r_squared:.4f} |")


def build_targets(count: int) -> list[Target]:
    """Return active targets of one service."""
    return [
        Target(
            name=f"t{number}",
            service="s",
            zone="a",
            address=f"127.0.0.1:{9000 + number}",
            state=TargetState.ACTIVE,
        )
        for number in range(count)
    ]


def build_shard(flows: Sequence[bytes]) -> FlowShard:
    """Return a shard that holds `flows`."""
    shard = FlowShard(service="s", shard=0)
    shard.apply_start(fleet_is_new=True, now_s=0.0)
    shard.apply_targets(targets=build_targets(7), connections=10_000_000, now_s=0.0)
    for flow in flows:
        shard.apply_open(flow=flow, now_s=1.0)
    return shard


def build_flows(count: int) -> list[bytes]:
    """Return flow ids."""
    rng = random.Random(1)
    return [rng.randbytes(8) for _ in range(count)]


def measure_flows() -> None:
    """Print memory per flow, time per new flow and time per lookup."""
    sizes = (20_000, 60_000, 180_000)
    memory, opened, looked_up = [], [], []
    for size in sizes:
        flows = build_flows(size)
        opened.append(measure_s(lambda flows=flows: build_shard(flows)) * MICRO)
        shard, kept = measure_bytes(lambda flows=flows: build_shard(flows))
        memory.append(kept)
        looked_up.append(
            measure_s(lambda flows=flows, s=shard: [s.lookup(flow=f, now_s=2.0) for f in flows])
            * MICRO
        )
    print_fit("flow table: memory by open flows", "bytes/flow", sizes, memory)
    print_fit("flow table: time by new flows", "us/new flow", sizes, opened)
    print_fit("flow table: time by lookups", "us/packet", sizes, looked_up)


def measure_packets() -> None:
    """Print the codec time of a packet and of a forwarded packet."""
    packet = Packet(kind=PacketKind.DATA, flow=b"12345678", address="10.0.0.1:443", body=b"x" * 64)
    data = FABRIC_CODEC.encode(packet)
    forward = Forward(packet=packet, service="s", version=1, hops=0, entry_vm="v", entry_zone="z")
    encoded = PEER_CODEC.encode(forward)
    sizes = (2_000, 6_000, 18_000)
    for name, action in (
        ("decode a packet", lambda: FABRIC_CODEC.decode(data)),
        ("encode a forward", lambda: PEER_CODEC.encode(forward)),
        ("decode a forward", lambda: PEER_CODEC.decode(encoded)),
    ):
        values = [
            measure_s(lambda n=size, act=action: [act() for _ in range(n)]) * MICRO
            for size in sizes
        ]
        print_fit(name, "us/packet", sizes, values)


def build_members(count: int) -> tuple[Member, ...]:
    """Return live members in 15 zones."""
    return tuple(
        Member(
            vm=f"vm-{number}",
            zone=f"z{number % 15}",
            address=f"127.0.0.1:{number}",
            incarnation=1,
            state=MemberState.ALIVE,
        )
        for number in range(count)
    )


def measure_owners() -> None:
    """Print the time of one owner choice by members of the service's zones."""
    sizes = (16, 233, 932, 3_500)
    values = []
    for size in sizes:
        members = build_members(size)
        choices = 20_000 // size + 1
        total_s = measure_s(
            lambda m=members, n=choices: [pick_owner(key=f"k{i}", members=m) for i in range(n)]
        )
        values.append(total_s / choices * MICRO)
    print_fit("owner choice: time by candidate VMs", "us/VM", sizes, values)


def measure_view() -> None:
    """Print the time of a membership change and the memory of the shards by services."""
    members = build_members(16)
    sizes = (10, 40, 160)
    times, memory = [], []
    for size in sizes:
        document = build_document(size * 3, size)
        sheet = check_sheet(document=document, version=1, tombstones={})
        services = len(sheet.services)

        def fill(sheet=sheet):
            shards = FlowShards(vm="vm-0", zone="z0")
            shards.observe_members(live_members=members, now_s=0.0)
            shards.observe_sheet(sheet=sheet, now_s=0.0)
            return shards

        shards, kept = measure_bytes(fill)
        change_s = measure_s(
            lambda s=shards: s.observe_members(live_members=members[:-1], now_s=1.0)
        )
        memory.append(kept / services * size)
        times.append(change_s / services * size * MICRO)
    print_fit("flow shards: memory by services", "bytes/service", sizes, memory)
    print_fit("membership change: time by services, 16 VMs", "us/service", sizes, times)


def measure_membership() -> None:
    """Print bytes and processor time of a VM by members, with 0.28 events a second."""
    sizes = (16, 64, 256)
    rows = [measure_costs(size)[-1] for size in sizes]
    print_fit(
        "membership: bytes a second by members", "bytes/s/member", sizes, [r[2] for r in rows]
    )
    print_fit("membership: time by members", "us/s/member", sizes, [r[5] for r in rows])


def measure_configuration() -> None:
    """Print validation time, memory and delta size by endpoints."""
    sizes = (500, 2_000, 8_000)
    times, memory, deltas = [], [], []
    for size in sizes:
        document = build_document(size, size // 3)
        times.append(
            measure_s(lambda d=document: check_sheet(document=d, version=1, tombstones={})) * 1000
        )

        def accept(document=document):
            store = ConfigStore()
            store.offer(document=document, version=1, tombstones={}, source="b", now_s=0.0)
            return store

        _, kept = measure_bytes(accept)
        memory.append(kept)
        deltas.append(len(build_delta(document, build_document(size, size // 3, leaving=1))))
    print_fit("configuration: validation time by endpoints", "ms/endpoint", sizes, times)
    print_fit("configuration: memory by endpoints", "bytes/endpoint", sizes, memory)
    print_fit("configuration: delta of one change by endpoints", "bytes/endpoint", sizes, deltas)


def main() -> None:
    """Print all fits as one table."""
    print("| quantity | values by size | slope | intercept | R squared |")
    print("|---|---|---|---|---|")
    measure_packets()
    measure_flows()
    measure_owners()
    measure_view()
    measure_membership()
    measure_configuration()
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(f"\npeak resident memory of this run: {peak_mb:.0f} MB")


if __name__ == "__main__":
    main()
