"""Requests at a VM: the dispatchers that it runs, and the requests that it forwarded."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from mulberryswitch.contracts import (
    AnswerPiece,
    Declined,
    Done,
    Forward,
    LoadReport,
    PacketKind,
    ReplyKind,
    ResultCode,
    Shed,
    TargetCancel,
)
from mulberryswitch.links import SendFabricMessage, SendTargetFrame
from mulberryswitch.observability import RecordHop, pass_trace_context
from mulberryswitch.requests import (
    Action,
    CancelAtTarget,
    Dispatcher,
    ForwardAgain,
    NotifyEntryVM,
    PendingRequests,
    ReceiptSigner,
    ReplyToCaller,
    SendToTarget,
    build_refusal,
)

from ._target_sessions import TargetSessions
from ._view import View

__all__ = ["RequestService"]

RequestKey = tuple[bytes, int, int]


class RequestService:
    """Execute the actions of the dispatchers and of the table of pending requests.

    A VM that relays a request towards its dispatcher sets itself as the entry VM and stores the
    previous one. So each VM on the path monitors the link to the next one, and the outcome is
    reported back along the same path.

    Parameters
    ----------
    view : View
        Configuration in force and members.
    signer : ReceiptSigner
        Signs receipts.
    sessions : TargetSessions
        Links to targets.
    max_queued, max_pending : int
        Limits on the queued requests of a service and on the forwarded requests without an outcome.
    first_dispatch_id : int
        First dispatch id, above all dispatch ids of earlier processes of this VM.
    emit : callable
        Takes effects for the links.
    send_peer : callable
        ``send_peer(vm, message, now_s)`` sends a message to a peer.
    route_again : callable
        ``route_again(forward, now_s)`` routes a request again in the current view.
    count : callable
        ``count(name, amount)`` increments an event counter.
    observe_wait : callable
        ``observe_wait(service, wait_s)`` records how long a request waited for a slot.
    is_silent : callable
        ``is_silent(vm, now_s)``: whether a VM leaves pings unanswered. It is sent no request.
    record_hop : callable
        Records a span per hop and returns the trace context for the next one.
    """

    def __init__(
        self,
        *,
        view: View,
        signer: ReceiptSigner,
        sessions: TargetSessions,
        max_queued: int,
        max_pending: int,
        first_dispatch_id: int,
        emit: Callable[[Any], None],
        send_peer: Callable[[str, Any, float], None],
        route_again: Callable[[Forward, float], None],
        count: Callable[[str, int], None],
        observe_wait: Callable[[str, float], None],
        is_silent: Callable[[str, float], bool],
        record_hop: RecordHop = pass_trace_context,
    ):
        self.view = view
        self.signer = signer
        self.sessions = sessions
        self.max_queued = max_queued
        self.first_dispatch_id = first_dispatch_id
        self.emit = emit
        self.send_peer = send_peer
        self.route_again = route_again
        self.count = count
        self.observe_wait = observe_wait
        self.is_silent = is_silent
        self.record_hop = record_hop
        self.dispatchers: dict[str, Dispatcher] = {}
        self.pending = PendingRequests(vm=view.vm, signer=signer, max_pending=max_pending)
        self._previous_entry_vms: dict[RequestKey, str] = {}

    # Requests

    def dispatch_request(self, forward: Forward, pinned: str, now_s: float) -> None:
        """Pass a request or a cancellation to the local dispatcher of its service."""
        dispatcher = self._get_or_create_dispatcher(forward.service, now_s)
        forward = replace(forward, pinned=pinned)
        if forward.packet.kind == PacketKind.CANCEL:
            actions = dispatcher.observe_cancel(forward, now_s)
        else:
            actions = dispatcher.observe_request(forward, now_s)
        self._execute(actions, now_s, forward.service)

    def forward_request(self, vm: str, forward: Forward, now_s: float) -> None:
        """Forward a request to `vm` and keep it pending until its outcome is known."""
        if forward.packet.kind == PacketKind.CANCEL:
            self.send_peer(vm, forward, now_s)
            return
        if forward.entry_vm != self.view.vm:
            self._previous_entry_vms[_key_of(forward)] = forward.entry_vm
            forward = replace(forward, entry_vm=self.view.vm)
        refusals = self.pending.observe_forwarded(forward, vm, now_s)
        if refusals:
            self._execute(refusals, now_s)
        elif self.is_silent(vm, now_s):
            self.count("requests_held_back", 1)
            self.observe_unsent(vm, forward, now_s)
        else:
            self.send_peer(vm, forward, now_s)

    def refuse_request(self, forward: Forward, code: int, now_s: float) -> None:
        """Refuse the only copy of a request.

        A request that a peer forwarded or that is pending here is declined instead, so that its
        entry VM can forward it elsewhere.
        """
        declined = _build_declined(forward, code)
        if forward.entry_vm != self.view.vm:
            self.send_peer(forward.entry_vm, declined, now_s)
        elif self.pending.is_pending(declined):
            self.observe_declined(self.view.vm, declined, now_s)
        else:
            reply = build_refusal(self.signer, forward, code)
            self.count(f"refused_{int(reply.code)}", 1)
            self.emit(SendFabricMessage(message=reply))

    # Outcomes of forwarded requests

    def observe_done(self, done: Done, now_s: float) -> None:
        """Record that the outcome of a forwarded request was sent to its caller."""
        self._execute(self.pending.observe_done(done, now_s), now_s)
        self._report_to_previous_vm(done, now_s)

    def observe_declined(self, vm: str, declined: Declined, now_s: float) -> None:
        """Record that `vm` did not run a request that was forwarded to it."""
        self._execute(self.pending.observe_declined(declined, vm, now_s), now_s)

    def observe_unsent(self, vm: str, message: Any, now_s: float) -> None:
        """Decline a request that could not be sent to `vm`."""
        match message:
            case Forward(packet=packet) if packet.kind == PacketKind.REQUEST:
                self.observe_declined(vm, _build_declined(message, ResultCode.NO_PATH), now_s)
            case Declined():
                # The entry VM is dead, so no VM can notify the caller, which retries by itself.
                self.count("declines_unsent", 1)

    def observe_link_lost(self, vm: str, lost_s: float, now_s: float) -> None:
        """Record that the link to `vm` was lost at `lost_s`."""
        self._execute(self.pending.observe_link_lost(vm, lost_s, now_s), now_s)

    def _report_to_previous_vm(self, done: Done, now_s: float) -> None:
        previous = self._previous_entry_vms.pop((done.flow, done.request_id, done.attempt), "")
        if previous:
            self.send_peer(previous, done, now_s)

    # Targets

    def observe_targets(self, now_s: float) -> None:
        """Apply the targets of the configuration in force to all dispatchers."""
        for service in self.dispatchers:
            self._apply_targets(service, now_s)

    def observe_target_up(self, service: str, target: str, now_s: float) -> None:
        """Record that the link to a target is open."""
        dispatcher = self.dispatchers.get(service)
        if dispatcher is not None:
            self._execute(dispatcher.observe_target_up(target, now_s), now_s, service)

    def observe_target_lost(self, service: str, target: str, now_s: float) -> None:
        """Record that the link to a target was lost."""
        dispatcher = self.dispatchers.get(service)
        if dispatcher is not None:
            self._execute(dispatcher.observe_target_lost(target, now_s), now_s, service)

    def observe_frame(self, service: str, target: str, frame: Any, now_s: float) -> None:
        """Process a frame of a target about a dispatched request or its load."""
        dispatcher = self.dispatchers.get(service)
        if dispatcher is None:
            return
        match frame:
            case AnswerPiece():
                actions = dispatcher.observe_answer(frame, now_s)
            case Shed():
                actions = dispatcher.observe_shed(frame.dispatch_id, now_s)
            case LoadReport():
                actions = dispatcher.observe_report(target, frame, now_s)
            case _:
                return
        self._execute(actions, now_s, service)

    # Time and roles

    def decide_tick(self, now_s: float) -> None:
        """Advance all timers."""
        for service, dispatcher in self.dispatchers.items():
            self._execute(dispatcher.decide_tick(now_s), now_s, service)
        self._execute(self.pending.decide_tick(now_s), now_s)

    def hand_over_queues(self, services: list[str], now_s: float) -> list[Forward]:
        """Remove and return the requests of `services` that were not dispatched."""
        forwards = []
        for service in services:
            dispatcher = self.dispatchers.get(service)
            if dispatcher is not None:
                forwards += dispatcher.hand_over_queue(now_s)
        return forwards

    def list_busy_targets(self) -> set[str]:
        """Return the targets that run a request of a local dispatcher."""
        return {
            request.target
            for d in self.dispatchers.values()
            for request in d.list_open_requests()
            if request.target
        }

    @property
    def is_idle(self) -> bool:
        """Whether no request is queued, running or pending at this VM."""
        idle = all(dispatcher.is_idle for dispatcher in self.dispatchers.values())
        return idle and self.pending.is_idle

    def _get_or_create_dispatcher(self, service: str, now_s: float) -> Dispatcher:
        dispatcher = self.dispatchers.get(service)
        if dispatcher is None:
            dispatcher = self.dispatchers[service] = Dispatcher(
                vm=self.view.vm,
                zone=self.view.zone,
                service=service,
                slots=self.view.sheet.services[service].slots,
                signer=self.signer,
                first_dispatch_id=self.first_dispatch_id,
                max_queued=self.max_queued,
            )
            self._apply_targets(service, now_s)
        return dispatcher

    def _apply_targets(self, service: str, now_s: float) -> None:
        definition = self.view.sheet.services.get(service)
        targets = definition.targets if definition else ()
        dispatcher = self.dispatchers[service]
        slots = definition.slots if definition else 0
        self._execute(dispatcher.observe_targets(targets, slots, now_s), now_s, service)
        for target in targets:
            self.sessions.attach(target, now_s)
            if self.sessions.is_up(target.name):
                self._execute(dispatcher.observe_target_up(target.name, now_s), now_s, service)

    # Actions

    def _execute(self, actions: list[Action], now_s: float, service: str = "") -> None:
        for action in actions:
            match action:
                case SendToTarget():
                    self._send_request(service, action)
                case CancelAtTarget():
                    frame = TargetCancel(dispatch_id=action.dispatch_id)
                    self.emit(SendTargetFrame(target=action.target, frame=frame))
                case ReplyToCaller():
                    self._reply(action, now_s)
                case NotifyEntryVM():
                    self._notify_entry_vm(action, now_s)
                case ForwardAgain():
                    self.route_again(replace(action.forward, hops=0), now_s)

    def _send_request(self, service: str, action: SendToTarget) -> None:
        frame = action.frame
        if frame.trace:
            attributes = {"target": action.target, "attempt": frame.attempt}
            frame = replace(frame, trace=self.record_hop("target", frame.trace, attributes))
        self.emit(SendTargetFrame(target=action.target, frame=frame))
        self.observe_wait(service, action.wait_s)

    def _reply(self, action: ReplyToCaller, now_s: float) -> None:
        reply = action.reply
        self.emit(SendFabricMessage(message=reply))
        if reply.kind == ReplyKind.ANSWER:
            return
        self.count(f"outcome_{int(reply.code)}", 1)
        done = Done(
            flow=reply.flow,
            request_id=reply.request_id,
            attempt=reply.attempt,
            code=reply.code,
        )
        self._report_to_previous_vm(done, now_s)

    def _notify_entry_vm(self, action: NotifyEntryVM, now_s: float) -> None:
        if action.entry_vm == self.view.vm:
            self.observe_done(action.done, now_s)
        else:
            self.send_peer(action.entry_vm, action.done, now_s)


def _build_declined(forward: Forward, code: int) -> Declined:
    flow, request_id, attempt = _key_of(forward)
    return Declined(flow=flow, request_id=request_id, attempt=attempt, code=code)


def _key_of(forward: Forward) -> RequestKey:
    return forward.packet.flow, forward.packet.request_id, forward.packet.attempt
