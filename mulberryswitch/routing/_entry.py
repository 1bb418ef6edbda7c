"""One VM's part in one flow shard: standby, owner, or owner in transition."""

from collections.abc import Iterable, Sequence

from mulberryswitch.contracts import Pin, ShardAck, ShardRole, ShardState

from ._roles import Outgoing, Role, ShardView
from ._shard import FlowShard
from ._streams import Replica, StateStream

__all__ = ["Outgoing", "Role", "ShardEntry", "ShardView"]

STATE_WAIT_S = 1.0
# Longer than a membership change takes to reach every VM.
OWNER_WAIT_S = 5.0
HANDOVER_S = 3.0
REPLICA_KEEP_S = 60.0
REBASE_ACK_S = 10.0
MAX_ASKED = 64
# A VM that takes over exceeds a connection limit by at most the flows opened in this time.
COUNTS_S = 1.0
# Other VMs suspect a silent VM for this long before one of them takes over.
TAKEOVER_S = 1.5
# The flow table resolves no unknown flow when the last tick is older than this: the process was
# paused, and another VM may have taken the shard over.
TICK_VALID_S = 1.0


def is_handed(replica: Replica, now_s: float) -> bool:
    """Return whether the sender still hands the shard over; it gives up after a few seconds."""
    return replica.role is ShardRole.HANDOVER and now_s - replica.updated_s <= HANDOVER_S


class ShardEntry:
    """State and role of this VM for one flow shard.

    Parameters
    ----------
    vm : str
        This VM.
    flows : FlowShard
        Flow table of the shard.
    """

    def __init__(self, *, vm: str, flows: FlowShard):
        self.vm = vm
        self.flows = flows
        self.role = Role.IDLE
        self.view = ShardView(owner="", former="", standbys=(), live=frozenset())
        self.streams: dict[str, StateStream] = {}
        self.replicas: dict[str, Replica] = {}
        self._previous = ""
        # VMs that were asked for their state and have not answered, and one that answered that it
        # serves the shard.
        self._asked: set[str] = set()
        self._serving = ""
        self._asked_others = False
        self._ask_until_s = 0.0
        self._taken_s = 0.0
        # Highest number of any stream: a new stream to the same VM must not seem a repetition.
        self._sequence = 0
        self._sent_counts: tuple[int, ...] = ()
        self._counted_s = 0.0
        self._until_s = 0.0
        self._give_up_s = 0.0
        self._rebase_until_s = 0.0
        self._merges_copies = False
        self._held_acks: dict[str, Outgoing] = {}

    @property
    def owns(self) -> bool:
        """Whether this VM serves the shard."""
        return self.role in (Role.OWNER, Role.HANDING_OVER)

    @property
    def is_needed(self) -> bool:
        """Whether the entry holds anything or is about to."""
        named = self.vm == self.view.owner or self.vm in self.view.standbys
        return named or self.role is not Role.IDLE or bool(self.replicas)

    @property
    def server(self) -> str:
        """The VM that serves the shard as far as this VM knows."""
        if self.role is Role.IDLE:
            return self.view.owner
        return self._previous if self.role is Role.WAITING else self.vm

    # Evidence

    def apply_view(self, view: ShardView, *, now_s: float) -> list[Outgoing]:
        """Take over a new view of the members or of the service's zones."""
        appeared = view.live - self.view.live
        self.view = view
        if view.owner != self.vm:
            self._expire_copies()
            return self._apply_not_owner(now_s)
        if self.role is Role.HANDING_OVER and self._has_copy:
            # The successor sent its own changes here before it was lost.
            return self._take_over(now_s)
        if self.owns:
            # A VM that was cut off may hold a copy from an owner on its side, and just after the
            # takeover all standbys of an outdated view may have been dead.
            if now_s - self._taken_s < OWNER_WAIT_S:
                appeared |= set(view.standbys) - self.streams.keys()
            self._set_owner()
            self._asked = set(view.standbys) & appeared
            self._ask_until_s = now_s + STATE_WAIT_S
            return []
        if self.role is Role.WAITING and self._previous in view.live:
            return []
        handed = any(r.usable and is_handed(r, now_s) for r in self.replicas.values())
        former = self.replicas.get(view.former)
        if handed or (view.former not in view.live and former and former.current):
            return self._take_over(now_s)
        asked = dict.fromkeys(vm for vm in (view.former, *view.standbys) if vm in view.live)
        return self._start_waiting([vm for vm in asked if vm != self.vm], now_s)

    def observe_state(self, *, sender: str, state: ShardState, now_s: float) -> list[Outgoing]:
        """Store or merge the state that another VM sent, and acknowledge it."""
        replica = self.replicas.setdefault(sender, Replica())
        repeated = state.sequence <= replica.sequence
        if not replica.apply_state(state, now_s=now_s):
            return [self._build_ack(sender, 0, missing=True)]
        ack = self._build_ack(sender, replica.sequence, missing=False)
        if self.role is Role.OWNER and not repeated:
            return [self._merge(sender, state, ack, now_s)]
        if self.role is Role.WAITING and not repeated and not state.remaining:
            return [ack, *self._observe_answer(sender, now_s)]
        if self.role is Role.IDLE and state.role == ShardRole.HANDOVER:
            # The sender stops serving at the acknowledgement, so this VM must serve first.
            self._held_acks[sender] = ack
            return []
        return [ack]

    def observe_ack(self, *, sender: str, ack: ShardAck, now_s: float) -> list[Outgoing]:
        """Take in what another VM holds; a VM without a stream here asks for a state."""
        stream = self.streams.get(sender)
        if stream is None:
            return self._answer_ask(sender, now_s) if ack.missing else []
        if ack.missing and ack.sequence:
            # The owner's base differs, so it needs the flows at base picks as well.
            stream.everything = True
        stream.apply_ack(ack)
        outgoing = self._send_full(stream, now_s) if stream.needs_full else []
        self.finish_handover(now_s=now_s)
        return outgoing

    def observe_restart(self, vm: str) -> None:
        """Send a full state to a standby that may have lost its copy."""
        if vm in self.streams:
            self.streams[vm].needs_full = True

    # Time

    def apply_resume(self, *, paused_s: float, now_s: float) -> list[Outgoing]:
        """Ask for the state after a pause: a standby may have taken the shard over."""
        for replica in self.replicas.values():
            replica.current = False
        if self.role is Role.OWNER:
            self._merges_copies = paused_s >= TAKEOVER_S
            return self._start_waiting(list(self.streams), now_s)
        return self._ask([self.view.owner]) if self.vm in self.view.standbys else []

    def _expire_copies(self) -> None:
        """Mark the copies that their owner may have stopped to update.

        A VM that is no standby, or was cut off from the owner, may hold an old base; it asks the
        other standbys before it serves.
        """
        for vm, replica in self.replicas.items():
            if vm not in self.view.live or self.vm not in self.view.standbys:
                replica.current = False

    def decide_tick(self, *, now_s: float) -> list[Outgoing]:
        """Return the messages that are due."""
        self.flows.apply_tick(now_s=now_s, valid_s=TICK_VALID_S)
        self.finish_handover(now_s=now_s)
        if self.role is Role.WAITING:
            return self._tick_waiting(now_s)
        if self.role is Role.IDLE:
            self._drop_stale(now_s)
            return []
        self._tick_rebase(now_s)
        if now_s >= self._ask_until_s:
            self._asked.clear()
        return self._ask(self._asked) + self._send_due(now_s)

    def finish_handover(self, *, now_s: float) -> None:
        """Stop serving once the successor holds everything or the time for it has passed."""
        if self.role is not Role.HANDING_OVER:
            return
        settled = all(stream.settled for stream in self.streams.values())
        if (settled and not self.flows.has_changes) or now_s >= self._until_s:
            self.replicas = {vm: r for vm, r in self.replicas.items() if not r.partial}
            # The copy answers for the shard if the successor dies before it has replicated.
            self.replicas[self.vm] = Replica.build_copy(self.flows, now_s=now_s)
            self.role = Role.IDLE
            self.streams = {}
            self.flows.apply_reset()

    # Roles

    @property
    def _has_copy(self) -> bool:
        return any(replica.usable for replica in self.replicas.values())

    def _apply_not_owner(self, now_s: float) -> list[Outgoing]:
        if self.role is Role.WAITING and not self.flows.open_count:
            self.role = Role.IDLE
        owner = self.view.owner
        ongoing = self.role is Role.HANDING_OVER and owner in self.streams
        if self.role is Role.IDLE or ongoing:
            return []
        self.role = Role.HANDING_OVER
        self.flows.awaiting_state = False
        self._until_s = now_s + HANDOVER_S
        stream = StateStream(vm=owner, role=ShardRole.HANDOVER)
        self.streams = {owner: stream} if owner else {}
        return self._send_full(stream, now_s) if owner else []

    def _set_owner(self) -> None:
        self.role = Role.OWNER
        self.flows.awaiting_state = False
        self._asked.clear()
        kept = {vm: s for vm, s in self.streams.items() if s.role is ShardRole.OWNER}
        self.streams = {vm: kept.get(vm) or StateStream(vm=vm) for vm in self.view.standbys}

    def _take_over(self, now_s: float) -> list[Outgoing]:
        """Serve from the copies held; the newest base counts, and the pins of all copies."""
        self._taken_s = now_s
        former = self.replicas.get(self.view.former)
        ready = [replica for replica in self.replicas.values() if replica.usable]
        ready.sort(
            key=lambda r: (is_handed(r, now_s), r is former and r.current, r.role, r.updated_s)
        )
        pins = {flow: target for replica in ready for flow, target in replica.pins.items()}
        newest = ready[-1]
        self.flows.apply_state(base=newest.base, pins=pins, counts=newest.counts, now_s=now_s)
        handed = is_handed(newest, now_s)
        acks = self._release_acks(newest.base)
        for replica in self.replicas.values():
            replica.apply_merged()
        self._set_owner()
        if handed:
            return acks
        # The last changes of an owner that died may have reached another standby only.
        self._asked, self._ask_until_s = set(self.view.standbys), now_s + STATE_WAIT_S
        return acks + self._ask(self._asked)

    def _release_acks(self, base: tuple[str, ...]) -> list[Outgoing]:
        """Acknowledge handovers; a sender with another base has to name all of its flows."""
        held, self._held_acks = self._held_acks, {}
        return [
            self._build_ack(vm, ack.message.sequence, missing=self.replicas[vm].base != base)
            for vm, ack in held.items()
            if vm in self.replicas
        ]

    def _start_waiting(self, asked: Sequence[str], now_s: float) -> list[Outgoing]:
        self.role = Role.WAITING
        self.flows.awaiting_state = True
        self._until_s = now_s + STATE_WAIT_S
        self._give_up_s = now_s + OWNER_WAIT_S
        self._previous = asked[0] if asked else ""
        self._asked, self._serving = set(asked), ""
        self._asked_others = False
        for replica in self.replicas.values():
            replica.role = ShardRole.COPY
        return self._ask(asked) if asked else self._end_waiting(now_s)

    def _ask(self, vms: Iterable[str]) -> list[Outgoing]:
        return [self._build_ack(vm, 0, missing=True) for vm in sorted(vms)]

    def _observe_answer(self, sender: str, now_s: float) -> list[Outgoing]:
        replica = self.replicas[sender]
        self._asked.discard(sender)
        if replica.role is ShardRole.HANDOVER:
            return self._end_waiting(now_s)
        if replica.role is ShardRole.OWNER:
            # The sender does not know yet that this VM is the owner; it hands over when it does.
            self._previous = self._serving = sender
            self._until_s = min(self._give_up_s, now_s + STATE_WAIT_S)
        if self._asked or self._serving:
            return []
        return self._ask_others(now_s) or self._end_waiting(now_s)

    def _ask_others(self, now_s: float) -> list[Outgoing]:
        """Ask VMs beyond the standbys before an empty shard is taken for a new one.

        After several deaths and joins at once, the standbys of this view may all be new while a
        former standby still holds a copy.
        """
        if self._has_copy or self.flows.base or self._asked_others:
            return []
        self._asked_others = True
        others = sorted(self.view.live - self.replicas.keys() - {self.vm})
        self._asked = set(others[:MAX_ASKED])
        return self._ask(self._asked)

    def _tick_waiting(self, now_s: float) -> list[Outgoing]:
        if now_s < self._until_s:
            late = self._asked and now_s >= self._until_s - STATE_WAIT_S / 2
            return (late and self._ask_others(now_s)) or self._ask(self._asked)
        if self._serving and now_s < self._give_up_s:
            self._until_s = now_s + STATE_WAIT_S
            return self._ask([self._serving])
        return self._end_waiting(now_s)

    def _end_waiting(self, now_s: float) -> list[Outgoing]:
        served = any(r.role is not ShardRole.COPY for r in self.replicas.values())
        if self._has_copy and (served or not self.flows.base):
            return self._take_over(now_s)
        self._taken_s = now_s
        fleet_is_new = not self._asked and not self.flows.base
        self.flows.apply_start(fleet_is_new=fleet_is_new, now_s=now_s)
        if self._merges_copies:
            self._merge_copies(now_s)
        self._set_owner()
        return []

    def _merge_copies(self, now_s: float) -> None:
        """Add the pins that an owner made during a pause and that only its standbys report."""
        self._merges_copies = False
        for replica in self.replicas.values():
            if replica.usable:
                pins = [Pin(flow=flow, target=target) for flow, target in replica.pins.items()]
                self.flows.apply_merge(pins=pins, counts=replica.counts, now_s=now_s)
                replica.apply_merged()

    def _merge(self, sender: str, state: ShardState, ack: Outgoing, now_s: float) -> Outgoing:
        """Merge what another VM knows of a shard that this VM serves."""
        replica = self.replicas[sender]
        if state.role == ShardRole.COPY and sender not in self._asked:
            return ack
        for flow in state.closed:
            self.flows.apply_close(flow=flow, now_s=now_s)
        if state.base or state.pins or not state.full:
            self.flows.apply_merge(pins=state.pins, counts=replica.counts, now_s=now_s)
        if state.remaining:
            return ack
        self._asked.discard(sender)
        replica.apply_merged()
        differs = bool(replica.base) and replica.base != self.flows.base
        if differs and state.role == ShardRole.HANDOVER:
            return self._build_ack(sender, state.sequence, missing=True)
        return ack

    def _tick_rebase(self, now_s: float) -> None:
        if self.role is Role.OWNER and self.flows.needs_rebase(now_s=now_s):
            self.flows.apply_rebase_start()
            self._rebase_until_s = now_s + REBASE_ACK_S
            for stream in self.streams.values():
                stream.needs_full = True
            return
        settled = all(stream.settled for stream in self.streams.values())
        if self.flows.rebasing and (settled or now_s >= self._rebase_until_s):
            self.flows.apply_rebase_end()

    def _drop_stale(self, now_s: float) -> None:
        keep = self.view.owner if self.vm in self.view.standbys else ""
        stale = [
            vm
            for vm, replica in self.replicas.items()
            if vm != keep and now_s - replica.updated_s >= REPLICA_KEEP_S
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

    def _answer_ask(self, vm: str, now_s: float) -> list[Outgoing]:
        """Send what this VM holds once; an empty state says that it holds nothing."""
        if self.owns:
            return self._send_full(StateStream(vm=vm), now_s)
        ready = sorted(
            (replica for replica in self.replicas.values() if replica.usable),
            key=lambda replica: replica.updated_s,
        )
        # The asking VM's own stream may be the newest, so the pins of all copies are sent.
        pins = {flow: target for copy in ready for flow, target in copy.pins.items()}
        replica = ready[-1] if ready else Replica()
        stream = StateStream(vm=vm, role=ShardRole.COPY)
        states = stream.apply_full(
            service=self.flows.service,
            shard=self.flows.shard,
            base=replica.base,
            pins=[Pin(flow=flow, target=target) for flow, target in pins.items()],
            counts=tuple(replica.counts.get(name, 0) for name in replica.base),
            after=self._sequence,
            now_s=now_s,
        )
        self._sequence = max(self._sequence, stream.sequence)
        return [Outgoing(vm=vm, message=state) for state in states]

    def _send_full(self, stream: StateStream, now_s: float) -> list[Outgoing]:
        flows = self.flows
        base = () if stream.everything else flows.replicated_base
        states = stream.apply_full(
            service=flows.service,
            shard=flows.shard,
            base=base,
            pins=flows.list_pins(everything=stream.everything),
            counts=tuple(map(flows.count_at, base)),
            after=self._sequence,
            now_s=now_s,
        )
        self._sequence = max(self._sequence, stream.sequence)
        return [Outgoing(vm=stream.vm, message=state) for state in states]

    def _send_due(self, now_s: float) -> list[Outgoing]:
        young = self.role is Role.HANDING_OVER
        pins, closed = self.flows.take_changes(now_s=now_s, young=young)
        counts = tuple(map(self.flows.count_at, self.flows.replicated_base))
        counts_due = now_s - self._counted_s >= COUNTS_S and counts != self._sent_counts
        due = bool(pins or closed or counts_due)
        if due:
            self._sent_counts, self._counted_s = counts, now_s
        outgoing: list[Outgoing] = []
        for stream in self.streams.values():
            if stream.needs_full:
                outgoing += self._send_full(stream, now_s)
                continue
            states = stream.take_resends(now_s=now_s)
            if due:
                states += stream.apply_changes(
                    service=self.flows.service,
                    shard=self.flows.shard,
                    pins=pins,
                    closed=closed,
                    counts=counts,
                    now_s=now_s,
                )
                self._sequence = max(self._sequence, stream.sequence)
            outgoing += [Outgoing(vm=stream.vm, message=state) for state in states]
        return outgoing
