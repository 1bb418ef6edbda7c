"""Choice between the entry zone and the other zones."""

from collections.abc import Callable, Iterable
from typing import TypeVar

__all__ = ["SpillPolicy", "pick_zone_first"]

T = TypeVar("T")


def pick_zone_first(
    candidates: Iterable[T],
    zone: str,
    *,
    zone_of: Callable[[T], str],
    cost_of: Callable[[T], float],
    local_bonus: float = 0.0,
) -> T | None:
    """Return the cheapest candidate; one in `zone` wins up to `local_bonus` of extra cost.

    Ties go to `zone`, then to the order of `candidates`.
    """
    best, best_cost, best_home = None, 0.0, False
    for candidate in candidates:
        home = zone_of(candidate) == zone
        cost = cost_of(candidate) - (local_bonus if home else 0.0)
        if best is None or cost < best_cost or (cost == best_cost and home and not best_home):
            best, best_cost, best_home = candidate, cost, home
    return best


class SpillPolicy:
    """Bound the slots of a target that requests from other zones may hold.

    Parameters
    ----------
    share : float
        Share of a target's slots, at least one slot, while its own zone has queued requests.
    """

    def __init__(self, *, share: float = 0.5):
        self.share = share

    def is_spill_allowed(self, *, slots: int, remote_in_flight: int, local_queued: int) -> bool:
        """Return whether one more request from another zone may take a slot."""
        return not local_queued or remote_in_flight < max(1, int(slots * self.share))
