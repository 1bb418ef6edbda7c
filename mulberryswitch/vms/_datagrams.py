"""Construction of membership datagrams: pings, acknowledgements and piggybacked updates."""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from mulberryswitch.contracts import Ack, MemberState, MemberUpdate, Ping, PingRequest

from ._view import DEAD_RETENTION_S, MembershipView, build_update

__all__ = ["INDIRECT_PING_COUNT", "SEED_NAME_PREFIX", "DatagramBuilder", "OutgoingDatagram"]

MAX_DATAGRAM_BYTES = 1400
# Encoded size of a message without its updates: msgpack array header, tag, sequence, two string
# headers and the header of the updates array.
MESSAGE_OVERHEAD_BYTES = 1 + 1 + 9 + 2 * 3 + 3
INDIRECT_PING_COUNT = 3
MAX_RECENT_CHANGES = 32
SEED_NAME_PREFIX = "@"


@dataclass(frozen=True, kw_only=True, slots=True)
class OutgoingDatagram:
    """A datagram to send to `address`; the caller encodes `message` with ``MEMBERSHIP_CODEC``."""

    address: str
    message: Ping | PingRequest | Ack


class DatagramBuilder:
    """Builds the datagrams of one VM and tracks the pings that await an acknowledgement.

    Parameters
    ----------
    vm : str
        Name of this VM.
    view : MembershipView
        Source of the addresses and updates.
    """

    def __init__(self, *, vm: str, view: MembershipView):
        self.vm = vm
        self.view = view
        self._sequence = 0
        self._sent_s_by_sequence: dict[int, float] = {}

    def pop_sent_time(self, sequence: int) -> float | None:
        """Stop tracking a ping and return when it was sent; None if it is not tracked."""
        return self._sent_s_by_sequence.pop(sequence, None)

    def discard_pings_before(self, oldest_s: float) -> None:
        """Stop tracking pings that were sent before `oldest_s`."""
        self._sent_s_by_sequence = {
            sequence: sent_s
            for sequence, sent_s in self._sent_s_by_sequence.items()
            if sent_s >= oldest_s
        }

    def build_ping(self, vm: str, now_s: float, extra_vms: Iterable[str] = ()) -> OutgoingDatagram:
        """Return a ping to `vm`.

        The records of the VMs in `extra_vms` are included for receivers that missed an update.
        """
        records = self.view.records
        priority_updates = self.build_updates_to_refute(vm, None)
        priority_updates += [
            build_update(records[name].member)
            for name in extra_vms
            if name in records and not records[name].is_listed_only
        ]
        address = self.view.find(vm).member.address
        return self._build_ping_to(vm, address, priority_updates, now_s)

    def build_address_ping(self, name: str, address: str, now_s: float) -> OutgoingDatagram:
        """Return a ping to a VM that may not be a member; a seed has an address but no VM name."""
        vm = "" if name.startswith(SEED_NAME_PREFIX) else name
        return self._build_ping_to(vm, address, self.build_updates_to_refute(vm, None), now_s)

    def _build_ping_to(
        self, vm: str, address: str, priority_updates: list[MemberUpdate], now_s: float
    ) -> OutgoingDatagram:
        ping = Ping(
            sequence=self._track_ping(now_s),
            sender=self.vm,
            about=vm,
            updates=self.build_updates(priority_updates, vm),
        )
        return OutgoingDatagram(address=address, message=ping)

    def build_indirect_pings(self, vm: str, now_s: float, rng: Random) -> list[OutgoingDatagram]:
        """Return requests to a random sample of the other VMs to ping `vm`."""
        suspects = self.view.suspects
        candidates = [name for name in self.view.records if name != vm and name not in suspects]
        relays = rng.sample(candidates, min(INDIRECT_PING_COUNT, len(candidates)))
        return [
            OutgoingDatagram(
                address=self.view.records[relay].member.address,
                message=PingRequest(
                    sequence=self._track_ping(now_s),
                    sender=self.vm,
                    about=vm,
                    updates=self.build_updates(self.build_updates_to_refute(vm, None), vm),
                ),
            )
            for relay in relays
        ]

    def _track_ping(self, now_s: float) -> int:
        """Return the sequence number of a new ping and record that it is sent now."""
        self._sequence += 1
        self._sent_s_by_sequence[self._sequence] = now_s
        return self._sequence

    def build_updates(
        self, priority_updates: list[MemberUpdate], about: str
    ) -> tuple[MemberUpdate, ...]:
        """Return the updates of a datagram: this VM's own, `priority_updates`, then queued ones."""
        header_bytes = MESSAGE_OVERHEAD_BYTES + len(self.vm.encode()) + len(about.encode())
        return self.view.update_queue.take_updates(
            priority_updates=[build_update(self.view.own_member), *priority_updates],
            available_bytes=MAX_DATAGRAM_BYTES - header_bytes,
            member_count=len(self.view.records) + 1,
        )

    def build_updates_to_refute(
        self, vm: str, self_update: MemberUpdate | None
    ) -> list[MemberUpdate]:
        """Return the update about `vm` that it needs in order to refute it, if any."""
        record = self.view.find(vm)
        if record is None:
            return []
        member = record.member
        is_refutable = member.state in (MemberState.SUSPECT, MemberState.DEAD)
        is_newer = self_update is not None and member.incarnation > self_update.incarnation
        return [build_update(member)] if is_refutable or is_newer else []

    def build_recent_changes(self, now_s: float) -> list[MemberUpdate]:
        """Return recent updates for a VM that joined or resumed, newest first."""
        records = [*self.view.records.values(), *self.view.dead.values()]
        recent = [record for record in records if now_s - record.changed_s <= DEAD_RETENTION_S]
        newest = heapq.nlargest(MAX_RECENT_CHANGES, recent, key=lambda record: record.changed_s)
        return [build_update(record.member) for record in newest]
