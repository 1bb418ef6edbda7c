"""Targets that are no longer listed, remembered for their open flows and against old copies."""

from dataclasses import dataclass
from enum import Enum

from ._records import Target

__all__ = ["LAPSE_GRACE_S", "Departure", "DepartureCause"]

# A live target whose lease expired during a store outage registers again within 2 s of the store's
# recovery. The remaining 0.5 s covers propagation to this VM.
LAPSE_GRACE_S = 2.5


class DepartureCause(Enum):
    """Reason why a target is no longer listed.

    ``LEFT``: the target was draining. ``LAPSED``: its record was deleted without a drain, as when
    its lease expires. ``UNREADABLE``: another writer overwrote the record.
    """

    LEFT = "left"
    LAPSED = "lapsed"
    UNREADABLE = "unreadable"


@dataclass(frozen=True, kw_only=True, slots=True)
class Departure:
    """A target that was removed from the directory at `departed_s`.

    `created_revision` is that of its last record.
    """

    target: Target
    departed_s: float
    cause: DepartureCause
    created_revision: int = 0

    def is_in_grace_period(self, now_s: float) -> bool:
        """Return whether the target may be live and register again soon."""
        return self.cause is DepartureCause.LAPSED and now_s - self.departed_s <= LAPSE_GRACE_S

    def is_gone(self, now_s: float) -> bool:
        """Return whether the process is considered ended, so that its open flows are lost.

        A record that another writer overwrote is no evidence that the process has ended.
        """
        return self.cause is not DepartureCause.UNREADABLE and not self.is_in_grace_period(now_s)
