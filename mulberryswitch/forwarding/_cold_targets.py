"""Limit of new flows to targets that are cold, over the whole fleet.

It answers releases and zones that return: many targets start at once under load, and each bears
only a few requests a second at first. Only the owner of a cold target sends it new flows, see
``OwnershipClaims``, and no more than the limit allows.
"""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["NO_COLD_EXCESS", "ColdBounds", "ColdGate", "FlowWindow"]

# Part of the limit that is used. The rest covers openings that arrive closer together than sent.
USED_SHARE = 0.9
WINDOW_S = 1.1
# Part of the window that only requests of the highest priority may use.
RESERVED_SHARE = 0.25
HIGHEST_PRIORITY = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class ColdBounds:
    """What is allowed beyond the rate that a service states for its cold targets.

    Attributes
    ----------
    overage : float
        Factor of the rate.
    slack : float
        Requests in any second on top.
    """

    overage: float = 1.0
    slack: float = 0.0

    def get_limit(self, cold_per_s: float) -> int:
        """Return the number of new flows that are sent within ``WINDOW_S``."""
        return math.floor(USED_SHARE * (cold_per_s * self.overage + self.slack))


NO_COLD_EXCESS = ColdBounds()


class FlowWindow:
    """Exact count of the last flows to one target; unlike a token bucket it allows no burst."""

    def __init__(self) -> None:
        self._sent_s: deque[float] = deque()

    def count(self, now_s: float) -> int:
        """Return the number of flows within the window."""
        while self._sent_s and now_s - self._sent_s[0] > WINDOW_S:
            self._sent_s.popleft()
        return len(self._sent_s)

    def add(self, now_s: float) -> None:
        """Record a flow."""
        self._sent_s.append(now_s)


class ColdGate:
    """Decides which cold targets this VM may send a new flow to.

    Parameters
    ----------
    bounds : ColdBounds
    is_owner : callable
        Called with a target's key and the present time; returns whether this VM owns the target.
    """

    def __init__(self, *, bounds: ColdBounds, is_owner: Callable[[str, float], bool]):
        self.bounds = bounds
        self.is_owner = is_owner
        self._windows: dict[str, FlowWindow] = {}

    def is_open(self, *, key: str, cold_per_s: float, priority: int, now_s: float) -> bool:
        """Return whether a new flow of a route with `priority` may go to a cold target."""
        limit = self.bounds.get_limit(cold_per_s)
        if priority != HIGHEST_PRIORITY:
            limit -= math.floor(RESERVED_SHARE * limit)
        window = self._windows.get(key)
        used = window.count(now_s) if window else 0
        return used < limit and self.is_owner(key, now_s)

    def observe_flow(self, *, key: str, now_s: float) -> None:
        """Record that a new flow was sent to a cold target."""
        self._windows.setdefault(key, FlowWindow()).add(now_s)

    def forget_idle(self, now_s: float) -> None:
        """Drop the windows of targets without recent flows."""
        self._windows = {k: window for k, window in self._windows.items() if window.count(now_s)}
