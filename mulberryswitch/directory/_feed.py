"""Which VM reads the store, and from whom the others learn.

Two VMs of each availability zone read. They announce their revision to their zone and to the
readers of other zones; whoever is behind an announcement pulls the difference from its sender. A
VM that hears too little reads the store itself, so that peers only save calls and bridge outages.
"""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from mulberryswitch.vms import READERS_PER_ZONE, Member, pick_readers, rank_readers

__all__ = ["Feed", "Source"]

# Readers announce several times in this time, so silence means that they are dead, paused or cut
# off.
SILENCE_S = 1.0
SILENCE_STEP_S = 0.25
MAX_SILENCE_STEPS = 6
# A reader's confirmation ages while its watch waits; more means that the store refuses it.
STALE_S = 4.0
STALE_STEP_S = 0.5
# While the store is away for all, the rest of a large zone does not ask it as well.
MAX_STALE_RANK = 6
PULL_RETRY_S = 0.5
# Whole configurations travel down a tree within the zone: a reader with a small link that sent
# them to each VM would hold up the packets of its own callers.
TREE_FANOUT = 4


@dataclass(frozen=True, kw_only=True, slots=True)
class Source:
    """A peer that announced `revision`; `address` is ``host:port``."""

    vm: str
    zone: str
    address: str
    revision: int
    heard_s: float
    confirmed_s: float
    is_reader: bool


class Feed:
    """What peers announce, and the decisions that follow.

    Parameters
    ----------
    vm, zone : str
        This VM.
    """

    def __init__(self, *, vm: str, zone: str):
        self.vm = vm
        self.zone = zone
        self._sources: dict[str, Source] = {}
        self._started_s: float | None = None
        self._pulled_s: dict[str, float] = {}
        self._members: Sequence[Member] = ()
        self._ranked: list[Member] = []

    def observe_announce(self, source: Source) -> None:
        """Take in a peer's announcement."""
        self._sources[source.vm] = source

    def observe_pull_failure(self, *, vm: str, now_s: float) -> None:
        """A pull from `vm` brought nothing; another source is asked first."""
        self._pulled_s[vm] = now_s

    def get_confirmed_s(self, revision: int) -> float:
        """Return when the store last confirmed to some reader that nothing follows `revision`."""
        return max(
            (s.confirmed_s for s in self._sources.values() if s.revision <= revision),
            default=float("-inf"),
        )

    def pick_source(
        self, *, members: Sequence[Member], revision: int, now_s: float
    ) -> Source | None:
        """Return the peer to pull from, None if no peer is ahead of `revision`."""
        ahead = [source for source in self._sources.values() if source.revision > revision]
        newest = max(ahead, key=lambda s: (s.zone == self.zone, s.heard_s), default=None)
        if newest is None:
            return None
        parent = self._find_parent(members, newest)
        if parent is not None and self._may_ask(parent.vm, now_s):
            return parent
        usable = [source for source in ahead if self._may_ask(source.vm, now_s)]
        return max(usable, key=lambda s: (s.zone == self.zone, s.heard_s), default=None)

    def _may_ask(self, vm: str, now_s: float) -> bool:
        return now_s - self._pulled_s.get(vm, float("-inf")) >= PULL_RETRY_S

    def _find_parent(self, members: Sequence[Member], newest: Source) -> Source | None:
        """Return this VM's parent in the tree below the readers of the zone."""
        ranked = self._rank(members)
        rank = next((i for i, member in enumerate(ranked) if member.vm == self.vm), 0)
        if rank < READERS_PER_ZONE:
            return None
        parent = ranked[(rank - READERS_PER_ZONE) // TREE_FANOUT]
        return replace(newest, vm=parent.vm, zone=parent.zone, address=parent.address)

    def is_reader(self, *, members: Sequence[Member], revision: int, now_s: float) -> bool:
        """Return whether this VM has to read the store.

        Parameters
        ----------
        members : sequence of Member
            Live VMs, this one included.
        revision : int
            Newest revision that this VM holds.
        now_s : float
        """
        if self._started_s is None:
            self._started_s = now_s
        rank = self._get_rank(members)
        if not revision or rank < READERS_PER_ZONE:
            return True
        later = rank - READERS_PER_ZONE
        heard_s = max((s.heard_s for s in self._near_readers()), default=self._started_s)
        if now_s - heard_s > SILENCE_S + SILENCE_STEP_S * min(later, MAX_SILENCE_STEPS):
            return True
        stale_s = now_s - max(self.get_confirmed_s(revision), self._started_s)
        return rank < MAX_STALE_RANK and stale_s > STALE_S + STALE_STEP_S * later

    def list_recipients(self, members: Sequence[Member]) -> list[Member]:
        """Return the VMs that a reader announces to: its zone, and the readers of other zones."""
        zones = {member.zone for member in members} - {self.zone}
        near = [m for m in members if m.zone == self.zone and m.vm != self.vm]
        far = [m for zone in sorted(zones) for m in pick_readers(zone=zone, members=members)]
        return near + far

    def list_near_readers(self, now_s: float) -> list[Source]:
        """Return the readers of this zone that were heard lately."""
        return [s for s in self._near_readers() if now_s - s.heard_s <= 2 * SILENCE_S]

    def pick_load_aggregator(self, members: Sequence[Member], now_s: float) -> Source | None:
        """Return the reader of this zone that sums the loads: the first rank that was heard."""
        heard = {source.vm: source for source in self.list_near_readers(now_s)}
        ranked = self._rank(members)
        return next((heard[member.vm] for member in ranked if member.vm in heard), None)

    def is_load_aggregator(self, members: Sequence[Member]) -> bool:
        """Return whether this VM sums the loads of its zone."""
        return self._get_rank(members) == 0

    def drop_old(self, members: Sequence[Member], now_s: float) -> None:
        """Forget peers that are neither members nor heard."""
        names = {member.vm for member in members}
        self._sources = {
            vm: source
            for vm, source in self._sources.items()
            if vm in names or now_s - source.heard_s <= 2 * SILENCE_S
        }
        self._pulled_s = {
            vm: pulled_s
            for vm, pulled_s in self._pulled_s.items()
            if now_s - pulled_s < PULL_RETRY_S
        }

    def _near_readers(self) -> list[Source]:
        return [s for s in self._sources.values() if s.zone == self.zone and s.is_reader]

    def _rank(self, members: Sequence[Member]) -> list[Member]:
        """Return the VMs of this zone by rank; the membership keeps its tuple until it changes."""
        if members is not self._members:
            self._members = members
            self._ranked = rank_readers(zone=self.zone, members=members)
        return self._ranked

    def _get_rank(self, members: Sequence[Member]) -> int:
        ranked = [member.vm for member in self._rank(members)]
        return ranked.index(self.vm) if self.vm in ranked else 0
