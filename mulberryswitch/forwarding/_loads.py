"""Load and health of targets, from callers' packets and from the reports of peers.

Health has three levels. A target with an unanswered opening is ejected: it gets no new flows for a
while. A target whose open flows are silent is suspected, and one new flow probes it. A target with
enough confirmed failures and silent open flows is unresponsive, and its open flows on routes whose
callers retry are reset.
"""

import itertools
from collections.abc import Iterable, Mapping, Sized
from dataclasses import dataclass, field, replace

from mulberryswitch.contracts import MAX_SILENT_DS, LoadEntry

from ._evidence import TargetEvidence, Witness

__all__ = [
    "TargetHealth",
    "TargetLoad",
    "TargetLoads",
    "get_load_period_s",
    "subtract_entries",
]

FIRST_EJECTION_S = 0.5
MAX_EJECTION_S = 8.0
# Hedges in a row that a target may lose without an answer to anybody in between.
MAX_LOST_HEDGES = 2
# A suspected target is probed by a new flow within this time.
SUSPICION_TTL_S = 0.5
# A peer's report is ignored if the target has answered this recently.
REPORT_LAG_S = 0.2
# How long a target counts as unresponsive after it was last found to leave a request unanswered.
UNRESPONSIVE_TTL_S = 1.5
# Loads of a VM or zone that is no longer heard are outdated. They expire after the longer of this
# time and TTL_PERIODS reporting periods.
MIN_LOAD_TTL_S = 1.5
TTL_PERIODS = 3
MIN_LOAD_PERIOD_S = 0.3
# The loads of the own zone, those of other zones and the own share may each use a quarter of a
# node's control traffic budget, so large zones report less often.
LOAD_BYTES_PER_S = 500
LOAD_ENTRY_BYTES = 9
SILENT_UNIT_S = 0.1


def get_load_period_s(entries: int) -> float:
    """Return the interval between two load messages with this number of entries."""
    return max(MIN_LOAD_PERIOD_S, entries * LOAD_ENTRY_BYTES / LOAD_BYTES_PER_S)


def is_current(*, entries: Sized, seen_s: float, now_s: float) -> bool:
    """Return whether a load message has not yet expired."""
    return now_s - seen_s <= max(MIN_LOAD_TTL_S, TTL_PERIODS * get_load_period_s(len(entries)))


def add_entries(first: LoadEntry, second: LoadEntry) -> LoadEntry:
    """Return the sum of two loads of one target."""
    return LoadEntry(
        token=first.token,
        long_flows=first.long_flows + second.long_flows,
        busy=first.busy + second.busy,
        silent_ds=min(first.silent_ds, second.silent_ds),
    )


def age_entry(entry: LoadEntry, age_s: float) -> LoadEntry:
    """Return an entry that was received `age_s` ago with its silence extended to now."""
    silent_ds = min(MAX_SILENT_DS, entry.silent_ds + round(age_s / SILENT_UNIT_S))
    return entry if silent_ds == entry.silent_ds else replace(entry, silent_ds=silent_ds)


def sum_entries(entries: Iterable[LoadEntry]) -> list[LoadEntry]:
    """Return the sum of the entries of each target."""
    sums: dict[int, LoadEntry] = {}
    for entry in entries:
        known = sums.get(entry.token)
        sums[entry.token] = entry if known is None else add_entries(known, entry)
    return list(sums.values())


def subtract_entries(entries: Iterable[LoadEntry], share: Iterable[LoadEntry]) -> list[LoadEntry]:
    """Return the loads of a zone minus the share of one of its VMs."""
    own = {entry.token: entry for entry in share}
    return [
        (
            replace(
                entry,
                long_flows=max(0, entry.long_flows - own[entry.token].long_flows),
                busy=max(0, entry.busy - own[entry.token].busy),
            )
            if entry.token in own
            else entry
        )
        for entry in entries
    ]


@dataclass(kw_only=True, slots=True)
class TargetHealth:
    """Health of one target, derived from answered and unanswered flows.

    Attributes
    ----------
    evidence : TargetEvidence
        Answers and confirmed failures, which decide on its open flows.
    ejection_s : float
        Length of the current ejection; doubles with each failure until the next answer.
    ejected_until_s : float
        End of the current ejection.
    suspected_s : float
        When a request was last retransmitted without a recent answer of the target to any VM.
    lost_hedges : int
        Openings since the last answer that a hedge answered first.
    unresponsive_s : float
        When the target was last found to leave a request of an open flow unanswered.
    """

    evidence: TargetEvidence = field(default_factory=TargetEvidence)
    ejection_s: float = 0.0
    ejected_until_s: float = 0.0
    suspected_s: float = float("-inf")
    unresponsive_s: float = float("-inf")
    lost_hedges: int = 0

    def observe_answer(self, now_s: float) -> None:
        """Record an answer to a caller of this VM, which clears all failures."""
        self.evidence.observe_answer(now_s)
        self.ejection_s = 0.0
        self.ejected_until_s = 0.0
        self.lost_hedges = 0
        self.suspected_s = float("-inf")
        self.unresponsive_s = float("-inf")

    def observe_unanswered_opening(self, *, since_s: float, now_s: float) -> bool:
        """Record an opening sent at `since_s` that is unanswered; return whether it ejects.

        A single failure ejects the target. Choosing another one is cheap, while a crashed target
        looks idle and would attract all new flows.
        """
        if self.evidence.answered_s >= since_s or now_s < self.ejected_until_s:
            return False
        self.ejection_s = min(MAX_EJECTION_S, max(FIRST_EJECTION_S, 2 * self.ejection_s))
        self.ejected_until_s = now_s + self.ejection_s
        return True

    def observe_lost_hedge(self, *, since_s: float, now_s: float) -> bool:
        """Record that a hedge answered an opening of `since_s` first; return whether it ejects.

        One says little: the target may just have been slower.
        """
        if self.evidence.last_answer_s >= since_s:
            return False
        self.lost_hedges += 1
        if self.lost_hedges < MAX_LOST_HEDGES:
            return False
        return self.observe_unanswered_opening(since_s=since_s, now_s=now_s)

    def observe_peer_answer(self, answered_s: float) -> None:
        """Record an answer to a peer at `answered_s`.

        Ejections are kept, because they concern the path from this VM.
        """
        self.evidence.observe_peer_answer(answered_s)
        if answered_s > self.unresponsive_s:
            self.unresponsive_s = float("-inf")
        if answered_s > self.suspected_s:
            self.suspected_s = float("-inf")

    def observe_confirmed_failure(self, *, witness: Witness, since_s: float, now_s: float) -> bool:
        """Record that another target answered an opening that this one left unanswered.

        The other answer shows that the path of this VM works. Return whether the failure counts;
        it does not if the target has answered any VM since `since_s`.
        """
        if self.evidence.last_answer_s >= since_s:
            return False
        self.evidence.observe_failures([witness], now_s)
        return True

    def observe_suspicion(self, now_s: float, since_s: float | None = None) -> None:
        """Suspect the target after a caller retransmitted a request, or a hedge was faster.

        It is not suspected if it has answered since `since_s`, or lately where that is not known.

        Either the target is unresponsive or the request is slow. The next opening distinguishes
        the two, since its answer does not wait for a slot; if it fails, the flow is soon placed on
        another target.
        """
        since_s = now_s - REPORT_LAG_S if since_s is None else since_s
        is_silent = self.evidence.last_answer_s < since_s
        if is_silent and not self.evidence.do_witnesses_agree(now_s):
            self.suspected_s = now_s

    def is_suspected(self, now_s: float) -> bool:
        """Return whether the next new flow has to probe the target."""
        is_recent = now_s - self.suspected_s <= SUSPICION_TTL_S
        return is_recent and not self.evidence.do_witnesses_agree(now_s)

    def observe_unanswered_request(
        self, *, since_s: float, peers_heard_s: float, now_s: float
    ) -> bool:
        """Record a request sent at `since_s` without an answer; see ``TargetEvidence``.

        Return whether the target is unresponsive.
        """
        is_lost = self.evidence.is_request_lost(
            since_s=since_s, peers_heard_s=peers_heard_s, now_s=now_s
        )
        if is_lost:
            self.unresponsive_s = now_s
        return is_lost

    def observe_peer_report(
        self, *, ejection_s: float, witnesses: Iterable[Witness], now_s: float
    ) -> bool:
        """Record a peer's report of an unresponsive target; return whether it counts.

        `ejection_s` is 0 if the peer is in another zone. The report is ignored if the target has
        answered recently. It does not reset open flows by itself, since the peer's path may be at
        fault; their own requests must be unanswered as well.
        """
        if now_s - self.evidence.last_answer_s <= REPORT_LAG_S:
            return False
        self.evidence.observe_failures(witnesses, now_s)
        self.ejection_s = max(self.ejection_s, min(MAX_EJECTION_S, ejection_s))
        if ejection_s:
            self.ejected_until_s = max(self.ejected_until_s, now_s + self.ejection_s)
        return True

    def get_silent_ds(self, now_s: float) -> int:
        """Return the time since the last answer to this VM, in tenths of a second.

        Answers to peers are excluded: if VMs relayed them to each other, an unresponsive target
        would appear live forever.
        """
        return round(min(MAX_SILENT_DS, (now_s - self.evidence.answered_s) / SILENT_UNIT_S))

    def is_ejected(self, now_s: float) -> bool:
        """Return whether the target gets no new flows."""
        return now_s < self.ejected_until_s

    def is_unresponsive(self, now_s: float) -> bool:
        """Return whether the target recently left requests of open flows unanswered."""
        return now_s - self.unresponsive_s <= UNRESPONSIVE_TTL_S


@dataclass(kw_only=True, slots=True)
class TargetLoad:
    """Flows and requests in flight at one target, as seen by this VM."""

    openings: int = 0
    long_flows: int = 0
    busy: int = 0
    health: TargetHealth = field(default_factory=TargetHealth)


class TargetLoads:
    """Loads by token, as seen by this VM and by its peers.

    Attributes
    ----------
    has_peers : bool
        Whether this zone has other live VMs, whose loads are then required as evidence.
    """

    def __init__(self) -> None:
        self.has_peers = False
        self._peers_heard_s = float("-inf")
        self._loads: dict[int, TargetLoad] = {}
        self._shares: dict[str, tuple[float, Mapping[int, LoadEntry]]] = {}
        self._zones: dict[str, tuple[float, Mapping[int, LoadEntry]]] = {}
        # Tokens of targets that may be suspected; almost always empty.
        self._suspected: set[int] = set()

    def get_or_create(self, token: int) -> TargetLoad:
        """Return the load of the target with `token`, which is created on first use."""
        load = self._loads.get(token)
        if load is None:
            load = self._loads[token] = TargetLoad()
        return load

    def observe_suspicion(self, token: int, now_s: float, since_s: float | None = None) -> None:
        """Suspect a target after a sign of silence at this VM or at a peer; see `TargetHealth`."""
        self.get_or_create(token).health.observe_suspicion(now_s, since_s)
        self._suspected.add(token)

    def list_suspected(self, now_s: float) -> list[int]:
        """Return the tokens of the targets that the next new flow has to probe."""
        self._suspected = {
            t for t in self._suspected if self.get_or_create(t).health.is_suspected(now_s)
        }
        return sorted(self._suspected)

    def clear_suspicion(self, token: int) -> None:
        """Clear a suspicion once a new flow probes the target, so that no other one does."""
        self.get_or_create(token).health.suspected_s = float("-inf")
        self._suspected.discard(token)

    def observe_share(self, *, vm: str, entries: Iterable[LoadEntry], now_s: float) -> None:
        """Record the share of the load that a VM of this zone reports."""
        self._shares[vm] = (now_s, self._observe_entries(entries, now_s))
        self._peers_heard_s = now_s

    def observe_zone(
        self, *, zone: str, entries: Iterable[LoadEntry], now_s: float, is_own: bool = False
    ) -> None:
        """Replace the sum of the loads of a zone; `is_own` marks the zone of this VM."""
        self._zones[zone] = (now_s, self._observe_entries(entries, now_s))
        if is_own:
            self._peers_heard_s = now_s

    def _observe_entries(self, entries: Iterable[LoadEntry], now_s: float) -> dict[int, LoadEntry]:
        """Record the answers to peers that the entries report; return the entries by token."""
        by_token = {entry.token: entry for entry in entries}
        for token, entry in by_token.items():
            if entry.silent_ds < MAX_SILENT_DS:
                peer_answered_s = now_s - SILENT_UNIT_S * entry.silent_ds
                self.get_or_create(token).health.observe_peer_answer(peer_answered_s)
        return by_token

    def get_peers_heard_s(self, now_s: float) -> float:
        """Return when loads of this zone's peers were last received; infinity without peers."""
        return self._peers_heard_s if self.has_peers else float("inf")

    @property
    def has_shares(self) -> bool:
        """Whether other VMs of this zone report their shares to this VM."""
        return bool(self._shares)

    def list_peer_loads(self, token: int, now_s: float) -> list[LoadEntry]:
        """Return the current loads of a target as seen by peers and other zones."""
        return [
            entries[token]
            for seen_s, entries in itertools.chain(self._shares.values(), self._zones.values())
            if token in entries and is_current(entries=entries, seen_s=seen_s, now_s=now_s)
        ]

    def list_zones(self, now_s: float) -> list[tuple[str, list[LoadEntry]]]:
        """Return the current sums of the zones that were received."""
        return [
            (zone, [age_entry(entry, now_s - seen_s) for entry in entries.values()])
            for zone, (seen_s, entries) in self._zones.items()
            if is_current(entries=entries, seen_s=seen_s, now_s=now_s)
        ]

    def sum_zone_loads(self, now_s: float) -> list[LoadEntry]:
        """Return the sum of the loads of this zone's VMs, including this one."""
        shares = [
            (age_entry(entry, now_s - seen_s) for entry in entries.values())
            for seen_s, entries in self._shares.values()
            if is_current(entries=entries, seen_s=seen_s, now_s=now_s)
        ]
        return sum_entries(itertools.chain(self.build_share(now_s), *shares))

    def sum_other_zones(self, zone: str, now_s: float) -> list[LoadEntry]:
        """Return the sum of the loads of all zones except `zone`."""
        zones = [entries for name, entries in self.list_zones(now_s) if name != zone]
        return sum_entries(itertools.chain.from_iterable(zones))

    def build_share(self, now_s: float) -> list[LoadEntry]:
        """Return this VM's share of the load."""
        return [
            LoadEntry(
                token=token,
                long_flows=load.long_flows,
                busy=load.busy,
                silent_ds=load.health.get_silent_ds(now_s),
            )
            for token, load in self._loads.items()
            if load.long_flows or load.busy
        ]

    def drop_unknown(self, tokens: Iterable[int], now_s: float) -> None:
        """Remove targets whose token is not in `tokens`, and expired loads of peers.

        A target with flows or requests in flight is kept.
        """
        kept = set(tokens)
        self._loads = {
            token: load
            for token, load in self._loads.items()
            if token in kept or load.long_flows or load.busy or load.openings
        }
        for seen in (self._shares, self._zones):
            old = [
                name
                for name, (seen_s, entries) in seen.items()
                if not is_current(entries=entries, seen_s=seen_s, now_s=now_s)
            ]
            for name in old:
                del seen[name]
