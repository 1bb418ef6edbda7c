"""An in-memory play of load: callers, VMs that decide with ``Forwarder``, and targets with slots.

It opens no socket and reads no clock, so the same seed gives the same outcome on every run.
"""

import heapq
import itertools
import math
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from mulberryswitch.directory import Directory, TrafficKind, build_token
from mulberryswitch.directory.tests.builders import ROUTE_HOST, build_directory, build_record
from mulberryswitch.forwarding import Forward, Forwarder, Packet, Reset, TargetHealth

CALLER_LINK_S = 0.003
NEAR_LINK_S = 0.0001
FAR_LINK_S = 0.0014
COPY_DELAYS_S = (0.2, 0.6)
OPENING_LIFE_S = 1.4
REPEAT_DELAYS_S = (0.2, 0.6, 1.4, 3.0)
TICK_S = 0.01
SHARE_S = 0.3
FEEDS_PORT, REPORTS_PORT = 443, 80
ANSWER_BYTES = 600


@dataclass(frozen=True, kw_only=True)
class Workload:
    """What a play is made of; times in seconds, rates per second.

    `feeds` are long flows that send a request after each pause, `reports` are requests with a flow
    of their own. `tail` of the requests work `tail_x` times longer.
    """

    zones: tuple[str, ...] = ("za", "zb", "zc", "zd")
    vms_per_zone: int = 4
    targets: tuple[str, ...] = ("za", "za", "zb", "zb", "zc", "zc", "zd")
    slots: int = 3
    queue: int = 12
    feeds: int = 150
    feed_pause_s: float = 1.1
    reports_per_s: float = 37.0
    work_s: float = 0.05
    tail: float = 0.03
    tail_x: float = 7.0
    aim_s: float = 0.25
    deadline_s: float = 4.0
    tries: int = 3
    length_s: float = 10.0


@dataclass(kw_only=True)
class Target:
    """A target with slots and a queue; `state` is ``"up"``, ``"crashed"`` or ``"dark"``."""

    key: str
    zone: str
    state: str = "up"
    slowness: float = 1.0
    running: int = 0
    waiting: deque = field(default_factory=deque)
    flows: set = field(default_factory=set)
    served: int = 0
    work_s: float = 0.0


@dataclass(kw_only=True)
class Request:
    """One request of a caller, over all its tries."""

    caller: int
    zone: str
    port: int
    asked_s: float
    is_feed: bool
    tries: int = 0
    is_done: bool = False
    runs: int = 0


@dataclass(kw_only=True)
class FlowEnd:
    """The caller's end of a flow."""

    key: tuple
    zone: str
    vm: int
    target: str = ""
    token: int = 0
    is_open: bool = False
    is_closed: bool = False
    request: Request | None = None
    position: int = 1
    acknowledged: int = 0


@dataclass(kw_only=True)
class Outcome:
    """What the callers got."""

    on_time: int = 0
    late: int = 0
    failed: int = 0
    shed: int = 0
    opened: int = 0
    busiest_share: float = 0.0
    waits_s: list[float] = field(default_factory=list)
    by_window: Counter = field(default_factory=Counter)

    @property
    def asked(self) -> int:
        """Requests with an end."""
        return self.on_time + self.late + self.failed

    @property
    def share_in_aim(self) -> float:
        """Share of requests that were answered in time."""
        return self.on_time / max(1, self.asked)


class Simulation:
    """One play of a load.

    Parameters
    ----------
    load : Workload
    seed : int
    shares_loads : bool
        Whether VMs of a zone tell each other their loads.
    build : callable
        Returns the forwarder of a VM: ``build(directory=, zone=, rng=, count=)``.
    """

    def __init__(
        self,
        *,
        load: Workload,
        seed: int = 1,
        shares_loads: bool = True,
        build: Callable[..., Forwarder] = Forwarder,
    ):
        self.load = load
        self.rng = Random(seed)
        self.shares_loads = shares_loads
        self.now_s = 0.0
        self.outcome = Outcome()
        self.targets = {
            f"t{i}": Target(key=f"t{i}", zone=zone) for i, zone in enumerate(load.targets)
        }
        self.cut_zone: str | None = None
        self._draining: set[str] = set()
        self._revision = 10
        self._events: list = []
        self._order = itertools.count()
        self._ports = itertools.count(1024)
        self._ends: dict[tuple, FlowEnd] = {}
        self._vm_zones = [zone for zone in load.zones for _ in range(load.vms_per_zone)]
        self.forwarders = [
            build(
                directory=self._build_directory(),
                zone=zone,
                rng=Random(seed * 1000 + i),
                count=lambda name, amount: None,
                report_unresponsive=lambda token, health, vm=i: self._report(vm, token, health),
                report_suspicion=lambda token, vm=i: self._report_doubt(vm, token),
            )
            for i, zone in enumerate(self._vm_zones)
        ]

    def _build_directory(self) -> Directory:
        config = build_record(
            "config",
            1,
            version=1,
            routes={FEEDS_PORT: "feeds", REPORTS_PORT: "feeds"},
            kinds={str(REPORTS_PORT): TrafficKind.NON_IDEMPOTENT.value},
        )
        entries = [
            build_record(
                target.key,
                2,
                service="feeds",
                zone=target.zone,
                slots=self.load.slots,
                draining=False,
                cold_s=0.0,
            )
            for target in self.targets.values()
        ]
        return build_directory(config, *entries)

    # Time

    def at(self, time_s: float, step: Callable[[], None]) -> None:
        """Do `step` at `time_s`."""
        heapq.heappush(self._events, (time_s, next(self._order), step))

    def later(self, delay_s: float, step: Callable[[], None]) -> None:
        """Do `step` after `delay_s`."""
        self.at(self.now_s + delay_s, step)

    def run(self) -> Outcome:
        """Play the whole load and return what the callers got."""
        for number in range(self.load.feeds):
            self._start_feed(number)
        self.later(0.0, self._arrive_report)
        for vm in range(len(self.forwarders)):
            self.later(self.rng.random() * TICK_S, lambda vm=vm: self._tick(vm))
        self.later(SHARE_S, self._share)
        while self._events and self._events[0][0] < self.load.length_s + self.load.deadline_s:
            self.now_s, _, step = heapq.heappop(self._events)
            step()
        return self.outcome

    def _tick(self, vm: int) -> None:
        self._perform(vm, self.forwarders[vm].decide_tick(now_s=self.now_s))
        self.later(TICK_S, lambda: self._tick(vm))

    def _share(self) -> None:
        """Readers sum the loads of their zone; a VM hears the sum without its own share."""
        if not self.shares_loads:
            return
        for vm, forwarder in enumerate(self.forwarders):
            peers = [
                f
                for i, f in enumerate(self.forwarders)
                if self._vm_zones[i] == self._vm_zones[vm] and i != vm
            ]
            for i, peer in enumerate(peers):
                entries = peer.loads.build_share(self.now_s)
                forwarder.loads.observe_share(vm=f"{i}", entries=entries, now_s=self.now_s)
        self.later(SHARE_S, self._share)

    def _report(self, vm: int, token: int, health: TargetHealth) -> None:
        """Other VMs hear of a silent target; those of other zones only count it as evidence."""
        is_unresponsive = health.is_unresponsive(self.now_s)
        for i, forwarder in enumerate(self.forwarders):
            is_near = self._vm_zones[i] == self._vm_zones[vm]
            if i == vm or (
                not is_near and self.cut_zone in (self._vm_zones[i], self._vm_zones[vm])
            ):
                continue
            self.later(
                NEAR_LINK_S if is_near else 2 * FAR_LINK_S,
                lambda f=forwarder, s=health.ejection_s * is_near: (
                    f.loads.find(token).health.observe_peer_report(
                        ejection_s=s, is_unresponsive=is_unresponsive, now_s=self.now_s
                    )
                ),
            )

    def _report_doubt(self, vm: int, token: int) -> None:
        for i, forwarder in enumerate(self.forwarders):
            if i != vm and self._vm_zones[i] == self._vm_zones[vm]:
                self.later(
                    NEAR_LINK_S,
                    lambda f=forwarder: f.loads.observe_suspicion(token, self.now_s),
                )

    # Callers

    def _start_feed(self, number: int) -> None:
        zone = self.load.zones[number % len(self.load.zones)]
        pause_s = self.rng.random() * self.load.feed_pause_s
        self.later(pause_s, lambda: self._ask_feed(number, zone, None))

    def _ask_feed(self, number: int, zone: str, end: FlowEnd | None) -> None:
        if self.now_s > self.load.length_s:
            return
        request = Request(
            caller=number, zone=zone, port=FEEDS_PORT, asked_s=self.now_s, is_feed=True
        )
        self._limit(request)
        if end is not None and not end.is_closed:
            request.tries = 1
            self._send_request(end, request)
        else:
            self._open(request)

    def _arrive_report(self) -> None:
        if self.now_s > self.load.length_s:
            return
        zone = self.rng.choice(self.load.zones)
        request = Request(
            caller=10_000 + self.rng.randrange(10_000),
            zone=zone,
            port=REPORTS_PORT,
            asked_s=self.now_s,
            is_feed=False,
        )
        self._limit(request)
        self._open(request)
        self.later(self.rng.expovariate(self.load.reports_per_s), self._arrive_report)

    def _limit(self, request: Request) -> None:
        self.later(self.load.deadline_s, lambda: self._end(request, "failed"))

    def _open(self, request: Request) -> None:
        if request.is_done:
            return
        if request.tries >= self.load.tries:
            self._end(request, "failed")
            return
        request.tries += 1
        vms = [i for i, zone in enumerate(self._vm_zones) if zone == request.zone]
        key = (request.caller, next(self._ports), ROUTE_HOST, request.port)
        end = FlowEnd(key=key, zone=request.zone, vm=self.rng.choice(vms), request=request)
        self._ends[key] = end
        for delay_s in (0.0, *COPY_DELAYS_S):
            self.later(delay_s, lambda: self._send_opening(end))
        self.later(OPENING_LIFE_S, lambda: self._give_up(end))

    def _send_opening(self, end: FlowEnd) -> None:
        if not end.is_open and not end.is_closed:
            self._send(end, opens=True)

    def _give_up(self, end: FlowEnd) -> None:
        if not end.is_open and not end.is_closed:
            self._close(end)

    def _close(self, end: FlowEnd, *, ran: bool = False) -> None:
        """A flow ended without an answer; its caller tries again if it may."""
        end.is_closed = True
        self._ends.pop(end.key, None)
        request, end.request = end.request, None
        if request is None or request.is_done:
            return
        if request.is_feed or not ran:
            self._open(request)
        else:
            self._end(request, "failed")

    def _send_request(self, end: FlowEnd, request: Request) -> None:
        end.request = request
        end.position += 1
        position = end.position
        for delay_s in (0.0, *REPEAT_DELAYS_S):
            self.later(delay_s, lambda: self._repeat_request(end, request, position))

    def _repeat_request(self, end: FlowEnd, request: Request, position: int) -> None:
        if end.request is request and end.position == position and not end.is_closed:
            self._send(end, payload=(request, position))

    def _get_answer(self, end: FlowEnd, request: Request, shed: bool) -> None:
        if end.is_closed or end.request is not request:
            return
        end.request = None
        end.acknowledged += ANSWER_BYTES
        is_last = end.target in self._draining or not request.is_feed
        self._send(end, finishes=is_last)
        end.is_closed = is_last and request.is_feed
        if shed:
            self.outcome.shed += 1
            request.is_feed or self._ends.pop(end.key, None)
            self._open(request)
            return
        self._end(request, "served", end)

    def _end(self, request: Request, how: str, end: FlowEnd | None = None) -> None:
        if request.is_done:
            return
        request.is_done = True
        wait_s = self.now_s - request.asked_s
        self.outcome.waits_s.append(wait_s)
        name = how if how == "failed" else ("on_time" if wait_s <= self.load.aim_s else "late")
        setattr(self.outcome, name, getattr(self.outcome, name) + 1)
        self.outcome.by_window[(int(request.asked_s), name)] += 1
        if request.is_feed:
            pause_s = self.rng.expovariate(1 / self.load.feed_pause_s)
            self.later(pause_s, lambda: self._ask_feed(request.caller, request.zone, end))

    # VMs

    def _send(self, end: FlowEnd, *, opens=False, finishes=False, payload=None) -> None:
        packet = Packet(
            flow=end.key,
            token=end.token,
            sequence=end.position,
            acknowledged=end.acknowledged,
            payload_bytes=100 if payload else 0,
            opens=opens,
            acknowledges=not opens,
            finishes=finishes,
            resets=False,
            data=b"",
        )
        if payload:
            packet = packet._replace(sequence=payload[1] * 100)
        self.later(CALLER_LINK_S, lambda: self._reach_vm(end.vm, packet, end, payload))

    def _reach_vm(self, vm: int, packet: Packet, end: FlowEnd, payload) -> None:
        actions = self.forwarders[vm].observe_packet(packet=packet, now_s=self.now_s)
        self._perform(vm, actions, payload)

    def _perform(self, vm: int, actions: list, payload=None) -> None:
        for action in actions:
            end = self._ends.get(action.packet.flow)
            if end is None:
                continue
            if isinstance(action, Reset):
                self.later(CALLER_LINK_S, lambda end=end: self._get_reset(end))
                continue
            target = self.targets[action.target.key]
            zone = self._vm_zones[vm]
            if zone != target.zone and self.cut_zone in (zone, target.zone):
                continue
            delay_s = NEAR_LINK_S if zone == target.zone else FAR_LINK_S
            self.later(
                delay_s,
                lambda a=action, t=target, e=end: self._reach_target(t, a, e, payload),
            )

    def _get_reset(self, end: FlowEnd) -> None:
        if not end.is_closed:
            self._close(end, ran=end.is_open)

    # Targets

    def _reach_target(self, target: Target, action: Forward, end: FlowEnd, payload) -> None:
        if target.state == "dark":
            return
        if target.state == "crashed":
            self.later(CALLER_LINK_S, lambda: self._get_reset(end))
        elif action.packet.opens:
            self.outcome.opened += 1
            self.later(CALLER_LINK_S, lambda: self._get_open(end, target))
        elif payload and end.key in target.flows:
            self._queue(target, end, payload[0])

    def _get_open(self, end: FlowEnd, target: Target) -> None:
        if end.is_open or end.is_closed:
            return
        end.is_open = True
        end.target = target.key
        end.token = self._get_token(target)
        target.flows.add(end.key)
        self._send(end)
        self._send_request(end, end.request)

    def _get_token(self, target: Target) -> int:
        directory = self.forwarders[0].directory
        return build_token(directory.targets[target.key].identity)

    def _queue(self, target: Target, end: FlowEnd, request: Request) -> None:
        if request.runs == request.tries:
            return  # a copy of a request that was taken already
        request.runs = request.tries
        if target.running < self.load.slots:
            self._start(target, end, request)
        elif len(target.waiting) < self.load.queue:
            target.waiting.append((end, request))
        else:
            self.later(CALLER_LINK_S, lambda: self._get_answer(end, request, True))

    def _start(self, target: Target, end: FlowEnd, request: Request) -> None:
        target.running += 1
        factor = self.load.tail_x if self.rng.random() < self.load.tail else 1.0
        mean_s = self.load.work_s / (1 + self.load.tail * (self.load.tail_x - 1))
        spread = 0.5
        work_s = mean_s * factor * math.exp(self.rng.gauss(-(spread**2) / 2, spread))
        target.work_s += work_s
        self.later(work_s * target.slowness, lambda: self._finish(target, end, request))

    def _finish(self, target: Target, end: FlowEnd, request: Request) -> None:
        if target.state != "up":
            return
        target.running -= 1
        target.served += 1
        self.later(CALLER_LINK_S, lambda: self._get_answer(end, request, False))
        if target.waiting:
            self._start(target, *target.waiting.popleft())

    # Planned work

    def replace(self, key: str, successor: str, *, drain_after_s: float = 0.8) -> None:
        """Add an empty target; a moment later the one that it follows closes its flows."""
        self.targets[successor] = Target(key=successor, zone=self.targets[key].zone)
        self._publish(successor)
        self.later(drain_after_s, lambda: self._drain(key))

    def _drain(self, key: str) -> None:
        self._draining.add(key)
        self._publish(key)

    def _publish(self, key: str) -> None:
        self._revision += 1
        record = build_record(
            key,
            self._revision,
            service="feeds",
            zone=self.targets[key].zone,
            slots=self.load.slots,
            draining=key in self._draining,
            cold_s=0.0,
        )
        for forwarder in self.forwarders:
            forwarder.directory.apply_records(
                records=[record], revision=self._revision, now_s=self.now_s
            )

    # Trouble

    def fail(self, key: str, state: str) -> None:
        """Crash a target or make it dark, with all that it holds."""
        target = self.targets[key]
        target.state = state
        target.running = 0
        target.waiting.clear()
        flows, target.flows = target.flows, set()
        if state == "crashed":
            for flow in flows:
                end = self._ends.get(flow)
                if end is not None and end.request is not None:
                    self.later(CALLER_LINK_S, lambda end=end: self._close(end, ran=True))
