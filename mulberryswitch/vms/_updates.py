"""Updates that wait to be piggybacked on membership datagrams."""

import heapq
import math
from collections.abc import Iterable

from mulberryswitch.contracts import MemberUpdate

__all__ = ["MAX_INCARNATION", "UpdateQueue", "is_valid_update"]

MAX_NAME_CHARS = 64
# Leaves room to refute: the codec carries integers up to 2**63 - 1.
MAX_INCARNATION = 2**62
SENDS_PER_DOUBLING = 3
# msgpack of an update: array header, three text headers, a 9-byte integer and the state.
UPDATE_OVERHEAD_BYTES = 1 + 3 * 2 + 9 + 1
# An update with names of one character; bounds how many fit into a datagram.
MIN_UPDATE_BYTES = 20


def is_valid_update(update: MemberUpdate) -> bool:
    """Return whether the field values of `update` are in range."""
    return (
        all(1 <= len(name) <= MAX_NAME_CHARS for name in (update.vm, update.zone, update.address))
        and 0 <= update.incarnation <= MAX_INCARNATION
        and 0 <= update.state <= 3
    )


def measure_update(update: MemberUpdate) -> int:
    """Return an upper bound of the encoded size of `update` in bytes."""
    texts = (update.vm, update.zone, update.address)
    return UPDATE_OVERHEAD_BYTES + sum(len(text.encode()) for text in texts)


class UpdateQueue:
    """Newest update per VM with the number of datagrams that carried it."""

    def __init__(self) -> None:
        self._entries: dict[str, tuple[int, MemberUpdate]] = {}

    def apply(self, update: MemberUpdate) -> None:
        """Spread `update`, and no longer an earlier one about the same VM."""
        self._entries[update.vm] = (0, update)

    def apply_send(
        self, *, first: Iterable[MemberUpdate], room_bytes: int, member_count: int
    ) -> tuple[MemberUpdate, ...]:
        """Return the updates of one datagram: `first`, then those that were sent least often."""
        chosen: dict[str, MemberUpdate] = {}
        for update in first:
            size_bytes = measure_update(update)
            if size_bytes <= room_bytes and update.vm not in chosen:
                chosen[update.vm] = update
                room_bytes -= size_bytes
        if not self._entries:
            return tuple(chosen.values())
        limit = SENDS_PER_DOUBLING * math.ceil(math.log2(member_count + 1))
        waiting = ((sent, vm) for vm, (sent, _) in self._entries.items() if vm not in chosen)
        for sent, vm in heapq.nsmallest(room_bytes // MIN_UPDATE_BYTES, waiting):
            update = self._entries[vm][1]
            room_bytes -= measure_update(update)
            if room_bytes < 0:
                break
            chosen[vm] = update
            self._entries[vm] = (sent + 1, update)
            if sent + 1 >= limit:
                del self._entries[vm]
        return tuple(chosen.values())
