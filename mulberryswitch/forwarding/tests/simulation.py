"""Discrete-event simulation of callers, of VMs that use ``Forwarder``, and of targets with slots.

It opens no socket and reads no clock, so the same seed gives the same outcome on every run.
"""

import heapq
import itertools
import math
from collections.abc import Callable
from random import Random

from mulberryswitch.directory import Directory, Position, TrafficKind, build_token
from mulberryswitch.directory.tests.builders import ROUTE_HOST, build_directory, build_record
from mulberryswitch.forwarding import Forward, Forwarder, Packet, Reset, TargetHealth
from mulberryswitch.forwarding.tests.simulated import CallerFlow, Outcome, Request, Target, Workload

CALLER_LATENCY_S = 0.003
INTRA_ZONE_LATENCY_S = 0.0001
INTER_ZONE_LATENCY_S = 0.0014
OPENING_RETRANSMIT_DELAYS_S = (0.2, 0.6)
OPENING_TIMEOUT_S = 1.4
REQUEST_RETRANSMIT_DELAYS_S = (0.2, 0.6, 1.4, 3.0)
TICK_S = 0.01
SHARE_INTERVAL_S = 0.3
FEEDS_PORT, REPORTS_PORT = 443, 80
ANSWER_BYTES = 600


class Simulation:
    """One run of a workload.

    Parameters
    ----------
    load : Workload
    seed : int
    shares_loads : bool
        Whether VMs of a zone share their loads.
    build : callable
        Builds the forwarder of a VM; takes the parameters of ``Forwarder``.
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
        self.reports: list[Request] = []
        self._draining: set[str] = set()
        self._revision = 10
        self._events: list = []
        self._order = itertools.count()
        self._ports = itertools.count(1024)
        self._caller_flows: dict[tuple, CallerFlow] = {}
        self._vm_zones = [zone for zone in load.zones for _ in range(load.vms_per_zone)]
        self.forwarders = [
            build(
                directory=self._build_directory(),
                zone=zone,
                vm=f"front-{i}",
                rng=Random(seed * 1000 + i),
                count=lambda name, amount: None,
                report_unresponsive=lambda token, health, vm=i: self._report(vm, token, health),
                report_suspicion=lambda token, vm=i: self._report_suspicion(vm, token),
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
        """Schedule `step` at `time_s`."""
        heapq.heappush(self._events, (time_s, next(self._order), step))

    def later(self, delay_s: float, step: Callable[[], None]) -> None:
        """Schedule `step` after `delay_s`."""
        self.at(self.now_s + delay_s, step)

    def run(self) -> Outcome:
        """Run the whole workload and return its outcome."""
        for number in range(self.load.feeds):
            self._start_feed(number)
        self.later(0.0, self._send_report)
        for vm in range(len(self.forwarders)):
            self.later(self.rng.random() * TICK_S, lambda vm=vm: self._tick(vm))
        self.later(SHARE_INTERVAL_S, self._share)
        while self._events and self._events[0][0] < self.load.length_s + self.load.deadline_s:
            self.now_s, _, step = heapq.heappop(self._events)
            step()
        return self.outcome

    def _tick(self, vm: int) -> None:
        self._apply_actions(vm, self.forwarders[vm].decide_tick(now_s=self.now_s))
        self.later(TICK_S, lambda: self._tick(vm))

    def _share(self) -> None:
        """Deliver to each VM the shares of its peers, in place of their sum from a reader."""
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
        self.later(SHARE_INTERVAL_S, self._share)

    def _report(self, vm: int, token: int, health: TargetHealth) -> None:
        """Report a silent target to the other VMs; those of other zones do not eject it for it."""
        is_unresponsive = health.is_unresponsive(self.now_s)
        witnesses = [
            witness
            for witness in health.evidence.list_witnesses(self.now_s)
            if is_unresponsive or witness.vm == self.forwarders[vm].vm
        ]
        for i, forwarder in enumerate(self.forwarders):
            is_same_zone = self._vm_zones[i] == self._vm_zones[vm]
            if i == vm or (
                not is_same_zone and self.cut_zone in (self._vm_zones[i], self._vm_zones[vm])
            ):
                continue
            self.later(
                INTRA_ZONE_LATENCY_S if is_same_zone else 2 * INTER_ZONE_LATENCY_S,
                lambda f=forwarder, s=health.ejection_s * is_same_zone: (
                    f.loads.get_or_create(token).health.observe_peer_report(
                        ejection_s=s, witnesses=witnesses, now_s=self.now_s
                    )
                ),
            )

    def _report_suspicion(self, vm: int, token: int) -> None:
        for i, forwarder in enumerate(self.forwarders):
            if i != vm and self._vm_zones[i] == self._vm_zones[vm]:
                self.later(
                    INTRA_ZONE_LATENCY_S,
                    lambda f=forwarder: f.loads.observe_suspicion(token, self.now_s),
                )

    # Callers

    def _start_feed(self, number: int) -> None:
        zone = self.load.zones[number % len(self.load.zones)]
        pause_s = self.rng.random() * self.load.feed_pause_s
        self.later(pause_s, lambda: self._send_feed_request(number, zone, None))

    def _send_feed_request(self, number: int, zone: str, caller_flow: CallerFlow | None) -> None:
        if self.now_s > self.load.length_s:
            return
        request = Request(
            caller=number, zone=zone, port=FEEDS_PORT, asked_s=self.now_s, is_feed=True
        )
        self._set_deadline(request)
        if caller_flow is not None and not caller_flow.is_closed:
            request.attempts = 1
            self._send_request(caller_flow, request)
        else:
            self._open(request)

    def _send_report(self) -> None:
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
        self.reports.append(request)
        self._set_deadline(request)
        self._open(request)
        self.later(self.rng.expovariate(self.load.reports_per_s), self._send_report)

    def _set_deadline(self, request: Request) -> None:
        self.later(self.load.deadline_s, lambda: self._complete(request, "failed"))

    def _open(self, request: Request) -> None:
        if request.is_done:
            return
        if request.attempts >= self.load.attempts:
            self._complete(request, "failed")
            return
        request.attempts += 1
        vms = [i for i, zone in enumerate(self._vm_zones) if zone == request.zone]
        key = (request.caller, next(self._ports), ROUTE_HOST, request.port)
        caller_flow = CallerFlow(
            key=key, zone=request.zone, vm=self.rng.choice(vms), request=request
        )
        self._caller_flows[key] = caller_flow
        for delay_s in (0.0, *OPENING_RETRANSMIT_DELAYS_S):
            self.later(delay_s, lambda: self._send_opening(caller_flow))
        self.later(OPENING_TIMEOUT_S, lambda: self._abandon_opening(caller_flow))

    def _send_opening(self, caller_flow: CallerFlow) -> None:
        if not caller_flow.is_open and not caller_flow.is_closed:
            self._send(caller_flow, opens=True)

    def _abandon_opening(self, caller_flow: CallerFlow) -> None:
        if not caller_flow.is_open and not caller_flow.is_closed:
            self._close(caller_flow)

    def _close(self, caller_flow: CallerFlow, *, ran: bool = False) -> None:
        """Close a flow that got no answer; its caller retries if that is safe."""
        caller_flow.is_closed = True
        self._caller_flows.pop(caller_flow.key, None)
        request, caller_flow.request = caller_flow.request, None
        if request is None or request.is_done:
            return
        if request.is_feed or not ran:
            self._open(request)
        else:
            self._complete(request, "failed")

    def _send_request(self, caller_flow: CallerFlow, request: Request) -> None:
        caller_flow.request = request
        caller_flow.position += 1
        position = caller_flow.position
        for delay_s in (0.0, *REQUEST_RETRANSMIT_DELAYS_S):
            self.later(delay_s, lambda: self._repeat_request(caller_flow, request, position))

    def _repeat_request(self, caller_flow: CallerFlow, request: Request, position: int) -> None:
        if (
            caller_flow.request is request
            and caller_flow.position == position
            and not caller_flow.is_closed
        ):
            self._send(caller_flow, payload=(request, position))

    def _receive_answer(self, caller_flow: CallerFlow, request: Request, shed: bool) -> None:
        if caller_flow.is_closed or caller_flow.request is not request:
            return
        caller_flow.request = None
        caller_flow.acknowledged += ANSWER_BYTES
        is_last = caller_flow.target in self._draining or not request.is_feed
        self._send(caller_flow, finishes=is_last)
        caller_flow.is_closed = is_last and request.is_feed
        if shed:
            self.outcome.shed += 1
            request.is_feed or self._caller_flows.pop(caller_flow.key, None)
            self._open(request)
            return
        self._complete(request, "served", caller_flow)

    def _complete(
        self, request: Request, result: str, caller_flow: CallerFlow | None = None
    ) -> None:
        if request.is_done:
            return
        request.is_done, request.result = True, result
        latency_s = self.now_s - request.asked_s
        self.outcome.latencies_s.append(latency_s)
        name = (
            result
            if result == "failed"
            else ("on_time" if latency_s <= self.load.latency_goal_s else "late")
        )
        setattr(self.outcome, name, getattr(self.outcome, name) + 1)
        self.outcome.by_window[(int(request.asked_s), name)] += 1
        if request.is_feed:
            pause_s = self.rng.expovariate(1 / self.load.feed_pause_s)
            self.later(
                pause_s, lambda: self._send_feed_request(request.caller, request.zone, caller_flow)
            )

    # VMs

    def _send(self, caller_flow: CallerFlow, *, opens=False, finishes=False, payload=None) -> None:
        packet = Packet(
            flow=caller_flow.key,
            token=caller_flow.token,
            sequence=caller_flow.position,
            acknowledged=caller_flow.acknowledged,
            payload_bytes=100 if payload else 0,
            opens=opens,
            acknowledges=not opens,
            finishes=finishes,
            resets=False,
            data=b"",
        )
        if payload:
            packet = packet._replace(sequence=payload[1] * 100)
        self.later(
            CALLER_LATENCY_S,
            lambda: self._deliver_to_vm(caller_flow.vm, packet, caller_flow, payload),
        )

    def _deliver_to_vm(self, vm: int, packet: Packet, caller_flow: CallerFlow, payload) -> None:
        actions = self.forwarders[vm].observe_packet(packet=packet, now_s=self.now_s)
        self._apply_actions(vm, actions, payload)

    def _apply_actions(self, vm: int, actions: list, payload=None) -> None:
        for action in actions:
            caller_flow = self._caller_flows.get(action.packet.flow)
            if caller_flow is None:
                continue
            if isinstance(action, Reset):
                self.later(
                    CALLER_LATENCY_S,
                    lambda caller_flow=caller_flow: self._receive_reset(caller_flow),
                )
                continue
            target = self.targets[action.target.key]
            zone = self._vm_zones[vm]
            if zone != target.zone and self.cut_zone in (zone, target.zone):
                continue
            delay_s = INTRA_ZONE_LATENCY_S if zone == target.zone else INTER_ZONE_LATENCY_S
            self.later(
                delay_s,
                lambda a=action, t=target, e=caller_flow: self._deliver_to_target(t, a, e, payload),
            )

    def _receive_reset(self, caller_flow: CallerFlow) -> None:
        if not caller_flow.is_closed:
            self._close(caller_flow, ran=caller_flow.is_open)

    # Targets

    def _deliver_to_target(
        self, target: Target, action: Forward, caller_flow: CallerFlow, payload
    ) -> None:
        if target.state == "dark":
            return
        if target.state == "crashed":
            self.later(CALLER_LATENCY_S, lambda: self._receive_reset(caller_flow))
        elif action.packet.opens:
            self.outcome.opened += 1
            self.later(CALLER_LATENCY_S, lambda: self._receive_accept(caller_flow, target))
        elif payload and caller_flow.key in target.flows:
            self._enqueue(target, caller_flow, payload[0])

    def _receive_accept(self, caller_flow: CallerFlow, target: Target) -> None:
        if caller_flow.is_open or caller_flow.is_closed:
            return
        caller_flow.is_open = True
        caller_flow.request.has_opened = True
        caller_flow.target = target.key
        caller_flow.token = self._get_token(target)
        target.flows.add(caller_flow.key)
        self._send(caller_flow)
        self._send_request(caller_flow, caller_flow.request)

    def _get_token(self, target: Target) -> int:
        directory = self.forwarders[0].directory
        return build_token(directory.targets[target.key].identity)

    def _enqueue(self, target: Target, caller_flow: CallerFlow, request: Request) -> None:
        if request.runs == request.attempts:
            return  # a retransmission of an accepted request
        request.runs = request.attempts
        if target.running < self.load.slots:
            self._start(target, caller_flow, request)
        elif len(target.waiting) < self.load.queue:
            target.waiting.append((caller_flow, request))
        else:
            self.later(CALLER_LATENCY_S, lambda: self._receive_answer(caller_flow, request, True))

    def _start(self, target: Target, caller_flow: CallerFlow, request: Request) -> None:
        target.running += 1
        request.starts += 1
        factor = self.load.tail_factor if self.rng.random() < self.load.tail else 1.0
        mean_s = self.load.work_s / (1 + self.load.tail * (self.load.tail_factor - 1))
        spread = 0.5
        work_s = mean_s * factor * math.exp(self.rng.gauss(-(spread**2) / 2, spread))
        target.work_s += work_s
        self.later(work_s * target.slowness, lambda: self._finish(target, caller_flow, request))

    def _finish(self, target: Target, caller_flow: CallerFlow, request: Request) -> None:
        if target.state != "up":
            return
        target.running -= 1
        target.served += 1
        self.later(CALLER_LATENCY_S, lambda: self._receive_answer(caller_flow, request, False))
        if target.waiting:
            self._start(target, *target.waiting.popleft())

    # Releases

    def replace(self, key: str, successor: str, *, drain_after_s: float = 0.8) -> None:
        """Add an idle target and, after a delay, drain the one that it replaces."""
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
                records=[record], position=Position(revision=self._revision), now_s=self.now_s
            )

    # Faults

    def fail(self, key: str, state: str) -> None:
        """Set a failed state of a target, which loses all of its requests and flows."""
        target = self.targets[key]
        target.state = state
        target.running = 0
        target.waiting.clear()
        flows, target.flows = target.flows, set()
        if state == "crashed":
            for flow in flows:
                caller_flow = self._caller_flows.get(flow)
                if caller_flow is not None and caller_flow.request is not None:
                    self.later(
                        CALLER_LATENCY_S,
                        lambda caller_flow=caller_flow: self._close(caller_flow, ran=True),
                    )
