"""Targets that the platform's list names as leaving, as this VM and its peers read it."""

import itertools
from collections.abc import Iterable

__all__ = ["LeavingLists"]

KEEP_S = 30.0


class LeavingLists:
    """The last list of each VM that reads the platform."""

    def __init__(self) -> None:
        self._by_sender: dict[str, tuple[float, frozenset[str]]] = {}

    def observe(self, *, sender: str, names: Iterable[str], now_s: float) -> bool:
        """Take in the list of `sender`; return whether it differs from the one before."""
        former = self._by_sender.get(sender, (now_s, frozenset()))[1]
        names = frozenset(names)
        self._by_sender[sender] = (now_s, names)
        return names != former

    def list_names(self, now_s: float) -> frozenset[str]:
        """Return all targets that leave."""
        known = self._by_sender
        for vm in [vm for vm, (seen_s, _) in known.items() if now_s - seen_s > KEEP_S]:
            del known[vm]
        return frozenset(itertools.chain.from_iterable(names for _, names in known.values()))
