"""Flow shards of one VM: ownership, standbys, replication and handover."""

from collections.abc import Sequence
from dataclasses import dataclass

from mulberryswitch.contracts import ShardAck, ShardState, Sheet
from mulberryswitch.vms import Member, pick_owner, pick_standbys

from ._controller import MAX_TICK_GAP_S, ShardController
from ._hashing import FLOW_SHARDS
from ._roles import Outgoing, Role, ShardView
from ._shard import FlowShard
from ._streams import estimate_state_bytes

__all__ = ["FlowShards", "ShardCounters", "build_flow_key", "list_zones"]

ShardKey = tuple[str, int]


@dataclass(frozen=True, kw_only=True, slots=True)
class ShardCounters:
    """Counts for metrics.

    `replicated_bytes` is the estimated size of the state messages sent since the process started.
    """

    flows_open: int
    exceptions: int
    replicated_bytes: int
    shards_owned: int
    shards_awaiting_state: int


def build_flow_key(service: str, shard: int) -> str:
    """Return the rendezvous key of a flow shard."""
    return f"flows|{service}|{shard}"


def list_zones(sheet: Sheet, service: str) -> frozenset[str]:
    """Return the zones of a service's targets."""
    return frozenset(target.zone for target in sheet.services[service].targets)


class FlowShards:
    """All flow shards of one VM.

    A controller exists only for shards that this VM owns, replicates or hands over, so that memory
    use does not grow with the number of services of the fleet.

    Parameters
    ----------
    vm, zone : str
        Name and zone of this VM.
    """

    def __init__(self, *, vm: str, zone: str):
        self.vm = vm
        self.zone = zone
        self._sheet: Sheet | None = None
        self._members: tuple[Member, ...] = ()
        self._live_vms: frozenset[str] = frozenset()
        self._incarnations: dict[str, int] = {}
        self._owners: dict[ShardKey, str] = {}
        self._controllers: dict[ShardKey, ShardController] = {}
        self._replicated_bytes = 0
        self._last_tick_s: float | None = None
        self._is_leaving = False

    # Events

    def observe_sheet(self, *, sheet: Sheet, now_s: float) -> list[Outgoing]:
        """Apply the targets of an accepted configuration."""
        self._sheet = sheet
        self._owners = {k: vm for k, vm in self._owners.items() if k[0] in sheet.services}
        self._controllers = {k: c for k, c in self._controllers.items() if k[0] in sheet.services}
        for controller in self._controllers.values():
            self._apply_targets(controller.flows, now_s)
        return self._apply_view(now_s)

    def observe_members(self, *, live_members: Sequence[Member], now_s: float) -> list[Outgoing]:
        """Apply a new list of live members.

        This VM counts as a member unless it is shutting down.
        """
        self._members = tuple(m for m in live_members if m.vm != self.vm or not self._is_leaving)
        self._live_vms = frozenset(member.vm for member in self._members)
        incarnations = {member.vm: member.incarnation for member in self._members}
        restarted = [
            vm for vm, number in incarnations.items() if self._incarnations.get(vm, 0) < number
        ]
        self._incarnations.update(incarnations)
        for controller in self._controllers.values():
            for vm in restarted:
                controller.observe_restart(vm)
        return self._apply_view(now_s)

    def observe_state(self, *, sender_vm: str, state: ShardState, now_s: float) -> list[Outgoing]:
        """Store or merge the state of a shard that another VM sent, and acknowledge it."""
        if not self._is_known(state.service, state.shard):
            return []
        controller = self._get_or_create_controller((state.service, state.shard), now_s)
        return self._record_sent_bytes(
            controller.observe_state(sender=sender_vm, state=state, now_s=now_s)
        )

    def observe_ack(self, *, sender_vm: str, ack: ShardAck, now_s: float) -> list[Outgoing]:
        """Process an acknowledgement, or a request for the state of a shard."""
        if not self._is_known(ack.service, ack.shard):
            return []
        controller = self._get_or_create_controller((ack.service, ack.shard), now_s)
        return self._record_sent_bytes(
            controller.observe_ack(sender=sender_vm, ack=ack, now_s=now_s)
        )

    # Timers

    def decide_tick(self, *, now_s: float) -> list[Outgoing]:
        """Return the replication messages that are due; expects several calls a second."""
        paused_s = 0.0 if self._last_tick_s is None else now_s - self._last_tick_s
        self._last_tick_s = now_s
        outgoing: list[Outgoing] = []
        for key, controller in list(self._controllers.items()):
            if paused_s > MAX_TICK_GAP_S:
                outgoing += controller.apply_resume(paused_s=paused_s, now_s=now_s)
            outgoing += controller.decide_tick(now_s=now_s)
            if not controller.is_needed:
                del self._controllers[key]
        return self._record_sent_bytes(outgoing)

    def decide_handover(self, *, now_s: float) -> list[Outgoing]:
        """Start to hand all owned shards over to their successors, for a planned shutdown."""
        self._is_leaving = True
        moved = self.observe_members(live_members=self._members, now_s=now_s)
        return moved + self.decide_tick(now_s=now_s)

    def is_handover_done(self, *, now_s: float) -> bool:
        """Return whether this VM serves no shard any longer."""
        for controller in self._controllers.values():
            controller.finish_handover(now_s=now_s)
        return all(controller.role is Role.IDLE for controller in self._controllers.values())

    # Queries

    def owns(self, service: str, shard: int) -> bool:
        """Return whether this VM currently resolves all flows of the shard."""
        controller = self._controllers.get((service, shard))
        return controller is not None and controller.owns

    def serves(self, service: str, shard: int) -> bool:
        """Return whether packets of the shard are passed to its local flow table.

        While this VM waits for the previous owner's state, the table resolves the flows that it
        knows and returns ``NOT_OWNER`` for all others.
        """
        controller = self._controllers.get((service, shard))
        return controller is not None and controller.role is not Role.IDLE

    def get_shard(self, service: str, shard: int) -> FlowShard | None:
        """Return the flow table of the shard; None if this VM neither serves nor replicates it."""
        controller = self._controllers.get((service, shard))
        return controller.flows if controller else None

    def list_served_shards(self, service: str) -> list[FlowShard]:
        """Return the flow tables of `service` that this VM currently serves."""
        return [
            controller.flows
            for (name, _), controller in self._controllers.items()
            if name == service and controller.role in (Role.OWNER, Role.HANDING_OVER)
        ]

    def find_server(self, service: str, shard: int) -> str:
        """Return the VM that serves the shard as far as this VM knows; empty if none does.

        It differs from the rendezvous owner in two cases: while this VM hands the shard over, and
        while it waits for the previous owner's state. In the second case packets go to the
        previous owner, because this VM could resolve an open flow to the wrong target.
        """
        controller = self._controllers.get((service, shard))
        return controller.server if controller else self._owners.get((service, shard), "")

    def counters(self) -> ShardCounters:
        """Return the counts for metrics."""
        owned = [controller for controller in self._controllers.values() if controller.owns]
        return ShardCounters(
            flows_open=sum(controller.flows.open_count for controller in owned),
            exceptions=sum(len(controller.flows.exceptions) for controller in owned),
            replicated_bytes=self._replicated_bytes,
            shards_owned=len(owned),
            shards_awaiting_state=sum(
                controller.role is Role.AWAITING_STATE for controller in self._controllers.values()
            ),
        )

    # Internals

    def _is_known(self, service: str, shard: int) -> bool:
        known = self._sheet is not None and service in self._sheet.services
        return known and 0 <= shard < FLOW_SHARDS

    def _get_or_create_controller(self, key: ShardKey, now_s: float) -> ShardController:
        controller = self._controllers.get(key)
        if controller is None:
            flows = FlowShard(service=key[0], shard=key[1])
            self._apply_targets(flows, now_s)
            controller = self._controllers[key] = ShardController(vm=self.vm, flows=flows)
        return controller

    def _apply_targets(self, flows: FlowShard, now_s: float) -> None:
        services = self._sheet.services
        service = services[flows.service]
        own = {target.name for target in service.targets}
        foreign_targets = frozenset(t.name for s in services.values() for t in s.targets) - own
        flows.apply_targets(
            targets=service.targets,
            connections=service.connections,
            foreign_targets=foreign_targets,
            now_s=now_s,
        )

    def _apply_view(self, now_s: float) -> list[Outgoing]:
        if self._sheet is None or not self._members:
            return []
        outgoing = []
        for name in self._sheet.services:
            zones = list_zones(self._sheet, name)
            for shard in range(FLOW_SHARDS):
                outgoing += self._apply_shard_view((name, shard), zones, now_s)
        return self._record_sent_bytes(outgoing)

    def _apply_shard_view(
        self, key: ShardKey, zones: frozenset[str], now_s: float
    ) -> list[Outgoing]:
        rendezvous_key = build_flow_key(*key)
        owner = pick_owner(key=rendezvous_key, members=self._members, zones=zones)
        standbys = pick_standbys(key=rendezvous_key, members=self._members, owner=owner)
        view = ShardView(
            owner=owner.vm,
            previous_owner=self._owners.get(key, ""),
            standbys=tuple(member.vm for member in standbys),
            live_vms=self._live_vms,
        )
        self._owners[key] = owner.vm
        if key not in self._controllers and self.vm not in (view.owner, *view.standbys):
            return []
        return self._get_or_create_controller(key, now_s).apply_view(view, now_s=now_s)

    def _record_sent_bytes(self, outgoing: list[Outgoing]) -> list[Outgoing]:
        self._replicated_bytes += sum(
            estimate_state_bytes(item.message)
            for item in outgoing
            if isinstance(item.message, ShardState)
        )
        return outgoing
