"""Sequenced stream of shard state from an owner to one VM, and the copy that VM keeps."""

from collections.abc import Iterable, Iterator, Sequence
from sys import intern

from mulberryswitch.contracts import Pin, ShardAck, ShardRole, ShardState

from ._shard import FlowShard

__all__ = ["Replica", "StateStream", "split_state"]

# Below the 256 KB that a state message may have, with room for the header and msgpack's lengths.
MAX_STATE_BYTES = 240 * 1024
HEADER_BYTES = 64
FIELD_BYTES = 6
RESEND_S = 1.0
MAX_RESEND_S = 8.0
MAX_UNACKED = 64


def estimate_pin_bytes(pin: Pin) -> int:
    """Return an upper estimate of the encoded size of a pin."""
    return len(pin.flow) + len(pin.target) + FIELD_BYTES


def estimate_bytes(state: ShardState) -> int:
    """Return an upper estimate of the encoded size of a message."""
    names = sum(len(name) + 2 * FIELD_BYTES for name in state.base)
    closed = sum(len(flow) + FIELD_BYTES for flow in state.closed)
    return HEADER_BYTES + names + closed + sum(map(estimate_pin_bytes, state.pins))


def split_pins(pins: Iterable[Pin]) -> Iterator[tuple[Pin, ...]]:
    """Yield `pins` in parts that fit one message; one empty part for no pins."""
    part: list[Pin] = []
    size = 0
    for pin in pins:
        size += estimate_pin_bytes(pin)
        if size > MAX_STATE_BYTES:
            yield tuple(part)
            part, size = [], estimate_pin_bytes(pin)
        part.append(pin)
    yield tuple(part)


def split_state(
    *,
    service: str,
    shard: int,
    sequence: int,
    base: tuple[str, ...],
    pins: Sequence[Pin],
    counts: tuple[int, ...],
    role: ShardRole,
) -> list[ShardState]:
    """Return a full state as messages of at most 256 KB; `remaining` counts down to 0."""
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
    """Owner's side: what one VM has been sent and has not acknowledged.

    Parameters
    ----------
    vm : str
        Receiver.
    role : ShardRole
        What the sender does for the shard.
    """

    def __init__(self, *, vm: str, role: ShardRole = ShardRole.OWNER):
        self.vm = vm
        self.role = role
        self.needs_full = True
        self.everything = False
        self.unacked: list[ShardState] = []
        self.sequence = 0
        self._sent_s = 0.0
        self._wait_s = RESEND_S
        self._max_unacked = MAX_UNACKED

    @property
    def settled(self) -> bool:
        """Whether the receiver has acknowledged all that was sent."""
        return not self.unacked and not self.needs_full

    def apply_full(
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
        """Restart the stream with a full state, numbered from above `after`."""
        # Numbers from the clock keep rising when the owner restarts.
        sequence = max(after, self.sequence, int(now_s * 1000)) + 1
        states = split_state(
            service=service,
            shard=shard,
            sequence=sequence,
            base=base,
            pins=pins,
            counts=counts,
            role=self.role,
        )
        self.sequence = states[-1].sequence
        self.needs_full = False
        self.unacked = list(states)
        self._max_unacked = MAX_UNACKED + len(states)
        self._sent_s, self._wait_s = now_s, RESEND_S
        return states

    def apply_changes(
        self,
        *,
        service: str,
        shard: int,
        pins: Sequence[Pin],
        closed: tuple[bytes, ...],
        counts: tuple[int, ...],
        now_s: float,
    ) -> list[ShardState]:
        """Append changes to the stream and return their messages."""
        if self.needs_full:
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
            self._sent_s, self._wait_s = now_s, RESEND_S
        self.unacked += states
        if len(self.unacked) > self._max_unacked:
            self.unacked, self.needs_full = [], True
            return []
        return states

    def apply_ack(self, ack: ShardAck) -> None:
        """Drop what the receiver holds; schedule a full state if it misses some."""
        if ack.missing:
            self.unacked, self.needs_full = [], True
            return
        self.unacked = [state for state in self.unacked if state.sequence > ack.sequence]
        self._wait_s = RESEND_S

    def take_resends(self, *, now_s: float) -> list[ShardState]:
        """Return the unacknowledged messages when they are due again; the interval doubles."""
        if not self.unacked or now_s - self._sent_s < self._wait_s:
            return []
        self._sent_s = now_s
        self._wait_s = min(MAX_RESEND_S, 2 * self._wait_s)
        return list(self.unacked)


class Replica:
    """Receiver's side: the state of one shard as one VM sent it."""

    def __init__(self):
        self.sequence = 0
        self.role = ShardRole.COPY
        self.base: tuple[str, ...] = ()
        self.pins: dict[bytes, str] = {}
        self.counts: dict[str, int] = {}
        self.updated_s = 0.0
        # Pins are missing here, so the replica is no copy that a VM could take over from.
        self.partial = False
        # The owner is known to send all of its changes to this VM.
        self.current = False
        self._staged: Replica | None = None

    @property
    def usable(self) -> bool:
        """Whether a VM could take over from it."""
        return bool(self.base) and not self.partial

    @classmethod
    def build_copy(cls, flows: FlowShard, *, now_s: float) -> "Replica":
        """Return the state of a shard that this VM no longer serves."""
        replica = cls()
        replica.base, replica.pins = flows.base, dict(flows.exceptions)
        replica.counts, replica.updated_s = flows.count_by_target(), now_s
        return replica

    def apply_state(self, state: ShardState, *, now_s: float) -> bool:
        """Apply a message; return False if an earlier one is missing.

        The parts of a split full state take effect together, so that an owner that dies while it
        sends them leaves the previous state usable.
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
        view = self._staged or self
        for flow in state.closed:
            view.pins.pop(flow, None)
        view.pins.update((pin.flow, intern(pin.target)) for pin in state.pins)
        view.counts = dict(zip(view.base, state.counts, strict=False))
        view.role = ShardRole(state.role)
        if self._staged and not state.remaining:
            self.base, self.pins = self._staged.base, self._staged.pins
            self.counts, self.role = self._staged.counts, self._staged.role
            self._staged, self.partial, self.current = None, False, True
        return True

    def apply_merged(self) -> None:
        """Drop the pins, which the flow table holds now; later changes still apply in order."""
        self.role = ShardRole.COPY
        self.pins, self.partial, self.current = {}, True, False
