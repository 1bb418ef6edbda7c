"""Datagrams of the membership: pings, acknowledgements and the updates that ride on them."""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from mulberryswitch.contracts import Ack, MemberState, MemberUpdate, Ping, PingRequest

from ._view import FORGET_DEAD_S, View, build_update

__all__ = ["INDIRECT_PINGS", "SEED_PREFIX", "DatagramBuilder", "OutgoingDatagram"]

MAX_DATAGRAM_BYTES = 1400
# msgpack of a message without its updates: array, tag, sequence, two text headers, array header.
MESSAGE_OVERHEAD_BYTES = 1 + 1 + 9 + 2 * 3 + 3
INDIRECT_PINGS = 3
MAX_RECENT_CHANGES = 32
SEED_PREFIX = "@"


@dataclass(frozen=True, kw_only=True, slots=True)
class OutgoingDatagram:
    """A datagram to send; `message` is encoded with ``MEMBERSHIP_CODEC``."""

    address: str
    message: Ping | PingRequest | Ack


class DatagramBuilder:
    """Builds the datagrams of one VM and knows which of them wait for an acknowledgement.

    Parameters
    ----------
    vm : str
        This VM.
    view : View
    """

    def __init__(self, *, vm: str, view: View):
        self.vm = vm
        self.view = view
        self._sequence = 0
        self._sent_s_by_sequence: dict[int, float] = {}

    def take_sent(self, sequence: int) -> float | None:
        """Return when an acknowledged ping was sent; None if no acknowledgement is awaited."""
        return self._sent_s_by_sequence.pop(sequence, None)

    def drop_old(self, oldest_s: float) -> None:
        """Forget pings that were sent before `oldest_s`."""
        self._sent_s_by_sequence = {
            sequence: sent_s
            for sequence, sent_s in self._sent_s_by_sequence.items()
            if sent_s >= oldest_s
        }

    def ping(self, vm: str, now_s: float, also: Iterable[str] = ()) -> OutgoingDatagram:
        """Ping `vm`; the records of the VMs in `also` repeat what others may have missed."""
        records = self.view.records
        first = self.build_notice(vm, None)
        first += [
            build_update(records[name].member)
            for name in also
            if name in records and not records[name].is_listed_only
        ]
        address = self.view.find(vm).member.address
        return self._build_ping(vm, address, first, now_s)

    def ping_address(self, name: str, address: str, now_s: float) -> OutgoingDatagram:
        """Ping a VM that may be no member; a seed has an address but no VM name."""
        vm = "" if name.startswith(SEED_PREFIX) else name
        return self._build_ping(vm, address, self.build_notice(vm, None), now_s)

    def _build_ping(
        self, vm: str, address: str, first: list[MemberUpdate], now_s: float
    ) -> OutgoingDatagram:
        ping = Ping(
            sequence=self._next_sequence(now_s),
            sender=self.vm,
            about=vm,
            updates=self.fill(first, vm),
        )
        return OutgoingDatagram(address=address, message=ping)

    def ping_through_others(self, vm: str, now_s: float, rng: Random) -> list[OutgoingDatagram]:
        """Ask some other VMs to ping `vm`."""
        suspects = self.view.suspects
        helpers = [name for name in self.view.records if name != vm and name not in suspects]
        chosen = rng.sample(helpers, min(INDIRECT_PINGS, len(helpers)))
        return [
            OutgoingDatagram(
                address=self.view.records[helper].member.address,
                message=PingRequest(
                    sequence=self._next_sequence(now_s),
                    sender=self.vm,
                    about=vm,
                    updates=self.fill(self.build_notice(vm, None), vm),
                ),
            )
            for helper in chosen
        ]

    def _next_sequence(self, now_s: float) -> int:
        self._sequence += 1
        self._sent_s_by_sequence[self._sequence] = now_s
        return self._sequence

    def fill(self, first: list[MemberUpdate], about: str) -> tuple[MemberUpdate, ...]:
        """Return the updates of a datagram: this VM's own, `first`, then those that spread."""
        header_bytes = MESSAGE_OVERHEAD_BYTES + len(self.vm.encode()) + len(about.encode())
        return self.view.queue.apply_send(
            first=[build_update(self.view.own), *first],
            room_bytes=MAX_DATAGRAM_BYTES - header_bytes,
            member_count=len(self.view.records) + 1,
        )

    def build_notice(self, vm: str, claim: MemberUpdate | None) -> list[MemberUpdate]:
        """Return what `vm` has to know about itself in order to refute it."""
        record = self.view.find(vm)
        if record is None:
            return []
        member = record.member
        is_refutable = member.state in (MemberState.SUSPECT, MemberState.DEAD)
        is_newer = claim is not None and member.incarnation > claim.incarnation
        return [build_update(member)] if is_refutable or is_newer else []

    def build_recent_changes(self, now_s: float) -> list[MemberUpdate]:
        """Return recent changes for a VM that joined or returned, the newest first."""
        records = [*self.view.records.values(), *self.view.dead.values()]
        recent = [record for record in records if now_s - record.changed_s <= FORGET_DEAD_S]
        newest = heapq.nlargest(MAX_RECENT_CHANGES, recent, key=lambda record: record.changed_s)
        return [build_update(record.member) for record in newest]
