"""Selection of the VMs that read the store, and of the peers that the other VMs pull from.

Two VMs of each availability zone read the store. They announce their revision to their zone and to
the readers of other zones, and a VM that is behind an announcement pulls the difference from its
sender. A VM that receives no recent announcements reads the store itself, so peers only save calls
to the store and bridge its outages.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from mulberryswitch.vms import READERS_PER_ZONE, Member, pick_readers, rank_readers

from ._records import START, Position

__all__ = ["Feed", "Source"]

# Readers announce several times within this interval. A reader that is silent for longer is dead,
# paused or partitioned.
SILENCE_S = 1.0
# A VM that has just started knows few members, so by its own view it is among the first in rank. It
# has read the store, and waits this long for announcements of readers before it watches the store.
START_DELAY_S = 0.8
# Within this time after its start, a VM does not watch the store if enough readers announce.
JOIN_S = 5.0
SILENCE_STEP_S = 0.25
MAX_SILENCE_STEPS = 6
# The age of a reader's confirmation grows while its watch is pending. An older confirmation means
# that the store does not serve the reader.
STALE_S = 4.0
STALE_STEP_S = 0.5
# Bounds the VMs of a zone that query the store during an outage that affects every reader.
MAX_STALE_RANK = 6
PULL_RETRY_S = 0.5
# A parent of the distribution tree that is behind itself is asked again for this long, before the
# VMs below it ask the readers, whose links would be full.
PARENT_WAIT_S = 2.0
# A VM whose pulls make no progress for this long reads the store itself.
PULLS_FAILING_S = 3.0
PULLS_FAILING_STEP_S = 0.25
# Full configurations are distributed down a tree within the zone. A reader with a small link that
# sent them to every VM would delay the packets of its own callers.
TREE_FANOUT = 4


@dataclass(frozen=True, kw_only=True, slots=True)
class Source:
    """A peer that announced `position` and can be pulled from.

    `address` is ``host:port``. `heard_s` is the time of its last announcement, `confirmed_s` the
    time at which the store last confirmed `position` to a reader. `version` is that of the
    configuration in force; `keeps_heritage` as in ``Directory``.
    """

    vm: str
    zone: str
    address: str
    position: Position
    heard_s: float
    confirmed_s: float
    is_reader: bool
    version: int = 0
    keeps_heritage: bool = False


class Feed:
    """Announcements of peers, and the choice of readers, sources and recipients based on them.

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
        self._failed_pulls_s: dict[str, float] = {}
        self._failing_since_s: float | None = None
        self._waiting_since_s: dict[str, float] = {}
        self._members: Sequence[Member] = ()
        self._ranked: list[Member] = []

    def observe_announce(self, source: Source) -> None:
        """Record a peer's announcement."""
        self._sources[source.vm] = source

    def observe_pull_failure(self, *, vm: str, now_s: float) -> None:
        """Record a failed pull, so that other sources are tried before `vm`."""
        self._failed_pulls_s[vm] = now_s
        if self._failing_since_s is None:
            self._failing_since_s = now_s

    def observe_pull_without_news(self, *, vm: str, now_s: float) -> bool:
        """Record that a peer had nothing newer; return whether that counts as a failure.

        A parent of the distribution tree may be waiting for the same change.
        """
        since_s = self._waiting_since_s.setdefault(vm, now_s)
        announced = self._sources.get(vm)
        is_announcer = announced is not None and now_s - announced.heard_s <= 2 * SILENCE_S
        if not is_announcer and now_s - since_s < PARENT_WAIT_S:
            return False
        self.observe_pull_failure(vm=vm, now_s=now_s)
        return True

    def observe_pull_progress(self) -> None:
        """Record that a pull has brought something that this VM lacked."""
        self._failing_since_s = None
        self._waiting_since_s.clear()

    def observe_up_to_date(self) -> None:
        """Record that no peer is ahead of this VM."""
        self._failing_since_s = None
        self._waiting_since_s.clear()

    def get_failing_s(self, now_s: float) -> float:
        """Return for how long pulls have failed without progress, in seconds."""
        return 0.0 if self._failing_since_s is None else now_s - self._failing_since_s

    def get_confirmed_s(self, position: Position) -> float:
        """Return when the store last confirmed to any reader that `position` is the newest."""
        return max(
            (s.confirmed_s for s in self._sources.values() if s.position <= position),
            default=float("-inf"),
        )

    def pick_source(
        self, *, members: Sequence[Member], is_ahead: Callable[[Source], bool], now_s: float
    ) -> Source | None:
        """Return the peer to pull from; None if no available peer is ahead by `is_ahead`."""
        ahead = [source for source in self._sources.values() if is_ahead(source)]
        newest = max(ahead, key=lambda s: (s.zone == self.zone, s.heard_s), default=None)
        if newest is None:
            return None
        parent = self._find_parent(members, newest)
        if parent is not None and self._may_pull(parent.vm, now_s):
            return parent
        usable = [source for source in ahead if self._may_pull(source.vm, now_s)]
        return max(usable, key=lambda s: (s.zone == self.zone, s.heard_s), default=None)

    def _may_pull(self, vm: str, now_s: float) -> bool:
        return now_s - self._failed_pulls_s.get(vm, float("-inf")) >= PULL_RETRY_S

    def _find_parent(self, members: Sequence[Member], newest: Source) -> Source | None:
        """Return this VM's parent in the zone's distribution tree; None for a reader."""
        ranked = self._rank(members)
        rank = next((i for i, member in enumerate(ranked) if member.vm == self.vm), 0)
        if rank < READERS_PER_ZONE:
            return None
        parent = ranked[(rank - READERS_PER_ZONE) // TREE_FANOUT]
        return replace(newest, vm=parent.vm, zone=parent.zone, address=parent.address)

    def is_reader(self, *, members: Sequence[Member], position: Position, now_s: float) -> bool:
        """Return whether this VM has to read the store.

        Parameters
        ----------
        members : sequence of Member
            Live VMs, this one included.
        position : Position
            Newest position that this VM holds.
        now_s : float
        """
        if self._started_s is None:
            self._started_s = now_s
        rank = self._get_rank(members)
        if position == START:
            return True
        if rank < READERS_PER_ZONE:
            return not self._is_joining(now_s)
        later = rank - READERS_PER_ZONE
        # The ranks are staggered, as the store's answers would fill many links at once.
        if self.get_failing_s(now_s) > PULLS_FAILING_S + PULLS_FAILING_STEP_S * later:
            return True
        heard_s = max((s.heard_s for s in self._list_zone_readers()), default=self._started_s)
        if now_s - heard_s > SILENCE_S + SILENCE_STEP_S * min(later, MAX_SILENCE_STEPS):
            return True
        # The store serves a reader that has a newer position, too.
        confirmed_s = max((s.confirmed_s for s in self._sources.values()), default=self._started_s)
        stale_s = now_s - max(confirmed_s, self._started_s)
        return rank < MAX_STALE_RANK and stale_s > STALE_S + STALE_STEP_S * later

    def _is_joining(self, now_s: float) -> bool:
        """Return whether this VM has just started and may leave the reading to others."""
        running_s = now_s - self._started_s
        if running_s < START_DELAY_S:
            return True
        return running_s < JOIN_S and len(self.list_recent_zone_readers(now_s)) >= READERS_PER_ZONE

    def list_recipients(self, members: Sequence[Member]) -> list[Member]:
        """Return the VMs that a reader announces to: its own zone and the readers of the others."""
        zones = {member.zone for member in members} - {self.zone}
        local = [m for m in members if m.zone == self.zone and m.vm != self.vm]
        remote = [m for zone in sorted(zones) for m in pick_readers(zone=zone, members=members)]
        return local + remote

    def list_recent_zone_readers(self, now_s: float) -> list[Source]:
        """Return the readers of this zone with a recent announcement."""
        return [s for s in self._list_zone_readers() if now_s - s.heard_s <= 2 * SILENCE_S]

    def pick_load_aggregator(self, members: Sequence[Member], now_s: float) -> Source | None:
        """Return the reader that aggregates this zone's loads: the first by rank that is live."""
        heard = {source.vm: source for source in self.list_recent_zone_readers(now_s)}
        ranked = self._rank(members)
        return next((heard[member.vm] for member in ranked if member.vm in heard), None)

    def is_load_aggregator(self, members: Sequence[Member]) -> bool:
        """Return whether this VM aggregates the loads of its zone."""
        return self._get_rank(members) == 0

    def remove_expired(self, members: Sequence[Member], now_s: float) -> None:
        """Remove peers that are not members and have no recent announcement, and old failures."""
        names = {member.vm for member in members}
        self._sources = {
            vm: source
            for vm, source in self._sources.items()
            if vm in names or now_s - source.heard_s <= 2 * SILENCE_S
        }
        self._failed_pulls_s = {
            vm: failed_s
            for vm, failed_s in self._failed_pulls_s.items()
            if now_s - failed_s < PULL_RETRY_S
        }

    def _list_zone_readers(self) -> list[Source]:
        return [s for s in self._sources.values() if s.zone == self.zone and s.is_reader]

    def _rank(self, members: Sequence[Member]) -> list[Member]:
        """Return the VMs of this zone by rank.

        The result is cached by identity, because the membership returns the same tuple until it
        changes.
        """
        if members is not self._members:
            self._members = members
            self._ranked = rank_readers(zone=self.zone, members=members)
        return self._ranked

    def _get_rank(self, members: Sequence[Member]) -> int:
        ranked = [member.vm for member in self._rank(members)]
        return ranked.index(self.vm) if self.vm in ranked else 0
