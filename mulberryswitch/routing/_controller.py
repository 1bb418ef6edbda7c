"""State machine of one VM for one flow shard: standby, owner, and the transitions between."""

from collections.abc import Iterable, Sequence

from mulberryswitch.contracts import Pin, ShardAck, ShardRole, ShardState

from ._roles import Outgoing, Role, ShardView
from ._sender import StateSender
from ._shard import FlowShard
from ._streams import Replica, StateStream

__all__ = ["Outgoing", "Role", "ShardController", "ShardView"]

STATE_REQUEST_TIMEOUT_S = 1.0
# Exceeds the time that a membership change takes to reach every VM.
OWNER_WAIT_TIMEOUT_S = 5.0
HANDOVER_TIMEOUT_S = 3.0
REPLICA_RETENTION_S = 60.0
REBASE_ACK_TIMEOUT_S = 10.0
MAX_STATE_REQUESTS = 64
# Time for which other VMs hold a silent VM under suspicion before one of them takes over.
SUSPICION_S = 1.5
# Without a tick for this long the flow table stops resolving unknown flows: the process was paused,
# and another VM may have taken the shard over.
MAX_TICK_GAP_S = 1.0


def is_handover_active(replica: Replica, now_s: float) -> bool:
    """Return whether the sender is handing the shard over and its handover has not timed out."""
    return replica.role is ShardRole.HANDOVER and now_s - replica.updated_s <= HANDOVER_TIMEOUT_S


class ShardController:
    """Role of this VM for one flow shard, with its replicas and replication streams.

    Parameters
    ----------
    vm : str
        Name of this VM.
    flows : FlowShard
        Flow table of the shard.
    """

    def __init__(self, *, vm: str, flows: FlowShard):
        self.vm = vm
        self.flows = flows
        self.role = Role.IDLE
        self.view = ShardView(owner="", previous_owner="", standbys=(), live_vms=frozenset())
        self._sender = StateSender(flows=flows)
        self.replicas: dict[str, Replica] = {}
        # VM that packets are relayed to while this VM waits for the state of the shard.
        self._interim_server = ""
        # VMs that have not answered a state request yet, and the VM that answered that it still
        # serves the shard.
        self._pending_requests: set[str] = set()
        self._serving_vm = ""
        self._has_requested_more = False
        self._request_deadline_s = 0.0
        self._serving_since_s = 0.0
        self._role_deadline_s = 0.0
        self._wait_deadline_s = 0.0
        self._rebase_deadline_s = 0.0
        self._merges_after_pause = False
        # Acknowledgements of handovers that wait until this VM serves the shard.
        self._deferred_acks: dict[str, Outgoing] = {}

    @property
    def streams(self) -> dict[str, StateStream]:
        """Streams to the standbys, or to the successor, by VM."""
        return self._sender.streams

    @property
    def owns(self) -> bool:
        """Whether this VM serves the shard."""
        return self.role in (Role.OWNER, Role.HANDING_OVER)

    @property
    def is_needed(self) -> bool:
        """Whether this VM is owner or standby, or holds state of the shard."""
        is_assigned = self.vm == self.view.owner or self.vm in self.view.standbys
        return is_assigned or self.role is not Role.IDLE or bool(self.replicas)

    @property
    def server(self) -> str:
        """VM that serves the shard as far as this VM knows."""
        if self.role is Role.IDLE:
            return self.view.owner
        return self._interim_server if self.role is Role.AWAITING_STATE else self.vm

    # Events

    def apply_view(self, view: ShardView, *, now_s: float) -> list[Outgoing]:
        """Apply a new view of the members or of the service's zones."""
        appeared = view.live_vms - self.view.live_vms
        self.view = view
        if view.owner != self.vm:
            self._mark_out_of_sync()
            return self._step_down(now_s)
        if self.role is Role.HANDING_OVER and self._has_usable_replica:
            # The successor has served the shard and replicated its changes here before it failed.
            return self._take_over(now_s)
        if self.owns:
            # Standbys that appeared are asked for their state: after a partition they may hold a
            # replica of the owner on their side. Just after a takeover all are asked that have no
            # stream yet, because all standbys of the outdated view may have failed.
            if now_s - self._serving_since_s < OWNER_WAIT_TIMEOUT_S:
                appeared |= set(view.standbys) - self.streams.keys()
            self._become_owner()
            self._pending_requests = set(view.standbys) & appeared
            self._request_deadline_s = now_s + STATE_REQUEST_TIMEOUT_S
            return []
        if self.role is Role.AWAITING_STATE and self._interim_server in view.live_vms:
            return []
        by_handover = any(
            r.is_usable and is_handover_active(r, now_s) for r in self.replicas.values()
        )
        previous_replica = self.replicas.get(view.previous_owner)
        if by_handover or (
            view.previous_owner not in view.live_vms
            and previous_replica
            and previous_replica.is_in_sync
        ):
            return self._take_over(now_s)
        requested_vms = dict.fromkeys(
            vm for vm in (view.previous_owner, *view.standbys) if vm in view.live_vms
        )
        return self._start_awaiting_state([vm for vm in requested_vms if vm != self.vm], now_s)

    def observe_state(self, *, sender: str, state: ShardState, now_s: float) -> list[Outgoing]:
        """Store or merge the state that another VM sent, and acknowledge it."""
        replica = self.replicas.setdefault(sender, Replica())
        is_duplicate = state.sequence <= replica.sequence
        if not replica.apply_state(state, now_s=now_s):
            return [self._build_ack(sender, 0, missing=True)]
        ack = self._build_ack(sender, replica.sequence, missing=False)
        if self.role is Role.OWNER and not is_duplicate:
            return [self._merge_state(sender, state, ack, now_s)]
        if self.role is Role.AWAITING_STATE and not is_duplicate and not state.remaining:
            return [ack, *self._observe_requested_state(sender, now_s)]
        if self.role is Role.IDLE and state.role == ShardRole.HANDOVER:
            # The sender stops serving at the acknowledgement, so this VM has to serve first.
            self._deferred_acks[sender] = ack
            return []
        return [ack]

    def observe_ack(self, *, sender: str, ack: ShardAck, now_s: float) -> list[Outgoing]:
        """Process an acknowledgement, or a state request from a VM without a stream."""
        stream = self.streams.get(sender)
        if stream is None:
            return self._answer_request(sender, now_s) if ack.missing else []
        if ack.missing and ack.sequence:
            # The receiver serves with another base, so it needs the flows at base targets too.
            stream.all_flows = True
        stream.apply_ack(ack)
        outgoing = self._sender.send_snapshot(stream, now_s) if stream.needs_snapshot else []
        self.finish_handover(now_s=now_s)
        return outgoing

    def observe_restart(self, vm: str) -> None:
        """Schedule a snapshot for a standby that may have lost its replica in a restart."""
        if vm in self.streams:
            self.streams[vm].needs_snapshot = True

    # Timers

    def apply_resume(self, *, paused_s: float, now_s: float) -> list[Outgoing]:
        """Request the state after a pause, in which a standby may have taken the shard over."""
        for replica in self.replicas.values():
            replica.is_in_sync = False
        if self.role is Role.OWNER:
            self._merges_after_pause = paused_s >= SUSPICION_S
            return self._start_awaiting_state(list(self.streams), now_s)
        return self._request_states([self.view.owner]) if self.vm in self.view.standbys else []

    def _mark_out_of_sync(self) -> None:
        """Mark the replicas that their owner may no longer update.

        A VM that is not a standby, or was partitioned from the owner, may hold an outdated base.
        It requests the state from the other standbys before it serves.
        """
        for vm, replica in self.replicas.items():
            if vm not in self.view.live_vms or self.vm not in self.view.standbys:
                replica.is_in_sync = False

    def decide_tick(self, *, now_s: float) -> list[Outgoing]:
        """Return the messages that are due."""
        self.flows.apply_tick(now_s=now_s, valid_s=MAX_TICK_GAP_S)
        self.finish_handover(now_s=now_s)
        if self.role is Role.AWAITING_STATE:
            return self._tick_awaiting_state(now_s)
        if self.role is Role.IDLE:
            self._drop_stale_replicas(now_s)
            return []
        self._tick_rebase(now_s)
        if now_s >= self._request_deadline_s:
            self._pending_requests.clear()
        requests = self._request_states(self._pending_requests)
        is_handing_over = self.role is Role.HANDING_OVER
        return requests + self._sender.send_due_changes(now_s, include_recent=is_handing_over)

    def finish_handover(self, *, now_s: float) -> None:
        """Stop serving once the successor has acknowledged everything, or at the timeout."""
        if self.role is not Role.HANDING_OVER:
            return
        if (
            self._sender.is_settled and not self.flows.has_changes
        ) or now_s >= self._role_deadline_s:
            self.replicas = {vm: r for vm, r in self.replicas.items() if not r.is_partial}
            # Kept in case the successor fails before it has replicated the shard.
            self.replicas[self.vm] = Replica.build_copy(self.flows, now_s=now_s)
            self.role = Role.IDLE
            self._sender.streams = {}
            self.flows.apply_reset()

    # Role transitions

    @property
    def _has_usable_replica(self) -> bool:
        return any(replica.is_usable for replica in self.replicas.values())

    def _step_down(self, now_s: float) -> list[Outgoing]:
        if self.role is Role.AWAITING_STATE and not self.flows.open_count:
            self.role = Role.IDLE
        owner = self.view.owner
        is_in_progress = self.role is Role.HANDING_OVER and owner in self.streams
        if self.role is Role.IDLE or is_in_progress:
            return []
        self.role = Role.HANDING_OVER
        self.flows.awaiting_state = False
        self._role_deadline_s = now_s + HANDOVER_TIMEOUT_S
        self.flows.apply_handover(until_s=self._role_deadline_s, is_successor=False)
        stream = StateStream(vm=owner, role=ShardRole.HANDOVER)
        self._sender.streams = {owner: stream} if owner else {}
        return self._sender.send_snapshot(stream, now_s) if owner else []

    def _become_owner(self) -> None:
        self.role = Role.OWNER
        self.flows.awaiting_state = False
        self._pending_requests.clear()
        kept = {vm: s for vm, s in self.streams.items() if s.role is ShardRole.OWNER}
        self._sender.streams = {vm: kept.get(vm) or StateStream(vm=vm) for vm in self.view.standbys}

    def _take_over(self, now_s: float) -> list[Outgoing]:
        """Start serving from the replicas: the newest base, and the pins of all replicas."""
        self._serving_since_s = now_s
        previous_replica = self.replicas.get(self.view.previous_owner)
        usable = [replica for replica in self.replicas.values() if replica.is_usable]
        usable.sort(
            key=lambda r: (
                is_handover_active(r, now_s),
                r is previous_replica and r.is_in_sync,
                r.role,
                r.updated_s,
            )
        )
        pins = {flow: target for replica in usable for flow, target in replica.pins.items()}
        newest = usable[-1]
        self.flows.apply_state(base=newest.base, pins=pins, counts=newest.counts, now_s=now_s)
        by_handover = is_handover_active(newest, now_s)
        acks = self._send_deferred_acks(newest.base)
        for replica in self.replicas.values():
            replica.drop_merged_pins()
        self._become_owner()
        if by_handover:
            self.flows.apply_handover(until_s=now_s + HANDOVER_TIMEOUT_S, is_successor=True)
            return acks
        # The last changes of a failed owner may have reached only one of the other standbys.
        self._pending_requests, self._request_deadline_s = (
            set(self.view.standbys),
            now_s + STATE_REQUEST_TIMEOUT_S,
        )
        return acks + self._request_states(self._pending_requests)

    def _send_deferred_acks(self, base: tuple[str, ...]) -> list[Outgoing]:
        """Acknowledge handovers; a sender with another base is asked for all of its flows."""
        held, self._deferred_acks = self._deferred_acks, {}
        return [
            self._build_ack(vm, ack.message.sequence, missing=self.replicas[vm].base != base)
            for vm, ack in held.items()
            if vm in self.replicas
        ]

    def _start_awaiting_state(self, requested_vms: Sequence[str], now_s: float) -> list[Outgoing]:
        self.role = Role.AWAITING_STATE
        self.flows.awaiting_state = True
        self._role_deadline_s = now_s + STATE_REQUEST_TIMEOUT_S
        self._wait_deadline_s = now_s + OWNER_WAIT_TIMEOUT_S
        self._interim_server = requested_vms[0] if requested_vms else ""
        self._pending_requests, self._serving_vm = set(requested_vms), ""
        self._has_requested_more = False
        for replica in self.replicas.values():
            replica.role = ShardRole.COPY
        return (
            self._request_states(requested_vms)
            if requested_vms
            else self._end_awaiting_state(now_s)
        )

    def _request_states(self, vms: Iterable[str]) -> list[Outgoing]:
        return [self._build_ack(vm, 0, missing=True) for vm in sorted(vms)]

    def _observe_requested_state(self, sender: str, now_s: float) -> list[Outgoing]:
        replica = self.replicas[sender]
        self._pending_requests.discard(sender)
        if replica.role is ShardRole.HANDOVER:
            return self._end_awaiting_state(now_s)
        if replica.role is ShardRole.OWNER:
            # The sender has the previous view; it starts its handover once it has the new one.
            self._interim_server = self._serving_vm = sender
            self._role_deadline_s = min(self._wait_deadline_s, now_s + STATE_REQUEST_TIMEOUT_S)
        if self._pending_requests or self._serving_vm:
            return []
        return self._request_more_states(now_s) or self._end_awaiting_state(now_s)

    def _request_more_states(self, now_s: float) -> list[Outgoing]:
        """Request the state from all live VMs before the shard is assumed to be new and empty.

        After several failures and joins at once, all standbys of this view may be new while a
        previous standby still holds a replica.
        """
        if self._has_usable_replica or self.flows.base or self._has_requested_more:
            return []
        self._has_requested_more = True
        others = sorted(self.view.live_vms - self.replicas.keys() - {self.vm})
        self._pending_requests = set(others[:MAX_STATE_REQUESTS])
        # These VMs get the time that the first ones had.
        self._role_deadline_s = min(self._wait_deadline_s, now_s + STATE_REQUEST_TIMEOUT_S)
        return self._request_states(self._pending_requests)

    def _tick_awaiting_state(self, now_s: float) -> list[Outgoing]:
        if now_s < self._role_deadline_s:
            is_late = (
                self._pending_requests
                and now_s >= self._role_deadline_s - STATE_REQUEST_TIMEOUT_S / 2
            )
            return (is_late and self._request_more_states(now_s)) or self._request_states(
                self._pending_requests
            )
        if self._serving_vm and now_s < self._wait_deadline_s:
            self._role_deadline_s = now_s + STATE_REQUEST_TIMEOUT_S
            return self._request_states([self._serving_vm])
        return self._end_awaiting_state(now_s)

    def _end_awaiting_state(self, now_s: float) -> list[Outgoing]:
        was_served = any(r.role is not ShardRole.COPY for r in self.replicas.values())
        if self._has_usable_replica and (was_served or not self.flows.base):
            return self._take_over(now_s)
        self._serving_since_s = now_s
        fleet_is_new = not self._pending_requests and not self.flows.base
        self.flows.apply_start(fleet_is_new=fleet_is_new, now_s=now_s)
        if self._merges_after_pause:
            self._merge_replicas(now_s)
        self._become_owner()
        return []

    def _merge_replicas(self, now_s: float) -> None:
        """Merge pins that another owner made during a pause, as reported by the standbys."""
        self._merges_after_pause = False
        for replica in self.replicas.values():
            if replica.is_usable:
                pins = [Pin(flow=flow, target=target) for flow, target in replica.pins.items()]
                self.flows.apply_merge(pins=pins, counts=replica.counts, now_s=now_s)
                replica.drop_merged_pins()

    def _merge_state(self, sender: str, state: ShardState, ack: Outgoing, now_s: float) -> Outgoing:
        """Merge the state that another VM sent for a shard that this VM serves."""
        replica = self.replicas[sender]
        if state.role == ShardRole.COPY and sender not in self._pending_requests:
            return ack
        for flow in state.closed:
            self.flows.apply_close(flow=flow, now_s=now_s)
        if state.base or state.pins or not state.full:
            self.flows.apply_merge(pins=state.pins, counts=replica.counts, now_s=now_s)
        if state.remaining:
            return ack
        self._pending_requests.discard(sender)
        replica.drop_merged_pins()
        differs = bool(replica.base) and replica.base != self.flows.base
        if differs and state.role == ShardRole.HANDOVER:
            if self.flows.is_newer_base(replica.base):
                self.flows.apply_base(replica.base)
                self._sender.schedule_snapshots()
            return self._build_ack(sender, state.sequence, missing=True)
        return ack

    def _tick_rebase(self, now_s: float) -> None:
        if self.role is Role.OWNER and self.flows.needs_rebase(now_s=now_s):
            self.flows.apply_rebase_start()
            self._rebase_deadline_s = now_s + REBASE_ACK_TIMEOUT_S
            self._sender.schedule_snapshots()
            return
        if self.flows.rebasing and (self._sender.is_settled or now_s >= self._rebase_deadline_s):
            self.flows.apply_rebase_end()

    def _drop_stale_replicas(self, now_s: float) -> None:
        keep = self.view.owner if self.vm in self.view.standbys else ""
        stale = [
            vm
            for vm, replica in self.replicas.items()
            if vm != keep and now_s - replica.updated_s >= REPLICA_RETENTION_S
        ]
        for vm in stale:
            del self.replicas[vm]

    # Messages

    def _build_ack(self, vm: str, sequence: int, *, missing: bool) -> Outgoing:
        ack = ShardAck(
            service=self.flows.service,
            shard=self.flows.shard,
            sequence=sequence,
            missing=missing,
        )
        return Outgoing(vm=vm, message=ack)

    def _answer_request(self, vm: str, now_s: float) -> list[Outgoing]:
        """Send a one-off snapshot of what this VM holds; it is empty if that is nothing."""
        if self.owns:
            return self._sender.send_snapshot(StateStream(vm=vm), now_s)
        return self._sender.send_copy(vm, self.replicas.values(), now_s)
