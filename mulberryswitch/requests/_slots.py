"""Slots of the targets: capacity, hold-back, slow start, ejection and choice."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from mulberryswitch.contracts import LoadReport, Target, TargetState
from mulberryswitch.zones import SpillPolicy, pick_zone_first

__all__ = ["SlotTable", "TargetSlots"]

SHED_HOLD_S = 0.05
# A joining target gets one slot at once and one more per step.
SLOW_START_STEP_S = 1.0
# Links that come up this soon after the first target list belong to a dispatcher that takes over;
# a slow start of the whole fleet would cut its capacity to a third.
TAKEOVER_S = 5.0
EJECT_AFTER = 3
EJECT_FIRST_S = 1.0
EJECT_MAX_S = 30.0
# Ejection and the slow start of returning targets affect at most one target in three, because a
# fault that all of them share is not theirs.
MEASURE_SHARE = 3
REPORT_FRESH_S = 2.0
LOAD_HALF_LIFE_S = 2.0
# The entry zone may be preferred while its target's average load is within this of the mean.
HOME_LOAD_RATIO = 1.1


@dataclass(slots=True, eq=False)
class TargetSlots:
    """What the dispatcher knows about one target."""

    name: str
    zone: str
    is_listed: bool = True
    takes_new_work: bool = True
    joining: bool = False
    is_up: bool = False
    was_lost: bool = False
    slow_since_s: float = -1e9
    in_flight: int = 0
    long_in_flight: int = 0
    remote_in_flight: int = 0
    hold_until_s: float = 0.0
    ejected_until_s: float = 0.0
    eject_s: float = EJECT_FIRST_S
    failures: int = 0
    pinned_short_s: float = -1e9
    report: LoadReport | None = None
    report_s: float = -1e9
    load: float = 0.0
    load_s: float = 0.0

    def observe_load(self, now_s: float) -> None:
        """Bring the average of work in flight up to `now_s`."""
        weight = min(1.0, (now_s - self.load_s) / (2.0 * LOAD_HALF_LIFE_S))
        self.load += (self.in_flight - self.load) * weight
        self.load_s = now_s


class SlotTable:
    """All targets of the service."""

    def __init__(self, *, slots: int, spill: SpillPolicy):
        self.slots = slots
        self.spill = spill
        self.targets: dict[str, TargetSlots] = {}
        self.first_seen_s: float | None = None
        self.ejections = 0
        self.long_in_flight = 0
        self.mean_load = 0.0
        self._usable: int | None = None

    def __iter__(self) -> Iterator[TargetSlots]:
        return iter(self.targets.values())

    def get(self, name: str) -> TargetSlots | None:
        """Return the target called `name`."""
        return self.targets.get(name)

    def observe_targets(self, targets: Iterable[Target], slots: int, now_s: float) -> None:
        """Take in the published targets; one that is gone keeps its pinned flows."""
        if self.first_seen_s is None:
            self.first_seen_s = now_s
        self.slots = slots
        self._usable = None
        listed = {target.name: target for target in targets}
        for name, target in listed.items():
            state = self.targets.get(name)
            if state is None:
                state = self.targets[name] = TargetSlots(name, target.zone)
            state.zone = target.zone
            state.is_listed = True
            state.takes_new_work = target.takes_new_work
            state.joining = target.state is TargetState.JOINING
        for name in [name for name in self.targets if name not in listed]:
            state = self.targets[name]
            state.is_listed = state.takes_new_work = False
            if not state.is_up:
                del self.targets[name]

    def observe_up(self, name: str, now_s: float) -> None:
        """A link to the target is open."""
        state = self.targets.get(name)
        if state is None or state.is_up:
            return
        state.is_up = True
        self._usable = None
        since = self.first_seen_s if self.first_seen_s is not None else now_s
        cold = state.was_lost or now_s - since > TAKEOVER_S
        if state.joining or (cold and self._may_slow_another(now_s)):
            state.slow_since_s = now_s

    def _may_slow_another(self, now_s: float) -> bool:
        """Return whether links that return together leave enough capacity for a slow start."""
        slow = sum(state.is_up and self.capacity(state, now_s) < self.slots for state in self)
        return (slow + 1) * MEASURE_SHARE <= len(self.targets)

    def observe_lost(self, name: str, now_s: float) -> None:
        """The link to the target broke, after its slots were freed."""
        state = self.targets.get(name)
        if state is None or not state.is_up:
            return
        state.is_up = False
        self._usable = None
        state.was_lost = True
        self.observe_failure(state, now_s)
        if not state.is_listed:
            del self.targets[name]

    def observe_success(self, state: TargetSlots) -> None:
        """The target answered a request."""
        state.failures = 0
        state.eject_s = EJECT_FIRST_S

    def observe_failure(self, state: TargetSlots, now_s: float) -> None:
        """The target lost, shed or did not answer a request; eject it after several in a row."""
        state.failures += 1
        if state.failures < EJECT_AFTER or state.ejected_until_s > now_s:
            return
        ejected = sum(other.ejected_until_s > now_s for other in self)
        if (ejected + 1) * MEASURE_SHARE > len(self.targets):
            return
        state.ejected_until_s = state.slow_since_s = now_s + state.eject_s
        state.eject_s = min(EJECT_MAX_S, 2.0 * state.eject_s)
        # The target is on trial until it answers: one more failure ejects it again.
        state.failures = EJECT_AFTER - 1
        self._usable = None
        self.ejections += 1

    def observe_shed(self, state: TargetSlots, now_s: float) -> None:
        """The target refused a request: treat it as busy for a short time."""
        state.hold_until_s = now_s + SHED_HOLD_S
        self.observe_failure(state, now_s)

    def apply_taken(
        self, state: TargetSlots, *, is_foreign: bool, is_long: bool, now_s: float
    ) -> None:
        """Take a slot; `is_foreign` for a request that entered in another zone."""
        state.observe_load(now_s)
        state.in_flight += 1
        state.remote_in_flight += is_foreign
        if is_long:
            self.apply_long(state, 1)

    def apply_freed(
        self, state: TargetSlots, *, is_foreign: bool, is_long: bool, now_s: float
    ) -> None:
        """Give a slot back."""
        state.observe_load(now_s)
        state.in_flight -= 1
        state.remote_in_flight -= is_foreign
        if is_long:
            self.apply_long(state, -1)

    def apply_long(self, state: TargetSlots, change: int) -> None:
        """Count long work that starts, ends or turns out to be long while it runs."""
        state.long_in_flight += change
        self.long_in_flight += change

    def capacity(self, state: TargetSlots, now_s: float) -> int:
        """Return the slots in use or usable at the target now."""
        if now_s - state.slow_since_s >= SLOW_START_STEP_S * self.slots:
            return self.slots
        steps = 1 + int(max(0.0, now_s - state.slow_since_s) / SLOW_START_STEP_S)
        return min(self.slots, steps)

    def has_free(self, state: TargetSlots, now_s: float) -> bool:
        """Return whether a pinned request may go to the target."""
        return (
            state.is_up
            and state.hold_until_s <= now_s
            and state.in_flight < self.capacity(state, now_s)
        )

    def free_targets(self, now_s: float) -> list[TargetSlots]:
        """Return the targets that may take an unpinned request."""
        return [
            state
            for state in self
            if state.takes_new_work
            and state.ejected_until_s <= now_s
            and self.has_free(state, now_s)
        ]

    def observe_tick(self, now_s: float) -> None:
        """Bring averages and the number of usable slots up to date."""
        self._usable = None
        for state in self:
            state.observe_load(now_s)
        self.mean_load = sum(state.load for state in self) / max(1, len(self.targets))

    def usable_slots(self, now_s: float) -> int:
        """Return the number of slots, free or not, that unpinned requests may use.

        The number is exact at each tick and at each change of a target.
        """
        if self._usable is None:
            self._usable = self._count_usable(now_s)
        return self._usable

    def _count_usable(self, now_s: float) -> int:
        return sum(
            self.capacity(state, now_s)
            for state in self
            if state.is_up and state.takes_new_work and state.ejected_until_s <= now_s
        )

    def pick(
        self, free: list[TargetSlots], zone: str, zone_queued: dict[str, int], now_s: float
    ) -> TargetSlots | None:
        """Return the target in `free` for a request that entered in `zone`."""
        allowed = [
            state
            for state in free
            if state.zone == zone
            or self.spill.is_spill_allowed(
                slots=self.slots,
                remote_in_flight=state.remote_in_flight,
                local_queued=zone_queued.get(state.zone, 0),
            )
        ]
        if len(allowed) < 2:
            return allowed[0] if allowed else None

        def cost_of(state: TargetSlots) -> float:
            cost = float(state.in_flight)
            if state.zone == zone and state.load <= HOME_LOAD_RATIO * self.mean_load:
                cost -= 1.0
            return cost + 10.0 * self._report_doubt(state, now_s) + 0.01 * state.load

        return pick_zone_first(allowed, zone, zone_of=lambda s: s.zone, cost_of=cost_of)

    @staticmethod
    def _report_doubt(state: TargetSlots, now_s: float) -> int:
        """Return 1 when a fresh report advises against the target.

        Reports lag and mislead, so they only order targets that have a free slot.
        """
        report = state.report
        if report is None or now_s - state.report_s > REPORT_FRESH_S:
            return 0
        return int(report.draining or not report.healthy)
