"""Number of open flows at each target of a shard, and the choice of a target for a new flow."""

from collections.abc import Mapping, Sequence
from math import inf
from sys import intern

from mulberryswitch.contracts import ResultCode, Target, TargetState

__all__ = ["TargetCounts"]

LOAD_BOUND_FACTOR = 1.25
LOAD_BOUND_SLACK = 2
SLOW_START_S = 30.0


class TargetCounts:
    """Flows per target, known here or reported by another owner, and the targets for new flows.

    Attributes
    ----------
    by_target : dict of str to int
        Number of flows at each target.
    active : dict of str to float
        Targets that take new flows, with the start of the slow start of each.
    """

    def __init__(self) -> None:
        self.by_target: dict[str, int] = {}
        self.active: dict[str, float] = {}
        # Part of `by_target` that another owner reported and that this VM has not seen a packet of.
        self._unseen: dict[str, int] = {}
        self._active_flows = 0
        self._limit = 0
        # Counts at the start of a handover, and until when another VM may serve the shard as well.
        self._handover_counts: dict[str, int] = {}
        self._handover_until_s = -inf
        self._handover_rounding = 0

    def get(self, target: str) -> int:
        """Return the number of flows at a target."""
        return self.by_target.get(target, 0)

    def change(self, target: str, change: int) -> None:
        """Add to the number of flows at a target."""
        self.by_target[target] = self.get(target) + change
        if target in self.active:
            self._active_flows += change

    def clear(self) -> None:
        """Forget all flows and a handover."""
        self.by_target.clear()
        self._unseen.clear()
        self._active_flows = 0
        self._handover_until_s = -inf

    def apply_targets(self, *, targets: Sequence[Target], limit: int, now_s: float) -> bool:
        """Set the targets and the limit of each; return whether the active targets changed."""
        is_first_list = not self.active
        active = {}
        for target in sorted(targets, key=lambda target: target.name):
            if target.takes_new_work:
                starts_cold = target.state is TargetState.JOINING or not is_first_list
                since_s = now_s if starts_cold else now_s - SLOW_START_S
                active[intern(target.name)] = self.active.get(target.name, since_s)
        has_changed = active.keys() != self.active.keys()
        self.active = active
        self._active_flows = sum(map(self.get, active))
        self._limit = limit
        return has_changed

    # Flows that another owner reported

    def add_unseen(self, counts: Mapping[str, int]) -> None:
        """Add the flows that another owner reports and that this table does not know."""
        for name, count in counts.items():
            unknown = count - self.get(name)
            if unknown > 0:
                self._unseen[name] = self._unseen.get(name, 0) + unknown
                self.change(name, unknown)

    def discount_unseen(self, target: str) -> None:
        """Take one reported flow off, which is known now or has ended."""
        if self._unseen.get(target, 0) > 0:
            self._unseen[target] -= 1
            self.change(target, -1)

    def remove_unseen(self, target: str) -> None:
        """Take all reported flows at a target off."""
        self.change(target, -self._unseen.pop(target, 0))

    def remove_all_unseen(self) -> None:
        """Take all reported flows off."""
        for name in list(self._unseen):
            self.remove_unseen(name)

    # New flows

    def apply_handover(self, *, until_s: float, is_successor: bool) -> None:
        """Use half of the free connections of each target until `until_s`.

        Former owner and successor may both place flows for a while, since either can miss the
        other's last message. The successor has the odd connection.
        """
        self._handover_counts = dict(self.by_target)
        self._handover_until_s = until_s
        self._handover_rounding = int(is_successor)

    def pick_target(self, preferred: str, now_s: float) -> str | ResultCode:
        """Return the preferred target within its load bound, else the one with the fewest flows."""
        if not self.active:
            return ResultCode.NO_ACTIVE_TARGET
        mean = self._active_flows / len(self.active)
        if preferred in self.active and self.get(preferred) < self._compute_load_bound(
            preferred, mean, now_s
        ):
            return preferred
        below_limit = [
            name for name in self.active if self.get(name) < self._get_limit(name, now_s)
        ]
        if not below_limit:
            return ResultCode.CONNECTION_LIMIT
        below_bound = [
            name
            for name in below_limit
            if self.get(name) < self._compute_load_bound(name, mean, now_s)
        ]
        return min(below_bound or below_limit, key=self.get)

    def _compute_load_bound(self, name: str, mean: float, now_s: float) -> float:
        """Return the flow count below which a target takes new flows; it rises in slow start."""
        ramp = min(1.0, (now_s - self.active[name]) / SLOW_START_S)
        bound = LOAD_BOUND_FACTOR * mean * ramp + LOAD_BOUND_SLACK
        return min(self._get_limit(name, now_s), bound)

    def _get_limit(self, name: str, now_s: float) -> int:
        """Return the number of flows at a target that this VM may reach by placing new ones."""
        if now_s >= self._handover_until_s:
            return self._limit
        count = min(self._handover_counts.get(name, 0), self._limit)
        return (self._limit + count + self._handover_rounding) // 2
