"""Decision on each packet of a caller: forward it, reset its flow, hold it or drop it."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from mulberryswitch.directory import (
    NO_TOKEN,
    Departure,
    DepartureCause,
    Directory,
    Route,
    Target,
    TrafficKind,
    build_token,
)

from ._cold_targets import NO_COLD_EXCESS, ColdGate
from ._flows import Flow, FlowTable
from ._hedging import NO_HEDGES, HedgeLimits, Hedging
from ._loads import TargetHealth, TargetLoads
from ._openings import OPENING_TIMEOUT_S, OpeningObserver
from ._packets import Action, FlowKey, Forward, Packet, Reset, format_flow
from ._placement import Candidate, pick_service, pick_target, sample_targets

__all__ = ["Forwarder"]

MAX_PLACEMENTS = 4
# A starting VM holds openings until it has a configuration, for at most the time that callers wait
# for an answer.
MAX_HOLD_S = 1.2
MAX_HELD_OPENINGS = 2_000
# Time without an answer to a request after which the flow to an unresponsive target is reset, so
# that its caller retries.
RESET_AFTER_SILENCE_S = 0.5
# An unknown token may belong to a target that a peer has already learned of and this VM has not.
UNKNOWN_TOKEN_GRACE_S = 1.0
COLD_SPEED = 0.6
# After a longer gap between ticks, the missing answers may wait unread in the socket.
PAUSE_THRESHOLD_S = 0.3
PRUNE_INTERVAL_S = 0.5
# Estimated requests in flight per open long flow.
LONG_FLOW_WORK = 0.05

log = logging.getLogger("forwarding")


@dataclass(frozen=True, kw_only=True, slots=True)
class _HeldOpening:
    """An opening that is held until the first configuration."""

    packet: Packet
    since_s: float


class Forwarder:
    """Forwarding decisions of one VM, with the flow table and the target loads behind them.

    Parameters
    ----------
    directory : Directory
        Replica of the routes and targets.
    zone : str
        Availability zone of this VM.
    vm : str
        Name of this VM, which it reports as a witness.
    rng : Random
        Source of randomness for the sampling of targets.
    count : callable
        ``count(name, amount)`` adds to a counter.
    hedge_limits : HedgeLimits
        Limit of early second openings; none by default.
    cold_gate : ColdGate
        Limit of new flows to cold targets; by default those of services with a limit get none.
    report_unresponsive : callable
        Tells other VMs about a target that does not answer; called with its token and health.
    report_suspicion : callable
        Asks the VMs of this zone to probe the target with the given token.
    report_answer : callable
        Called with a service and the response time of a request to it, in seconds.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        zone: str,
        vm: str = "",
        rng: Random,
        count: Callable[[str, int], None],
        hedge_limits: HedgeLimits = NO_HEDGES,
        cold_gate: ColdGate | None = None,
        report_unresponsive: Callable[[int, TargetHealth], None] = lambda token, health: None,
        report_suspicion: Callable[[int], None] = lambda token: None,
        report_answer: Callable[[str, float], None] = lambda service, answer_s: None,
    ):
        self.report_answer = report_answer
        self.report_unresponsive = report_unresponsive
        self.report_suspicion = report_suspicion
        self.directory = directory
        self.zone = zone
        self.vm = vm
        self.rng = rng
        self.count = count
        self.cold_gate = cold_gate or ColdGate(
            bounds=NO_COLD_EXCESS, is_owner=lambda key, now_s: False
        )
        self.hedging = Hedging(limits=hedge_limits)
        self.loads = TargetLoads()
        self.flows = FlowTable(loads=self.loads, report_answer=self._observe_answer)
        self.observer = OpeningObserver(
            vm=vm,
            directory=directory,
            loads=self.loads,
            flows=self.flows,
            hedging=self.hedging,
            count=count,
            report_unresponsive=lambda token, health: self.report_unresponsive(token, health),
            report_suspicion=lambda token: self.report_suspicion(token),
        )
        self._held_openings: dict[FlowKey, _HeldOpening] = {}
        self._last_tick_s: float | None = None
        self._pruned_s = 0.0

    # Packets

    def observe_packet(self, *, packet: Packet, now_s: float) -> list[Action]:
        """Return the actions on a packet of a caller; none if it is held or dropped."""
        if packet.opens:
            return self._observe_opening(packet, now_s)
        route = self.directory.routes.get(packet.route_key)
        if route is None and packet.route_key in self.directory.config.removed_routes:
            self.flows.remove(packet.flow)
            return self._reset(packet, "route removed")
        target = self.directory.find_target(packet.token)
        if target is None:
            return self._handle_unlisted_token(packet, now_s)
        is_long = route is not None and route.kind is TrafficKind.IDEMPOTENT
        former = self.flows.find(packet.flow)
        if former is not None and former.opening is not None:
            self.observer.observe_answer(packet, former, now_s)
        flow = self.flows.apply_packet(packet=packet, is_long=is_long, now_s=now_s)
        if (
            flow is not None
            and route is not None
            and self._must_reset_silent_flow(packet, flow, route, now_s)
        ):
            self.flows.remove(packet.flow)
            return self._reset(packet, "target silent")
        return [Forward(packet=packet, target=target)]

    def _observe_opening(self, packet: Packet, now_s: float) -> list[Action]:
        if not self.directory.is_loaded:
            self._hold(packet, now_s)
            return []
        route = self.directory.routes.get(packet.route_key)
        if route is None:
            return self._reset(packet, "no route")
        flow = self.flows.find(packet.flow)
        if flow is None or flow.is_closed:
            return self._place(
                packet, route, now_s, refused=self.observer.observe_opening(packet, now_s)
            )
        flow.is_abandoned = False
        if flow.opening is None or now_s - flow.sent_s < OPENING_TIMEOUT_S:
            return self._resend(packet, flow)
        # The caller still waits, so the most recently tried target does not answer either.
        self.observer.observe_timeout(flow, now_s)
        if len(flow.tried) >= MAX_PLACEMENTS:
            return self._resend(packet, flow)
        return self._place(packet, route, now_s, tried=flow.tried, refused=flow.refused)

    def _resend(self, packet: Packet, flow: Flow) -> list[Action]:
        target = self.directory.find_target(flow.token)
        return [Forward(packet=packet, target=target, token=flow.token)] if target else []

    def _place(
        self,
        packet: Packet,
        route: Route,
        now_s: float,
        *,
        tried: tuple[str, ...] = (),
        refused: tuple[str, ...] = (),
        is_hedged: bool = False,
    ) -> list[Action]:
        """Choose a target for an opening; see ``Flow`` for `tried`, `refused` and `is_hedged`."""
        avoided = (*tried, *refused)
        service = pick_service(route=route, flow=packet.flow)
        serving = self._list_admitting(service, route, now_s)
        suspected = None if avoided else self._pick_suspected(serving, now_s)
        sampled = [suspected] if suspected else self._sample_targets(serving, avoided, now_s)
        candidates = [self._rate(target, now_s) for target in sampled]
        target = pick_target(candidates=candidates, zone=self.zone, tried=avoided, rng=self.rng)
        if target is None:
            return self._refuse(packet, service)
        token = build_token(target.identity)
        self.flows.apply_opening(
            packet=packet,
            token=token,
            tried=(target.key, *tried),
            refused=refused,
            is_long=route.kind is TrafficKind.IDEMPOTENT,
            now_s=now_s,
            is_hedged=is_hedged,
            is_probe=suspected is not None,
        )
        self.count("flows_placed", 1)
        if service in self.directory.config.cold_limits and self.directory.is_cold(target, now_s):
            self.count("flows_to_cold_targets", 1)
            self.cold_gate.observe_flow(key=target.key, now_s=now_s)
        if not tried:
            self.hedging.observe_opening(service)
        self._log_placement(packet, target, candidates, avoided, now_s)
        return [Forward(packet=packet, target=target, token=token)]

    def _list_admitting(self, service: str, route: Route, now_s: float) -> list[Target]:
        """Return the targets that accept a new flow of `route` now."""
        serving = self.directory.list_serving(service, now_s)
        limit = self.directory.config.cold_limits.get(service)
        if limit is None:
            return serving
        return [
            target
            for target in serving
            if not self.directory.is_cold(target, now_s)
            or (
                target.zone == self.zone
                and self.cold_gate.is_open(
                    key=target.key, cold_per_s=limit.per_s, priority=route.priority, now_s=now_s
                )
            )
        ]

    def _refuse(self, packet: Packet, service: str) -> list[Action]:
        """Reset an opening at once that no target may get; it has not run anywhere."""
        if self.directory.is_evacuated(service):
            self.count("openings_refused_evacuated", 1)
            return self._reset(packet, "all targets evacuated")
        if service in self.directory.config.cold_limits:
            self.count("openings_refused_cold", 1)
            return self._reset(packet, "only cold targets")
        return self._reset(packet, "no target")

    def _log_placement(
        self,
        packet: Packet,
        target: Target,
        candidates: list[Candidate],
        avoided: tuple[str, ...],
        now_s: float,
    ) -> None:
        chosen = next(c for c in candidates if c.target is target)
        log.info(
            "flow placed",
            extra={
                "flow": format_flow(packet.flow),
                "target": target.key,
                "token": build_token(target.identity),
                "work": round(chosen.work, 2),
                "speed": chosen.speed,
                "target_zone": target.zone,
                "rated": len(candidates),
                "ejected": sum(c.is_ejected for c in candidates),
                "tried": avoided,
                "version": self.directory.version,
                "revision": self.directory.revision,
                "changed_ago_s": round(now_s - self.directory.changed_s, 2),
            },
        )

    def _observe_answer(self, token: int, answer_s: float) -> None:
        target = self.directory.find_target(token)
        if target is not None:
            self.report_answer(target.service, answer_s)

    def _sample_targets(
        self, serving: list[Target], avoided: tuple[str, ...], now_s: float
    ) -> list[Target]:
        def is_usable(target: Target) -> bool:
            health = self.loads.get_or_create(build_token(target.identity)).health
            return target.key not in avoided and not health.is_ejected(now_s)

        return sample_targets(targets=serving, zone=self.zone, is_usable=is_usable, rng=self.rng)

    def _pick_suspected(self, serving: list[Target], now_s: float) -> Target | None:
        """Return a suspected target, which one new flow then probes; None if there is none."""
        for token in self.loads.list_suspected(now_s):
            target = self.directory.find_target(token)
            if target in serving:
                self.loads.clear_suspicion(token)
                self.count("targets_tried", 1)
                return target
        return None

    def _rate(self, target: Target, now_s: float) -> Candidate:
        token = build_token(target.identity)
        load = self.loads.get_or_create(token)
        shared = self.loads.list_peer_loads(token, now_s)
        long_flows = load.long_flows + sum(entry.long_flows for entry in shared)
        busy = load.busy + load.openings + sum(entry.busy for entry in shared)
        is_cold = self.directory.is_cold(target, now_s)
        return Candidate(
            target=target,
            work=busy + LONG_FLOW_WORK * long_flows,
            speed=COLD_SPEED if is_cold else 1.0,
            is_ejected=load.health.is_ejected(now_s),
        )

    def _must_reset_silent_flow(
        self, packet: Packet, flow: Flow, route: Route, now_s: float
    ) -> bool:
        """Return whether the flow's target is unresponsive and its caller retries after a reset."""
        if not route.is_retried or not packet.payload_bytes:
            return False
        health = self.loads.get_or_create(flow.token).health
        if health.is_unresponsive(now_s):
            return True
        if flow.repeats and health.evidence.last_answer_s < flow.sent_s:
            self.loads.observe_suspicion(flow.token, now_s)
            self.report_suspicion(flow.token)
        if not flow.repeats or now_s - flow.sent_s < RESET_AFTER_SILENCE_S:
            return False
        is_unresponsive = health.observe_unanswered_request(
            since_s=flow.sent_s, peers_heard_s=self.loads.get_peers_heard_s(now_s), now_s=now_s
        )
        if is_unresponsive:
            self.report_unresponsive(flow.token, health)
        return is_unresponsive

    def _handle_unlisted_token(self, packet: Packet, now_s: float) -> list[Action]:
        """Return the actions on a packet whose token belongs to no listed target."""
        if packet.token == NO_TOKEN or not self.directory.is_loaded:
            return []
        departure = self.directory.find_departure(packet.token)
        flow = self.flows.apply_packet(packet=packet, is_long=False, now_s=now_s)
        if departure is not None and not self._is_gone(departure, flow, now_s):
            self._observe_departed_answer(departure, packet.token, now_s)
            return [Forward(packet=packet, target=departure.target)]
        if departure is None and (flow is None or now_s - flow.opened_s < UNKNOWN_TOKEN_GRACE_S):
            self.count("packets_of_unknown_targets", 1)
            return []
        self.flows.remove(packet.flow)
        return self._reset(packet, "target gone")

    def _is_gone(self, departure: Departure, flow: Flow | None, now_s: float) -> bool:
        """Return whether the flows of a departed target are lost.

        A target whose record lapsed may only be cut off from the store. As long as it answers
        callers, its open flows continue.
        """
        if not departure.is_gone(now_s):
            return False
        if departure.cause is not DepartureCause.LAPSED:
            return True
        health = self.loads.get_or_create(build_token(departure.target.identity)).health
        since_s = flow.sent_s if flow is not None and flow.busy else now_s
        return health.evidence.is_gone_without_record(
            since_s=since_s, departed_s=departure.departed_s, now_s=now_s
        )

    def _observe_departed_answer(self, departure: Departure, token: int, now_s: float) -> None:
        """Use a target again for new flows if it has answered since its record lapsed."""
        answered_s = self.loads.get_or_create(token).health.evidence.last_answer_s
        if departure.cause is DepartureCause.LAPSED and answered_s > departure.departed_s:
            self.directory.apply_sign_of_life(token, now_s)

    def _reset(self, packet: Packet, reason: str) -> list[Action]:
        if packet.resets:
            return []
        self.count("flows_reset", 1)
        log.info(
            "flow reset",
            extra={
                "flow": format_flow(packet.flow),
                "reason": reason,
                "token": packet.token,
                "version": self.directory.version,
                "revision": self.directory.revision,
            },
        )
        return [Reset(packet=packet)]

    def count_flows_in_evacuated_zones(self) -> int:
        """Return the number of open flows through this VM to targets of evacuated zones."""
        zones = self.directory.evacuations.zones
        if not zones:
            return 0
        targets = (self.directory.find_target(f.token) for f in self.flows.list_open())
        return sum(target is not None and target.zone in zones for target in targets)

    # Time

    def observe_change(self, now_s: float) -> list[Action]:
        """Place the held openings after a change of the directory, if a configuration is loaded."""
        held = list(self._held_openings.values())
        if not self.directory.is_loaded or not held:
            return []
        self._held_openings.clear()
        return [
            action
            for item in held
            if now_s - item.since_s <= MAX_HOLD_S
            for action in self._observe_opening(item.packet, now_s)
        ]

    def decide_tick(self, *, now_s: float) -> list[Action]:
        """Prune state and return the actions that are due: second openings of unanswered ones."""
        last_s, self._last_tick_s = self._last_tick_s, now_s
        if last_s is not None and now_s - last_s > PAUSE_THRESHOLD_S:
            self.flows.restart_timers(now_s)
            return []
        if now_s - self._pruned_s >= PRUNE_INTERVAL_S:
            self._prune(now_s)
        late = self.observer.list_late(now_s)
        actions = [action for flow in late for action in self._fail_over(flow, now_s)]
        return [*actions, *self._decide_hedges(now_s)] if self.hedging.is_on else actions

    def _decide_hedges(self, now_s: float) -> list[Action]:
        """Return early second openings, and blame targets whose hedged openings stay unanswered."""
        actions: list[Action] = []
        for flow in list(self.flows.openings.values()):
            age_s = now_s - flow.opened_s
            if flow.is_hedged and age_s >= OPENING_TIMEOUT_S:
                self.observer.observe_hedge_timeout(flow, now_s)
            elif len(flow.tried) == 1 and not flow.is_abandoned and age_s < OPENING_TIMEOUT_S:
                actions += self._hedge(flow, age_s, now_s)
        return actions

    def _hedge(self, flow: Flow, age_s: float, now_s: float) -> list[Action]:
        """Send an opening that is slow for its service to a second target, within the limit."""
        route = self.directory.routes.get(flow.opening.route_key)
        if route is None or not route.is_retried or flow.is_probe:
            return []
        service = pick_service(route=route, flow=flow.opening.flow)
        if not self.hedging.is_due(service, age_s):
            return []
        if not self._has_other_target(service, route, flow, now_s):
            return []
        if not self.hedging.spend(service):
            self.count("hedges_over_limit", int(not flow.is_over_limit))
            flow.is_over_limit = True
            return []
        self.count("hedges_sent", 1)
        return self._place(
            flow.opening, route, now_s, tried=flow.tried, refused=flow.refused, is_hedged=True
        )

    def _has_other_target(self, service: str, route: Route, flow: Flow, now_s: float) -> bool:
        """Return whether a target that is not ejected is left for a second opening."""
        return any(
            target.key not in flow.tried
            and not self.loads.get_or_create(build_token(target.identity)).health.is_ejected(now_s)
            for target in self._list_admitting(service, route, now_s)
        )

    def _fail_over(self, flow: Flow, now_s: float) -> list[Action]:
        """Send an unanswered opening to a second target.

        A third target is tried only after a retransmission by the caller. A caller that was
        refused has abandoned the flow, and further targets that answer it would look unresponsive.
        """
        route = self.directory.routes.get(flow.opening.route_key)
        if route is None:
            return []
        self.observer.observe_timeout(flow, now_s)
        self.hedging.charge_failover(pick_service(route=route, flow=flow.opening.flow))
        self.count("failovers", 1)
        return self._place(flow.opening, route, now_s, tried=flow.tried, refused=flow.refused)

    def _prune(self, now_s: float) -> None:
        self._pruned_s = now_s
        self.cold_gate.forget_idle(now_s)
        self.flows.prune(now_s=now_s, idle_timeout_s=self.directory.config.idle_timeout_s)
        self.loads.drop_unknown(self.directory.list_tokens(), now_s)
        self._held_openings = {
            key: held
            for key, held in self._held_openings.items()
            if now_s - held.since_s <= MAX_HOLD_S
        }

    def _hold(self, packet: Packet, now_s: float) -> None:
        if packet.flow in self._held_openings or len(self._held_openings) < MAX_HELD_OPENINGS:
            self._held_openings[packet.flow] = _HeldOpening(packet=packet, since_s=now_s)
            self.count("openings_held", 1)
            log.info(
                "holding opening until a configuration is loaded",
                extra={"flow": format_flow(packet.flow)},
            )
