"""What callers' packets tell about the load and the health of targets."""

import itertools
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from mulberryswitch.contracts import LoadEntry

__all__ = ["TargetHealth", "TargetLoad", "TargetLoads", "subtract_entries"]

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
# What a VM said is worthless when it no longer speaks.
SHARE_LIFE_S = 1.5


def add_entries(first: LoadEntry, second: LoadEntry) -> LoadEntry:
    """Return the sum of two loads of one target."""
    return LoadEntry(
        token=first.token,
        long_flows=first.long_flows + second.long_flows,
        busy=first.busy + second.busy,
    )


def subtract_entries(entries: Iterable[LoadEntry], share: Iterable[LoadEntry]) -> list[LoadEntry]:
    """Return a zone's loads without the share of one of its VMs."""
    own = {entry.token: entry for entry in share}
    return [
        (
            LoadEntry(
                token=entry.token,
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
        When a caller last acknowledged something of the target.
    ejection_s : float
        Length of the present ejection; it doubles with each failure until the next answer.
    ejected_until_s : float
        No new flows until then.
    unanswered : int
        Openings that this target left without an answer and another one answered, since its last
        answer; those that peers reported included.
    doubted_s : float
        When a request was last repeated without an answer of the target to anybody.
    dark_s : float
        When the target was last found to leave an open flow without an answer.
    """

    answered_s: float = float("-inf")
    ejection_s: float = 0.0
    ejected_until_s: float = 0.0
    unanswered: int = 0
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

    def observe_proof(self, *, since_s: float) -> bool:
        """Another target answered the opening that this one left without an answer.

        So this VM's own path works. Returns whether the proof counts; it does not if the target
        has answered somebody since.
        """
        if self.answered_s >= since_s:
            return False
        self.unanswered += 1
        return True

    def observe_doubt(self, now_s: float) -> None:
        """A caller repeated a request: the target may be dark, or the request slow.

        An opening tells, since its answer does not wait for a slot. If it fails, another target
        takes the flow a moment later.
        """
        if now_s - self.answered_s > REPORT_LAG_S and self.unanswered < DARK_OPENINGS:
            self.doubted_s = now_s

    def is_doubted(self, now_s: float) -> bool:
        """Return whether the next new flow has to try the target."""
        return self.unanswered < DARK_OPENINGS and now_s - self.doubted_s <= DOUBT_LIFE_S

    def observe_open_silence(self, *, since_s: float, now_s: float) -> bool:
        """A request sent at `since_s` has no answer; return whether the target is dark."""
        if self.answered_s >= since_s or self.unanswered < DARK_OPENINGS:
            return False
        self.dark_s = now_s
        return True

    def observe_report(self, *, ejection_s: float, is_dark: bool, now_s: float) -> None:
        """A peer had no answer; `ejection_s` is 0 if its zone is another one.

        Open flows need a silence of their own besides, since the peer's path may be at fault.
        """
        if now_s - self.answered_s <= REPORT_LAG_S:
            return
        self.unanswered += DARK_OPENINGS if is_dark else 1
        self.ejection_s = max(self.ejection_s, min(MAX_EJECTION_S, ejection_s))
        if ejection_s:
            self.ejected_until_s = max(self.ejected_until_s, now_s + self.ejection_s)

    def is_ejected(self, now_s: float) -> bool:
        """Return whether the target gets no new flows."""
        return now_s < self.ejected_until_s

    def is_dark(self, now_s: float) -> bool:
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
    """Loads by token, as this VM and its peers see them."""

    def __init__(self) -> None:
        self._loads: dict[int, TargetLoad] = {}
        self._shares: dict[str, tuple[float, Mapping[int, LoadEntry]]] = {}
        self._zones: dict[str, tuple[float, Mapping[int, LoadEntry]]] = {}

    def find(self, token: int) -> TargetLoad:
        """Return the load of the target that `token` names."""
        load = self._loads.get(token)
        if load is None:
            load = self._loads[token] = TargetLoad()
        return load

    def observe_share(self, *, vm: str, entries: Iterable[LoadEntry], now_s: float) -> None:
        """Take in the share of a VM of this zone."""
        self._shares[vm] = (now_s, {entry.token: entry for entry in entries})

    def observe_zone(self, *, zone: str, entries: Iterable[LoadEntry], now_s: float) -> None:
        """Take in the sum over a zone, in place of what was known of it."""
        self._zones[zone] = (now_s, {entry.token: entry for entry in entries})

    def list_shared(self, token: int, now_s: float) -> list[LoadEntry]:
        """Return what peers see of a target."""
        return [
            entries[token]
            for seen_s, entries in itertools.chain(self._shares.values(), self._zones.values())
            if now_s - seen_s <= SHARE_LIFE_S and token in entries
        ]

    def list_zones(self, now_s: float) -> list[tuple[str, list[LoadEntry]]]:
        """Return the sums that were heard of zones."""
        return [
            (zone, list(entries.values()))
            for zone, (seen_s, entries) in self._zones.items()
            if now_s - seen_s <= SHARE_LIFE_S
        ]

    def build_zone(self, now_s: float) -> list[LoadEntry]:
        """Return the sum over the VMs of this zone, this one included."""
        shares = [
            entries.values() for s, entries in self._shares.values() if now_s - s <= SHARE_LIFE_S
        ]
        sums: dict[int, LoadEntry] = {}
        for entry in itertools.chain(self.build_share(), *shares):
            known = sums.get(entry.token)
            sums[entry.token] = entry if known is None else add_entries(known, entry)
        return list(sums.values())

    def build_share(self) -> list[LoadEntry]:
        """Return this VM's share."""
        return [
            LoadEntry(
                token=token,
                long_flows=load.long_flows,
                busy=load.busy,
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
            for name in [n for n, (seen_s, _) in seen.items() if now_s - seen_s > SHARE_LIFE_S]:
                del seen[name]
