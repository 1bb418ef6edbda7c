"""Builders of sheets, members and an in-memory fleet for the routing tests."""

from collections import deque
from collections.abc import Callable

from mulberryswitch.contracts import MemberState, Service, Sheet, Target, TargetState
from mulberryswitch.routing import FlowShard, FlowShards, Outgoing
from mulberryswitch.vms import Member

START_S = 1_000_000.0
SERVICE = "feeds"
ZONES = ("north", "south", "west")
TICK_S = 0.25


def make_target(name: str, *, state: str = "active", service: str = SERVICE) -> Target:
    zone = ZONES[sum(name.encode()) % len(ZONES)]
    return Target(
        name=name, service=service, zone=zone, address="10.0.0.1:1", state=TargetState(state)
    )


def make_targets(count: int, *, service: str = SERVICE) -> tuple[Target, ...]:
    return tuple(make_target(f"{service}-{n}", service=service) for n in range(count))


def make_sheet(
    targets: dict[str, tuple[Target, ...]], *, version: int = 1, connections: int = 4000
) -> Sheet:
    services = {
        name: Service(
            name=name,
            addresses=(f"{name}:443",),
            slots=3,
            connections=connections,
            targets=items,
        )
        for name, items in targets.items()
    }
    return Sheet(
        version=version,
        digest=b"%d" % version,
        zones=ZONES,
        services=services,
        service_by_address={f"{name}:443": name for name in targets},
    )


def make_member(vm: str) -> Member:
    zone = ZONES[int(vm.split("-")[1]) % len(ZONES)]
    return Member(vm=vm, zone=zone, address=f"{vm}:1", incarnation=1, state=MemberState.ALIVE)


def make_members(count: int) -> tuple[Member, ...]:
    return tuple(make_member(f"vm-{n}") for n in range(count))


def make_shard(
    *, targets: tuple[Target, ...] = (), connections: int = 4000, **options
) -> FlowShard:
    shard = FlowShard(service=SERVICE, shard=0, **options)
    shard.apply_targets(targets=targets or make_targets(7), connections=connections, now_s=START_S)
    shard.apply_start(fleet_is_new=True, now_s=START_S)
    return shard


def make_flows(count: int, *, prefix: str = "flow") -> list[bytes]:
    return [f"{prefix}-{n}".encode() for n in range(count)]


class Network:
    """Delivers the messages of several FlowShards in memory.

    `drops` decides per (sender, receiver, message) whether a message is lost.
    """

    def __init__(self, sheet: Sheet, members: tuple[Member, ...], *, now_s: float = START_S):
        self.now_s = now_s
        self.vms: dict[str, FlowShards] = {}
        self.queue: deque[tuple[str, Outgoing]] = deque()
        self.drops: Callable[[str, Outgoing], bool] = lambda sender, outgoing: False
        for member in members:
            self.start(member, sheet, members)
        self.deliver()

    def start(self, member: Member, sheet: Sheet, members: tuple[Member, ...]) -> None:
        shards = self.vms[member.vm] = FlowShards(vm=member.vm, zone=member.zone)
        self.send(member.vm, shards.observe_sheet(sheet=sheet, now_s=self.now_s))
        self.send(member.vm, shards.observe_members(live_members=members, now_s=self.now_s))

    def send(self, sender: str, messages: list[Outgoing]) -> None:
        self.queue.extend((sender, message) for message in messages)

    def deliver_one(self, sender: str, outgoing: Outgoing) -> None:
        receiver = self.vms.get(outgoing.vm)
        if receiver is None or self.drops(sender, outgoing):
            return
        message = outgoing.message
        if hasattr(message, "missing"):
            answer = receiver.observe_ack(sender_vm=sender, ack=message, now_s=self.now_s)
        else:
            answer = receiver.observe_state(sender_vm=sender, state=message, now_s=self.now_s)
        self.send(outgoing.vm, answer)

    def deliver(self) -> None:
        while self.queue:
            self.deliver_one(*self.queue.popleft())

    def run(self, seconds: float) -> None:
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += TICK_S
            for vm, shards in self.vms.items():
                self.send(vm, shards.decide_tick(now_s=self.now_s))
            self.deliver()

    def set_members(self, members: tuple[Member, ...]) -> None:
        for vm, shards in self.vms.items():
            self.send(vm, shards.observe_members(live_members=members, now_s=self.now_s))
        self.deliver()

    def set_sheet(self, sheet: Sheet) -> None:
        for vm, shards in self.vms.items():
            self.send(vm, shards.observe_sheet(sheet=sheet, now_s=self.now_s))
        self.deliver()

    def owner(self, shard: int, service: str = SERVICE) -> str:
        return next(vm for vm, shards in self.vms.items() if shards.owns(service, shard))
