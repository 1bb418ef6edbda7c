"""Updates that wait to be piggybacked on membership datagrams."""

import heapq
import math
from collections.abc import Iterable

from mulberryswitch.contracts import MemberUpdate

__all__ = ["UPDATES_BUDGET_BYTES", "Rumors", "measure_update"]

# A datagram holds at most 1400 bytes; the rest is for the header with two names of 64 characters
# of up to 4 bytes each.
UPDATES_BUDGET_BYTES = 1400 - 560
# msgpack: array header, three text headers, a 9-byte integer and the state.
UPDATE_OVERHEAD_BYTES = 1 + 3 * 2 + 9 + 1


def measure_update(update: MemberUpdate) -> int:
    """Return an upper bound of the encoded size of `update` in bytes."""
    texts = (update.vm, update.zone, update.address)
    return UPDATE_OVERHEAD_BYTES + sum(len(text.encode()) for text in texts)


class Rumors:
    """Newest update per VM with the number of datagrams that carried it."""

    def __init__(self) -> None:
        self._sent_by_vm: dict[str, tuple[int, MemberUpdate]] = {}

    def apply(self, update: MemberUpdate) -> None:
        """Spread `update`, and no longer an earlier one about the same VM."""
        self._sent_by_vm[update.vm] = (0, update)

    def apply_send(
        self, *, first: Iterable[MemberUpdate], member_count: int
    ) -> tuple[MemberUpdate, ...]:
        """Return the updates of one datagram: `first`, then those that were sent least often."""
        chosen: dict[str, MemberUpdate] = {}
        room_bytes = UPDATES_BUDGET_BYTES
        for update in first:
            room_bytes -= measure_update(update)
            if room_bytes < 0:
                break
            chosen[update.vm] = update
        limit = 3 * math.ceil(math.log2(member_count + 1))
        candidates = ((sent, vm) for vm, (sent, _) in self._sent_by_vm.items() if vm not in chosen)
        for sent, vm in heapq.nsmallest(UPDATES_BUDGET_BYTES // 20, candidates):
            update = self._sent_by_vm[vm][1]
            room_bytes -= measure_update(update)
            if room_bytes < 0:
                break
            chosen[vm] = update
            self._sent_by_vm[vm] = (sent + 1, update)
            if sent + 1 >= limit:
                del self._sent_by_vm[vm]
        return tuple(chosen.values())
