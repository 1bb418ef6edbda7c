"""Flow shards of one VM: owners, standbys, replication and handover."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import Enum

from mulberryswitch.contracts import Pin, ShardAck, ShardRole, ShardState, Sheet
from mulberryswitch.vms import Member, pick_owner, pick_standbys

from ._base import FLOW_SHARDS
from ._shard import FlowShard
from ._streams import Replica, StateStream, estimate_bytes

__all__ = ["FlowShards", "Outgoing", "ShardCounters", "build_flow_key", "list_zones"]

STATE_WAIT_S = 1.0
# Longer than a membership change takes to reach every VM.
OWNER_WAIT_S = 5.0
HANDOVER_S = 3.0
REPLICA_KEEP_S = 60.0
REBASE_ACK_S = 10.0
PAUSE_S = 1.0

ShardKey = tuple[str, int]


@dataclass(frozen=True, kw_only=True, slots=True)
class Outgoing:
    """A message to send to VM `vm`."""

    vm: str
    message: ShardState | ShardAck


@dataclass(frozen=True, kw_only=True, slots=True)
class ShardCounters:
    """Counts for metrics; bytes are those of state messages sent since the start."""

    flows_open: int
    exceptions: int
    replicated_bytes: int
    shards_owned: int
    shards_waiting: int


class Role(Enum):
    """What this VM does for a shard."""

    IDLE = 0  # standby, or no part in it
    WAITING = 1  # owner in this view, without the state of the previous owner
    OWNER = 2
    HANDING_OVER = 3  # still serves, until the successor has acknowledged


def build_flow_key(service: str, shard: int) -> str:
    """Return the rendezvous key of a flow shard."""
    return f"flows|{service}|{shard}"


def list_zones(sheet: Sheet, service: str) -> frozenset[str]:
    """Return the zones of a service's targets."""
    return frozenset(target.zone for target in sheet.services[service].targets)


class Entry:
    """This VM's part in one flow shard."""

    def __init__(self, *, service: str, shard: int):
        self.flows = FlowShard(service=service, shard=shard)
        self.role = Role.IDLE
        self.streams: dict[str, StateStream] = {}
        self.replicas: dict[str, Replica] = {}
        self.owner = ""
        self.previous = ""
        self.asked: set[str] = set()
        self.is_standby = False
        self.until_s = 0.0
        self.give_up_s = 0.0
        self.rebase_until_s = 0.0
        self.held_acks: dict[str, Outgoing] = {}

    @property
    def has_copy(self) -> bool:
        """Whether a state that can be served is held."""
        return any(replica.base for replica in self.replicas.values())

    @property
    def has_handover(self) -> bool:
        """Whether a serving VM has handed the shard to this one."""
        return any(
            replica.base and replica.role is ShardRole.HANDOVER
            for replica in self.replicas.values()
        )

    @property
    def is_handing_over(self) -> bool:
        """Whether this VM hands the shard over."""
        return self.role is Role.HANDING_OVER


class FlowShards:
    """All flow shards of one VM.

    Parameters
    ----------
    vm, zone : str
        This VM.
    """

    def __init__(self, *, vm: str, zone: str):
        self.vm = vm
        self.zone = zone
        self._sheet: Sheet | None = None
        self._members: tuple[Member, ...] = ()
        self._live: frozenset[str] = frozenset()
        self._entries: dict[ShardKey, Entry] = {}
        self._replicated_bytes = 0
        self._tick_s = 0.0
        self._leaving = False

    # Evidence

    def observe_sheet(self, *, sheet: Sheet, now_s: float) -> list[Outgoing]:
        """Take over the targets of an accepted configuration."""
        self._sheet = sheet
        self._entries = {
            key: entry for key, entry in self._entries.items() if key[0] in sheet.services
        }
        for name, service in sheet.services.items():
            for shard in range(FLOW_SHARDS):
                entry = self._entries.get((name, shard))
                if entry is None:
                    entry = self._entries[name, shard] = Entry(service=name, shard=shard)
                entry.flows.apply_targets(
                    targets=service.targets, connections=service.connections, now_s=now_s
                )
        return self._observe_view(now_s)

    def observe_members(self, *, live_members: Sequence[Member], now_s: float) -> list[Outgoing]:
        """Take over the live members; this VM is one of them unless it is leaving."""
        self._members = tuple(m for m in live_members if m.vm != self.vm or not self._leaving)
        self._live = frozenset(member.vm for member in self._members)
        return self._observe_view(now_s)

    def observe_state(self, *, sender_vm: str, state: ShardState, now_s: float) -> list[Outgoing]:
        """Store or merge the state that another VM sent, and acknowledge it."""
        entry = self._entries.get((state.service, state.shard))
        if entry is None:
            return []
        replica = entry.replicas.setdefault(sender_vm, Replica())
        repeated = state.sequence <= replica.sequence
        if not replica.apply_state(state, now_s=now_s):
            return [self._build_ack(sender_vm, entry, 0, missing=True)]
        ack = self._build_ack(sender_vm, entry, replica.sequence, missing=False)
        if entry.role is Role.OWNER:
            return [ack if repeated else self._merge(entry, sender_vm, state, ack, now_s)]
        if entry.role is Role.WAITING and not repeated and not state.remaining:
            return [ack, *self._observe_answer(entry, sender_vm, now_s)]
        if entry.role is Role.IDLE and state.role == ShardRole.HANDOVER:
            # The sender stops serving at the acknowledgement, so this VM must serve first.
            entry.held_acks[sender_vm] = ack
            return []
        return [ack]

    def observe_ack(self, *, sender_vm: str, ack: ShardAck, now_s: float) -> list[Outgoing]:
        """Take in what another VM holds; a VM without a stream here asks for a state."""
        entry = self._entries.get((ack.service, ack.shard))
        if entry is None:
            return []
        stream = entry.streams.get(sender_vm)
        if stream is None:
            return self._answer_ask(entry, sender_vm, now_s) if ack.missing else []
        if ack.missing and ack.sequence:
            # The owner's base differs, so it needs the flows at base picks as well.
            stream.everything = True
        stream.apply_ack(ack)
        outgoing = self._send_full(entry, stream, now_s) if stream.needs_full else []
        self._finish_handover(entry, now_s)
        return outgoing

    # Time

    def decide_tick(self, *, now_s: float) -> list[Outgoing]:
        """Return the state messages that are due."""
        paused = self._tick_s and now_s - self._tick_s > PAUSE_S
        self._tick_s = now_s
        outgoing = self._apply_resume(now_s) if paused else []
        for entry in self._entries.values():
            outgoing += self._tick_entry(entry, now_s)
        return outgoing

    def decide_handover(self, *, now_s: float) -> list[Outgoing]:
        """Start to hand all owned shards to their successors, for a planned shutdown."""
        self._leaving = True
        self._members = tuple(member for member in self._members if member.vm != self.vm)
        self._live = frozenset(member.vm for member in self._members)
        return self._observe_view(now_s) + self.decide_tick(now_s=now_s)

    def handover_done(self, *, now_s: float) -> bool:
        """Return whether no shard is served here any longer."""
        for entry in self._entries.values():
            self._finish_handover(entry, now_s)
        return all(entry.role is Role.IDLE for entry in self._entries.values())

    # Queries

    def owns(self, service: str, shard: int) -> bool:
        """Return whether this VM serves the shard now."""
        entry = self._entries.get((service, shard))
        return entry is not None and entry.role in (Role.OWNER, Role.HANDING_OVER)

    def serves(self, service: str, shard: int) -> bool:
        """Return whether packets of the shard go to its flow table here.

        While this VM waits for the previous owner's state, the table resolves the flows it knows
        and returns ``NOT_OWNER`` for the others.
        """
        entry = self._entries.get((service, shard))
        return entry is not None and entry.role is not Role.IDLE

    def shard(self, service: str, shard: int) -> FlowShard | None:
        """Return the shard's flow table; None for an unknown service."""
        entry = self._entries.get((service, shard))
        return entry.flows if entry else None

    def served_shards(self, service: str) -> list[FlowShard]:
        """Return the flow tables of `service` that this VM serves now."""
        return [
            entry.flows
            for (name, _), entry in self._entries.items()
            if name == service and entry.role in (Role.OWNER, Role.HANDING_OVER)
        ]

    def pick_server(self, service: str, shard: int) -> str:
        """Return the VM that serves the shard as far as this VM knows; empty if none.

        It differs from the rendezvous owner while this VM hands the shard over, and while it waits
        for the previous owner's state: then a packet goes to the previous owner, because this VM
        would pin an open flow to the wrong target.
        """
        entry = self._entries.get((service, shard))
        if entry is None:
            return ""
        if entry.role is Role.IDLE:
            return entry.owner
        return entry.previous if entry.role is Role.WAITING else self.vm

    def counters(self) -> ShardCounters:
        """Return the counts for metrics."""
        owned = [e for (s, n), e in self._entries.items() if self.owns(s, n)]
        return ShardCounters(
            flows_open=sum(len(entry.flows) for entry in owned),
            exceptions=sum(len(entry.flows.exceptions) for entry in owned),
            replicated_bytes=self._replicated_bytes,
            shards_owned=len(owned),
            shards_waiting=sum(e.role is Role.WAITING for e in self._entries.values()),
        )

    # Roles

    def _observe_view(self, now_s: float) -> list[Outgoing]:
        if self._sheet is None or not self._members:
            return []
        outgoing = []
        for name in self._sheet.services:
            zones = list_zones(self._sheet, name)
            for shard in range(FLOW_SHARDS):
                key = build_flow_key(name, shard)
                owner = pick_owner(key=key, members=self._members, zones=zones)
                outgoing += self._apply_owner(self._entries[name, shard], key, owner, now_s)
        return outgoing

    def _apply_owner(self, entry: Entry, key: str, owner: Member, now_s: float) -> list[Outgoing]:
        former, entry.owner = entry.owner, owner.vm
        standbys = [m.vm for m in pick_standbys(key=key, members=self._members, owner=owner)]
        entry.is_standby = self.vm in standbys
        if owner.vm != self.vm:
            return self._apply_not_owner(entry, now_s)
        if entry.role in (Role.OWNER, Role.HANDING_OVER):
            self._set_owner(entry, standbys)
            return []
        if entry.role is Role.WAITING and entry.previous in self._live:
            return []
        if entry.has_handover or (former not in self._live and entry.has_copy):
            return self._take_over(entry, standbys, now_s)
        asked = dict.fromkeys(vm for vm in (former, *standbys) if vm in self._live)
        return self._start_waiting(entry, list(asked), now_s)

    def _apply_not_owner(self, entry: Entry, now_s: float) -> list[Outgoing]:
        if entry.role is Role.WAITING and not len(entry.flows):
            entry.role = Role.IDLE
        if entry.role is Role.IDLE or (entry.owner in entry.streams and entry.is_handing_over):
            return []
        entry.role = Role.HANDING_OVER
        entry.flows.waiting = False
        entry.until_s = now_s + HANDOVER_S
        stream = StateStream(vm=entry.owner, role=ShardRole.HANDOVER)
        entry.streams = {entry.owner: stream}
        return self._send_full(entry, stream, now_s)

    def _set_owner(self, entry: Entry, standbys: Sequence[str]) -> None:
        entry.role = Role.OWNER
        entry.flows.waiting = False
        entry.previous = ""
        entry.asked.clear()
        kept = {vm: s for vm, s in entry.streams.items() if s.role is ShardRole.OWNER}
        entry.streams = {vm: kept.get(vm) or StateStream(vm=vm) for vm in standbys}

    def _take_over(self, entry: Entry, standbys: Sequence[str], now_s: float) -> list[Outgoing]:
        """Serve from the copies held; the newest base counts, and pins of all copies."""
        ready = [replica for replica in entry.replicas.values() if replica.base]
        ready.sort(key=lambda replica: (replica.role, replica.updated_s, replica.sequence))
        pins = {flow: target for replica in ready for flow, target in replica.pins.items()}
        newest = ready[-1]
        entry.flows.apply_state(base=newest.base, pins=pins, counts=newest.counts, now_s=now_s)
        for replica in entry.replicas.values():
            replica.apply_adopted()
        self._set_owner(entry, standbys)
        acks, entry.held_acks = list(entry.held_acks.values()), {}
        return acks

    def _start_waiting(self, entry: Entry, asked: Sequence[str], now_s: float) -> list[Outgoing]:
        entry.role = Role.WAITING
        entry.flows.waiting = True
        entry.until_s = now_s + STATE_WAIT_S
        entry.give_up_s = now_s + OWNER_WAIT_S
        entry.previous = asked[0] if asked else ""
        entry.asked = set(asked)
        if not asked:
            return self._end_waiting(entry, now_s)
        return [self._build_ack(vm, entry, 0, missing=True) for vm in asked]

    def _observe_answer(self, entry: Entry, sender: str, now_s: float) -> list[Outgoing]:
        replica = entry.replicas[sender]
        entry.asked.discard(sender)
        if replica.role is ShardRole.HANDOVER:
            return self._end_waiting(entry, now_s)
        if replica.role is ShardRole.OWNER:
            # The sender serves and does not know yet that this VM is the owner; it hands over
            # when it does.
            entry.previous = sender
            entry.until_s = min(entry.give_up_s, now_s + STATE_WAIT_S)
            entry.asked.add(sender)
        return [] if entry.asked else self._end_waiting(entry, now_s)

    def _tick_waiting(self, entry: Entry, now_s: float) -> list[Outgoing]:
        if now_s < entry.until_s:
            return []
        serving = entry.replicas.get(entry.previous)
        if serving and serving.role is ShardRole.OWNER and now_s < entry.give_up_s:
            entry.until_s = now_s + STATE_WAIT_S
            return [self._build_ack(entry.previous, entry, 0, missing=True)]
        return self._end_waiting(entry, now_s)

    def _end_waiting(self, entry: Entry, now_s: float) -> list[Outgoing]:
        standbys = self._list_standbys(entry)
        served = any(r.role is not ShardRole.COPY for r in entry.replicas.values())
        if entry.has_copy and (served or not entry.flows.base):
            return self._take_over(entry, standbys, now_s)
        fleet_is_new = not entry.asked and not entry.flows.base
        entry.flows.apply_start(fleet_is_new=fleet_is_new, now_s=now_s)
        self._set_owner(entry, standbys)
        return []

    def _list_standbys(self, entry: Entry) -> list[str]:
        key = build_flow_key(entry.flows.service, entry.flows.shard)
        me = next(member for member in self._members if member.vm == self.vm)
        return [m.vm for m in pick_standbys(key=key, members=self._members, owner=me)]

    def _merge(
        self, entry: Entry, sender: str, state: ShardState, ack: Outgoing, now_s: float
    ) -> Outgoing:
        """Merge the state of another VM that served the shard while this one did."""
        replica = entry.replicas[sender]
        if state.role == ShardRole.COPY:
            return ack
        for flow in state.closed:
            entry.flows.apply_close(flow=flow, now_s=now_s)
        entry.flows.apply_merge(pins=state.pins, counts=replica.counts, now_s=now_s)
        replica.pins.clear()
        differs = bool(replica.base) and replica.base != entry.flows.base
        if differs and state.role == ShardRole.HANDOVER and not state.remaining:
            return self._build_ack(sender, entry, state.sequence, missing=True)
        return ack

    # Messages

    def _build_ack(self, vm: str, entry: Entry, sequence: int, *, missing: bool) -> Outgoing:
        ack = ShardAck(
            service=entry.flows.service,
            shard=entry.flows.shard,
            sequence=sequence,
            missing=missing,
        )
        return Outgoing(vm=vm, message=ack)

    def _answer_ask(self, entry: Entry, vm: str, now_s: float) -> list[Outgoing]:
        """Send what this VM holds once; an empty state says that it holds nothing."""
        if entry.role in (Role.OWNER, Role.HANDING_OVER):
            return self._send_full(entry, StateStream(vm=vm), now_s)
        ready = [replica for replica in entry.replicas.values() if replica.base]
        replica = max(ready, key=lambda replica: replica.updated_s, default=Replica())
        states = StateStream(vm=vm, role=ShardRole.COPY).apply_full(
            service=entry.flows.service,
            shard=entry.flows.shard,
            base=replica.base,
            pins=[Pin(flow=flow, target=target) for flow, target in replica.pins.items()],
            counts=tuple(replica.counts.get(name, 0) for name in replica.base),
            now_s=now_s,
        )
        return list(self._pack(vm, states))

    def _send_full(self, entry: Entry, stream: StateStream, now_s: float) -> list[Outgoing]:
        flows = entry.flows
        base = () if stream.everything else flows.replicated_base
        states = stream.apply_full(
            service=flows.service,
            shard=flows.shard,
            base=base,
            pins=flows.list_pins(everything=stream.everything),
            counts=tuple(map(flows.count, base)),
            now_s=now_s,
        )
        return list(self._pack(stream.vm, states))

    def _pack(self, vm: str, states: Sequence[ShardState]) -> Iterator[Outgoing]:
        for state in states:
            self._replicated_bytes += estimate_bytes(state)
            yield Outgoing(vm=vm, message=state)

    def _tick_entry(self, entry: Entry, now_s: float) -> list[Outgoing]:
        entry.flows.apply_tick(now_s=now_s)
        if entry.role is Role.WAITING:
            return self._tick_waiting(entry, now_s)
        if entry.role is Role.IDLE:
            self._drop_stale(entry, now_s)
            return []
        self._finish_handover(entry, now_s)
        if entry.role not in (Role.OWNER, Role.HANDING_OVER):
            return []
        self._tick_rebase(entry, now_s)
        return self._send_due(entry, now_s)

    def _send_due(self, entry: Entry, now_s: float) -> list[Outgoing]:
        flows = entry.flows
        pins, closed = flows.take_changes(now_s=now_s, young=entry.role is Role.HANDING_OVER)
        outgoing: list[Outgoing] = []
        for vm, stream in entry.streams.items():
            outgoing += self._pack(vm, stream.take_resends(now_s=now_s))
            if stream.needs_full:
                outgoing += self._send_full(entry, stream, now_s)
            elif pins or closed:
                states = stream.apply_changes(
                    service=flows.service,
                    shard=flows.shard,
                    pins=pins,
                    closed=closed,
                    counts=tuple(map(flows.count, flows.replicated_base)),
                    now_s=now_s,
                )
                outgoing += self._pack(vm, states)
        return outgoing

    def _tick_rebase(self, entry: Entry, now_s: float) -> None:
        flows = entry.flows
        if entry.role is Role.OWNER and flows.needs_rebase(now_s=now_s):
            flows.apply_rebase_start()
            entry.rebase_until_s = now_s + REBASE_ACK_S
            for stream in entry.streams.values():
                stream.needs_full = True
            return
        settled = all(stream.settled for stream in entry.streams.values())
        if flows.rebasing and (settled or now_s >= entry.rebase_until_s):
            flows.apply_rebase_end()

    def _finish_handover(self, entry: Entry, now_s: float) -> None:
        if entry.role is not Role.HANDING_OVER:
            return
        settled = all(stream.settled for stream in entry.streams.values())
        if (settled and not entry.flows.has_changes) or now_s >= entry.until_s:
            # The copy answers for the shard if the successor dies before it has replicated.
            entry.replicas[self.vm] = Replica.build_copy(entry.flows, now_s=now_s)
            entry.role = Role.IDLE
            entry.streams = {}
            entry.flows.apply_reset()

    def _drop_stale(self, entry: Entry, now_s: float) -> None:
        keep = {entry.owner} if entry.is_standby else set()
        entry.replicas = {
            vm: replica
            for vm, replica in entry.replicas.items()
            if vm in keep or now_s - replica.updated_s < REPLICA_KEEP_S
        }

    def _apply_resume(self, now_s: float) -> list[Outgoing]:
        """Ask the standbys of owned shards after a pause: one of them may have taken over."""
        return [
            message
            for entry in self._entries.values()
            if entry.role is Role.OWNER
            for message in self._start_waiting(entry, list(entry.streams), now_s)
        ]
