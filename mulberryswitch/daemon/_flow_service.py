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

    A VM that became owner without a copy of the shard's state assumes that an unknown flow is at
    its base pick. When that target does not know the flow, the next packets try the other targets
    one after the other, because the flow may be open at any of them; a target that does not know a
    flow only says so. The flow is closed towards its caller when every target was tried.

    Parameters
    ----------
    view : View
        Configuration in force and members.
    shards : FlowShards
        Flow tables.
    router : Router
        Routes of packets that this VM cannot serve yet.
    sessions : TargetSessions
        Links to targets.
    emit : callable
        Takes effects for the links.
    follow : callable
        ``follow(route, forward, now_s)`` carries out a route.
    count : callable
        ``count(name, amount)``.
    """

    def __init__(
        self,
        *,
        view: View,
        shards: FlowShards,
        router: Router,
        sessions: TargetSessions,
        emit: Callable[[Any], None],
        follow: Callable[[Route, Forward, float], None],
        count: Callable[[str, int], None],
    ):
        self.view = view
        self.shards = shards
        self.router = router
        self.sessions = sessions
        self.emit = emit
        self.follow = follow
        self.count = count
        self._searches: dict[bytes, set[str]] = {}

    def apply_packet(self, forward: Forward, shard: int, now_s: float) -> None:
        """Serve a packet of a flow of this shard."""
        flows = self.shards.get_shard(forward.service, shard)
        match forward.packet.kind:
            case PacketKind.OPEN:
                self._apply_open(flows, forward, now_s)
            case PacketKind.DATA:
                self._apply_data(flows, forward, now_s)
            case PacketKind.CLOSE:
                self._apply_close(flows, forward, now_s)
            case _:
                self._apply_request(flows, forward, now_s)

    def _apply_open(self, flows: FlowShard, forward: Forward, now_s: float) -> None:
        packet = forward.packet
        picked = flows.apply_open(flow=packet.flow, now_s=now_s)
        if picked is ResultCode.NOT_OWNER:
            self._relay(forward, flows.shard, now_s)
        elif isinstance(picked, ResultCode):
            self._reply(ReplyKind.REFUSED, packet.flow, code=picked)
        elif self._send(picked, forward, TargetOpen(flow=packet.flow, body=packet.body), now_s):
            self.count("flows_opened", 1)
        else:
            flows.apply_close(flow=packet.flow, now_s=now_s)
            self._reply(ReplyKind.REFUSED, packet.flow, code=ResultCode.NO_PATH)

    def _apply_data(self, flows: FlowShard, forward: Forward, now_s: float) -> None:
        packet = forward.packet
        if packet.flow in self._searches and not flows.is_confirmed(flow=packet.flow):
            self._search(forward, now_s)
            return
        found = flows.lookup(flow=packet.flow, now_s=now_s)
        if found is ResultCode.NOT_OWNER:
            self._relay(forward, flows.shard, now_s)
        elif found is None:
            self._reply(ReplyKind.CLOSED, packet.flow, code=ResultCode.UNKNOWN_FLOW)
        elif not self._send(found, forward, TargetData(flow=packet.flow, body=packet.body), now_s):
            self.count("flow_data_dropped", 1)

    def _search(self, forward: Forward, now_s: float) -> None:
        """Send the packet to a target that was not asked for the flow yet."""
        packet = forward.packet
        asked = self._searches[packet.flow]
        known = self.view.sheet.services.get(forward.service)
        left = [target for target in (known.targets if known else ()) if target.name not in asked]
        for target in left:
            self.sessions.apply_attach(target, now_s)
        reachable = next((t.name for t in left if self.sessions.is_up(t.name)), None)
        if reachable is not None:
            frame = TargetData(flow=packet.flow, body=packet.body)
            self._send(reachable, forward, frame, now_s)
        elif left:
            # Another VM may reach the remaining targets, so the flow is not declared broken.
            self.count("flow_data_dropped", 1)
        else:
            del self._searches[packet.flow]
            self.count("flows_broken", 1)
            self._reply(ReplyKind.CLOSED, packet.flow, code=ResultCode.UNKNOWN_FLOW)

    def _apply_close(self, flows: FlowShard, forward: Forward, now_s: float) -> None:
        flow = forward.packet.flow
        found = flows.lookup(flow=flow, now_s=now_s)
        if found is ResultCode.NOT_OWNER:
            self._relay(forward, flows.shard, now_s)
        elif found is not None:
            self._send(found, forward, TargetClose(flow=flow), now_s)

    def _apply_request(self, flows: FlowShard, forward: Forward, now_s: float) -> None:
        route = self.router.decide_dispatch(
            forward=forward,
            pinned=flows.get_pinned_target(flow=forward.packet.flow),
            sheet=self.view.sheet,
            members=self.view.members,
            members_version=self.view.members_version,
            now_s=now_s,
        )
        self.follow(route, forward, now_s)

    def _relay(self, forward: Forward, shard: int, now_s: float) -> None:
        self.count("flow_packets_relayed", 1)
        self.follow(self.router.decide_relay(forward=forward, shard=shard), forward, now_s)

    def _send(self, name: str, forward: Forward, frame: Any, now_s: float) -> bool:
        target = self._find_target(name, forward.service)
        if target is not None:
            self.sessions.apply_attach(target, now_s)
        return self.sessions.apply_send(name, frame)

    def _find_target(self, name: str, service: str) -> Target | None:
        known: Service | None = self.view.sheet.services.get(service)
        targets = known.targets if known else ()
        return next((target for target in targets if target.name == name), None)

    def _reply(self, kind: ReplyKind, flow: bytes, *, code: int = 0, body: bytes = b"") -> None:
        self.emit(SendFabricMessage(message=Reply(kind=kind, flow=flow, code=code, body=body)))

    def observe_frame(self, service: str, target: str, frame: Any, now_s: float) -> None:
        """Pass a target's frame about a flow on to its caller."""
        match frame:
            case FlowOpened():
                self._reply(ReplyKind.OPENED, frame.flow)
            case FlowData():
                if frame.flow in self._searches:
                    self._finish_search(service, target, frame.flow, now_s)
                self._reply(ReplyKind.DATA, frame.flow, body=frame.body)
            case FlowClosed():
                self._observe_closed(service, target, frame, now_s)

    def _finish_search(self, service: str, target: str, flow: bytes, now_s: float) -> None:
        del self._searches[flow]
        flows = self.shards.get_shard(service, shard_of(flow))
        if flows is not None and not flows.awaiting_state:
            self.count("flows_found", 1)
            flows.apply_found_target(flow=flow, target=target, now_s=now_s)

    def _observe_closed(self, service: str, target: str, frame: FlowClosed, now_s: float) -> None:
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

    def observe_target_gone(self, service: str, target: str) -> None:
        """End the flows of a target that this VM can no longer reach."""
        for flows in self.shards.list_served_shards(service):
            for flow in flows.apply_target_lost(target=target):
                self.count("flows_broken", 1)
                self._reply(ReplyKind.CLOSED, flow, code=ResultCode.TARGET_LOST)

    def observe_unreachable(self, service: str, target: str, now_s: float) -> None:
        """Unpin flows whose open still waits for the link; the caller's next open moves them."""
        for frame in self.sessions.take_waiting(target):
            flows = self.shards.get_shard(service, shard_of(frame.flow))
            if isinstance(frame, TargetOpen) and flows is not None:
                flows.apply_close(flow=frame.flow, now_s=now_s)

    def list_pinned(self) -> dict[str, int]:
        """Return the open flows of each target, for operators."""
        totals: dict[str, int] = {}
        for service in self.view.sheet.services if self.view.sheet else ():
            for flows in self.shards.list_served_shards(service):
                for target, amount in flows.count_by_target().items():
                    totals[target] = totals.get(target, 0) + amount
        return totals
