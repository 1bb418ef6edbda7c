"""Where a packet goes: served here, forwarded to an owner, refused or dropped."""

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

# `Forward.pinned` of a request that the flow shard's owner has seen and whose flow is not open.
UNPINNED = "-"
REQUEST_KINDS = frozenset((PacketKind.REQUEST, PacketKind.CANCEL))
REFUSABLE_KINDS = frozenset((PacketKind.REQUEST, PacketKind.OPEN))


@dataclass(frozen=True, kw_only=True, slots=True)
class ServeFlow:
    """This VM serves the flow shard."""

    service: str
    shard: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ServeRequest:
    """This VM is the dispatcher; `pinned` is the target of the request's flow or empty."""

    service: str
    pinned: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardTo:
    """Send `forward` to VM `vm`."""

    vm: str
    forward: Forward


@dataclass(frozen=True, kw_only=True, slots=True)
class RefuseLocally:
    """The packet was not run; tell the caller, or the entry VM if a peer forwarded it."""

    code: ResultCode


@dataclass(frozen=True, kw_only=True, slots=True)
class Drop:
    """Ignore the packet."""

    reason: str


@lru_cache(maxsize=4096)
def build_serve_flow(service: str, shard: int) -> ServeFlow:
    """Return the same route for every packet of a shard; building it costs more than a look-up."""
    return ServeFlow(service=service, shard=shard)


Route = ServeFlow | ServeRequest | ForwardTo | RefuseLocally | Drop


class Router:
    """Routes of one VM.

    Owners are cached as long as the sheet is the same object and the members have the same version.

    Parameters
    ----------
    vm, zone : str
        This VM.
    shards : FlowShards, optional
        State of handovers; without it, the rendezvous owner serves at once.
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
        """Return the route of a packet from a caller."""
        if sheet is None:
            return RefuseLocally(code=ResultCode.NO_CONFIGURATION)
        service = sheet.service_by_address.get(packet.address)
        if service is None:
            return RefuseLocally(code=ResultCode.UNKNOWN_ADDRESS)
        self._check_cache(sheet, members_version)
        if packet.kind in REQUEST_KINDS and not packet.request_id:
            vm = self._dispatcher(service, sheet, members)
            if vm == self.vm:
                return ServeRequest(service=service)
        else:
            shard = shard_of(packet.flow)
            vm = self._flow_server(service, shard, sheet, members)
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
        """Return the route of a packet from a peer.

        The address is mapped again under this VM's configuration, so that two versions of it never
        bring a packet to a target of another service.
        """
        if sheet is None:
            return RefuseLocally(code=ResultCode.NO_CONFIGURATION)
        packet = forward.packet
        if sheet.service_by_address.get(packet.address) != forward.service:
            return RefuseLocally(code=ResultCode.SERVICE_MISMATCH)
        self._check_cache(sheet, members_version)
        service = forward.service
        if packet.kind in REQUEST_KINDS and (forward.pinned or not packet.request_id):
            return self._route_request(forward, sheet, members)
        shard = shard_of(packet.flow)
        vm = self._flow_server(service, shard, sheet, members)
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
        """Return the route to the dispatcher of a request that this VM, as shard owner, has seen.

        `pinned` is the target of its open flow, or empty if the flow is not open.
        """
        self._check_cache(sheet, members_version)
        return self._route_request(replace(forward, pinned=pinned or UNPINNED), sheet, members)

    def pick_dispatcher(
        self, *, service: str, sheet: Sheet, members: Sequence[Member], members_version: int
    ) -> str:
        """Return the VM that dispatches the requests of `service`, or an empty name."""
        self._check_cache(sheet, members_version)
        return self._dispatcher(service, sheet, members)

    def decide_relay(self, *, forward: Forward, shard: int) -> Route:
        """Return the route of a packet whose flow this VM must not resolve yet (``NOT_OWNER``)."""
        vm = self.shards.find_server(forward.service, shard) if self.shards else ""
        return self._relay(forward, vm)

    def _route_request(self, forward: Forward, sheet: Sheet, members: Sequence[Member]) -> Route:
        vm = self._dispatcher(forward.service, sheet, members)
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

    def _check_cache(self, sheet: Sheet, members_version: int) -> None:
        if sheet is self._sheet and members_version == self._members_version:
            return
        self._sheet, self._members_version = sheet, members_version
        self._flow_owners.clear()
        self._dispatchers.clear()

    def _flow_server(
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

    def _dispatcher(self, service: str, sheet: Sheet, members: Sequence[Member]) -> str:
        vm = self._dispatchers.get(service)
        if vm is None:
            zones = list_zones(sheet, service)
            owner = pick_owner(key=f"queue|{service}", members=members, zones=zones)
            vm = self._dispatchers[service] = owner.vm if owner else ""
        return vm
