"""Builders of sheets, members and shards, and an in-memory network of VMs for the routing tests."""

from collections import deque
from collections.abc import Callable

from mulberryswitch.contracts import (
    Forward,
    MemberState,
    Packet,
    PacketKind,
    ResultCode,
    Service,
    ShardAck,
    Sheet,
    Target,
    TargetState,
)
from mulberryswitch.routing import (
    FlowShard,
    FlowShards,
    ForwardTo,
    Outgoing,
    Router,
    ServeFlow,
    shard_of,
)
from mulberryswitch.vms import Member

START_S = 1_000_000.0
SERVICE = "feeds"
ZONES = ("north", "south", "west")
TICK_S = 0.25
MAX_MESSAGES = 5000


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
    """In-memory network that delivers the messages and packets of several VMs.

    Attributes
    ----------
    drops : callable
        ``drops(sender, receiver)`` decides whether a message is lost.
    on_send : callable
        Called with every message before it is delivered or lost.
    blocked_links : set of (sender, receiver)
        Directed links that a partition blocks.
    paused : set of str
        VMs that neither tick nor receive; messages to them are queued.
    """

    def __init__(self, sheet: Sheet, members: tuple[Member, ...]):
        self.now_s = START_S
        self.vms: dict[str, FlowShards] = {}
        self.routers: dict[str, Router] = {}
        self.views: dict[str, tuple[Member, ...]] = {}
        self.sheets: dict[str, Sheet] = {}
        self.queue: deque[tuple[str, Outgoing]] = deque()
        self.drops: Callable[[str, str], bool] = lambda sender, receiver: False
        self.on_send: Callable[[Outgoing], None] = lambda outgoing: None
        self.blocked_links: set[tuple[str, str]] = set()
        self.paused: set[str] = set()
        self.hops = 0
        self._view_number = 0
        for member in members:
            self.start(member, sheet, members)
        self.deliver()

    def start(self, member: Member, sheet: Sheet, members: tuple[Member, ...]) -> None:
        shards = self.vms[member.vm] = FlowShards(vm=member.vm, zone=member.zone)
        self.routers[member.vm] = Router(vm=member.vm, zone=member.zone, shards=shards)
        self.apply_sheet(member.vm, sheet)
        self.apply_view(member.vm, members)

    def stop(self, vm: str) -> None:
        for state in (self.vms, self.routers, self.views, self.sheets):
            del state[vm]
        self.paused.discard(vm)

    def apply_sheet(self, vm: str, sheet: Sheet) -> None:
        self.sheets[vm] = sheet
        self.send(vm, self.vms[vm].observe_sheet(sheet=sheet, now_s=self.now_s))

    def apply_view(self, vm: str, members: tuple[Member, ...]) -> None:
        self.views[vm] = members
        self._view_number += 1
        self.send(vm, self.vms[vm].observe_members(live_members=members, now_s=self.now_s))

    def set_members(self, members: tuple[Member, ...]) -> None:
        for vm in self.vms:
            self.apply_view(vm, members)
        self.deliver()

    def send(self, sender: str, messages: list[Outgoing]) -> None:
        self.queue.extend((sender, message) for message in messages)

    def can_reach(self, sender: str, receiver: str) -> bool:
        return receiver in self.vms and (sender, receiver) not in self.blocked_links

    def deliver_one(self, sender: str, outgoing: Outgoing) -> None:
        self.on_send(outgoing)
        if not self.can_reach(sender, outgoing.vm) or self.drops(sender, outgoing.vm):
            return
        receiver, message = self.vms[outgoing.vm], outgoing.message
        if isinstance(message, ShardAck):
            answer = receiver.observe_ack(sender_vm=sender, ack=message, now_s=self.now_s)
        else:
            answer = receiver.observe_state(sender_vm=sender, state=message, now_s=self.now_s)
        self.send(outgoing.vm, answer)

    def deliver(self) -> None:
        deferred: list[tuple[str, Outgoing]] = []
        rounds = 0
        while self.queue:
            rounds += 1
            # Endless replies to replies would overload the links of a real fleet.
            assert rounds < MAX_MESSAGES, f"message storm: {self.queue[0]}"
            sender, outgoing = self.queue.popleft()
            if outgoing.vm in self.paused:
                deferred.append((sender, outgoing))
            else:
                self.deliver_one(sender, outgoing)
        self.queue.extend(deferred)

    def tick(self) -> None:
        self.now_s += TICK_S
        for vm, shards in self.vms.items():
            if vm not in self.paused:
                self.send(vm, shards.decide_tick(now_s=self.now_s))
        self.deliver()

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_S)):
            self.tick()

    def route(self, entry_vm: str, flow: bytes, kind: int) -> tuple[str, str | ResultCode | None]:
        """Return the VM that resolved a packet, and the result; an empty VM if it was lost."""
        packet = Packet(kind=kind, flow=flow, address=f"{SERVICE}:443")
        route = self.routers[entry_vm].decide(packet=packet, **self.get_view(entry_vm))
        vm = entry_vm
        shard = shard_of(flow)
        forward = Forward(
            packet=packet, service=SERVICE, version=1, hops=0, entry_vm=vm, entry_zone=""
        )
        while True:
            if isinstance(route, ServeFlow):
                flows = self.vms[vm].get_shard(SERVICE, shard)
                result = (
                    self.resolve(flows, flow, kind) if flows is not None else ResultCode.NOT_OWNER
                )
                if result is not ResultCode.NOT_OWNER:
                    return vm, result
                route = self.routers[vm].decide_relay(forward=forward, shard=shard)
            if not isinstance(route, ForwardTo):
                return "", None
            if not self.can_reach(vm, route.vm) or route.vm in self.paused:
                return "", None
            self.hops += 1
            vm, forward = route.vm, route.forward
            route = self.routers[vm].decide_forwarded(forward=forward, **self.get_view(vm))

    def get_view(self, vm: str) -> dict:
        return {
            "sheet": self.sheets[vm],
            "members": self.views[vm],
            "members_version": self._view_number,
            "now_s": self.now_s,
        }

    def resolve(self, flows: FlowShard, flow: bytes, kind: int) -> str | ResultCode | None:
        if kind == PacketKind.OPEN:
            return flows.apply_open(flow=flow, now_s=self.now_s)
        # As in the daemon, a flow is looked up before it is closed. A lookup afterwards would
        # record it again and subtract one more from the count that the previous owner reported.
        target = flows.lookup(flow=flow, now_s=self.now_s)
        if kind == PacketKind.CLOSE and target is not ResultCode.NOT_OWNER:
            flows.apply_close(flow=flow, now_s=self.now_s)
        return target

    def owner(self, shard: int) -> str:
        return next(vm for vm, shards in self.vms.items() if shards.owns(SERVICE, shard))
