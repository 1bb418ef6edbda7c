"""Choice between candidates of the local zone and of other zones."""

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
    """Return the cheapest candidate, after the cost of those in `zone` is reduced by a bonus.

    Ties are resolved in favour of `zone`, then by the order of `candidates`.

    Parameters
    ----------
    candidates : iterable
    zone : str
        Preferred zone.
    zone_of : callable
        Returns the zone of a candidate.
    cost_of : callable
        Returns the cost of a candidate.
    local_bonus : float
        Extra cost up to which a candidate in `zone` is still preferred.

    Returns
    -------
    candidate or None
        None if there are no candidates.
    """
    best, best_cost, best_is_local = None, 0.0, False
    for candidate in candidates:
        is_local = zone_of(candidate) == zone
        cost = cost_of(candidate) - (local_bonus if is_local else 0.0)
        if (
            best is None
            or cost < best_cost
            or (cost == best_cost and is_local and not best_is_local)
        ):
            best, best_cost, best_is_local = candidate, cost, is_local
    return best


class SpillPolicy:
    """Limit on the slots of a target that requests from other zones may occupy.

    Parameters
    ----------
    share : float
        Share of a target's slots, at least one slot, that applies while the target's own zone has
        queued requests. Otherwise spill is not limited.
    """

    def __init__(self, *, share: float = 0.5):
        self.share = share

    def is_spill_allowed(self, *, slots: int, remote_in_flight: int, local_queued: int) -> bool:
        """Return whether one more request from another zone may occupy a slot."""
        return not local_queued or remote_in_flight < max(1, int(slots * self.share))
