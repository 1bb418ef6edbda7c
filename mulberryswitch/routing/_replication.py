"""Flow shards of one VM: owners, standbys, replication and handover."""

from collections.abc import Sequence
from dataclasses import dataclass

from mulberryswitch.contracts import ShardAck, ShardState, Sheet
from mulberryswitch.vms import Member, pick_owner, pick_standbys

from ._entry import TICK_VALID_S, ShardEntry
from ._hashing import FLOW_SHARDS
from ._roles import Outgoing, Role, ShardView
from ._shard import FlowShard
from ._streams import estimate_bytes

__all__ = ["FlowShards", "ShardCounters", "build_flow_key", "list_zones"]

ShardKey = tuple[str, int]


@dataclass(frozen=True, kw_only=True, slots=True)
class ShardCounters:
    """Counts for metrics; bytes are those of state messages sent since the start."""

    flows_open: int
    exceptions: int
    replicated_bytes: int
    shards_owned: int
    shards_waiting: int


def build_flow_key(service: str, shard: int) -> str:
    """Return the rendezvous key of a flow shard."""
    return f"flows|{service}|{shard}"


def list_zones(sheet: Sheet, service: str) -> frozenset[str]:
    """Return the zones of a service's targets."""
    return frozenset(target.zone for target in sheet.services[service].targets)


class FlowShards:
    """All flow shards of one VM.

    An entry exists only for the shards that this VM owns, copies or hands over, so that the memory
    does not grow with the number of services of the fleet.

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
        self._incarnations: dict[str, int] = {}
        self._owners: dict[ShardKey, str] = {}
        self._entries: dict[ShardKey, ShardEntry] = {}
        self._replicated_bytes = 0
        self._tick_s: float | None = None
        self._leaving = False

    # Evidence

    def observe_sheet(self, *, sheet: Sheet, now_s: float) -> list[Outgoing]:
        """Take over the targets of an accepted configuration."""
        self._sheet = sheet
        self._owners = {k: vm for k, vm in self._owners.items() if k[0] in sheet.services}
        self._entries = {k: e for k, e in self._entries.items() if k[0] in sheet.services}
        for entry in self._entries.values():
            self._apply_targets(entry.flows, now_s)
        return self._observe_view(now_s)

    def observe_members(self, *, live_members: Sequence[Member], now_s: float) -> list[Outgoing]:
        """Take over the live members; this VM is one of them unless it is leaving."""
        self._members = tuple(m for m in live_members if m.vm != self.vm or not self._leaving)
        self._live = frozenset(member.vm for member in self._members)
        incarnations = {member.vm: member.incarnation for member in self._members}
        restarted = [
            vm for vm, number in incarnations.items() if self._incarnations.get(vm, 0) < number
        ]
        self._incarnations.update(incarnations)
        for entry in self._entries.values():
            for vm in restarted:
                entry.observe_restart(vm)
        return self._observe_view(now_s)

    def observe_state(self, *, sender_vm: str, state: ShardState, now_s: float) -> list[Outgoing]:
        """Store or merge the state that another VM sent, and acknowledge it."""
        if not self._knows(state.service, state.shard):
            return []
        entry = self._get_entry((state.service, state.shard), now_s)
        return self._count(entry.observe_state(sender=sender_vm, state=state, now_s=now_s))

    def observe_ack(self, *, sender_vm: str, ack: ShardAck, now_s: float) -> list[Outgoing]:
        """Take in what another VM holds, or asks for."""
        if not self._knows(ack.service, ack.shard):
            return []
        entry = self._get_entry((ack.service, ack.shard), now_s)
        return self._count(entry.observe_ack(sender=sender_vm, ack=ack, now_s=now_s))

    # Time

    def decide_tick(self, *, now_s: float) -> list[Outgoing]:
        """Return the state messages that are due; call it several times a second."""
        paused_s = 0.0 if self._tick_s is None else now_s - self._tick_s
        self._tick_s = now_s
        outgoing: list[Outgoing] = []
        for key, entry in list(self._entries.items()):
            if paused_s > TICK_VALID_S:
                outgoing += entry.apply_resume(paused_s=paused_s, now_s=now_s)
            outgoing += entry.decide_tick(now_s=now_s)
            if not entry.is_needed:
                del self._entries[key]
        return self._count(outgoing)

    def decide_handover(self, *, now_s: float) -> list[Outgoing]:
        """Start to hand all owned shards to their successors, for a planned shutdown."""
        self._leaving = True
        moved = self.observe_members(live_members=self._members, now_s=now_s)
        return moved + self.decide_tick(now_s=now_s)

    def is_handover_done(self, *, now_s: float) -> bool:
        """Return whether no shard is served here any longer."""
        for entry in self._entries.values():
            entry.finish_handover(now_s=now_s)
        return all(entry.role is Role.IDLE for entry in self._entries.values())

    # Queries

    def owns(self, service: str, shard: int) -> bool:
        """Return whether this VM resolves all flows of the shard now."""
        entry = self._entries.get((service, shard))
        return entry is not None and entry.owns

    def serves(self, service: str, shard: int) -> bool:
        """Return whether packets of the shard go to its flow table here.

        While this VM waits for the previous owner's state, the table resolves the flows it knows
        and returns ``NOT_OWNER`` for the others.
        """
        entry = self._entries.get((service, shard))
        return entry is not None and entry.role is not Role.IDLE

    def get_shard(self, service: str, shard: int) -> FlowShard | None:
        """Return the shard's flow table; None if this VM has no part in the shard."""
        entry = self._entries.get((service, shard))
        return entry.flows if entry else None

    def list_served_shards(self, service: str) -> list[FlowShard]:
        """Return the flow tables of `service` that this VM serves now."""
        return [
            entry.flows
            for (name, _), entry in self._entries.items()
            if name == service and entry.role in (Role.OWNER, Role.HANDING_OVER)
        ]

    def find_server(self, service: str, shard: int) -> str:
        """Return the VM that serves the shard as far as this VM knows; empty if none.

        It differs from the rendezvous owner while this VM hands the shard over, and while it waits
        for the previous owner's state: then a packet goes to the previous owner, because this VM
        would pin an open flow to the wrong target.
        """
        entry = self._entries.get((service, shard))
        return entry.server if entry else self._owners.get((service, shard), "")

    def counters(self) -> ShardCounters:
        """Return the counts for metrics."""
        owned = [entry for entry in self._entries.values() if entry.owns]
        return ShardCounters(
            flows_open=sum(entry.flows.open_count for entry in owned),
            exceptions=sum(len(entry.flows.exceptions) for entry in owned),
            replicated_bytes=self._replicated_bytes,
            shards_owned=len(owned),
            shards_waiting=sum(e.role is Role.WAITING for e in self._entries.values()),
        )

    # Internals

    def _knows(self, service: str, shard: int) -> bool:
        known = self._sheet is not None and service in self._sheet.services
        return known and 0 <= shard < FLOW_SHARDS

    def _get_entry(self, key: ShardKey, now_s: float) -> ShardEntry:
        entry = self._entries.get(key)
        if entry is None:
            flows = FlowShard(service=key[0], shard=key[1])
            self._apply_targets(flows, now_s)
            entry = self._entries[key] = ShardEntry(vm=self.vm, flows=flows)
        return entry

    def _apply_targets(self, flows: FlowShard, now_s: float) -> None:
        services = self._sheet.services
        service = services[flows.service]
        own = {target.name for target in service.targets}
        foreign = frozenset(t.name for s in services.values() for t in s.targets) - own
        flows.apply_targets(
            targets=service.targets,
            connections=service.connections,
            foreign=foreign,
            now_s=now_s,
        )

    def _observe_view(self, now_s: float) -> list[Outgoing]:
        if self._sheet is None or not self._members:
            return []
        outgoing = []
        for name in self._sheet.services:
            zones = list_zones(self._sheet, name)
            for shard in range(FLOW_SHARDS):
                outgoing += self._observe_shard_view((name, shard), zones, now_s)
        return self._count(outgoing)

    def _observe_shard_view(
        self, key: ShardKey, zones: frozenset[str], now_s: float
    ) -> list[Outgoing]:
        text = build_flow_key(*key)
        owner = pick_owner(key=text, members=self._members, zones=zones)
        standbys = pick_standbys(key=text, members=self._members, owner=owner)
        view = ShardView(
            owner=owner.vm,
            former=self._owners.get(key, ""),
            standbys=tuple(member.vm for member in standbys),
            live=self._live,
        )
        self._owners[key] = owner.vm
        if key not in self._entries and self.vm not in (view.owner, *view.standbys):
            return []
        return self._get_entry(key, now_s).apply_view(view, now_s=now_s)

    def _count(self, outgoing: list[Outgoing]) -> list[Outgoing]:
        self._replicated_bytes += sum(
            estimate_bytes(item.message)
            for item in outgoing
            if isinstance(item.message, ShardState)
        )
        return outgoing
