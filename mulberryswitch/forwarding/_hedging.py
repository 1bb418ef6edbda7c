"""Early second openings for requests that may be repeated, within a limit of the operator.

It answers the few openings that take much longer than the others of their service: a second target
gets the opening too, and the caller completes the first that answers. The other flow never opens.
"""

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field

from ._opening_times import OpeningTimes

__all__ = ["NO_HEDGES", "HedgeBudget", "HedgeLimits", "Hedging"]

# Unspent budget that is kept, in openings; more would allow a burst of hedges.
MAX_SAVED_HEDGES = 20.0


@dataclass(frozen=True, kw_only=True, slots=True)
class HedgeLimits:
    """Extra openings that are allowed for each opening.

    Attributes
    ----------
    share : float
        Limit of each service that has none of its own; 0 for no hedges.
    by_service : mapping of str to float
    """

    share: float = 0.0
    by_service: Mapping[str, float] = field(default_factory=dict)

    @property
    def are_set(self) -> bool:
        """Whether hedges are allowed for any service."""
        return self.share > 0 or any(share > 0 for share in self.by_service.values())

    def get_share(self, service: str) -> float:
        """Return the limit of a service."""
        return self.by_service.get(service, self.share)


NO_HEDGES = HedgeLimits()


class HedgeBudget:
    """What one VM may spend on hedges of one service.

    Every opening earns `share` of a hedge, and nothing is given in advance. So the hedges of any
    set of VMs never exceed their share of the openings of the same VMs, whatever they know of each
    other.
    """

    def __init__(self, *, share: float):
        self.share = share
        self._saved = 0.0

    def observe_opening(self) -> None:
        """Earn the share of one opening."""
        self._saved = min(MAX_SAVED_HEDGES, self._saved + self.share)

    def charge_failover(self) -> None:
        """Charge a second opening that is sent in any case."""
        self._saved = max(0.0, self._saved - 1.0)

    def spend(self) -> bool:
        """Spend one hedge; return whether the budget allowed it."""
        # The sum of shares is rounded, as ten times 0.1 is slightly below 1.
        if self._saved < 1.0 - 1e-9:
            return False
        self._saved -= 1.0
        return True


class Hedging:
    """Learned opening times and budgets, by service.

    Parameters
    ----------
    limits : HedgeLimits
    """

    def __init__(self, *, limits: HedgeLimits):
        self.limits = limits
        self._times: defaultdict[str, OpeningTimes] = defaultdict(OpeningTimes)
        self._budgets: dict[str, HedgeBudget] = {}

    @property
    def is_on(self) -> bool:
        """Whether any service may be hedged."""
        return self.limits.are_set

    def observe_opening(self, service: str) -> None:
        """Record a new opening."""
        self._get_budget(service).observe_opening()

    def observe_answer(self, service: str, time_s: float) -> None:
        """Record the time that an opening took, in seconds."""
        self._times[service].observe_time(time_s)

    def charge_failover(self, service: str) -> None:
        """Charge an opening that went to a second target because the first seems to have ended."""
        self._get_budget(service).charge_failover()

    def is_due(self, service: str, age_s: float) -> bool:
        """Return whether an opening is slower than all but the allowed share of its service."""
        share = self.limits.get_share(service)
        return share > 0 and age_s >= self._times[service].get_quantile(1.0 - share)

    def spend(self, service: str) -> bool:
        """Spend one hedge of a service; return whether its budget allowed it."""
        return self._get_budget(service).spend()

    def _get_budget(self, service: str) -> HedgeBudget:
        budget = self._budgets.get(service)
        if budget is None:
            share = self.limits.get_share(service)
            budget = self._budgets[service] = HedgeBudget(share=share)
        return budget
