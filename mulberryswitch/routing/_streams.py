"""Replication of a flow shard: the sender's stream to one VM, and the replica kept there."""

from collections.abc import Iterable, Iterator, Sequence
from sys import intern

from mulberryswitch.contracts import Pin, ShardAck, ShardRole, ShardState

from ._shard import FlowShard

__all__ = ["Replica", "StateStream", "split_snapshot"]

# A state message may have 256 KB; the rest is left for the header and msgpack's length prefixes.
MAX_STATE_BYTES = 240 * 1024
HEADER_BYTES = 64
FIELD_BYTES = 6
RETRANSMIT_S = 1.0
MAX_RETRANSMIT_S = 8.0
MAX_UNACKED = 64


def estimate_pin_bytes(pin: Pin) -> int:
    """Return an upper bound of the encoded size of a pin."""
    return len(pin.flow) + len(pin.target) + FIELD_BYTES


def estimate_state_bytes(state: ShardState) -> int:
    """Return an upper bound of the encoded size of a state message."""
    names = sum(len(name) + 2 * FIELD_BYTES for name in state.base)
    closed = sum(len(flow) + FIELD_BYTES for flow in state.closed)
    return HEADER_BYTES + names + closed + sum(map(estimate_pin_bytes, state.pins))


def split_pins(pins: Iterable[Pin]) -> Iterator[tuple[Pin, ...]]:
    """Yield `pins` in parts that fit into one message each; yield one empty part for no pins."""
    part: list[Pin] = []
    size = 0
    for pin in pins:
        size += estimate_pin_bytes(pin)
        if size > MAX_STATE_BYTES:
            yield tuple(part)
            part, size = [], estimate_pin_bytes(pin)
        part.append(pin)
    yield tuple(part)


def split_snapshot(
    *,
    service: str,
    shard: int,
    sequence: int,
    base: tuple[str, ...],
    pins: Sequence[Pin],
    counts: tuple[int, ...],
    role: ShardRole,
) -> list[ShardState]:
    """Return a snapshot as messages of at most 256 KB; `remaining` counts down to 0."""
    parts = list(split_pins(pins))
    last = len(parts) - 1
    return [
        ShardState(
            service=service,
            shard=shard,
            sequence=sequence + number,
            full=number == 0,
            base=base,
            pins=part,
            closed=(),
            counts=counts,
            remaining=last - number,
            role=role,
        )
        for number, part in enumerate(parts)
    ]


class StateStream:
    """Sender's side: sequenced messages to one VM, retransmitted until acknowledged.

    Parameters
    ----------
    vm : str
        Receiver.
    role : ShardRole
        Role of the sender, which the messages carry.
    """

    def __init__(self, *, vm: str, role: ShardRole = ShardRole.OWNER):
        self.vm = vm
        self.role = role
        self.needs_snapshot = True
        self.all_flows = False
        self.unacked: list[ShardState] = []
        self.sequence = 0
        self._sent_s = 0.0
        self._retransmit_s = RETRANSMIT_S
        self._max_unacked = MAX_UNACKED

    @property
    def is_settled(self) -> bool:
        """Whether the receiver has acknowledged every message and needs no snapshot."""
        return not self.unacked and not self.needs_snapshot

    def restart(
        self,
        *,
        service: str,
        shard: int,
        base: tuple[str, ...],
        pins: Sequence[Pin],
        counts: tuple[int, ...],
        after: int,
        now_s: float,
    ) -> list[ShardState]:
        """Restart the stream with a snapshot, numbered from above `after`."""
        # Sequence numbers derived from the clock keep rising across restarts of the owner.
        sequence = max(after, self.sequence, int(now_s * 1000)) + 1
        states = split_snapshot(
            service=service,
            shard=shard,
            sequence=sequence,
            base=base,
            pins=pins,
            counts=counts,
            role=self.role,
        )
        self.sequence = states[-1].sequence
        self.needs_snapshot = False
        self.unacked = list(states)
        self._max_unacked = MAX_UNACKED + len(states)
        self._sent_s, self._retransmit_s = now_s, RETRANSMIT_S
        return states

    def append_changes(
        self,
        *,
        service: str,
        shard: int,
        pins: Sequence[Pin],
        closed: tuple[bytes, ...],
        counts: tuple[int, ...],
        now_s: float,
    ) -> list[ShardState]:
        """Append changes to the stream and return their messages.

        Nothing is returned while a snapshot is due, which includes the changes.
        """
        if self.needs_snapshot:
            return []
        states = []
        for part in split_pins(pins):
            self.sequence += 1
            state = ShardState(
                service=service,
                shard=shard,
                sequence=self.sequence,
                full=False,
                base=(),
                pins=part,
                closed=closed if not states else (),
                counts=counts,
                role=self.role,
            )
            states.append(state)
        if not self.unacked:
            self._sent_s, self._retransmit_s = now_s, RETRANSMIT_S
        self.unacked += states
        if len(self.unacked) > self._max_unacked:
            self.unacked, self.needs_snapshot = [], True
            return []
        return states

    def apply_ack(self, ack: ShardAck) -> None:
        """Drop acknowledged messages; schedule a snapshot if the receiver misses any."""
        if ack.missing:
            self.unacked, self.needs_snapshot = [], True
            return
        self.unacked = [state for state in self.unacked if state.sequence > ack.sequence]
        self._retransmit_s = RETRANSMIT_S

    def take_retransmissions(self, *, now_s: float) -> list[ShardState]:
        """Return the unacknowledged messages when they are due, with exponential backoff."""
        if not self.unacked or now_s - self._sent_s < self._retransmit_s:
            return []
        self._sent_s = now_s
        self._retransmit_s = min(MAX_RETRANSMIT_S, 2 * self._retransmit_s)
        return list(self.unacked)


class Replica:
    """Receiver's side: the state of one shard as one VM has sent it."""

    def __init__(self):
        self.sequence = 0
        self.role = ShardRole.COPY
        self.base: tuple[str, ...] = ()
        self.pins: dict[bytes, str] = {}
        self.counts: dict[str, int] = {}
        self.updated_s = 0.0
        # Pins are missing, so a VM cannot take the shard over from this replica.
        self.is_partial = False
        # The owner is known to replicate all of its changes to this VM.
        self.is_in_sync = False
        self._staged: Replica | None = None

    @property
    def is_usable(self) -> bool:
        """Whether a VM can take the shard over from this replica."""
        return bool(self.base) and not self.is_partial

    @classmethod
    def build_copy(cls, flows: FlowShard, *, now_s: float) -> "Replica":
        """Return a replica of a flow table that this VM stops serving."""
        replica = cls()
        replica.base, replica.pins = flows.base, dict(flows.exceptions)
        replica.counts, replica.updated_s = flows.count_by_target(), now_s
        return replica

    def apply_state(self, state: ShardState, *, now_s: float) -> bool:
        """Apply a message; return False if an earlier one is missing.

        The parts of a snapshot take effect together, so that the previous state stays usable if
        the owner fails between two parts.
        """
        if state.sequence <= self.sequence:
            return True
        if not state.full and state.sequence != self.sequence + 1:
            return False
        self.sequence = state.sequence
        self.updated_s = now_s
        if state.full:
            self._staged = Replica()
            self._staged.base = tuple(map(intern, state.base))
        destination = self._staged or self
        for flow in state.closed:
            destination.pins.pop(flow, None)
        destination.pins.update((pin.flow, intern(pin.target)) for pin in state.pins)
        destination.counts = dict(zip(destination.base, state.counts, strict=False))
        destination.role = ShardRole(state.role)
        if self._staged and not state.remaining:
            self.base, self.pins = self._staged.base, self._staged.pins
            self.counts, self.role = self._staged.counts, self._staged.role
            self._staged, self.is_partial, self.is_in_sync = None, False, True
        return True

    def drop_merged_pins(self) -> None:
        """Drop the pins, which the flow table holds now; later changes still apply in sequence."""
        self.role = ShardRole.COPY
        self.pins, self.is_partial, self.is_in_sync = {}, True, False
