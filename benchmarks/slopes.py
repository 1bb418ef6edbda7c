"""Linear fits for docs/CAPACITY.md: cost per packet, flow, member, target and change.

Each quantity is measured at three or more sizes. Times are CPU time of this process. Memory is as
allocated by Python (tracemalloc), except for the resident memory in the last line.
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

US_PER_S = 1e6


def measure_s(action: Callable[[], object]) -> float:
    """Return the CPU seconds of one call."""
    start_s = time.process_time()
    action()
    return time.process_time() - start_s


def measure_bytes(action: Callable[[], object]) -> tuple[object, int]:
    """Return the result of `action` and the bytes that stay allocated after the call."""
    tracemalloc.start()
    result = action()
    retained, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return result, retained


def print_fit(name: str, unit: str, sizes: Sequence[int], values: Sequence[float]) -> None:
    """Print the values by size with the slope, intercept and R squared of a linear fit."""
    slope, intercept = statistics.linear_regression(sizes, values)
    variance = statistics.pvariance(values)
    errors = [value - slope * size - intercept for size, value in zip(sizes, values, strict=True)]
    r_squared = 1 - statistics.fmean(e * e for e in errors) / variance if variance else 1.0
    points = ", ".join(f"{size}: {value:.4g}" for size, value in zip(sizes, values, strict=True))
    print(f"| {name} | {points} | {slope:.4g} {unit} | {intercept:.4g} | {r_squared:.4f} |")


def build_targets(count: int) -> list[Target]:
    """Return `count` active targets of one service."""
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
    """Return a shard with `flows` open."""
    shard = FlowShard(service="s", shard=0)
    shard.apply_start(fleet_is_new=True, now_s=0.0)
    shard.apply_targets(targets=build_targets(7), connections=10_000_000, now_s=0.0)
    for flow in flows:
        shard.apply_open(flow=flow, now_s=1.0)
    return shard


def build_flows(count: int) -> list[bytes]:
    """Return `count` random flow ids."""
    rng = random.Random(1)
    return [rng.randbytes(8) for _ in range(count)]


def measure_flows() -> None:
    """Print the memory per flow and the times per new flow and per lookup."""
    sizes = (20_000, 60_000, 180_000)
    retained_bytes, open_us, lookup_us = [], [], []
    for size in sizes:
        flows = build_flows(size)
        open_us.append(measure_s(lambda flows=flows: build_shard(flows)) * US_PER_S)
        shard, retained = measure_bytes(lambda flows=flows: build_shard(flows))
        retained_bytes.append(retained)
        lookup_us.append(
            measure_s(lambda flows=flows, s=shard: [s.lookup(flow=f, now_s=2.0) for f in flows])
            * US_PER_S
        )
    print_fit("flow table: memory by open flows", "bytes/flow", sizes, retained_bytes)
    print_fit("flow table: time by new flows", "us/new flow", sizes, open_us)
    print_fit("flow table: time by lookups", "us/packet", sizes, lookup_us)


def measure_packets() -> None:
    """Print the codec times of a packet and of a forwarded packet."""
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
            measure_s(lambda n=size, act=action: [act() for _ in range(n)]) * US_PER_S
            for size in sizes
        ]
        print_fit(name, "us/packet", sizes, values)


def build_members(count: int) -> tuple[Member, ...]:
    """Return `count` live members in 15 zones."""
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
    """Print the time to pick an owner by the number of candidate members."""
    sizes = (16, 233, 932, 3_500)
    values = []
    for size in sizes:
        members = build_members(size)
        repeats = 20_000 // size + 1
        total_s = measure_s(
            lambda m=members, n=repeats: [pick_owner(key=f"k{i}", members=m) for i in range(n)]
        )
        values.append(total_s / repeats * US_PER_S)
    print_fit("owner selection: time by candidate VMs", "us/VM", sizes, values)


def measure_membership_change() -> None:
    """Print the time of a membership change and the memory of the shards by number of services."""
    members = build_members(16)
    sizes = (10, 40, 160)
    times, retained_bytes = [], []
    for size in sizes:
        document = build_document(size * 3, size)
        sheet = check_sheet(document=document, version=1, tombstones={})
        services = len(sheet.services)

        def build_shards(sheet=sheet):
            shards = FlowShards(vm="vm-0", zone="z0")
            shards.observe_members(live_members=members, now_s=0.0)
            shards.observe_sheet(sheet=sheet, now_s=0.0)
            return shards

        shards, retained = measure_bytes(build_shards)
        change_s = measure_s(
            lambda s=shards: s.observe_members(live_members=members[:-1], now_s=1.0)
        )
        retained_bytes.append(retained / services * size)
        times.append(change_s / services * size * US_PER_S)
    print_fit("flow shards: memory by services", "bytes/service", sizes, retained_bytes)
    print_fit("membership change: time by services, 16 VMs", "us/service", sizes, times)


def measure_membership() -> None:
    """Print the traffic and CPU time of a VM by members, at 0.28 membership events a second."""
    sizes = (16, 64, 256)
    rows = [measure_costs(size)[-1] for size in sizes]
    print_fit(
        "membership: bytes a second by members", "bytes/s/member", sizes, [r[2] for r in rows]
    )
    print_fit("membership: time by members", "us/s/member", sizes, [r[5] for r in rows])


def measure_configuration() -> None:
    """Print validation time, memory and delta size by targets, which the rows call endpoints."""
    sizes = (500, 2_000, 8_000)
    times, retained_bytes, delta_bytes = [], [], []
    for size in sizes:
        document = build_document(size, size // 3)
        times.append(
            measure_s(lambda d=document: check_sheet(document=d, version=1, tombstones={})) * 1000
        )

        def build_store(document=document):
            store = ConfigStore()
            store.offer(document=document, version=1, tombstones={}, source="b", now_s=0.0)
            return store

        _, retained = measure_bytes(build_store)
        retained_bytes.append(retained)
        delta_bytes.append(len(build_delta(document, build_document(size, size // 3, leaving=1))))
    print_fit("configuration: validation time by endpoints", "ms/endpoint", sizes, times)
    print_fit("configuration: memory by endpoints", "bytes/endpoint", sizes, retained_bytes)
    print_fit(
        "configuration: delta of one change by endpoints", "bytes/endpoint", sizes, delta_bytes
    )


def main() -> None:
    """Print all fits in one table."""
    print("| quantity | values by size | slope | intercept | R squared |")
    print("|---|---|---|---|---|")
    measure_packets()
    measure_flows()
    measure_owners()
    measure_membership_change()
    measure_membership()
    measure_configuration()
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(f"\npeak resident memory of this run: {peak_mb:.0f} MB")


if __name__ == "__main__":
    main()
