"""Queue of updates to piggyback on membership datagrams."""

import heapq
import math
from collections.abc import Iterable

from mulberryswitch.contracts import MemberUpdate

__all__ = ["MAX_INCARNATION", "UpdateQueue", "is_valid_update"]

MAX_NAME_CHARS = 64
# Below the codec's maximum of 2**63 - 1, so that a refutation can still use a higher incarnation.
MAX_INCARNATION = 2**62
RETRANSMIT_MULTIPLIER = 3
# Encoded size of an update without its strings: msgpack array header, three string headers, a
# 9-byte integer and the state.
UPDATE_OVERHEAD_BYTES = 1 + 3 * 2 + 9 + 1
# Size of an update whose names have one character; limits how many fit into a datagram.
MIN_UPDATE_BYTES = 20
MAX_PORT = 65_535


def is_valid_address(text: str) -> bool:
    """Return whether `text` is ``host:port``; each send to any other address would fail."""
    host, _, port = text.rpartition(":")
    return bool(host) and port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT


def is_valid_update(update: MemberUpdate) -> bool:
    """Return whether all fields of `update` are in range."""
    return (
        all(1 <= len(name) <= MAX_NAME_CHARS for name in (update.vm, update.zone, update.address))
        and 0 <= update.incarnation <= MAX_INCARNATION
        and 0 <= update.state <= 3
        and is_valid_address(update.address)
    )


def estimate_update_bytes(update: MemberUpdate) -> int:
    """Return an upper bound for the encoded size of `update` in bytes."""
    texts = (update.vm, update.zone, update.address)
    return UPDATE_OVERHEAD_BYTES + sum(len(text.encode()) for text in texts)


class UpdateQueue:
    """Latest update for each VM with the number of datagrams that carried it.

    An update is dropped after a number of sends that is logarithmic in the size of the fleet.
    """

    def __init__(self) -> None:
        self._entries: dict[str, tuple[int, MemberUpdate]] = {}

    def enqueue(self, update: MemberUpdate) -> None:
        """Add `update`, replacing any earlier one about the same VM."""
        self._entries[update.vm] = (0, update)

    def take_updates(
        self, *, priority_updates: Iterable[MemberUpdate], available_bytes: int, member_count: int
    ) -> tuple[MemberUpdate, ...]:
        """Return the updates of one datagram: `priority_updates`, then the least often sent."""
        chosen: dict[str, MemberUpdate] = {}
        for update in priority_updates:
            size_bytes = estimate_update_bytes(update)
            if size_bytes <= available_bytes and update.vm not in chosen:
                chosen[update.vm] = update
                available_bytes -= size_bytes
        if not self._entries:
            return tuple(chosen.values())
        limit = RETRANSMIT_MULTIPLIER * math.ceil(math.log2(member_count + 1))
        candidates = (
            (send_count, vm) for vm, (send_count, _) in self._entries.items() if vm not in chosen
        )
        for send_count, vm in heapq.nsmallest(available_bytes // MIN_UPDATE_BYTES, candidates):
            update = self._entries[vm][1]
            available_bytes -= estimate_update_bytes(update)
            if available_bytes < 0:
                break
            chosen[vm] = update
            self._entries[vm] = (send_count + 1, update)
            if send_count + 1 >= limit:
                del self._entries[vm]
        return tuple(chosen.values())
