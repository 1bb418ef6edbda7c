"""Ownership that at most one VM claims at a time, without messages of its own.

It answers keys that must not have two owners while views differ, such as the rate limit of a target
that has just started. The price is that a key has no owner for a while after a change.
"""

from collections.abc import Iterable

from ._owners import Member, rank_members

__all__ = ["OwnershipClaims"]

# Longer than a death, a cut or a start takes to be known to all live VMs of a zone (4 s). For so
# long a member that is gone may still act as the owner.
CLAIM_DELAY_S = 5.0
# A VM that was cut off before the others knew of it may not have noticed for twice that time.
READY_DELAY_S = 9.0
# A VM that sees no majority of the VMs of this time may be the one that is cut off.
QUORUM_MEMORY_S = 60.0
# After a longer gap between two updates this VM has stood still, and its view may be old.
PAUSE_S = 1.0


class OwnershipClaims:
    """Which keys this VM owns, from the members of its zone and their history.

    Parameters
    ----------
    vm, zone : str
        This VM.
    """

    def __init__(self, *, vm: str, zone: str):
        self.vm = vm
        self.zone = zone
        self._seen_s: dict[str, float] = {}
        self._members: dict[str, Member] = {}
        # Since when this VM has run without a pause and seen a majority.
        self._ready_since_s: float | None = None
        self._updated_s = float("-inf")
        # Those that may act as owners, and the keys that were looked up since these changed.
        self._candidates: tuple[str, ...] = ()
        self._owned: dict[str, bool] = {}

    def observe_members(self, members: Iterable[Member], now_s: float) -> None:
        """Record the live members; called several times a second."""
        if now_s - self._updated_s > PAUSE_S:
            self._ready_since_s = None
        self._updated_s = now_s
        live = {member.vm: member for member in members if member.zone == self.zone}
        self._members |= live
        self._seen_s |= dict.fromkeys(live, now_s)
        old = [vm for vm, seen_s in self._seen_s.items() if now_s - seen_s > QUORUM_MEMORY_S]
        for vm in old:
            del self._seen_s[vm], self._members[vm]
        candidates = tuple(vm for vm, s in self._seen_s.items() if now_s - s <= CLAIM_DELAY_S)
        if candidates != self._candidates:
            self._candidates = candidates
            self._owned.clear()
        if self.vm not in live or 2 * len(live) <= len(self._seen_s):
            self._ready_since_s = None
        elif self._ready_since_s is None:
            self._ready_since_s = now_s

    def is_owner(self, key: str, now_s: float) -> bool:
        """Return whether this VM may act as the owner of `key`."""
        if not self.can_own(now_s):
            return False
        if key not in self._owned:
            candidates = [self._members[vm] for vm in self._candidates]
            self._owned[key] = rank_members(key=key, members=candidates)[0].vm == self.vm
        return self._owned[key]

    def can_own(self, now_s: float) -> bool:
        """Return whether this VM may own any key.

        It has to have seen a majority for long enough that all live VMs see it, too. A VM that
        knows no other one cannot tell whether it is alone or cut off.
        """
        if self._ready_since_s is None or now_s - self._updated_s > PAUSE_S:
            return False
        return now_s - self._ready_since_s >= READY_DELAY_S and len(self._seen_s) > 1
