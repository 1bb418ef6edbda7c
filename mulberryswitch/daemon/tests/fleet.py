"""Simulation of a fleet: node cores with in-memory links, fabric, platform, targets and callers.

Time is virtual and all random choices come from one seeded source, so runs are reproducible.
"""

import heapq
import itertools
import json
from collections import defaultdict
from dataclasses import dataclass, field
from random import Random

from mulberryswitch.contracts import (
    Announce,
    AnswerPiece,
    FlowClosed,
    FlowData,
    FlowOpened,
    Packet,
    PacketKind,
    ReplyKind,
    ResultCode,
    Shed,
    TargetCancel,
    TargetClose,
    TargetData,
    TargetOpen,
    TargetRequest,
    is_refusal,
)
from mulberryswitch.daemon import NodeCore, NodeIdentity, Shutdown, Tick
from mulberryswitch.links import (
    AttachTarget,
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
    SendMemberDatagram,
    SendPeerMessage,
    SendTargetFrame,
    TargetFrames,
    TargetLost,
    TargetRefused,
    TargetUp,
    VmEntry,
    VmListRead,
)

START_S = 1_000_000.0
TICK_S = 0.05
INTRA_ZONE_LATENCY_S, INTER_ZONE_LATENCY_S, CALLER_LATENCY_S = 0.0002, 0.0015, 0.003
CONNECT_TIMEOUT_S = 1.0
ANNOUNCE_TIMEOUT_S = 1.0
KEY = b"0123456789abcdef"


@dataclass(kw_only=True)
class FakeTarget:
    """A target with slots.

    `started` lists the requests that began to run, `wrong_service` counts packets of another
    service, and `late_work` counts new work later than 3 s after the target began to leave.
    """

    name: str
    service: str
    zone: str
    slots: int = 2
    alive: bool = True
    shedding: bool = False
    slowdown: float = 1.0
    running: dict = field(default_factory=dict)
    flows: dict = field(default_factory=dict)
    started: list = field(default_factory=list)
    wrong_service: int = 0
    late_work: int = 0
    leaving_since_s: float | None = None


@dataclass(kw_only=True)
class FakeRequest:
    """A request of a caller with its attempts and final outcome."""

    flow: bytes
    service: str
    address: str
    idempotent: bool
    work_s: float
    attempt: int = 0
    outcome: str = ""
    codes: list = field(default_factory=list)
    pieces: dict = field(default_factory=dict)


@dataclass(kw_only=True)
class FakeFlow:
    """A long-lived flow of a caller."""

    flow: bytes
    address: str
    is_open: bool = False
    opened_s: float = 0.0
    closed_code: int | None = None
    sent: int = 0
    echoed: int = 0


class Fleet:
    """Node cores with fake links to each other, a fabric, a platform, targets and callers."""

    def __init__(self, *, seed: int = 1, vms_per_zone: int = 3, zones: tuple = ("a", "b")):
        self.rng = Random(seed)
        self.now_s = START_S
        self.zones = zones
        self.counts = defaultdict(int)
        self._queue: list = []
        self._order = itertools.count()
        self.cores: dict[str, NodeCore] = {}
        self.dead: set[str] = set()
        self.paused: dict[str, list] = {}
        self.blocked_links: set[tuple[str, str]] = set()
        self.links: dict[tuple[str, str], list] = {}
        self.attached: set[tuple[str, str]] = set()
        self.announced: dict[str, float] = {}
        self.loss_probability = self.duplicate_probability = 0.0
        self.platform_mode = "ok"
        self.versions: list[bytes] = []
        self.watchers: dict[str, tuple] = {}
        self.listed_leaving: set[str] = set()
        self.targets: dict[str, FakeTarget] = {}
        self.callers: dict[bytes, FakeRequest | FakeFlow] = {}
        self.version_history: dict[str, list] = defaultdict(list)
        self.names = [f"{zone}{i}" for zone in zones for i in range(vms_per_zone)]
        for name in self.names:
            self.start_vm(name)

    # Time

    def call_later(self, delay_s: float, action, *args) -> None:
        heapq.heappush(self._queue, (self.now_s + delay_s, next(self._order), action, args))

    def run(self, seconds: float) -> None:
        end_s = self.now_s + seconds
        while self._queue and self._queue[0][0] <= end_s:
            self.now_s, _, action, args = heapq.heappop(self._queue)
            action(*args)
        self.now_s = end_s

    # VMs

    def start_vm(self, name: str) -> None:
        if name in self.cores and name not in self.dead:
            return
        self.dead.discard(name)
        self.cores[name] = NodeCore(
            identity=NodeIdentity(
                vm=name,
                zone=name[0],
                address=f"{name}:1",
                incarnation=int(self.now_s * 1000),
                seeds=tuple(f"{other}:1" for other in self.names),
            ),
            key=KEY,
            rng=Random(self.rng.random()),
            count=lambda key, amount: None,
            observe_wait=lambda service, wait_s: None,
        )
        self.call_later(TICK_S * self.rng.random(), self._tick, name, self.cores[name])

    def _tick(self, name: str, core: NodeCore) -> None:
        if self.cores.get(name) is not core or name in self.dead:
            return
        self.call_later(TICK_S, self._tick, name, core)
        if name not in self.paused:
            self.deliver(name, Tick())
            if core.is_drained(self.now_s):
                self.kill(name)

    def deliver(self, name: str, event) -> None:
        if name in self.dead:
            return
        if name in self.paused:
            self.paused[name].append(event)
            return
        core = self.cores[name]
        for effect in core.handle(event, self.now_s):
            self._execute(name, effect)
        version = core.store.version
        history = self.version_history[name]
        if not history or history[-1] != version:
            history.append(version)

    def kill(self, name: str) -> None:
        self.dead.add(name)
        self.paused.pop(name, None)
        self.announced.pop(name, None)
        self.version_history[name].append(0)
        for source, dest in [key for key in self.links if name in key]:
            del self.links[source, dest]
            if dest == name:
                lost = PeerLost(vm=name, lost_s=self.now_s, was_open=True)
                self.call_later(INTER_ZONE_LATENCY_S, self.deliver, source, lost)
        for vm, target in [key for key in self.attached if key[0] == name]:
            self.attached.discard((vm, target))

    def pause(self, name: str) -> None:
        if name not in self.dead:
            self.paused.setdefault(name, [])

    def resume(self, name: str) -> None:
        for event in self.paused.pop(name, []):
            self.deliver(name, event)

    def shutdown(self, name: str) -> None:
        self.deliver(name, Shutdown())

    # Links

    def is_blocked(self, a: str, b: str) -> bool:
        return (a, b) in self.blocked_links

    def partition_zones(self, a: str, b: str, *, one_way: bool = False) -> None:
        pairs = [(x, y) for x in self.list_nodes(a) for y in self.list_nodes(b)]
        self.blocked_links |= set(pairs) | (set() if one_way else {(y, x) for x, y in pairs})

    def list_nodes(self, zone: str) -> list[str]:
        vms = [name for name in self.names if name[0] == zone]
        return vms + [target.name for target in self.targets.values() if target.zone == zone]

    def heal(self) -> None:
        self.blocked_links.clear()
        for (source, dest), waiting in list(self.links.items()):
            for message in waiting:
                self.call_later(INTER_ZONE_LATENCY_S, self._deliver_message, source, dest, message)
            waiting.clear()

    def _latency(self, a: str, b: str) -> float:
        return INTRA_ZONE_LATENCY_S if a[0] == b[0] else INTER_ZONE_LATENCY_S

    def _deliver_message(self, source: str, dest: str, message) -> None:
        if (source, dest) in self.links:
            self.deliver(dest, PeerMessages(vm=source, messages=(message,)))

    def _send_peer(self, source: str, dest: str, message) -> None:
        key = (source, dest)
        if key not in self.links:
            if dest in self.dead:
                self.call_later(
                    INTRA_ZONE_LATENCY_S, self._fail_connect, source, dest, message, True
                )
                return
            if self.is_blocked(source, dest) or self.is_blocked(dest, source):
                self.call_later(CONNECT_TIMEOUT_S, self._fail_connect, source, dest, message, False)
                return
            self.links[key] = []
            core = self.cores[source]
            up = PeerUp(vm=source, zone=source[0], incarnation=core.identity.incarnation)
            self.call_later(self._latency(source, dest), self.deliver, dest, up)
        if self.is_blocked(source, dest):
            self.links[key].append(message)
        else:
            self.call_later(
                self._latency(source, dest), self._deliver_message, source, dest, message
            )

    def _fail_connect(self, source: str, dest: str, message, refused: bool) -> None:
        self.deliver(source, PeerMessagesUnsent(vm=dest, messages=(message,)))
        lost = PeerLost(vm=dest, lost_s=self.now_s, was_open=False, was_refused=refused)
        self.deliver(source, lost)

    def _execute(self, name: str, effect) -> None:
        match effect:
            case SendPeerMessage():
                self._send_peer(name, effect.vm, effect.message)
            case SendMemberDatagram():
                dest = effect.address.split(":")[0]
                if dest in self.cores and not self.is_blocked(name, dest) and not self._is_lost():
                    datagram = MemberDatagram(sender=f"{name}:1", message=effect.message)
                    for _ in range(self._draw_copies()):
                        self.call_later(self._latency(name, dest), self.deliver, dest, datagram)
            case ClosePeer():
                if self.links.pop((name, effect.vm), None) is not None:
                    lost = PeerLost(vm=effect.vm, lost_s=self.now_s, was_open=True)
                    self.call_later(0.0, self.deliver, name, lost)
            case SendTargetFrame():
                self.call_later(
                    self._latency(name, effect.target),
                    self._handle_target_frame,
                    name,
                    effect.target,
                    effect.frame,
                )
            case AttachTarget():
                self._attach(name, effect.target.name)
            case SendFabricMessage():
                self._handle_fabric_message(name, effect.message)
            case ReadConfig():
                self._read_config(name, effect)
            case ReadVmList():
                self.call_later(0.002, self._answer_vm_list, name)

    def _is_lost(self) -> bool:
        return self.rng.random() < self.loss_probability

    def _draw_copies(self) -> int:
        return 2 if self.rng.random() < self.duplicate_probability else 1

    # Platform

    def publish(self, document: dict) -> int:
        self.versions.append(json.dumps(document).encode())
        for name, (plan, deadline_s) in list(self.watchers.items()):
            del self.watchers[name]
            if self.now_s <= deadline_s:
                self._read_config(name, plan)
        return len(self.versions)

    def _read_config(self, name: str, plan: ReadConfig) -> None:
        if self.platform_mode == "down" or ("platform", name) in self.blocked_links:
            self.call_later(0.5, self.deliver, name, ConfigReadFailed(reason="down"))
            return
        served_version = (
            len(self.versions) if self.platform_mode == "ok" else max(1, len(self.versions) - 1)
        )
        if served_version > plan.after or (self.platform_mode == "replay" and self.versions):
            version = 1 if self.platform_mode == "replay" else served_version
            read = ConfigRead(document=self.versions[version - 1], version=version)
            self.call_later(0.003, self.deliver, name, read)
            return
        self.watchers[name] = (plan, self.now_s + plan.wait_s)
        self.call_later(plan.wait_s + 0.003, self._end_watch, name, plan)

    def _end_watch(self, name: str, plan: ReadConfig) -> None:
        if self.watchers.get(name, (None,))[0] is plan:
            del self.watchers[name]
            self.deliver(name, ConfigRead(document=None, version=plan.after))

    def _answer_vm_list(self, name: str) -> None:
        if self.platform_mode == "down" or ("platform", name) in self.blocked_links:
            self.deliver(name, VmListRead(entries=None))
            return
        vms = [VmEntry(vm=vm, zone=vm[0], address=f"{vm}:1", leaving=False) for vm in self.names]
        targets = [
            VmEntry(vm=t.name, zone=t.zone, address="", leaving=t.name in self.listed_leaving)
            for t in self.targets.values()
        ]
        self.deliver(name, VmListRead(entries=tuple(vms + targets)))

    # Targets

    def add_target(self, target: FakeTarget) -> None:
        self.targets[target.name] = target

    def _attach(self, vm: str, name: str) -> None:
        target = self.targets[name]
        if vm in self.dead or (vm, name) in self.attached:
            return
        reachable = not self.is_blocked(vm, name) and not self.is_blocked(name, vm)
        if target.alive and reachable:
            self.attached.add((vm, name))
            self.call_later(self._latency(vm, name), self.deliver, vm, TargetUp(target=name))
            return
        if reachable:
            self.call_later(self._latency(vm, name), self.deliver, vm, TargetRefused(target=name))
        self.call_later(0.3, self._attach, vm, name)

    def kill_target(self, name: str) -> None:
        target = self.targets[name]
        target.alive = False
        target.running.clear()
        target.flows.clear()
        for vm, _ in [key for key in self.attached if key[1] == name]:
            self.attached.discard((vm, name))
            self.call_later(INTER_ZONE_LATENCY_S, self.deliver, vm, TargetLost(target=name))
            self.call_later(0.3, self._attach, vm, name)

    def _handle_target_frame(self, vm: str, name: str, frame) -> None:
        target = self.targets[name]
        if not target.alive or (vm, name) not in self.attached or self.is_blocked(vm, name):
            return
        match frame:
            case TargetRequest():
                self._start_work(vm, target, frame)
            case TargetCancel():
                target.running.pop((vm, frame.dispatch_id), None)
            case TargetOpen():
                self._check_service(target, frame.body)
                if frame.flow not in target.flows:
                    self._check_late(target)
                target.flows[frame.flow] = vm
                self._send_to_vm(vm, target, FlowOpened(flow=frame.flow))
            case TargetData():
                self._check_service(target, frame.body)
                if frame.flow in target.flows:
                    target.flows[frame.flow] = vm
                    self._send_to_vm(vm, target, FlowData(flow=frame.flow, body=frame.body))
                else:
                    code = int(ResultCode.UNKNOWN_FLOW)
                    self._send_to_vm(vm, target, FlowClosed(flow=frame.flow, code=code))
            case TargetClose():
                target.flows.pop(frame.flow, None)
                self._send_to_vm(vm, target, FlowClosed(flow=frame.flow, code=0))

    def _check_service(self, target: FakeTarget, body: bytes) -> None:
        if body.split(b"|")[0].decode() != target.service:
            target.wrong_service += 1

    def _check_late(self, target: FakeTarget) -> None:
        since_s = target.leaving_since_s
        if since_s is not None and self.now_s - since_s > 3.0:
            target.late_work += 1

    def _start_work(self, vm: str, target: FakeTarget, frame: TargetRequest) -> None:
        self._check_service(target, frame.body)
        full = len(target.running) >= target.slots
        if target.shedding or full:
            self.counts["sheds_full"] += full
            self._send_to_vm(vm, target, Shed(dispatch_id=frame.dispatch_id))
            return
        self._check_late(target)
        target.started.append((frame.flow, frame.request_id, frame.attempt, frame.idempotent))
        key = (vm, frame.dispatch_id)
        target.running[key] = frame
        work_s = float(frame.body.split(b"|")[1]) * target.slowdown
        self.call_later(work_s, self._finish_work, target, key)

    def _finish_work(self, target: FakeTarget, key) -> None:
        frame = target.running.pop(key, None)
        if frame is None or not target.alive:
            return
        for index in range(2):
            body = frame.flow + bytes([index])
            piece = AnswerPiece(
                dispatch_id=frame.dispatch_id, index=index, last=index == 1, body=body
            )
            self._send_to_vm(key[0], target, piece)

    def _send_to_vm(self, vm: str, target: FakeTarget, frame) -> None:
        if self.is_blocked(target.name, vm) or (vm, target.name) not in self.attached:
            return
        frames = TargetFrames(target=target.name, frames=(frame,))
        self.call_later(self._latency(vm, target.name), self.deliver, vm, frames)

    # Fabric and callers

    def _handle_fabric_message(self, vm: str, message) -> None:
        if isinstance(message, Announce):
            if message.withdrawn:
                self.announced.pop(vm, None)
            else:
                self.announced[vm] = self.now_s
            return
        if not self._is_lost():
            self.call_later(CALLER_LATENCY_S, self._handle_reply, message)

    def _send_to_random_vm(self, packet: Packet) -> None:
        vms = [vm for vm, s in self.announced.items() if self.now_s - s < ANNOUNCE_TIMEOUT_S]
        if vms and not self._is_lost():
            event = FabricPackets(packets=(packet,))
            self.call_later(CALLER_LATENCY_S, self.deliver, self.rng.choice(sorted(vms)), event)

    def send_request(
        self, *, address: str, service: str, idempotent: bool, work_s: float
    ) -> FakeRequest:
        flow = self.rng.randbytes(8)
        request = FakeRequest(
            flow=flow, service=service, address=address, idempotent=idempotent, work_s=work_s
        )
        self.callers[flow] = request
        self._send_attempt(request, b"")
        return request

    def _send_attempt(self, request: FakeRequest, receipt: bytes) -> None:
        request.attempt += 1
        request.pieces = {}
        packet = Packet(
            kind=PacketKind.REQUEST,
            flow=request.flow,
            address=request.address,
            request_id=1,
            attempt=request.attempt,
            deadline_ms=int((self.now_s + 3.0) * 1000),
            idempotent=request.idempotent,
            receipt=receipt,
            body=f"{request.service}|{request.work_s}".encode(),
        )
        self._send_to_random_vm(packet)
        self.call_later(3.5, self._handle_attempt_timeout, request, request.attempt)

    def _handle_attempt_timeout(self, request: FakeRequest, attempt: int) -> None:
        if not request.outcome and request.attempt == attempt:
            if request.attempt >= 4:
                request.outcome = "lost"
            else:
                self._send_attempt(request, b"")

    def open_flow(self, *, address: str, service: str) -> FakeFlow:
        flow = FakeFlow(flow=self.rng.randbytes(8), address=address)
        self.callers[flow.flow] = flow
        self._send_flow_packet(flow, service)
        return flow

    def _send_flow_packet(self, flow: FakeFlow, service: str) -> None:
        if flow.closed_code is not None:
            return
        kind = PacketKind.DATA if flow.is_open else PacketKind.OPEN
        if flow.is_open and flow.echoed >= flow.sent:
            flow.sent += 1
        body = f"{service}|{flow.sent}".encode()
        self._send_to_random_vm(Packet(kind=kind, flow=flow.flow, address=flow.address, body=body))
        self.call_later(0.2, self._send_flow_packet, flow, service)

    def _handle_reply(self, reply) -> None:
        caller = self.callers.get(reply.flow)
        if isinstance(caller, FakeFlow):
            self._handle_flow_reply(caller, reply)
        elif caller is not None and not caller.outcome:
            self._handle_request_reply(caller, reply)

    def _handle_flow_reply(self, flow: FakeFlow, reply) -> None:
        match reply.kind:
            case ReplyKind.OPENED:
                flow.opened_s = flow.opened_s or self.now_s
                flow.is_open = True
            case ReplyKind.DATA:
                flow.echoed = max(flow.echoed, int(reply.body.split(b"|")[1]))
            case ReplyKind.CLOSED:
                flow.closed_code = reply.code

    def _handle_request_reply(self, request: FakeRequest, reply) -> None:
        if reply.attempt != request.attempt:
            return
        if reply.kind == ReplyKind.ANSWER:
            request.pieces[reply.index] = reply.body
            if reply.last or len(request.pieces) == 2:
                is_complete = request.pieces == {i: request.flow + bytes([i]) for i in range(2)}
                request.outcome = "answered" if is_complete else ""
            return
        request.codes.append(reply.code)
        if is_refusal(reply.code) and request.attempt < 4:
            self.call_later(0.1, self._send_attempt, request, reply.receipt)
        elif is_refusal(reply.code):
            request.outcome = "refused"
        elif request.idempotent and request.attempt < 4:
            self.call_later(0.1, self._send_attempt, request, b"")
        else:
            request.outcome = "unknown"
