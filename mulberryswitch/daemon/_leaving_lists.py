"""Targets that the platform lists as leaving, as read by this VM and its peers."""

import itertools
from collections.abc import Iterable

__all__ = ["LeavingLists"]

RETENTION_S = 30.0


class LeavingLists:
    """Last list of leaving targets from each VM that reads the platform."""

    def __init__(self) -> None:
        self._by_sender: dict[str, tuple[float, frozenset[str]]] = {}

    def observe(self, *, sender: str, names: Iterable[str], now_s: float) -> bool:
        """Store the list of `sender`; return whether it differs from the previous one."""
        previous = self._by_sender.get(sender, (now_s, frozenset()))[1]
        names = frozenset(names)
        self._by_sender[sender] = (now_s, names)
        return names != previous

    def list_leaving_targets(self, now_s: float) -> frozenset[str]:
        """Return the targets that any list younger than `RETENTION_S` names; drop older lists."""
        lists = self._by_sender
        for vm in [vm for vm, (seen_s, _) in lists.items() if now_s - seen_s > RETENTION_S]:
            del lists[vm]
        return frozenset(itertools.chain.from_iterable(names for _, names in lists.values()))
