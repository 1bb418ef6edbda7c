"""Broken flows, hops, control bytes, memory and time of the flow routing and of its alternatives.

The fleet is simulated in memory with a seeded generator and without sockets. Each packet arrives at
a random VM. Run with ``python -m benchmarks.routing``.
"""

import gc
import math
import random
import time
import timeit
import tracemalloc
from collections.abc import Callable, Iterable

import xxhash

from mulberryswitch.contracts import (
    FABRIC_CODEC,
    PEER_CODEC,
    Forward,
    Packet,
    PacketKind,
    Target,
)
from mulberryswitch.routing import FlowShards, Router, ServeFlow, shard_of
from mulberryswitch.routing._hashing import build_lookup_table, pick_slot
from mulberryswitch.routing.tests.builders import (
    SERVICE,
    START_S,
    Network,
    make_flows,
    make_member,
    make_members,
    make_sheet,
    make_target,
    make_targets,
)
from mulberryswitch.vms import Member, pick_owner

VMS = 16
FLOWS = 20_000
OPEN_FLOWS = 300_000
TARGET_COUNTS = (7, 60)
CONNECTIONS = 1_000_000
NEW_FLOWS_PER_S = 5_000
# One open packet, two data packets and one close packet.
PACKETS_PER_FLOW = 4
# CPU utilization above which the queue of a process grows during a burst.
MAX_UTILIZATION = 0.7
SEED = 7
# Repeated because other processes on a shared host slow down some rounds.
ROUNDS = 10


class LocalMapping:
    """Fleet in which every VM maps flows to its own list of targets by the function `pick`.

    If `tracks_flows`, the VM of the first packet stores the target of the flow.
    """

    def __init__(self, *, targets: tuple[Target, ...], pick: Callable, tracks_flows: bool):
        self.pick = pick
        self.tracks_flows = tracks_flows
        self.targets = targets
        self.members = {member.vm: member for member in make_members(VMS)}
        self.target_names = {vm: list_active_names(targets) for vm in self.members}
        self.flows: dict[str, dict[bytes, str]] = {vm: {} for vm in self.members}
        self.hops = 0
        self.control_bytes = 0

    def open_flow(self, vm: str, flow: bytes) -> str | None:
        target = self.pick(self.target_names[vm], flow)
        if self.tracks_flows:
            self.flows[vm][flow] = target
        return target

    def send(self, vm: str, flow: bytes) -> str | None:
        return self.flows[vm].get(flow) or self.pick(self.target_names[vm], flow)

    def stop(self, vm: str) -> None:
        for state in (self.members, self.target_names, self.flows):
            state.pop(vm, None)

    def start(self, member: Member) -> None:
        self.members[member.vm] = member
        self.flows[member.vm] = {}
        self.refresh(member.vm)

    def refresh(self, vm: str) -> None:
        self.target_names[vm] = list_active_names(self.targets)

    def run(self, seconds: float) -> None:
        pass

    def pause(self, vm: str) -> None:
        pass

    def resume(self, vm: str) -> None:
        pass


class HomeVmMapping(LocalMapping):
    """Fleet in which the home VM of a flow, chosen by rendezvous hashing, has its only record."""

    def __init__(self, *, targets: tuple[Target, ...]):
        super().__init__(targets=targets, pick=pick_rendezvous, tracks_flows=True)
        self.known_vms = {vm: tuple(self.members) for vm in self.members}

    def find_home_vm(self, vm: str, flow: bytes) -> str:
        seed = xxhash.xxh3_64_intdigest(flow)
        return max(
            self.known_vms[vm], key=lambda name: xxhash.xxh3_64_intdigest(name.encode(), seed)
        )

    def open_flow(self, vm: str, flow: bytes) -> str | None:
        home = self.find_home_vm(vm, flow)
        return super().open_flow(home, flow) if home in self.members else None

    def send(self, vm: str, flow: bytes) -> str | None:
        home = self.find_home_vm(vm, flow)
        self.hops += home != vm
        return super().send(home, flow) if home in self.members else None

    def refresh(self, vm: str) -> None:
        super().refresh(vm)
        self.known_vms[vm] = tuple(self.members)


class ShardedRouting:
    """Fleet with the flow shards and routers of this project."""

    def __init__(self, *, targets: tuple[Target, ...]):
        self.targets = targets
        self.version = 1
        self.sheet = make_sheet({SERVICE: targets}, connections=CONNECTIONS)
        self.members = {member.vm: member for member in make_members(VMS)}
        self.network = Network(self.sheet, tuple(self.members.values()))
        self.network.run(1)

    @property
    def hops(self) -> int:
        return self.network.hops

    @property
    def control_bytes(self) -> int:
        return sum(shards.counters().replicated_bytes for shards in self.network.vms.values())

    def open_flow(self, vm: str, flow: bytes) -> str | None:
        return self.network.route(vm, flow, PacketKind.OPEN)[1]

    def send(self, vm: str, flow: bytes) -> str | None:
        return self.network.route(vm, flow, PacketKind.DATA)[1]

    def stop(self, vm: str) -> None:
        del self.members[vm]
        self.network.stop(vm)

    def start(self, member: Member) -> None:
        self.members[member.vm] = member
        self.update_sheet()
        self.network.start(member, self.sheet, tuple(self.members.values()))

    def update_sheet(self) -> None:
        if self.sheet.services[SERVICE].targets != self.targets:
            self.version += 1
            self.sheet = make_sheet(
                {SERVICE: self.targets}, version=self.version, connections=CONNECTIONS
            )

    def refresh(self, vm: str) -> None:
        self.update_sheet()
        self.network.apply_sheet(vm, self.sheet)
        self.network.apply_view(vm, tuple(self.members.values()))
        self.network.deliver()

    def run(self, seconds: float) -> None:
        self.network.run(seconds)

    def pause(self, vm: str) -> None:
        self.network.paused.add(vm)

    def resume(self, vm: str) -> None:
        self.network.paused.discard(vm)
        self.network.deliver()


Fleet = LocalMapping | ShardedRouting


def list_active_names(targets: Iterable[Target]) -> tuple[str, ...]:
    """Return the names of the targets that accept new work."""
    return tuple(target.name for target in targets if target.takes_new_work)


def pick_modulo(targets: tuple[str, ...], flow: bytes) -> str:
    """Return the target of a flow by hash modulo."""
    return targets[xxhash.xxh3_64_intdigest(flow) % len(targets)]


def pick_rendezvous(targets: tuple[str, ...], flow: bytes) -> str:
    """Return the target of a flow by a rendezvous lookup table."""
    return build_lookup_table(targets)[pick_slot(flow)]


DESIGNS: dict[str, Callable[..., Fleet]] = {
    "modulo": lambda targets: LocalMapping(targets=targets, pick=pick_modulo, tracks_flows=False),
    "table": lambda targets: LocalMapping(
        targets=targets, pick=pick_rendezvous, tracks_flows=False
    ),
    "tracking": lambda targets: LocalMapping(
        targets=targets, pick=pick_rendezvous, tracks_flows=True
    ),
    "home VM": lambda targets: HomeVmMapping(targets=targets),
    "chosen": lambda targets: ShardedRouting(targets=targets),
}


class Trial:
    """Fleet with open flows; counts broken flows, lost packets and hops."""

    def __init__(self, *, fleet: Fleet):
        self.fleet = fleet
        self.random = random.Random(SEED)
        self.target_by_flow = {
            flow: fleet.open_flow(self.pick_vm(), flow) for flow in make_flows(FLOWS)
        }
        fleet.run(2)
        self.broken: set[bytes] = set()
        self.packets = 0
        self.lost = 0
        self.initial_hops = fleet.hops
        self.initial_bytes = fleet.control_bytes

    def pick_vm(self) -> str:
        return self.random.choice(list(self.fleet.members))

    def send_all(self, vms: Iterable[str] = (), share: float = 1.0) -> None:
        names = list(vms) or list(self.fleet.members)
        for flow, target in self.target_by_flow.items():
            if share < 1 and self.random.random() >= share:
                continue
            self.packets += 1
            result = self.fleet.send(self.random.choice(names), flow)
            if result is None:
                self.lost += 1
            elif result != target:
                self.broken.add(flow)

    def refresh_all(self) -> None:
        for vm in list(self.fleet.members):
            self.fleet.refresh(vm)


def find_owners() -> list[str]:
    """Return the two highest-ranked VMs for shard 0: the owner and a standby."""
    members = make_members(VMS)
    zones = frozenset(target.zone for target in make_targets(7))
    first = pick_owner(key=f"flows|{SERVICE}|0", members=members, zones=zones)
    others = [member for member in members if member.vm != first.vm]
    return [first.vm, pick_owner(key=f"flows|{SERVICE}|0", members=others, zones=zones).vm]


def run_vm_failures(trial: Trial, count: int) -> None:
    for vm in find_owners()[:count]:
        trial.fleet.stop(vm)
    trial.refresh_all()
    trial.send_all()
    trial.fleet.run(2)
    trial.send_all()


def run_join(trial: Trial) -> None:
    trial.fleet.start(make_member(f"vm-{VMS}"))
    trial.refresh_all()
    trial.send_all()
    trial.fleet.run(2)
    trial.send_all()


def run_target_added(trial: Trial) -> None:
    trial.fleet.targets = (*trial.fleet.targets, make_target("feeds-new", state="joining"))
    trial.refresh_all()
    trial.send_all()
    trial.fleet.run(10)
    trial.send_all()


def run_drain_and_join(trial: Trial) -> None:
    leaving = make_target(trial.fleet.targets[0].name, state="leaving")
    trial.fleet.targets = (leaving, *trial.fleet.targets[1:])
    run_join(trial)


def run_staggered_refresh(trial: Trial) -> None:
    trial.fleet.targets = (*trial.fleet.targets, make_target("feeds-new", state="joining"))
    trial.fleet.start(make_member(f"vm-{VMS}"))
    for vm in list(trial.fleet.members):
        trial.fleet.refresh(vm)
        trial.fleet.run(0.25)
        trial.send_all(share=0.2)
    trial.send_all()


def run_resume_after_pause(trial: Trial) -> None:
    fleet = trial.fleet
    paused_vm = find_owners()[0]
    member = fleet.members.pop(paused_vm)
    fleet.pause(paused_vm)
    fleet.targets = (*fleet.targets, make_target("feeds-new", state="joining"))
    trial.refresh_all()
    fleet.run(30)
    trial.send_all()
    fleet.resume(paused_vm)
    fleet.members[paused_vm] = member
    trial.send_all([paused_vm], share=0.2)
    fleet.run(2)
    trial.send_all([paused_vm], share=0.2)
    trial.refresh_all()
    fleet.run(5)
    trial.send_all()


CASES: dict[str, Callable[[Trial], None]] = {
    "VM fails": lambda trial: run_vm_failures(trial, 1),
    "VM joins": run_join,
    "two VMs fail": lambda trial: run_vm_failures(trial, 2),
    "target added": run_target_added,
    "target drains, VM joins": run_drain_and_join,
    "VMs update one by one": run_staggered_refresh,
    "VM resumes after 30 s": run_resume_after_pause,
}


def measure_memory(build: Callable[..., Fleet], targets: tuple[Target, ...]) -> float:
    """Return the bytes per flow, including its id of 16 bytes and the replicas at the standbys."""
    fleet = build(targets=targets)
    rng = random.Random(SEED)
    vms = list(fleet.members)
    gc.collect()
    tracemalloc.start()
    for number in range(FLOWS):
        fleet.open_flow(rng.choice(vms), f"flow-{number:011}".encode())
    fleet.run(3)
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / FLOWS


def measure_send_us(fleet: Fleet) -> float:
    """Return the microseconds per packet summed over its hops, without codecs and sockets."""
    rng = random.Random(SEED)
    vms = list(fleet.members)
    flows = [(rng.choice(vms), flow) for flow in make_flows(FLOWS)]
    for vm, flow in flows:
        fleet.open_flow(vm, flow)
    start = time.perf_counter()
    for vm, flow in flows:
        fleet.send(vm, flow)
    return (time.perf_counter() - start) / FLOWS * 1e6


def print_designs() -> None:
    """Print one row per number of targets, case and design."""
    print(
        f"{'targets':>7} {'case':<27} {'design':<9} {'broken':>7} {'share':>7} {'lost':>5} "
        f"{'hops':>5} {'control B/node':>14} {'B/flow':>7} {'us/packet':>9}"
    )
    for count in TARGET_COUNTS:
        targets = make_targets(count)
        flow_bytes = {name: measure_memory(build, targets) for name, build in DESIGNS.items()}
        send_us = {name: measure_send_us(build(targets=targets)) for name, build in DESIGNS.items()}
        for case, run in CASES.items():
            for name, build in DESIGNS.items():
                trial = Trial(fleet=build(targets=targets))
                run(trial)
                hops = (trial.fleet.hops - trial.initial_hops) / trial.packets
                size = (trial.fleet.control_bytes - trial.initial_bytes) / VMS
                broken = len(trial.broken)
                print(
                    f"{count:>7} {case:<27} {name:<9} {broken:>7} {broken / FLOWS:>7.2%} "
                    f"{trial.lost:>5} {hops:>5.2f} {size:>14.0f} {flow_bytes[name]:>7.0f} "
                    f"{send_us[name]:>9.2f}"
                )


def time_us(run: Callable[[], object], count: int) -> float:
    """Return the microseconds per call in the fastest of `ROUNDS` rounds."""
    return min(timeit.repeat(run, number=count // ROUNDS, repeat=ROUNDS)) / count * ROUNDS * 1e6


def build_sole_vm(targets: tuple[Target, ...]) -> FlowShards:
    """Return the shards of the only VM of a fleet, which owns all of them."""
    shards = FlowShards(vm="vm-0", zone="north")
    sheet = make_sheet({SERVICE: targets}, connections=10 * CONNECTIONS)
    shards.observe_sheet(sheet=sheet, now_s=START_S)
    shards.observe_members(live_members=make_members(1), now_s=START_S)
    return shards


def measure_codec_us() -> tuple[float, float]:
    """Return the codec time per packet at the entry VM and at the owner, in microseconds."""
    packet = Packet(
        kind=PacketKind.DATA, flow=b"flow-0000000001", address="10.0.0.1:443", body=b"x" * 64
    )
    forward = Forward(
        packet=packet, service=SERVICE, version=1, hops=0, entry_vm="vm-1", entry_zone="north"
    )
    encoded_packet, encoded_forward = FABRIC_CODEC.encode(packet), PEER_CODEC.encode(forward)
    entry_us = time_us(lambda: FABRIC_CODEC.decode(encoded_packet), 20_000)
    entry_us += time_us(lambda: PEER_CODEC.encode(forward), 20_000)
    return entry_us, time_us(lambda: PEER_CODEC.decode(encoded_forward), 20_000)


def print_capacity(count: int) -> None:
    """Print the capacity of one process and the processes needed for `NEW_FLOWS_PER_S`."""
    shards = build_sole_vm(make_targets(count))
    flows = [f"flow-{number:011}".encode() for number in range(OPEN_FLOWS)]
    gc.collect()
    tracemalloc.start()
    for number in range(OPEN_FLOWS):
        flow = f"flow-{number:011}".encode()
        shards.get_shard(SERVICE, shard_of(flow)).apply_open(flow=flow, now_s=START_S)
    flow_bytes = tracemalloc.get_traced_memory()[0] / OPEN_FLOWS
    tracemalloc.stop()

    shards = build_sole_vm(make_targets(count))
    start = time.perf_counter()
    for flow in flows:
        shards.get_shard(SERVICE, shard_of(flow)).apply_open(flow=flow, now_s=START_S)
    open_us = (time.perf_counter() - start) / OPEN_FLOWS * 1e6
    start = time.perf_counter()
    for flow in flows:
        shards.get_shard(SERVICE, shard_of(flow)).lookup(flow=flow, now_s=START_S + 1)
    lookup_us = (time.perf_counter() - start) / OPEN_FLOWS * 1e6

    sheet = make_sheet({SERVICE: make_targets(count)})
    router = Router(vm="vm-0", zone="north", shards=shards)
    packet = Packet(kind=PacketKind.DATA, flow=flows[0], address=f"{SERVICE}:443")
    context = {"sheet": sheet, "members": make_members(VMS), "members_version": 1, "now_s": START_S}
    assert isinstance(router.decide(packet=packet, **context), ServeFlow)
    serve_us = time_us(lambda: router.decide(packet=packet, **context), 50_000)
    non_owner = Router(vm="vm-1", zone="north")
    forward_us = time_us(lambda: non_owner.decide(packet=packet, **context), 50_000)

    start = time.perf_counter()
    shard = shards.get_shard(SERVICE, 0)
    shard.apply_targets(targets=make_targets(count + 1), connections=CONNECTIONS, now_s=START_S + 1)
    shard.apply_rebase_start()
    rebase_ms = (time.perf_counter() - start) * 1e3

    entry_us, owner_us = measure_codec_us()
    packet_us = entry_us + forward_us + owner_us + serve_us + lookup_us
    cores = NEW_FLOWS_PER_S * (PACKETS_PER_FLOW * packet_us + open_us - lookup_us) / 1e6
    exceptions = shards.counters().exceptions / OPEN_FLOWS
    print(
        f"{count} targets, one process: {OPEN_FLOWS} flows stored at {flow_bytes:.0f} B each, "
        f"{1e6 / open_us:.0f} opens/s ({open_us:.2f} us), lookup {lookup_us:.2f} us, "
        f"route {forward_us:.2f} us to forward and {serve_us:.2f} us to serve, "
        f"codecs {entry_us:.1f} us entry and {owner_us:.1f} us owner, "
        f"rebase of {shard.open_count} flows {rebase_ms:.0f} ms, exceptions {exceptions:.2%}; "
        f"{NEW_FLOWS_PER_S} new flows/s with {PACKETS_PER_FLOW} packets each take {cores:.2f} "
        f"cores without sockets: {math.ceil(cores / MAX_UTILIZATION)} processes "
        f"at {MAX_UTILIZATION:.0%}"
    )


def main() -> None:
    """Print the comparison of the designs and the capacity of one process."""
    print_designs()
    for count in TARGET_COUNTS:
        print_capacity(count)


if __name__ == "__main__":
    main()
