"""State of the flows through this VM, as observed from callers' packets.

Forwarding does not depend on the table: a VM without an entry for a flow forwards it by its token.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from ._loads import TargetLoads
from ._packets import FlowKey, Packet

__all__ = ["Flow", "FlowTable"]

MAX_FLOWS = 50_000
# Keeps a closed flow until its last packets have been forwarded.
CLOSED_TTL_S = 1.0
# Slightly longer than the 1.4 s after which callers abandon an opening.
OPENING_TTL_S = 1.5
SEQUENCE_MODULUS = 2**32
HALF_SEQUENCE = 2**31


def is_after(sequence: int, other: int) -> bool:
    """Return whether `sequence` follows `other` modulo 2**32."""
    return 0 < (sequence - other) % SEQUENCE_MODULUS < HALF_SEQUENCE


def _get_ttl_s(flow: "Flow", idle_timeout_s: float) -> float:
    if flow.is_closed:
        return CLOSED_TTL_S
    return idle_timeout_s if flow.opening is None else OPENING_TTL_S


@dataclass(kw_only=True, slots=True)
class Flow:
    """State of one flow as observed by this VM.

    Attributes
    ----------
    token : int
        Token of the target.
    is_long : bool
        Whether the flow carries many requests.
    opening : Packet or None
        The opening packet (SYN); None once the target has answered.
    tried : tuple of str
        Keys of the targets that the opening was sent to, the most recent one first.
    refused : tuple of str
        Keys of the targets that refused earlier openings of its caller.
    sent_s : float
        When the opening, or the request in flight, was first sent to the target.
    next_sequence : int
        Sequence number after the newest payload.
    acknowledged : int
        Highest acknowledgement number that the caller has sent.
    busy : bool
        Whether a request was sent whose answer has not been acknowledged.
    repeats : int
        Number of retransmissions of the newest payload by the caller.
    is_hedged : bool
        Whether its last target was tried early, which says nothing against the one before.
    is_probe : bool
        Whether it was sent to a suspected target to see whether that answers; never hedged early.
    is_over_limit : bool
        Whether a second target was due for its opening and the budget of hedges was empty.
    is_abandoned : bool
        Whether the caller was presumably refused, since it opened another flow.
    """

    token: int
    is_long: bool
    opened_s: float
    seen_s: float
    sent_s: float
    opening: Packet | None = None
    tried: tuple[str, ...] = ()
    refused: tuple[str, ...] = ()
    next_sequence: int = 0
    acknowledged: int = 0
    busy: bool = False
    repeats: int = 0
    is_abandoned: bool = False
    is_hedged: bool = False
    is_probe: bool = False
    is_over_limit: bool = False
    is_closed: bool = False


class FlowTable:
    """Flows by key; keeps the counters of `loads` consistent with them.

    Parameters
    ----------
    loads : TargetLoads
    report_answer : callable
        Called with the token of a target and the response time of a request, in seconds.
    max_flows : int
        Limit of the table; further flows are forwarded without an entry.
    """

    def __init__(
        self,
        *,
        loads: TargetLoads,
        report_answer: Callable[[int, float], None] = lambda token, answer_s: None,
        max_flows: int = MAX_FLOWS,
    ):
        self.loads = loads
        self.report_answer = report_answer
        self.max_flows = max_flows
        self.flows: dict[FlowKey, Flow] = {}
        self.openings: dict[FlowKey, Flow] = {}

    def find(self, key: FlowKey) -> Flow | None:
        """Return the flow of `key`; None if the table has no entry for it."""
        return self.flows.get(key)

    def list_open(self) -> Iterator[Flow]:
        """Yield the flows that are not closed."""
        return (flow for flow in self.flows.values() if not flow.is_closed)

    def apply_opening(
        self,
        *,
        packet: Packet,
        token: int,
        tried: tuple[str, ...],
        refused: tuple[str, ...],
        is_long: bool,
        now_s: float,
        is_hedged: bool = False,
        is_probe: bool = False,
    ) -> None:
        """Record the placement of a flow on a target, or its placement on another one.

        See ``Flow`` for `tried`, `refused`, `is_hedged` and `is_probe`.
        """
        former = self.flows.get(packet.flow)
        opened_s = former.opened_s if former else now_s
        self.remove(packet.flow)
        if len(self.flows) >= self.max_flows:
            return
        flow = Flow(
            token=token,
            is_long=is_long,
            opened_s=opened_s,
            seen_s=now_s,
            sent_s=now_s,
            opening=packet,
            tried=tried,
            refused=refused,
            is_hedged=is_hedged,
            is_probe=is_probe,
        )
        self.flows[packet.flow] = self.openings[packet.flow] = flow
        load = self.loads.get_or_create(token)
        load.openings += 1
        load.long_flows += is_long

    def apply_packet(self, *, packet: Packet, is_long: bool, now_s: float) -> Flow | None:
        """Update the table with a packet of an open flow.

        Return the flow; None if it has no entry and the table is full.
        """
        flow = self.flows.get(packet.flow)
        if flow is not None and packet.token != flow.token:
            self.remove(packet.flow)
            flow = None
        if flow is None:
            flow = self._add_open(packet, is_long, now_s)
            if flow is None:
                return None
        elif flow.opening is not None:
            self._finish_opening(packet, flow, now_s)
        flow.seen_s = now_s
        if flow.is_closed:
            return flow
        self._observe_answer(packet, flow, now_s)
        if packet.payload_bytes:
            self._observe_payload(packet, flow, now_s)
        if packet.finishes or packet.resets:
            self._close(flow)
        return flow

    def remove(self, key: FlowKey) -> None:
        """Remove a flow, if it has an entry."""
        flow = self.flows.pop(key, None)
        if flow is None:
            return
        if self.openings.pop(key, None) is not None:
            self.loads.get_or_create(flow.token).openings -= 1
        self._close(flow)

    def prune(self, *, now_s: float, idle_timeout_s: float) -> None:
        """Remove the flows whose time to live has expired."""
        old = [
            key
            for key, flow in self.flows.items()
            if now_s - flow.seen_s > _get_ttl_s(flow, idle_timeout_s)
        ]
        for key in old:
            self.remove(key)

    def restart_timers(self, now_s: float) -> None:
        """Restart the timers of all flows after a pause of this process.

        Answers that arrived during the pause may still wait in the socket.
        """
        for flow in self.flows.values():
            flow.sent_s = now_s
            flow.repeats = 0

    def _add_open(self, packet: Packet, is_long: bool, now_s: float) -> Flow | None:
        if len(self.flows) >= self.max_flows:
            return None
        flow = Flow(
            token=packet.token,
            is_long=is_long,
            opened_s=now_s,
            seen_s=now_s,
            sent_s=now_s,
            next_sequence=packet.sequence,
            acknowledged=packet.acknowledged,
        )
        self.flows[packet.flow] = flow
        self.loads.get_or_create(packet.token).long_flows += is_long
        return flow

    def _finish_opening(self, packet: Packet, flow: Flow, now_s: float) -> None:
        load = self.loads.get_or_create(flow.token)
        load.openings -= 1
        load.health.observe_answer(now_s)
        del self.openings[packet.flow]
        flow.opening = None
        flow.next_sequence = packet.sequence
        flow.acknowledged = packet.acknowledged

    def _observe_answer(self, packet: Packet, flow: Flow, now_s: float) -> None:
        if not packet.acknowledges or not is_after(packet.acknowledged, flow.acknowledged):
            return
        self.loads.get_or_create(flow.token).health.observe_answer(now_s)
        flow.acknowledged = packet.acknowledged
        flow.repeats = 0
        if flow.busy:
            self.report_answer(flow.token, now_s - flow.sent_s)
            self._set_busy(flow, False)

    def _observe_payload(self, packet: Packet, flow: Flow, now_s: float) -> None:
        end = (packet.sequence + packet.payload_bytes) % SEQUENCE_MODULUS
        if is_after(end, flow.next_sequence):
            flow.next_sequence = end
            flow.repeats = 0
            if not flow.busy:
                flow.sent_s = now_s
                self._set_busy(flow, True)
        elif end == flow.next_sequence and flow.busy:
            flow.repeats += 1

    def _set_busy(self, flow: Flow, busy: bool) -> None:
        if flow.busy != busy:
            flow.busy = busy
            self.loads.get_or_create(flow.token).busy += 1 if busy else -1

    def _close(self, flow: Flow) -> None:
        if flow.is_closed:
            return
        self._set_busy(flow, False)
        flow.is_closed = True
        self.loads.get_or_create(flow.token).long_flows -= flow.is_long
