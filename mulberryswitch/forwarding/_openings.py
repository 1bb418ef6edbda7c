"""Conclusions from openings that targets answer, answer late or do not answer."""

import logging
from collections.abc import Callable

from mulberryswitch.directory import Directory, Target, build_token

from ._evidence import Witness
from ._flows import Flow, FlowTable
from ._hedging import Hedging
from ._loads import TargetHealth, TargetLoads
from ._packets import Packet

__all__ = ["OPENING_TIMEOUT_S", "OpeningObserver"]

# The caller's acknowledgement of the target's answer normally reaches this VM within 10 ms. After
# this timeout the opening was lost or the target is down.
OPENING_TIMEOUT_S = 0.03
# An opening that is unanswered for this long when its caller opens another flow was refused.
REFUSED_AFTER_S = 0.012

log = logging.getLogger("forwarding")


class OpeningObserver:
    """Turns what becomes of openings into the health of targets and the learned opening times.

    Parameters
    ----------
    vm : str
        Name of this VM, which it reports as a witness.
    directory : Directory
    loads : TargetLoads
    flows : FlowTable
    hedging : Hedging
    count : callable
        ``count(name, amount)`` adds to a counter.
    report_unresponsive : callable
        Tells other VMs about a target that does not answer; called with its token and health.
    report_suspicion : callable
        Asks the VMs of this zone to probe the target with the given token.
    """

    def __init__(
        self,
        *,
        vm: str,
        directory: Directory,
        loads: TargetLoads,
        flows: FlowTable,
        hedging: Hedging,
        count: Callable[[str, int], None],
        report_unresponsive: Callable[[int, TargetHealth], None],
        report_suspicion: Callable[[int], None],
    ):
        self.vm = vm
        self.directory = directory
        self.loads = loads
        self.flows = flows
        self.hedging = hedging
        self.count = count
        self.report_unresponsive = report_unresponsive
        self.report_suspicion = report_suspicion

    def list_late(self, now_s: float) -> list[Flow]:
        """Return the flows whose opening the only target so far has not answered in time."""
        return [
            flow
            for flow in self.flows.openings.values()
            if now_s - flow.sent_s >= OPENING_TIMEOUT_S
            and len(flow.tried) == 1
            and not flow.is_abandoned
        ]

    def observe_opening(self, packet: Packet, now_s: float) -> tuple[str, ...]:
        """Return the targets that refused earlier openings of this caller to the same route.

        A process that does not listen resets the opening directly at the caller, bypassing the
        VMs, and the caller retries from another port. Only the first target of an opening is
        blamed: a later one answers a caller that has already abandoned the flow.
        """
        refused = [
            flow
            for key, flow in self.flows.openings.items()
            if key[0] == packet.flow[0]
            and key[2:] == packet.flow[2:]
            and now_s - flow.opened_s >= REFUSED_AFTER_S
            and not flow.is_abandoned
        ]
        for flow in refused:
            if len(flow.tried) == 1:
                self.observe_timeout(flow, now_s)
            # The flow keeps its entry, so that a late answer still clears the target.
            flow.is_abandoned = True
        return tuple(flow.tried[-1] for flow in refused)

    def observe_timeout(self, flow: Flow, now_s: float) -> None:
        """Record an unanswered opening and eject the target that it was last sent to."""
        self.count("openings_unanswered", 1)
        health = self.loads.get_or_create(flow.token).health
        if not health.observe_unanswered_opening(since_s=flow.sent_s, now_s=now_s):
            return
        log.warning(
            "target does not answer; ejecting it from the choice for new flows",
            extra={
                "target": flow.tried[0],
                "waited_s": round(now_s - flow.sent_s, 3),
                "ejection_s": health.ejection_s,
            },
        )

    def observe_hedge_timeout(self, flow: Flow, now_s: float) -> None:
        """Eject the first target of a hedged opening that nobody has answered in time."""
        flow.is_hedged = False
        first = self.directory.targets.get(flow.tried[-1])
        if first is None:
            return
        self.count("openings_unanswered", 1)
        self._get_health(first).observe_unanswered_opening(since_s=flow.opened_s, now_s=now_s)

    def observe_answer(self, packet: Packet, flow: Flow, now_s: float) -> None:
        """Confirm the failures of the targets tried before the one that answered, and report them.

        Targets tried after the one that answered are not blamed: the caller accepts the first
        answer, which may only have been late.
        """
        if self.hedging.is_on:
            self._observe_time(packet, flow, now_s)
        if flow.is_hedged and now_s - flow.opened_s < OPENING_TIMEOUT_S:
            return
        tokens = self._list_tokens(flow.tried)
        if packet.token in tokens:
            tokens = tokens[tokens.index(packet.token) + 1 :]
        witness = Witness(vm=self.vm, caller=packet.flow[0])
        for token in {*tokens, *self._list_tokens(flow.refused)} - {packet.token}:
            health = self.loads.get_or_create(token).health
            if health.observe_confirmed_failure(
                witness=witness, since_s=flow.opened_s, now_s=now_s
            ):
                self.report_unresponsive(token, health)

    def _observe_time(self, packet: Packet, flow: Flow, now_s: float) -> None:
        """Learn from an answered opening, and count a hedge that answered first."""
        target = self.directory.find_target(packet.token)
        if target is None:
            return
        self.hedging.observe_answer(target.service, now_s - flow.opened_s)
        if not flow.is_hedged or packet.token != flow.token:
            return
        self.count("hedges_won", 1)
        first = self.directory.targets.get(flow.tried[-1])
        if first is not None:
            self._observe_lost_hedge(first, flow, now_s)

    def _observe_lost_hedge(self, first: Target, flow: Flow, now_s: float) -> None:
        """Have a target probed that a hedge has beaten: it may have ended, or only be slower."""
        token = build_token(first.identity)
        health = self._get_health(first)
        health.observe_lost_hedge(since_s=flow.opened_s, now_s=now_s)
        if health.evidence.last_answer_s < flow.opened_s:
            self.loads.observe_suspicion(token, now_s, flow.opened_s)
            self.report_suspicion(token)

    def _list_tokens(self, keys: tuple[str, ...]) -> list[int]:
        """Return the tokens of those targets that are still listed."""
        listed = (self.directory.targets.get(key) for key in keys)
        return [build_token(target.identity) for target in listed if target is not None]

    def _get_health(self, target: Target) -> TargetHealth:
        return self.loads.get_or_create(build_token(target.identity)).health
