"""The decisions of one VM as a deterministic state machine: events in, effects out."""

import logging
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from mulberryswitch.configuration import CONFIG_TICK_S, ConfigExchange, ConfigStore
from mulberryswitch.contracts import (
    Announce,
    ConfigAnnounce,
    ConfigDocument,
    ConfigPull,
    Declined,
    Done,
    Forward,
    LeavingTargets,
    ShardAck,
    ShardState,
)
from mulberryswitch.links import (
    ClosePeer,
    ConfigRead,
    ConfigReadFailed,
    FabricPackets,
    MemberDatagram,
    PeerLost,
    PeerMessages,
    PeerMessagesUnsent,
    PeerUp,
    ReadConfig,
    ReadVmList,
    SendFabricMessage,
    TargetFrames,
    TargetLost,
    TargetRefused,
    TargetUp,
    VmEntry,
    VmListRead,
)
from mulberryswitch.observability import RecordHop, pass_trace_context
from mulberryswitch.requests import ReceiptSigner
from mulberryswitch.routing import (
    FlowShards,
    Route,
    Router,
)
from mulberryswitch.vms import Membership, PauseDetector, SilenceDetector

from ._flow_service import FlowService
from ._identity import NodeIdentity, Shutdown, Tick
from ._leaving_lists import LeavingLists
from ._packet_service import PacketService
from ._peer_exchange import PeerExchange
from ._request_service import RequestService
from ._target_sessions import TargetSessions
from ._view import View, build_effective_sheet

__all__ = ["NodeCore"]

ANNOUNCE_PERIOD_S = 0.2
LIST_PERIOD_S = 1.0
# A VM without live peers reads the list even if it is no reader, to find the fleet again.
ISOLATED_LIST_PERIOD_S = 5.0
LEAVING_REPEAT_S = 5.0
MEMBER_TICK_S = 0.1
SHARD_TICK_S = 0.1
DETACH_PERIOD_S = 5.0

log = logging.getLogger("node")


class NodeCore:
    """Deterministic state machine that makes all decisions of one VM.

    ``handle`` takes an event and the time and returns the effects for the links. The core opens no
    socket and reads no clock, so a test can drive several cores step by step.

    Parameters
    ----------
    identity : NodeIdentity
        Names and addresses of this VM.
    key : bytes
        Shared key of the fleet.
    rng : random.Random
        Random source.
    max_queued, max_pending : int
        Limits on the queued requests of a service and on the forwarded requests without an outcome.
    count : callable
        ``count(name, amount)`` increments an event counter.
    observe_wait : callable
        ``observe_wait(service, wait_s)`` records how long a request waited for a slot.
    record_hop : callable
        Records a span per hop and returns the trace context for the next one.
    """

    def __init__(
        self,
        *,
        identity: NodeIdentity,
        key: bytes,
        rng: Random,
        max_queued: int = 1000,
        max_pending: int = 50_000,
        count: Callable[[str, int], None],
        observe_wait: Callable[[str, float], None],
        record_hop: RecordHop = pass_trace_context,
    ):
        self.identity = identity
        self.rng = rng
        self.count = count
        self.is_leaving = False
        self.view = View(vm=identity.vm, zone=identity.zone)
        self.store = ConfigStore()
        self.exchange = ConfigExchange(vm=identity.vm, zone=identity.zone, store=self.store)
        self.membership = Membership(
            vm=identity.vm,
            zone=identity.zone,
            address=identity.address,
            incarnation=identity.incarnation,
        )
        self.pause = PauseDetector()
        self.silence = SilenceDetector()
        self.peers = PeerExchange(
            membership=self.membership,
            silence=self.silence,
            pause=self.pause,
            rng=rng,
            emit=self._emit,
            observe_unsent=lambda vm, message, now_s: self.requests.observe_unsent(
                vm, message, now_s
            ),
            observe_link_lost=lambda vm, lost_s, now_s: (
                self.requests.observe_link_lost(vm, lost_s, now_s)
            ),
        )
        self.shards = FlowShards(vm=identity.vm, zone=identity.zone)
        self.router = Router(vm=identity.vm, zone=identity.zone, shards=self.shards)
        self.sessions = TargetSessions(emit=self._emit)
        self.flows = FlowService(
            view=self.view,
            shards=self.shards,
            router=self.router,
            sessions=self.sessions,
            emit=self._emit,
            execute_route=self._execute_route,
            count=count,
        )
        self.requests = RequestService(
            view=self.view,
            signer=ReceiptSigner(key),
            sessions=self.sessions,
            max_queued=max_queued,
            max_pending=max_pending,
            first_dispatch_id=identity.incarnation << 20,
            emit=self._emit,
            send_peer=self.peers.send,
            route_again=self._route_again,
            count=count,
            observe_wait=observe_wait,
            is_silent=lambda vm, now_s: self.silence.is_silent(vm=vm, now_s=now_s),
            record_hop=record_hop,
        )
        self.packets = PacketService(
            view=self.view,
            router=self.router,
            flows=self.flows,
            requests=self.requests,
            emit=self._emit,
            send_peer=self.peers.send,
            may_start_work=self._may_start_work,
            count=count,
            record_hop=record_hop,
        )
        self._effects: list[Any] = []
        self._service_by_target: dict[str, str] = {}
        self.leaving_lists = LeavingLists()
        self._sheet_key: tuple | None = None
        self._seen_members_version = -1
        self._routable: frozenset[str] = frozenset()
        self._due_s: dict[str, float] = {}
        self._unreachable: frozenset[str] = frozenset()

    # Events

    def handle(self, event: Any, now_s: float) -> list[Any]:
        """Process an event and return its effects in order."""
        self._check_pause(now_s)
        match event:
            case FabricPackets():
                for packet in event.packets:
                    self.packets.observe_packet(packet, now_s)
            case PeerMessages():
                self.silence.observe_received(vm=event.vm)
                for message in event.messages:
                    self._handle_peer_message(event.vm, message, now_s)
            case TargetFrames():
                self._handle_frames(event, now_s)
            case MemberDatagram():
                self.peers.observe_datagram(event, now_s)
            case Tick():
                self._handle_tick(now_s)
            case _:
                self._handle_link_event(event, now_s)
        self._refresh_view(now_s)
        effects, self._effects = self._effects, []
        return effects

    def _handle_link_event(self, event: Any, now_s: float) -> None:
        match event:
            case PeerUp():
                self.peers.observe_up(event, now_s)
            case PeerMessagesUnsent():
                for message in event.messages:
                    self.requests.observe_unsent(event.vm, message, now_s)
            case PeerLost():
                self.peers.observe_lost(event, now_s)
            case TargetUp():
                if self.sessions.observe_up(event.target):
                    service = self._service_by_target.get(event.target, "")
                    self.requests.observe_target_up(service, event.target, now_s)
            case TargetRefused():
                self.sessions.observe_refused(event.target)
            case TargetLost():
                if self.sessions.observe_lost(event.target, now_s):
                    service = self._service_by_target.get(event.target, "")
                    self.requests.observe_target_lost(service, event.target, now_s)
            case ConfigRead(document=None):
                self.exchange.observe_platform_unchanged(now_s=now_s)
            case ConfigRead():
                self._handle_document(event, now_s)
            case ConfigReadFailed():
                self.exchange.observe_platform_failure(now_s=now_s)
                log.warning("platform: configuration not read", extra={"reason": event.reason})
            case VmListRead():
                if event.entries is not None:
                    self._handle_vm_list(event.entries, now_s)
            case Shutdown():
                self._handle_shutdown(now_s)
            case _:
                raise TypeError(f"unknown event {type(event).__name__}")

    def _check_pause(self, now_s: float) -> None:
        """After a pause of this process, defer new work until the view is confirmed.

        Queued requests are taken out of the dispatchers first: the next event may free a slot and
        would start one of them, although another VM may have become the dispatcher meanwhile.
        """
        if not self.pause.observe_tick(now_s=now_s):
            return
        self.count("pauses", 1)
        self.silence.apply_resume()
        log.warning("node: process was paused; new work is deferred until a peer answers")
        self.peers.send_member_datagrams(self.membership.decide_tick(now_s=now_s, rng=self.rng))
        self.peers.send_all(self.shards.decide_tick(now_s=now_s), now_s)
        self.packets.defer(self.requests.hand_over_queues(list(self.requests.dispatchers), now_s))

    # Peers

    def _handle_peer_message(self, vm: str, message: Any, now_s: float) -> None:
        match message:
            case Forward():
                self.packets.observe_forward(message, now_s)
            case Done():
                self.requests.observe_done(message, now_s)
            case Declined():
                self.requests.observe_declined(vm, message, now_s)
            case ShardState():
                outgoing = self.shards.observe_state(sender_vm=vm, state=message, now_s=now_s)
                self.peers.send_all(outgoing, now_s)
            case ShardAck():
                outgoing = self.shards.observe_ack(sender_vm=vm, ack=message, now_s=now_s)
                self.peers.send_all(outgoing, now_s)
            case ConfigAnnounce() | ConfigPull() | ConfigDocument():
                outgoing = self.exchange.observe_message(sender_vm=vm, message=message, now_s=now_s)
                self.peers.send_all(outgoing, now_s)
            case LeavingTargets():
                self.leaving_lists.observe(sender=vm, names=message.names, now_s=now_s)
            case _:
                self.count("peer_messages_unknown", 1)

    # Targets

    def _handle_frames(self, event: TargetFrames, now_s: float) -> None:
        service = self._service_by_target.get(event.target, "")
        for frame in event.frames:
            self.flows.observe_frame(service, event.target, frame, now_s)
            self.requests.observe_frame(service, event.target, frame, now_s)

    # Platform

    def _handle_document(self, event: ConfigRead, now_s: float) -> None:
        result = self.exchange.observe_platform_document(
            document=event.document, version=event.version, now_s=now_s
        )
        if result is not None and result.problems:
            codes = sorted({int(problem.code) for problem in result.problems})
            log.error(
                "configuration: version refused", extra={"version": event.version, "codes": codes}
            )

    def _handle_vm_list(self, entries: Sequence[VmEntry], now_s: float) -> None:
        targets = self._service_by_target
        vms = [entry for entry in entries if entry.vm not in targets]
        self.membership.observe_list(entries=vms, now_s=now_s)
        names = frozenset(entry.vm for entry in entries if entry.leaving and entry.vm in targets)
        has_changed = self.leaving_lists.observe(sender=self.view.vm, names=names, now_s=now_s)
        if has_changed or self._is_due("leaving", LEAVING_REPEAT_S, now_s):
            message = LeavingTargets(names=tuple(sorted(names)))
            for member in self.view.members:
                if member.vm != self.view.vm and member.zone == self.view.zone:
                    self.peers.send(member.vm, message, now_s)

    # Time

    def _is_due(self, name: str, period_s: float, now_s: float) -> bool:
        if now_s < self._due_s.get(name, 0.0):
            return False
        self._due_s[name] = now_s + period_s
        return True

    def _handle_tick(self, now_s: float) -> None:
        if not self._due_s:
            self.membership.observe_seeds(addresses=self.identity.seeds, now_s=now_s)
        if self._is_due("members", MEMBER_TICK_S, now_s):
            self.peers.send_member_datagrams(self.membership.decide_tick(now_s=now_s, rng=self.rng))
        for vm in self.silence.decide_pings(now_s=now_s):
            self.peers.send_member_datagrams(self.membership.decide_ping(vm=vm, now_s=now_s))
        if self._is_due("shards", SHARD_TICK_S, now_s):
            self.peers.send_all(self.shards.decide_tick(now_s=now_s), now_s)
        if self._is_due("configuration", CONFIG_TICK_S, now_s):
            self.peers.send_all(self.exchange.decide_tick(now_s=now_s, rng=self.rng), now_s)
            self._request_platform_reads(now_s)
        if self._is_due("announce", ANNOUNCE_PERIOD_S, now_s):
            self._announce()
        if self._may_start_work(now_s):
            self.packets.route_deferred(now_s)
            self.requests.decide_tick(now_s)
        self._check_targets(now_s)
        if self._is_due("detach", DETACH_PERIOD_S, now_s):
            self._detach_removed_targets()

    def _detach_removed_targets(self) -> None:
        """Close links to targets that are neither in the sheet nor in use at this VM."""
        if self.view.sheet is None:
            return
        listed = {t.name for s in self.view.sheet.services.values() for t in s.targets}
        used = {name for name, flows in self.flows.count_flows_by_target().items() if flows}
        used |= self.requests.list_busy_targets()
        for name in self.sessions.list_names():
            if name not in listed and name not in used:
                self.sessions.detach(name)

    def _check_targets(self, now_s: float) -> None:
        """Exclude unreachable targets from new flows and close the flows of lost targets."""
        unreachable = self.sessions.list_unreachable(now_s)
        if unreachable != self._unreachable:
            for target in unreachable - self._unreachable:
                service = self._service_by_target.get(target, "")
                self.flows.drop_queued_opens(service, target, now_s)
            self._unreachable = unreachable
            self._update_shard_targets(now_s)
        for target in self.sessions.take_lost(now_s):
            self.flows.close_target_flows(self._service_by_target.get(target, ""), target)

    def _request_platform_reads(self, now_s: float) -> None:
        if self.is_leaving:
            return
        plan = self.exchange.decide_platform_read(now_s=now_s, rng=self.rng)
        if plan is not None:
            self._emit(ReadConfig(after=plan.after, wait_s=plan.wait_s))
        is_isolated = len(self.view.members) <= 1
        period_s = LIST_PERIOD_S if self.exchange.is_reader else ISOLATED_LIST_PERIOD_S
        if (is_isolated or self.exchange.is_reader) and self._is_due("list", period_s, now_s):
            self._emit(ReadVmList())

    def _announce(self) -> None:
        # A VM without a configuration could only refuse packets, so it is not announced.
        if self.view.sheet is not None:
            withdrawn = self.is_leaving
            self._emit(SendFabricMessage(message=Announce(vm=self.view.vm, withdrawn=withdrawn)))

    # View

    def _refresh_view(self, now_s: float) -> None:
        """Propagate changes of the members and of the configuration to all components."""
        members_changed = self.membership.version != self._seen_members_version
        if members_changed:
            self._seen_members_version = self.membership.version
            self._update_members(now_s)
        leaving = self.leaving_lists.list_leaving_targets(now_s)
        sheet_key = (id(self.store.sheet), leaving)
        sheet_changed = self.store.sheet is not None and sheet_key != self._sheet_key
        if sheet_changed:
            self._sheet_key = sheet_key
            self._update_sheet(leaving, now_s)
        if members_changed or sheet_changed:
            self._hand_over_queues(now_s)

    def _update_members(self, now_s: float) -> None:
        self.view.members = self.membership.live()
        self.view.members_version += 1
        routable = frozenset(member.vm for member in self.membership.routable())
        for vm in self._routable - routable:
            self._emit(ClosePeer(vm=vm))
            self.silence.observe_received(vm=vm)
            log.warning("members: VM is dead", extra={"peer": vm})
        self._routable = routable
        self.exchange.observe_members(members=self.membership.routable(), now_s=now_s)
        outgoing = self.shards.observe_members(live_members=self.view.members, now_s=now_s)
        self.peers.send_all(outgoing, now_s)

    def _update_sheet(self, leaving: frozenset[str], now_s: float) -> None:
        sheet = build_effective_sheet(self.store.sheet, leaving)
        self.view.sheet = sheet
        self._service_by_target |= {
            target.name: service.name
            for service in sheet.services.values()
            for target in service.targets
        }
        self._update_shard_targets(now_s)
        self.requests.observe_targets(now_s)
        log.info(
            "configuration: version in force",
            extra={"version": sheet.version, "leaving": sorted(leaving)},
        )

    def _update_shard_targets(self, now_s: float) -> None:
        if self.view.sheet is not None:
            sheet = build_effective_sheet(self.view.sheet, self._unreachable)
            self.peers.send_all(self.shards.observe_sheet(sheet=sheet, now_s=now_s), now_s)

    def _hand_over_queues(self, now_s: float) -> None:
        """Reroute the queued requests of services that another VM dispatches now."""
        services = [name for name in self.requests.dispatchers if not self._is_dispatcher_of(name)]
        for forward in self.requests.hand_over_queues(services, now_s):
            self.packets.route_again(forward, now_s)

    def _is_dispatcher_of(self, service: str) -> bool:
        if self.view.sheet is None or service not in self.view.sheet.services:
            return False
        vm = self.router.pick_dispatcher(
            service=service,
            sheet=self.view.sheet,
            members=self.view.members,
            members_version=self.view.members_version,
        )
        return vm == self.view.vm

    # Shutdown

    def _handle_shutdown(self, now_s: float) -> None:
        self.is_leaving = True
        log.info("node: shutdown started")
        self._announce()
        self.peers.send_member_datagrams(self.membership.apply_leaving(now_s=now_s))
        self.peers.send_all(self.shards.decide_handover(now_s=now_s), now_s)

    def is_drained(self, now_s: float) -> bool:
        """Return whether this VM is leaving and an exit would interrupt no work."""
        if not self.is_leaving or self.packets.has_deferred:
            return False
        return self.requests.is_idle and self.shards.is_handover_done(now_s=now_s)

    def _may_start_work(self, now_s: float) -> bool:
        has_peers = len(self.view.members) > 1
        return self.pause.may_start_work(now_s=now_s, has_live_peers=has_peers)

    def _execute_route(self, route: Route, forward: Forward, now_s: float) -> None:
        self.packets.execute_route(route, forward, now_s)

    def _route_again(self, forward: Forward, now_s: float) -> None:
        self.packets.route_again(forward, now_s)

    def _emit(self, effect: Any) -> None:
        self._effects.append(effect)
