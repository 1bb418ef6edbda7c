"""Routing decisions for packets: serve locally, forward to an owner, refuse or drop."""

from collections.abc import Sequence
from dataclasses import dataclass, replace
from functools import lru_cache

from mulberryswitch.contracts import MAX_HOPS, Forward, Packet, PacketKind, ResultCode, Sheet
from mulberryswitch.vms import Member, pick_owner

from ._hashing import shard_of
from ._replication import FlowShards, build_flow_key, list_zones

__all__ = [
    "UNPINNED",
    "Drop",
    "ForwardTo",
    "RefuseLocally",
    "Route",
    "Router",
    "ServeFlow",
    "ServeRequest",
]

# Value of `Forward.pinned` once the flow shard's owner has found the flow of a request not open.
UNPINNED = "-"
REQUEST_KINDS = frozenset((PacketKind.REQUEST, PacketKind.CANCEL))
REFUSABLE_KINDS = frozenset((PacketKind.REQUEST, PacketKind.OPEN))


@dataclass(frozen=True, kw_only=True, slots=True)
class ServeFlow:
    """Serve the packet from the local flow table of this shard."""

    service: str
    shard: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ServeRequest:
    """Dispatch the request locally; `pinned` is the target of its flow, or empty."""

    service: str
    pinned: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardTo:
    """Send `forward` to VM `vm`."""

    vm: str
    forward: Forward


@dataclass(frozen=True, kw_only=True, slots=True)
class RefuseLocally:
    """Refuse the packet towards the caller, or the entry VM if a peer forwarded it.

    The packet has not reached a target.
    """

    code: ResultCode


@dataclass(frozen=True, kw_only=True, slots=True)
class Drop:
    """Discard the packet without an answer."""

    reason: str


@lru_cache(maxsize=4096)
def build_serve_flow(service: str, shard: int) -> ServeFlow:
    """Return a cached route for a shard; a cache lookup is cheaper than building the object."""
    return ServeFlow(service=service, shard=shard)


Route = ServeFlow | ServeRequest | ForwardTo | RefuseLocally | Drop


class Router:
    """Routing decisions of one VM.

    Owners are cached until the sheet object or the version of the member list changes.

    Parameters
    ----------
    vm, zone : str
        Name and zone of this VM.
    shards : FlowShards, optional
        Flow shards of this VM, which know of handovers in progress. Without them the rendezvous
        owner is taken to serve its shards immediately.
    """

    def __init__(self, *, vm: str, zone: str, shards: FlowShards | None = None):
        self.vm = vm
        self.zone = zone
        self.shards = shards
        self._sheet: Sheet | None = None
        self._members_version = -1
        self._flow_owners: dict[tuple[str, int], str] = {}
        self._dispatchers: dict[str, str] = {}

    def decide(
        self,
        *,
        packet: Packet,
        sheet: Sheet | None,
        members: Sequence[Member],
        members_version: int,
        now_s: float,
    ) -> Route:
        """Return the route of a packet that this VM, as its entry VM, received from a caller."""
        if sheet is None:
            return RefuseLocally(code=ResultCode.NO_CONFIGURATION)
        service = sheet.service_by_address.get(packet.address)
        if service is None:
            return RefuseLocally(code=ResultCode.UNKNOWN_ADDRESS)
        self._clear_stale_cache(sheet, members_version)
        if packet.kind in REQUEST_KINDS and not packet.request_id:
            vm = self._get_dispatcher(service, sheet, members)
            if vm == self.vm:
                return ServeRequest(service=service)
        else:
            shard = shard_of(packet.flow)
            vm = self._get_flow_server(service, shard, sheet, members)
            if vm == self.vm:
                return build_serve_flow(service, shard)
        if not vm:
            return RefuseLocally(code=ResultCode.NO_PATH)
        forward = Forward(
            packet=packet,
            service=service,
            version=sheet.version,
            hops=0,
            entry_vm=self.vm,
            entry_zone=self.zone,
        )
        return ForwardTo(vm=vm, forward=forward)

    def decide_forwarded(
        self,
        *,
        forward: Forward,
        sheet: Sheet | None,
        members: Sequence[Member],
        members_version: int,
        now_s: float,
    ) -> Route:
        """Return the route of a packet that a peer forwarded.

        The address is resolved again with this VM's configuration, so that a difference between
        the configuration versions of two VMs cannot deliver a packet to a target of another
        service.
        """
        if sheet is None:
            return RefuseLocally(code=ResultCode.NO_CONFIGURATION)
        packet = forward.packet
        if sheet.service_by_address.get(packet.address) != forward.service:
            return RefuseLocally(code=ResultCode.SERVICE_MISMATCH)
        self._clear_stale_cache(sheet, members_version)
        service = forward.service
        if packet.kind in REQUEST_KINDS and (forward.pinned or not packet.request_id):
            return self._route_request(forward, sheet, members)
        shard = shard_of(packet.flow)
        vm = self._get_flow_server(service, shard, sheet, members)
        if vm == self.vm:
            return build_serve_flow(service, shard)
        return self._relay(forward, vm)

    def decide_dispatch(
        self,
        *,
        forward: Forward,
        pinned: str,
        sheet: Sheet,
        members: Sequence[Member],
        members_version: int,
        now_s: float,
    ) -> Route:
        """Return the route to the dispatcher for a request received as the owner of its shard.

        `pinned` is the target of the request's flow, or empty if the flow is not open.
        """
        self._clear_stale_cache(sheet, members_version)
        return self._route_request(replace(forward, pinned=pinned or UNPINNED), sheet, members)

    def pick_dispatcher(
        self, *, service: str, sheet: Sheet, members: Sequence[Member], members_version: int
    ) -> str:
        """Return the VM that dispatches the requests of `service`; empty without members."""
        self._clear_stale_cache(sheet, members_version)
        return self._get_dispatcher(service, sheet, members)

    def decide_relay(self, *, forward: Forward, shard: int) -> Route:
        """Return the route of a packet whose flow the local table answered with ``NOT_OWNER``."""
        vm = self.shards.find_server(forward.service, shard) if self.shards else ""
        return self._relay(forward, vm)

    def _route_request(self, forward: Forward, sheet: Sheet, members: Sequence[Member]) -> Route:
        vm = self._get_dispatcher(forward.service, sheet, members)
        if vm == self.vm:
            pinned = "" if forward.pinned == UNPINNED else forward.pinned
            return ServeRequest(service=forward.service, pinned=pinned)
        return self._relay(forward, vm)

    def _relay(self, forward: Forward, vm: str) -> Route:
        if vm and vm != self.vm and forward.hops < MAX_HOPS:
            return ForwardTo(vm=vm, forward=replace(forward, hops=forward.hops + 1))
        if forward.packet.kind in REFUSABLE_KINDS:
            return RefuseLocally(code=ResultCode.NO_PATH)
        return Drop(reason="no owner within the hop limit")

    def _clear_stale_cache(self, sheet: Sheet, members_version: int) -> None:
        if sheet is self._sheet and members_version == self._members_version:
            return
        self._sheet, self._members_version = sheet, members_version
        self._flow_owners.clear()
        self._dispatchers.clear()

    def _get_flow_server(
        self, service: str, shard: int, sheet: Sheet, members: Sequence[Member]
    ) -> str:
        if self.shards is not None and self.shards.serves(service, shard):
            return self.vm
        vm = self._flow_owners.get((service, shard))
        if vm is None:
            key = build_flow_key(service, shard)
            owner = pick_owner(key=key, members=members, zones=list_zones(sheet, service))
            vm = self._flow_owners[service, shard] = owner.vm if owner else ""
        return vm

    def _get_dispatcher(self, service: str, sheet: Sheet, members: Sequence[Member]) -> str:
        vm = self._dispatchers.get(service)
        if vm is None:
            zones = list_zones(sheet, service)
            owner = pick_owner(key=f"queue|{service}", members=members, zones=zones)
            vm = self._dispatchers[service] = owner.vm if owner else ""
        return vm
