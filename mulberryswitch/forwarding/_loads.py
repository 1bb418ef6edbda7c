"""What callers' packets tell about the load and the health of targets."""

import itertools
from collections.abc import Iterable, Mapping, Sized
from dataclasses import dataclass, field, replace

from mulberryswitch.contracts import MAX_SILENT_DS, LoadEntry

__all__ = [
    "TargetHealth",
    "TargetLoad",
    "TargetLoads",
    "get_load_period_s",
    "subtract_entries",
]

FIRST_EJECTION_S = 0.5
MAX_EJECTION_S = 8.0
# A target whose request found no answer is tried with a new flow within this time.
DOUBT_LIFE_S = 0.5
# A peer's report counts unless this VM has had an answer since about then.
REPORT_LAG_S = 0.2
# Openings without an answer, with no sign of life between, that prove a target unreachable. Its
# answer to an opening does not wait for a slot; a request may wait long at a target that lives.
DARK_OPENINGS = 2
# How long a target that left open flows without an answer is taken to be dark.
DARK_LIFE_S = 1.5
# Proofs that a target is unreachable belong together only within this time.
PROOF_LIFE_S = 3.0
# What a VM said is worthless when it no longer speaks.
SHARE_LIFE_S = 1.5
LIFE_PERIODS = 3
SHARE_PERIOD_S = 0.3
# Own zone, other zones and own share: each may take a quarter of a node's budget for control, so
# large zones tell them less often.
LOAD_BYTES_PER_S = 500
LOAD_ENTRY_BYTES = 9
# What peers say about a request has to be heard at least so long after it was sent.
PEERS_LAG_S = 0.2
# Silence to all VMs of the zone that tells a dark target from one that lives; a sum of the zone is
# up to 0.3 s old, and a target at work answers somebody several times in the rest.
ZONE_SILENCE_S = 0.6
SILENT_STEP_S = 0.1


def get_load_period_s(entries: int) -> float:
    """Return the time between two messages with so many entries of load."""
    return max(SHARE_PERIOD_S, entries * LOAD_ENTRY_BYTES / LOAD_BYTES_PER_S)


def is_current(*, entries: Sized, seen_s: float, now_s: float) -> bool:
    """Return whether a message of load still counts."""
    return now_s - seen_s <= max(SHARE_LIFE_S, LIFE_PERIODS * get_load_period_s(len(entries)))


def add_entries(first: LoadEntry, second: LoadEntry) -> LoadEntry:
    """Return the sum of two loads of one target."""
    return LoadEntry(
        token=first.token,
        long_flows=first.long_flows + second.long_flows,
        busy=first.busy + second.busy,
        silent_ds=min(first.silent_ds, second.silent_ds),
    )


def age_entry(entry: LoadEntry, age_s: float) -> LoadEntry:
    """Return an entry that was heard `age_s` ago as it reads now."""
    silent_ds = min(MAX_SILENT_DS, entry.silent_ds + round(age_s / SILENT_STEP_S))
    return entry if silent_ds == entry.silent_ds else replace(entry, silent_ds=silent_ds)


def sum_entries(entries: Iterable[LoadEntry]) -> list[LoadEntry]:
    """Return one entry for each target."""
    sums: dict[int, LoadEntry] = {}
    for entry in entries:
        known = sums.get(entry.token)
        sums[entry.token] = entry if known is None else add_entries(known, entry)
    return list(sums.values())


def subtract_entries(entries: Iterable[LoadEntry], share: Iterable[LoadEntry]) -> list[LoadEntry]:
    """Return a zone's loads without the share of one of its VMs."""
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
    """Signs of life of one target.

    Attributes
    ----------
    answered_s : float
        When a caller last acknowledged something of the target at this VM.
    heard_s : float
        The same at the other VMs, as they last said.
    ejection_s : float
        Length of the present ejection; it doubles with each failure until the next answer.
    ejected_until_s : float
        No new flows until then.
    unanswered : int
        Openings that this target left without an answer and another one answered, since its last
        answer; those that peers reported included.
    proved_s : float
        When `unanswered` last rose.
    doubted_s : float
        When a request was last repeated without an answer of the target to anybody.
    dark_s : float
        When the target was last found to leave an open flow without an answer.
    """

    answered_s: float = float("-inf")
    heard_s: float = float("-inf")
    ejection_s: float = 0.0
    ejected_until_s: float = 0.0
    unanswered: int = 0
    proved_s: float = float("-inf")
    doubted_s: float = float("-inf")
    dark_s: float = float("-inf")

    def observe_answer(self, now_s: float) -> None:
        """The target answered a caller."""
        self.answered_s = now_s
        self.ejection_s = 0.0
        self.ejected_until_s = 0.0
        self.unanswered = 0
        self.doubted_s = float("-inf")
        self.dark_s = float("-inf")

    def observe_silence(self, *, since_s: float, now_s: float) -> bool:
        """An opening sent at `since_s` found no answer; return whether that ejects the target.

        One failure is enough: to choose another target costs little, while a target that crashed
        looks idle and would draw all new flows.
        """
        if self.answered_s >= since_s or now_s < self.ejected_until_s:
            return False
        self.ejection_s = min(MAX_EJECTION_S, max(FIRST_EJECTION_S, 2 * self.ejection_s))
        self.ejected_until_s = now_s + self.ejection_s
        return True

    def observe_heard(self, answered_s: float) -> None:
        """A peer had an answer at `answered_s`; ejections stay, since they are about own paths."""
        self.heard_s = max(self.heard_s, answered_s)
        if answered_s > self.proved_s:
            self.unanswered = 0
        if answered_s > self.dark_s:
            self.dark_s = float("-inf")
        if answered_s > self.doubted_s:
            self.doubted_s = float("-inf")

    @property
    def last_answer_s(self) -> float:
        """When the target last answered anybody, as far as it is known here."""
        return max(self.answered_s, self.heard_s)

    def count_proofs(self, now_s: float) -> int:
        """Return the openings in quick succession that found no answer."""
        return self.unanswered if now_s - self.proved_s <= PROOF_LIFE_S else 0

    def observe_proof(self, *, since_s: float, now_s: float) -> bool:
        """Another target answered the opening that this one left without an answer.

        So this VM's own path works. Returns whether the proof counts; it does not if the target
        has answered somebody since.
        """
        if self.last_answer_s >= since_s:
            return False
        self._add_proofs(1, now_s)
        return True

    def _add_proofs(self, count: int, now_s: float) -> None:
        self.unanswered = self.count_proofs(now_s) + count
        self.proved_s = now_s

    def observe_suspicion(self, now_s: float) -> None:
        """A caller repeated a request: the target may be dark, or the request slow.

        An opening tells, since its answer does not wait for a slot. If it fails, another target
        takes the flow a moment later.
        """
        if now_s - self.last_answer_s > REPORT_LAG_S and self.count_proofs(now_s) < DARK_OPENINGS:
            self.doubted_s = now_s

    def is_doubted(self, now_s: float) -> bool:
        """Return whether the next new flow has to try the target."""
        return self.count_proofs(now_s) < DARK_OPENINGS and now_s - self.doubted_s <= DOUBT_LIFE_S

    def observe_open_silence(self, *, since_s: float, checked_s: float, now_s: float) -> bool:
        """A request sent at `since_s` has no answer; return whether the target is dark.

        Parameters
        ----------
        since_s, now_s : float
        checked_s : float
            When this VM last heard of the answers that its peers saw. A VM whose link is full
            loses packets to targets that live, which only its peers can tell.
        """
        if self.last_answer_s >= since_s or self.count_proofs(now_s) < DARK_OPENINGS:
            return False
        if checked_s < since_s + PEERS_LAG_S or checked_s - self.heard_s < ZONE_SILENCE_S:
            return False
        self.dark_s = now_s
        return True

    def observe_peer_report(
        self, *, ejection_s: float, is_unresponsive: bool, now_s: float
    ) -> bool:
        """A peer had no answer; `ejection_s` is 0 if its zone is another one.

        Open flows need a silence of their own besides, since the peer's path may be at fault.
        Returns whether the report counts; it does not if the target has answered since.
        """
        if now_s - self.last_answer_s <= REPORT_LAG_S:
            return False
        self._add_proofs(DARK_OPENINGS if is_unresponsive else 1, now_s)
        self.ejection_s = max(self.ejection_s, min(MAX_EJECTION_S, ejection_s))
        if ejection_s:
            self.ejected_until_s = max(self.ejected_until_s, now_s + self.ejection_s)
        return True

    def get_silent_ds(self, now_s: float) -> int:
        """Return how long this VM has seen no answer; what peers said is not passed on."""
        return round(min(MAX_SILENT_DS, (now_s - self.answered_s) / SILENT_STEP_S))

    def is_ejected(self, now_s: float) -> bool:
        """Return whether the target gets no new flows."""
        return now_s < self.ejected_until_s

    def is_unresponsive(self, now_s: float) -> bool:
        """Return whether open flows of the target have no answers either."""
        return now_s - self.dark_s <= DARK_LIFE_S


@dataclass(kw_only=True, slots=True)
class TargetLoad:
    """Flows and requests in flight at one target, as this VM sees them."""

    openings: int = 0
    long_flows: int = 0
    busy: int = 0
    health: TargetHealth = field(default_factory=TargetHealth)


class TargetLoads:
    """Loads by token, as this VM and its peers see them.

    Attributes
    ----------
    has_peers : bool
        Whether other VMs of this zone live, whose word counts beside this VM's own view.
    """

    def __init__(self) -> None:
        self.has_peers = False
        self._checked_s = float("-inf")
        self._loads: dict[int, TargetLoad] = {}
        self._shares: dict[str, tuple[float, Mapping[int, LoadEntry]]] = {}
        self._zones: dict[str, tuple[float, Mapping[int, LoadEntry]]] = {}
        # Tokens of the targets that may be doubted; almost always empty.
        self._doubted: set[int] = set()

    def find(self, token: int) -> TargetLoad:
        """Return the load of the target that `token` names."""
        load = self._loads.get(token)
        if load is None:
            load = self._loads[token] = TargetLoad()
        return load

    def observe_suspicion(self, token: int, now_s: float) -> None:
        """A caller of this VM or of a peer repeated a request to a target."""
        self.find(token).health.observe_suspicion(now_s)
        self._doubted.add(token)

    def list_doubted(self, now_s: float) -> list[int]:
        """Return the targets that the next new flow has to try."""
        self._doubted = {t for t in self._doubted if self.find(t).health.is_doubted(now_s)}
        return sorted(self._doubted)

    def end_doubt(self, token: int) -> None:
        """A new flow tries the target, so no other one has to."""
        self.find(token).health.doubted_s = float("-inf")
        self._doubted.discard(token)

    def observe_share(self, *, vm: str, entries: Iterable[LoadEntry], now_s: float) -> None:
        """Take in the share of a VM of this zone."""
        self._shares[vm] = (now_s, self._take(entries, now_s))
        self._checked_s = now_s

    def observe_zone(
        self, *, zone: str, entries: Iterable[LoadEntry], now_s: float, is_own: bool = False
    ) -> None:
        """Take in the sum over a zone, in place of what was known of it."""
        self._zones[zone] = (now_s, self._take(entries, now_s))
        if is_own:
            self._checked_s = now_s

    def _take(self, entries: Iterable[LoadEntry], now_s: float) -> dict[int, LoadEntry]:
        taken = {entry.token: entry for entry in entries}
        for token, entry in taken.items():
            if entry.silent_ds < MAX_SILENT_DS:
                heard_s = now_s - SILENT_STEP_S * entry.silent_ds
                self.find(token).health.observe_heard(heard_s)
        return taken

    def get_checked_s(self, now_s: float) -> float:
        """Return when the peers of this zone last said which targets answer them."""
        return self._checked_s if self.has_peers else float("inf")

    @property
    def has_shares(self) -> bool:
        """Whether VMs of this zone tell this one their share."""
        return bool(self._shares)

    def list_peer_loads(self, token: int, now_s: float) -> list[LoadEntry]:
        """Return what peers see of a target."""
        return [
            entries[token]
            for seen_s, entries in itertools.chain(self._shares.values(), self._zones.values())
            if token in entries and is_current(entries=entries, seen_s=seen_s, now_s=now_s)
        ]

    def list_zones(self, now_s: float) -> list[tuple[str, list[LoadEntry]]]:
        """Return the sums that were heard of zones."""
        return [
            (zone, [age_entry(entry, now_s - seen_s) for entry in entries.values()])
            for zone, (seen_s, entries) in self._zones.items()
            if is_current(entries=entries, seen_s=seen_s, now_s=now_s)
        ]

    def sum_zone_loads(self, now_s: float) -> list[LoadEntry]:
        """Return the sum over the VMs of this zone, this one included."""
        shares = [
            (age_entry(entry, now_s - seen_s) for entry in entries.values())
            for seen_s, entries in self._shares.values()
            if is_current(entries=entries, seen_s=seen_s, now_s=now_s)
        ]
        return sum_entries(itertools.chain(self.build_share(now_s), *shares))

    def sum_other_zones(self, zone: str, now_s: float) -> list[LoadEntry]:
        """Return the sum over all zones but `zone`."""
        zones = [entries for name, entries in self.list_zones(now_s) if name != zone]
        return sum_entries(itertools.chain.from_iterable(zones))

    def build_share(self, now_s: float) -> list[LoadEntry]:
        """Return this VM's share."""
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
        """Forget targets that are no longer known and peers that fell silent."""
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
