"""Routing of packets at a VM, and requests deferred after a pause of the process."""

from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

from mulberryswitch.contracts import (
    DecodeError,
    Forward,
    Packet,
    PacketKind,
    Reply,
    ReplyKind,
    ResultCode,
    check_packet,
)
from mulberryswitch.links import SendFabricMessage
from mulberryswitch.observability import RecordHop
from mulberryswitch.routing import (
    Drop,
    ForwardTo,
    RefuseLocally,
    Route,
    Router,
    ServeFlow,
    ServeRequest,
)

from ._flow_service import FlowService
from ._request_service import RequestService
from ._view import View

__all__ = ["PacketService"]

MAX_DEFERRED = 10_000


class PacketService:
    """Route packets from the fabric and from peers, and execute the routes.

    Parameters
    ----------
    view : View
        Configuration in force and members.
    router : Router
        Computes routes.
    flows : FlowService
        Serves flows of shards that this VM owns.
    requests : RequestService
        Serves requests of services that this VM dispatches, and forwards the others.
    emit : callable
        Takes effects for the links.
    send_peer : callable
        ``send_peer(vm, message, now_s)`` sends a message to a peer.
    may_start_work : callable
        ``may_start_work(now_s)`` is False after a pause until the view is confirmed.
    count : callable
        ``count(name, amount)`` increments an event counter.
    record_hop : callable
        Records a span per hop and returns the trace context for the next one.
    """

    def __init__(
        self,
        *,
        view: View,
        router: Router,
        flows: FlowService,
        requests: RequestService,
        emit: Callable[[Any], None],
        send_peer: Callable[[str, Any, float], None],
        may_start_work: Callable[[float], bool],
        count: Callable[[str, int], None],
        record_hop: RecordHop,
    ):
        self.view = view
        self.router = router
        self.flows = flows
        self.requests = requests
        self.emit = emit
        self.send_peer = send_peer
        self.may_start_work = may_start_work
        self.count = count
        self.record_hop = record_hop
        self._deferred: list[Forward] = []

    @property
    def has_deferred(self) -> bool:
        """Whether requests are deferred."""
        return bool(self._deferred)

    def defer(self, forwards: Iterable[Forward]) -> None:
        """Defer requests until the view is confirmed after a pause."""
        self._deferred.extend(forwards)

    def route_deferred(self, now_s: float) -> None:
        """Route the deferred requests in the current view."""
        deferred, self._deferred = self._deferred, []
        for forward in deferred:
            self.route_again(forward, now_s)

    def observe_packet(self, packet: Any, now_s: float) -> None:
        """Process a packet from the fabric."""
        try:
            if not isinstance(packet, Packet):
                raise DecodeError("not a caller's packet")
            check_packet(packet)
        except DecodeError:
            self.count("packets_malformed", 1)
            return
        self.count("packets", 1)
        if packet.trace:
            attributes = {"kind": packet.kind, "address": packet.address}
            packet = replace(packet, trace=self.record_hop("entry", packet.trace, attributes))
        view = self.view
        route = self.router.decide(
            packet=packet,
            sheet=view.sheet,
            members=view.members,
            members_version=view.members_version,
            now_s=now_s,
        )
        if isinstance(route, ForwardTo):
            self.execute_route(route, route.forward, now_s)
            return
        service = view.sheet.service_by_address.get(packet.address, "") if view.sheet else ""
        forward = Forward(
            packet=packet,
            service=service,
            version=view.sheet.version if view.sheet else 0,
            hops=0,
            entry_vm=view.vm,
            entry_zone=view.zone,
        )
        self.execute_route(route, forward, now_s)

    def observe_forward(self, forward: Forward, now_s: float) -> None:
        """Process a packet that a peer forwarded."""
        try:
            packet = check_packet(forward.packet)
        except DecodeError:
            self.count("packets_malformed", 1)
            return
        if packet.trace:
            trace = self.record_hop("owner", packet.trace, {"service": forward.service})
            forward = replace(forward, packet=replace(packet, trace=trace))
        self._route(forward, now_s)

    def _route(self, forward: Forward, now_s: float) -> None:
        route = self.router.decide_forwarded(
            forward=forward,
            sheet=self.view.sheet,
            members=self.view.members,
            members_version=self.view.members_version,
            now_s=now_s,
        )
        self.execute_route(route, forward, now_s)

    def route_again(self, forward: Forward, now_s: float) -> None:
        """Route a request again in the current view, with its hop count reset."""
        self._route(replace(forward, hops=0), now_s)

    def execute_route(self, route: Route, forward: Forward, now_s: float) -> None:
        """Execute a route of `forward`."""
        match route:
            case ServeFlow():
                self.flows.serve_packet(forward, route.shard, now_s)
            case ServeRequest():
                self._serve_request(route, forward, now_s)
            case ForwardTo():
                self._forward(route, now_s)
            case RefuseLocally():
                self._refuse(forward, route.code, now_s)
            case Drop():
                self.count("packets_dropped", 1)

    def _serve_request(self, route: ServeRequest, forward: Forward, now_s: float) -> None:
        if self.may_start_work(now_s):
            self.requests.dispatch_request(forward, route.pinned, now_s)
        elif len(self._deferred) < MAX_DEFERRED:
            self._deferred.append(forward)
        else:
            self._refuse(forward, ResultCode.QUEUE_FULL, now_s)

    def _forward(self, route: ForwardTo, now_s: float) -> None:
        forward = route.forward
        if forward.packet.kind in (PacketKind.REQUEST, PacketKind.CANCEL):
            self.requests.forward_request(route.vm, forward, now_s)
        else:
            self.send_peer(route.vm, forward, now_s)

    def _refuse(self, forward: Forward, code: int, now_s: float) -> None:
        packet = forward.packet
        if packet.kind == PacketKind.REQUEST:
            self.requests.refuse_request(forward, code, now_s)
        elif packet.kind == PacketKind.OPEN:
            reply = Reply(kind=ReplyKind.REFUSED, flow=packet.flow, code=code)
            self.emit(SendFabricMessage(message=reply))
        else:
            self.count("packets_dropped", 1)
