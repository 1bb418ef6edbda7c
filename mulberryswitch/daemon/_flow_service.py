"""Packets of open flows at the owner of their flow shard."""

from collections.abc import Callable
from typing import Any

from mulberryswitch.contracts import (
    FlowClosed,
    FlowData,
    FlowOpened,
    Forward,
    PacketKind,
    Reply,
    ReplyKind,
    ResultCode,
    Service,
    Target,
    TargetClose,
    TargetData,
    TargetOpen,
)
from mulberryswitch.links import SendFabricMessage
from mulberryswitch.routing import FlowShard, FlowShards, Route, Router, shard_of

from ._target_sessions import TargetSessions
from ._view import View

__all__ = ["FlowService"]

MAX_SEARCHES = 4096


class FlowService:
    """Serve OPEN, DATA and CLOSE of the flow shards that this VM owns.

    An owner that took a shard over without a replica of its state assumes that an unknown flow is
    open at its base target. When that target does not know the flow, the next packets of the flow
    try the other targets in turn, because it may be open at any of them. This is safe, since a
    target answers data of an unknown flow with ``UNKNOWN_FLOW`` and does nothing else. When all
    targets have been tried, the flow is closed towards its caller.

    Parameters
    ----------
    view : View
        Configuration in force and members.
    shards : FlowShards
        Flow tables of the shards.
    router : Router
        Computes routes of packets that this VM cannot serve.
    sessions : TargetSessions
        Links to targets.
    emit : callable
        Takes effects for the links.
    execute_route : callable
        ``execute_route(route, forward, now_s)`` executes a route.
    count : callable
        ``count(name, amount)`` increments an event counter.
    """

    def __init__(
        self,
        *,
        view: View,
        shards: FlowShards,
        router: Router,
        sessions: TargetSessions,
        emit: Callable[[Any], None],
        execute_route: Callable[[Route, Forward, float], None],
        count: Callable[[str, int], None],
    ):
        self.view = view
        self.shards = shards
        self.router = router
        self.sessions = sessions
        self.emit = emit
        self.execute_route = execute_route
        self.count = count
        self._searches: dict[bytes, set[str]] = {}

    def serve_packet(self, forward: Forward, shard: int, now_s: float) -> None:
        """Serve a packet of a flow in `shard`."""
        flows = self.shards.get_shard(forward.service, shard)
        match forward.packet.kind:
            case PacketKind.OPEN:
                self._serve_open(flows, forward, now_s)
            case PacketKind.DATA:
                self._serve_data(flows, forward, now_s)
            case PacketKind.CLOSE:
                self._serve_close(flows, forward, now_s)
            case _:
                self._route_request(flows, forward, now_s)

    def _serve_open(self, flows: FlowShard, forward: Forward, now_s: float) -> None:
        packet = forward.packet
        result = flows.apply_open(flow=packet.flow, now_s=now_s)
        if result is ResultCode.NOT_OWNER:
            self._relay(forward, flows.shard, now_s)
        elif isinstance(result, ResultCode):
            self._reply(ReplyKind.REFUSED, packet.flow, code=result)
        elif self._send(result, forward, TargetOpen(flow=packet.flow, body=packet.body), now_s):
            self.count("flows_opened", 1)
        else:
            flows.apply_close(flow=packet.flow, now_s=now_s)
            self._reply(ReplyKind.REFUSED, packet.flow, code=ResultCode.NO_PATH)

    def _serve_data(self, flows: FlowShard, forward: Forward, now_s: float) -> None:
        packet = forward.packet
        if packet.flow in self._searches and not flows.is_confirmed(flow=packet.flow):
            self._search(forward, now_s)
            return
        result = flows.lookup(flow=packet.flow, now_s=now_s)
        if result is ResultCode.NOT_OWNER:
            self._relay(forward, flows.shard, now_s)
        elif result is None:
            self._reply(ReplyKind.CLOSED, packet.flow, code=ResultCode.UNKNOWN_FLOW)
        elif not self._send(result, forward, TargetData(flow=packet.flow, body=packet.body), now_s):
            self.count("flow_data_dropped", 1)

    def _search(self, forward: Forward, now_s: float) -> None:
        """Send the packet to a reachable target that has not been tried for its flow."""
        packet = forward.packet
        tried = self._searches[packet.flow]
        definition = self.view.sheet.services.get(forward.service)
        untried = [
            target
            for target in (definition.targets if definition else ())
            if target.name not in tried
        ]
        for target in untried:
            self.sessions.attach(target, now_s)
        reachable = next((t.name for t in untried if self.sessions.is_up(t.name)), None)
        if reachable is not None:
            frame = TargetData(flow=packet.flow, body=packet.body)
            self._send(reachable, forward, frame, now_s)
        elif untried:
            # Another VM may reach the untried targets, so the flow is not reported as broken.
            self.count("flow_data_dropped", 1)
        else:
            del self._searches[packet.flow]
            self.count("flows_broken", 1)
            self._reply(ReplyKind.CLOSED, packet.flow, code=ResultCode.UNKNOWN_FLOW)

    def _serve_close(self, flows: FlowShard, forward: Forward, now_s: float) -> None:
        flow = forward.packet.flow
        result = flows.lookup(flow=flow, now_s=now_s)
        if result is ResultCode.NOT_OWNER:
            self._relay(forward, flows.shard, now_s)
        elif result is not None:
            self._send(result, forward, TargetClose(flow=flow), now_s)

    def _route_request(self, flows: FlowShard, forward: Forward, now_s: float) -> None:
        route = self.router.decide_dispatch(
            forward=forward,
            pinned=flows.get_pinned_target(flow=forward.packet.flow),
            sheet=self.view.sheet,
            members=self.view.members,
            members_version=self.view.members_version,
            now_s=now_s,
        )
        self.execute_route(route, forward, now_s)

    def _relay(self, forward: Forward, shard: int, now_s: float) -> None:
        self.count("flow_packets_relayed", 1)
        self.execute_route(self.router.decide_relay(forward=forward, shard=shard), forward, now_s)

    def _send(self, name: str, forward: Forward, frame: Any, now_s: float) -> bool:
        target = self._find_target(name, forward.service)
        if target is not None:
            self.sessions.attach(target, now_s)
        return self.sessions.send_or_queue(name, frame)

    def _find_target(self, name: str, service: str) -> Target | None:
        definition: Service | None = self.view.sheet.services.get(service)
        targets = definition.targets if definition else ()
        return next((target for target in targets if target.name == name), None)

    def _reply(self, kind: ReplyKind, flow: bytes, *, code: int = 0, body: bytes = b"") -> None:
        self.emit(SendFabricMessage(message=Reply(kind=kind, flow=flow, code=code, body=body)))

    def observe_frame(self, service: str, target: str, frame: Any, now_s: float) -> None:
        """Relay a frame of a target about a flow to the caller."""
        match frame:
            case FlowOpened():
                self._reply(ReplyKind.OPENED, frame.flow)
            case FlowData():
                if frame.flow in self._searches:
                    self._finish_search(service, target, frame.flow, now_s)
                self._reply(ReplyKind.DATA, frame.flow, body=frame.body)
            case FlowClosed():
                self._handle_closed(service, target, frame, now_s)

    def _finish_search(self, service: str, target: str, flow: bytes, now_s: float) -> None:
        del self._searches[flow]
        flows = self.shards.get_shard(service, shard_of(flow))
        if flows is not None and not flows.awaiting_state:
            self.count("flows_found", 1)
            flows.apply_found_target(flow=flow, target=target, now_s=now_s)

    def _handle_closed(self, service: str, target: str, frame: FlowClosed, now_s: float) -> None:
        flows = self.shards.get_shard(service, shard_of(frame.flow))
        if flows is None:
            return
        assumed = not flows.is_confirmed(flow=frame.flow)
        flows.apply_close(flow=frame.flow, now_s=now_s)
        if frame.code == ResultCode.UNKNOWN_FLOW and assumed:
            self._searches.setdefault(frame.flow, set()).add(target)
            if len(self._searches) > MAX_SEARCHES:
                del self._searches[next(iter(self._searches))]
            return
        if frame.code:
            self.count("flows_broken", 1)
        self._reply(ReplyKind.CLOSED, frame.flow, code=frame.code)

    def close_target_flows(self, service: str, target: str) -> None:
        """Close the flows of a target whose process was lost."""
        for flows in self.shards.list_served_shards(service):
            for flow in flows.apply_target_lost(target=target):
                self.count("flows_broken", 1)
                self._reply(ReplyKind.CLOSED, flow, code=ResultCode.TARGET_LOST)

    def drop_queued_opens(self, service: str, target: str, now_s: float) -> None:
        """Unpin flows whose OPEN is queued for an unreachable target.

        The caller's next OPEN places such a flow at another target.
        """
        for frame in self.sessions.take_queued_frames(target):
            flows = self.shards.get_shard(service, shard_of(frame.flow))
            if isinstance(frame, TargetOpen) and flows is not None:
                flows.apply_close(flow=frame.flow, now_s=now_s)

    def count_flows_by_target(self) -> dict[str, int]:
        """Return the number of open flows per target."""
        totals: dict[str, int] = {}
        for service in self.view.sheet.services if self.view.sheet else ():
            for flows in self.shards.list_served_shards(service):
                for target, amount in flows.count_by_target().items():
                    totals[target] = totals.get(target, 0) + amount
        return totals
