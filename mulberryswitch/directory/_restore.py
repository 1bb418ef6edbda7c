"""Decisions on the records of a store that was restored from an older copy.

The copy lacks what was written after it was taken, until its writers write it again, and it still
holds what was removed after it was taken, until that is removed again.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from ._departures import LAPSE_GRACE_S, Departure
from ._records import START, Position, Record, Target

__all__ = ["WITHHOLD_S", "CopyVerdict", "EpochTransition", "Heritage", "judge_copied_target"]

# A record of an ended process lapses within a few heartbeats of the restore. One that the store
# still holds after this time belongs to a process that renews it.
WITHHOLD_S = 15.0
# Longer than a watch waits: without a confirmation for this time, the store was away.
OUTAGE_S = 4.0


class CopyVerdict(Enum):
    """What to do with a target's record of the copy.

    ``APPLY``: use it. ``KEEP``: the known record is newer and stays in use. ``WITHHOLD``: the
    target had departed, so the record is not used unless it turns out to be live.
    """

    APPLY = "apply"
    KEEP = "keep"
    WITHHOLD = "withhold"


@dataclass(frozen=True, kw_only=True, slots=True)
class Heritage:
    """What a replica knows from before the last restore, in addition to the store's records.

    Attributes
    ----------
    former : Position
        Position of the replica before the restore.
    age_s : float
        Time since the replica learned of the restore, in seconds.
    kept : frozenset of str
        Keys of the targets that the store lacks and that are kept for a while.
    withheld : frozenset of str
        Keys of the records that are withheld.
    """

    former: Position = START
    age_s: float = 0.0
    kept: frozenset[str] = frozenset()
    withheld: frozenset[str] = frozenset()


def judge_copied_target(
    *,
    record: Record,
    copied: Target | None,
    listed: Target | None,
    departure: Departure | None,
    now_s: float,
) -> CopyVerdict:
    """Decide on a target's record that may have been written before the restore.

    Parameters
    ----------
    record : Record
    copied : Target or None
        Content of the record; None if it is unreadable.
    listed : Target or None
        The target that is listed under the same key.
    departure : Departure or None
        The remembered departure of the same identity.
    now_s : float
        Present time in seconds.
    """
    if listed is not None:
        return _compare_with_listed(copied, listed)
    if copied is None or departure is None or not departure.is_gone(now_s):
        return CopyVerdict.APPLY
    if copied.boot_ms == departure.target.boot_ms:
        # A record that the process has written after its departure is a new creation.
        is_ended = record.created_revision == departure.created_revision
    else:
        is_ended = copied.boot_ms < departure.target.boot_ms
    return CopyVerdict.WITHHOLD if is_ended else CopyVerdict.APPLY


def _compare_with_listed(copied: Target | None, listed: Target) -> CopyVerdict:
    if copied is None or copied.boot_ms < listed.boot_ms:
        return CopyVerdict.KEEP
    # A process that drains does not become available again.
    is_before_drain = (
        copied.boot_ms == listed.boot_ms and listed.is_draining and not copied.is_draining
    )
    return CopyVerdict.KEEP if is_before_drain else CopyVerdict.APPLY


class EpochTransition:
    """What a replica keeps and withholds since it entered the present epoch, and until when.

    Attributes
    ----------
    former : Position
        Newest position before this epoch, of the replica or of a peer whose heritage it adopted.
    copy_revision : int
        First revision of this epoch that was seen. Records up to there may be of the copy.
    needs_heritage : bool
        Whether this epoch was entered through the store alone, so that a peer may know more.
    kept_until_s : dict of str to float
        Deadlines of known targets that the copy lacks, or holds in an older state, by key.
    withheld_until_s : dict of str to float
        Deadlines of departed targets that the copy still holds, by key.
    """

    def __init__(self) -> None:
        self.former = START
        self.copy_revision = 0
        self.needs_heritage = False
        self.kept_until_s: dict[str, float] = {}
        self.withheld_until_s: dict[str, float] = {}
        # Keys of withheld targets that have answered a caller.
        self._live: set[str] = set()
        # Time since when the writers can reach the store without an interruption.
        self._writable_s = 0.0
        self._confirmed_s = 0.0

    @property
    def due_s(self) -> float:
        """The first deadline; infinite if there is none."""
        return min([*self.kept_until_s.values(), *self.withheld_until_s.values(), math.inf])

    def enter(
        self, *, former: Position, position: Position, heritage: Heritage | None, now_s: float
    ) -> None:
        """Start anew in the epoch of `position`, whose snapshot came with `heritage`."""
        self.former = former
        self.copy_revision = position.revision
        self.needs_heritage = heritage is None or heritage.former == START
        self.kept_until_s.clear()
        self.withheld_until_s.clear()
        self._live.clear()
        self._writable_s = now_s - (heritage.age_s if heritage else 0.0)
        self._confirmed_s = now_s

    def keep(self, keys: Iterable[str]) -> None:
        """Keep targets until they have had the time to register again."""
        self.kept_until_s |= dict.fromkeys(keys, self._writable_s + LAPSE_GRACE_S)

    def withhold(self, key: str) -> None:
        """Do not use a record of the copy until only a live process can have renewed it."""
        if key not in self._live:
            self.withheld_until_s[key] = self._writable_s + WITHHOLD_S

    def observe_live(self, key: str) -> None:
        """End the wait for `key`, whose target has answered; peers that wait are not followed."""
        self.settle(key)
        self._live.add(key)

    def settle(self, key: str) -> None:
        """End the wait for `key`, whose record was written or deleted in this epoch."""
        self.kept_until_s.pop(key, None)
        self.withheld_until_s.pop(key, None)

    def adopt(self, heritage: Heritage, now_s: float) -> None:
        """Take over the times of a peer in the same epoch."""
        self._writable_s = min(self._writable_s, now_s - heritage.age_s)
        self.former = max(self.former, heritage.former)
        self.needs_heritage = self.needs_heritage and heritage.former == START

    def observe_confirmation(self, confirmed_s: float) -> None:
        """Record that the store confirmed the replica's position at `confirmed_s`."""
        if confirmed_s - self._confirmed_s > OUTAGE_S:
            self.observe_outage_end(confirmed_s)
        self._confirmed_s = max(self._confirmed_s, confirmed_s)

    def observe_outage_end(self, now_s: float) -> None:
        """Restart the waits, since the writers could not reach the store meanwhile."""
        if self.due_s == math.inf:
            return
        self._writable_s = now_s
        self.keep([*self.kept_until_s])
        for key in self.withheld_until_s:
            self.withhold(key)

    def build_heritage(self, now_s: float) -> Heritage:
        """Return this knowledge for a peer."""
        return Heritage(
            former=self.former,
            age_s=max(0.0, now_s - self._writable_s),
            kept=frozenset(self.kept_until_s),
            withheld=frozenset(self.withheld_until_s),
        )
