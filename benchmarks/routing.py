"""Broken flows, hops, control bytes, memory and time of the flow routing and of its alternatives.

The fleet runs in memory with seeded choices; no socket is opened. Packets of a flow reach a random
VM. Run with ``python -m benchmarks.routing``.
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
HELD_FLOWS = 300_000
TARGET_COUNTS = (7, 60)
CONNECTIONS = 1_000_000
NEW_FLOWS_PER_S = 5_000
# One open, two data packets and one close.
PACKETS_PER_FLOW = 4
# Share of a core that one process can use before its queue grows in a burst.
BUSY = 0.7
SEED = 7
# Other processes of a shared machine slow some rounds down.
ROUNDS = 10


class Table:
    """Every VM maps packets by its own list of targets; `pick` is the mapping.

    `tracked` flows are remembered by the VM of the first packet.
    """

    def __init__(self, *, targets: tuple[Target, ...], pick: Callable, tracked: bool):
        self.pick = pick
        self.tracked = tracked
        self.targets = targets
        self.members = {member.vm: member for member in make_members(VMS)}
        self.lists = {vm: name_active(targets) for vm in self.members}
        self.flows: dict[str, dict[bytes, str]] = {vm: {} for vm in self.members}
        self.hops = 0
        self.control_bytes = 0

    def open_flow(self, vm: str, flow: bytes) -> str | None:
        target = self.pick(self.lists[vm], flow)
        if self.tracked:
            self.flows[vm][flow] = target
        return target

    def send(self, vm: str, flow: bytes) -> str | None:
        return self.flows[vm].get(flow) or self.pick(self.lists[vm], flow)

    def stop(self, vm: str) -> None:
        for state in (self.members, self.lists, self.flows):
            state.pop(vm, None)

    def start(self, member: Member) -> None:
        self.members[member.vm] = member
        self.flows[member.vm] = {}
        self.see(member.vm)

    def see(self, vm: str) -> None:
        self.lists[vm] = name_active(self.targets)

    def run(self, seconds: float) -> None:
        pass

    def pause(self, vm: str) -> None:
        pass

    def resume(self, vm: str) -> None:
        pass


class HomeVm(Table):
    """The rendezvous VM of each flow keeps its target, without a copy."""

    def __init__(self, *, targets: tuple[Target, ...]):
        super().__init__(targets=targets, pick=pick_rendezvous, tracked=True)
        self.views = {vm: tuple(self.members) for vm in self.members}

    def find_home(self, vm: str, flow: bytes) -> str:
        seed = xxhash.xxh3_64_intdigest(flow)
        return max(self.views[vm], key=lambda name: xxhash.xxh3_64_intdigest(name.encode(), seed))

    def open_flow(self, vm: str, flow: bytes) -> str | None:
        home = self.find_home(vm, flow)
        return super().open_flow(home, flow) if home in self.members else None

    def send(self, vm: str, flow: bytes) -> str | None:
        home = self.find_home(vm, flow)
        self.hops += home != vm
        return super().send(home, flow) if home in self.members else None

    def see(self, vm: str) -> None:
        super().see(vm)
        self.views[vm] = tuple(self.members)


class Chosen:
    """The flow shards and routers of this repository."""

    def __init__(self, *, targets: tuple[Target, ...]):
        self.targets = targets
        self.version = 1
        self.sheet = make_sheet({SERVICE: targets}, connections=CONNECTIONS)
        self.members = {member.vm: member for member in make_members(VMS)}
        self.net = Network(self.sheet, tuple(self.members.values()))
        self.net.run(1)

    @property
    def hops(self) -> int:
        return self.net.hops

    @property
    def control_bytes(self) -> int:
        return sum(shards.counters().replicated_bytes for shards in self.net.vms.values())

    def open_flow(self, vm: str, flow: bytes) -> str | None:
        return self.net.route(vm, flow, PacketKind.OPEN)[1]

    def send(self, vm: str, flow: bytes) -> str | None:
        return self.net.route(vm, flow, PacketKind.DATA)[1]

    def stop(self, vm: str) -> None:
        del self.members[vm]
        self.net.stop(vm)

    def start(self, member: Member) -> None:
        self.members[member.vm] = member
        self.update_sheet()
        self.net.start(member, self.sheet, tuple(self.members.values()))

    def update_sheet(self) -> None:
        if self.sheet.services[SERVICE].targets != self.targets:
            self.version += 1
            self.sheet = make_sheet(
                {SERVICE: self.targets}, version=self.version, connections=CONNECTIONS
            )

    def see(self, vm: str) -> None:
        self.update_sheet()
        self.net.apply_sheet(vm, self.sheet)
        self.net.apply_view(vm, tuple(self.members.values()))
        self.net.deliver()

    def run(self, seconds: float) -> None:
        self.net.run(seconds)

    def pause(self, vm: str) -> None:
        self.net.paused.add(vm)

    def resume(self, vm: str) -> None:
        self.net.paused.discard(vm)
        self.net.deliver()


Fleet = Table | Chosen


def name_active(targets: Iterable[Target]) -> tuple[str, ...]:
    """Return the names of the targets that take new work."""
    return tuple(target.name for target in targets if target.takes_new_work)


def pick_modulo(targets: tuple[str, ...], flow: bytes) -> str:
    """Return the target of a flow by hash modulo."""
    return targets[xxhash.xxh3_64_intdigest(flow) % len(targets)]


def pick_rendezvous(targets: tuple[str, ...], flow: bytes) -> str:
    """Return the target of a flow from a rendezvous table."""
    return build_lookup_table(targets)[pick_slot(flow)]


DESIGNS: dict[str, Callable[..., Fleet]] = {
    "modulo": lambda targets: Table(targets=targets, pick=pick_modulo, tracked=False),
    "table": lambda targets: Table(targets=targets, pick=pick_rendezvous, tracked=False),
    "tracking": lambda targets: Table(targets=targets, pick=pick_rendezvous, tracked=True),
    "home VM": lambda targets: HomeVm(targets=targets),
    "chosen": lambda targets: Chosen(targets=targets),
}


class Trial:
    """One fleet with open flows; counts what its packets met."""

    def __init__(self, *, fleet: Fleet):
        self.fleet = fleet
        self.random = random.Random(SEED)
        self.opened = {flow: fleet.open_flow(self.pick_vm(), flow) for flow in make_flows(FLOWS)}
        fleet.run(2)
        self.broken: set[bytes] = set()
        self.packets = 0
        self.lost = 0
        self.first_hops = fleet.hops
        self.first_bytes = fleet.control_bytes

    def pick_vm(self) -> str:
        return self.random.choice(list(self.fleet.members))

    def send_all(self, vms: Iterable[str] = (), share: float = 1.0) -> None:
        names = list(vms) or list(self.fleet.members)
        for flow, target in self.opened.items():
            if share < 1 and self.random.random() >= share:
                continue
            self.packets += 1
            result = self.fleet.send(self.random.choice(names), flow)
            if result is None:
                self.lost += 1
            elif result != target:
                self.broken.add(flow)

    def see_all(self) -> None:
        for vm in list(self.fleet.members):
            self.fleet.see(vm)


def find_owners() -> list[str]:
    """Return the first two VMs in rank for shard 0, an owner and one of its standbys."""
    members = make_members(VMS)
    zones = frozenset(target.zone for target in make_targets(7))
    first = pick_owner(key=f"flows|{SERVICE}|0", members=members, zones=zones)
    rest = [member for member in members if member.vm != first.vm]
    return [first.vm, pick_owner(key=f"flows|{SERVICE}|0", members=rest, zones=zones).vm]


def run_deaths(trial: Trial, count: int) -> None:
    for vm in find_owners()[:count]:
        trial.fleet.stop(vm)
    trial.see_all()
    trial.send_all()
    trial.fleet.run(2)
    trial.send_all()


def run_join(trial: Trial) -> None:
    trial.fleet.start(make_member(f"vm-{VMS}"))
    trial.see_all()
    trial.send_all()
    trial.fleet.run(2)
    trial.send_all()


def run_target_added(trial: Trial) -> None:
    trial.fleet.targets = (*trial.fleet.targets, make_target("feeds-new", state="joining"))
    trial.see_all()
    trial.send_all()
    trial.fleet.run(10)
    trial.send_all()


def run_drain_and_join(trial: Trial) -> None:
    drained = make_target(trial.fleet.targets[0].name, state="leaving")
    trial.fleet.targets = (drained, *trial.fleet.targets[1:])
    run_join(trial)


def run_skew(trial: Trial) -> None:
    trial.fleet.targets = (*trial.fleet.targets, make_target("feeds-new", state="joining"))
    trial.fleet.start(make_member(f"vm-{VMS}"))
    for vm in list(trial.fleet.members):
        trial.fleet.see(vm)
        trial.fleet.run(0.25)
        trial.send_all(share=0.2)
    trial.send_all()


def run_wake(trial: Trial) -> None:
    fleet = trial.fleet
    sleeper = find_owners()[0]
    member = fleet.members.pop(sleeper)
    fleet.pause(sleeper)
    fleet.targets = (*fleet.targets, make_target("feeds-new", state="joining"))
    trial.see_all()
    fleet.run(30)
    trial.send_all()
    fleet.resume(sleeper)
    fleet.members[sleeper] = member
    trial.send_all([sleeper], share=0.2)
    fleet.run(2)
    trial.send_all([sleeper], share=0.2)
    trial.see_all()
    fleet.run(5)
    trial.send_all()


CASES: dict[str, Callable[[Trial], None]] = {
    "VM dies": lambda trial: run_deaths(trial, 1),
    "VM joins": run_join,
    "two VMs die": lambda trial: run_deaths(trial, 2),
    "target added": run_target_added,
    "target drains, VM joins": run_drain_and_join,
    "VMs see changes one by one": run_skew,
    "VM wakes after 30 s": run_wake,
}


def measure_memory(build: Callable[..., Fleet], targets: tuple[Target, ...]) -> float:
    """Return the bytes per flow, with its id of 16 bytes and the copies at the standbys."""
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
    """Return the microseconds per packet over all VMs on its way, without codecs and sockets."""
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
    """Print one row per size, case and design."""
    print(
        f"{'targets':>7} {'case':<27} {'design':<9} {'broken':>7} {'share':>7} {'lost':>5} "
        f"{'hops':>5} {'control B/node':>14} {'B/flow':>7} {'us/packet':>9}"
    )
    for count in TARGET_COUNTS:
        targets = make_targets(count)
        memory = {name: measure_memory(build, targets) for name, build in DESIGNS.items()}
        send_us = {name: measure_send_us(build(targets=targets)) for name, build in DESIGNS.items()}
        for case, run in CASES.items():
            for name, build in DESIGNS.items():
                trial = Trial(fleet=build(targets=targets))
                run(trial)
                hops = (trial.fleet.hops - trial.first_hops) / trial.packets
                size = (trial.fleet.control_bytes - trial.first_bytes) / VMS
                broken = len(trial.broken)
                print(
                    f"{count:>7} {case:<27} {name:<9} {broken:>7} {broken / FLOWS:>7.2%} "
                    f"{trial.lost:>5} {hops:>5.2f} {size:>14.0f} {memory[name]:>7.0f} "
                    f"{send_us[name]:>9.2f}"
                )


def time_us(run: Callable[[], object], count: int) -> float:
    """Return the microseconds per call of the fastest of several rounds."""
    return min(timeit.repeat(run, number=count // ROUNDS, repeat=ROUNDS)) / count * ROUNDS * 1e6


def build_single(targets: tuple[Target, ...]) -> FlowShards:
    """Return the shards of a VM that is alone and owns all of them."""
    shards = FlowShards(vm="vm-0", zone="north")
    sheet = make_sheet({SERVICE: targets}, connections=10 * CONNECTIONS)
    shards.observe_sheet(sheet=sheet, now_s=START_S)
    shards.observe_members(live_members=make_members(1), now_s=START_S)
    return shards


def measure_codec_us() -> tuple[float, float]:
    """Return the microseconds of the codecs at the entry VM and at the owner."""
    packet = Packet(
        kind=PacketKind.DATA, flow=b"flow-0000000001", address="10.0.0.1:443", body=b"x" * 64
    )
    forward = Forward(
        packet=packet, service=SERVICE, version=1, hops=0, entry_vm="vm-1", entry_zone="north"
    )
    raw, relayed = FABRIC_CODEC.encode(packet), PEER_CODEC.encode(forward)
    entry = time_us(lambda: FABRIC_CODEC.decode(raw), 20_000)
    entry += time_us(lambda: PEER_CODEC.encode(forward), 20_000)
    return entry, time_us(lambda: PEER_CODEC.decode(relayed), 20_000)


def print_capacity(count: int) -> None:
    """Print what one process holds and opens, and the processes for 5,000 new flows a second."""
    shards = build_single(make_targets(count))
    flows = [f"flow-{number:011}".encode() for number in range(HELD_FLOWS)]
    gc.collect()
    tracemalloc.start()
    for number in range(HELD_FLOWS):
        flow = f"flow-{number:011}".encode()
        shards.get_shard(SERVICE, shard_of(flow)).apply_open(flow=flow, now_s=START_S)
    memory = tracemalloc.get_traced_memory()[0] / HELD_FLOWS
    tracemalloc.stop()

    shards = build_single(make_targets(count))
    start = time.perf_counter()
    for flow in flows:
        shards.get_shard(SERVICE, shard_of(flow)).apply_open(flow=flow, now_s=START_S)
    open_us = (time.perf_counter() - start) / HELD_FLOWS * 1e6
    start = time.perf_counter()
    for flow in flows:
        shards.get_shard(SERVICE, shard_of(flow)).lookup(flow=flow, now_s=START_S + 1)
    lookup_us = (time.perf_counter() - start) / HELD_FLOWS * 1e6

    sheet = make_sheet({SERVICE: make_targets(count)})
    router = Router(vm="vm-0", zone="north", shards=shards)
    packet = Packet(kind=PacketKind.DATA, flow=flows[0], address=f"{SERVICE}:443")
    view = {"sheet": sheet, "members": make_members(VMS), "members_version": 1, "now_s": START_S}
    assert isinstance(router.decide(packet=packet, **view), ServeFlow)
    serve_us = time_us(lambda: router.decide(packet=packet, **view), 50_000)
    away = Router(vm="vm-1", zone="north")
    forward_us = time_us(lambda: away.decide(packet=packet, **view), 50_000)

    start = time.perf_counter()
    flows_of = shards.get_shard(SERVICE, 0)
    flows_of.apply_targets(
        targets=make_targets(count + 1), connections=CONNECTIONS, now_s=START_S + 1
    )
    flows_of.apply_rebase_start()
    rebase_ms = (time.perf_counter() - start) * 1e3

    entry_us, owner_us = measure_codec_us()
    packet_us = entry_us + forward_us + owner_us + serve_us + lookup_us
    busy = NEW_FLOWS_PER_S * (PACKETS_PER_FLOW * packet_us + open_us - lookup_us) / 1e6
    exceptions = shards.counters().exceptions / HELD_FLOWS
    print(
        f"{count} targets, one process: {HELD_FLOWS} flows held at {memory:.0f} B each, "
        f"{1e6 / open_us:.0f} opens/s ({open_us:.2f} us), lookup {lookup_us:.2f} us, "
        f"route {forward_us:.2f} us away and {serve_us:.2f} us here, "
        f"codecs {entry_us:.1f} us entry and {owner_us:.1f} us owner, "
        f"rebase of {flows_of.open_count} flows {rebase_ms:.0f} ms, exceptions {exceptions:.2%}; "
        f"{NEW_FLOWS_PER_S} new flows/s with {PACKETS_PER_FLOW} packets each take {busy:.2f} cores "
        f"without sockets: {math.ceil(busy / BUSY)} processes at {BUSY:.0%}"
    )


def main() -> None:
    """Print the table of the designs and the capacity of one process."""
    print_designs()
    for count in TARGET_COUNTS:
        print_capacity(count)


if __name__ == "__main__":
    main()
