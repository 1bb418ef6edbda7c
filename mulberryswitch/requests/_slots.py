"""Slots of the targets: capacity, backoff, slow start, ejection and target selection."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from mulberryswitch.contracts import LoadReport, Target, TargetState
from mulberryswitch.zones import SpillPolicy, pick_zone_first

__all__ = ["SlotTable", "TargetSlots"]

# Time without new runs at a target that shed a request.
SHED_BACKOFF_S = 0.05
# In slow start, a target has one slot at first and one more after each step.
SLOW_START_STEP_S = 1.0
# Links that open within this time after the first target list belong to a dispatcher that takes
# over a service; slow start of all its targets would cut the capacity to a third.
TAKEOVER_WINDOW_S = 5.0
EJECT_AFTER_FAILURES = 3
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
# Ejection and the slow start of returning targets apply to at most one target in three: a failure
# that more of them share is probably not caused by the targets.
TARGETS_PER_PENALTY = 3
REPORT_FRESH_S = 2.0
LOAD_HALF_LIFE_S = 2.0
# A target in the entry zone is preferred while its average load is at most this multiple of the
# mean over all targets.
LOCAL_LOAD_RATIO = 1.1


@dataclass(slots=True, eq=False)
class TargetSlots:
    """State of one target and its slots at the dispatcher."""

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
    backoff_until_s: float = 0.0
    ejected_until_s: float = 0.0
    next_eject_s: float = FIRST_EJECTION_S
    failures: int = 0
    last_pinned_short_s: float = -1e9
    report: LoadReport | None = None
    report_s: float = -1e9
    load: float = 0.0
    load_s: float = 0.0

    def observe_load(self, now_s: float) -> None:
        """Update the moving average of the slots in use."""
        weight = min(1.0, (now_s - self.load_s) / (2.0 * LOAD_HALF_LIFE_S))
        self.load += (self.in_flight - self.load) * weight
        self.load_s = now_s


class SlotTable:
    """Slots of all targets of the service."""

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
        """Update the published targets.

        A target that is no longer published stays for its pinned flows while its link is open.
        """
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
        """Handle the opening of a link to the target."""
        state = self.targets.get(name)
        if state is None or state.is_up:
            return
        state.is_up = True
        self._usable = None
        since = self.first_seen_s if self.first_seen_s is not None else now_s
        is_returning = state.was_lost or now_s - since > TAKEOVER_WINDOW_S
        if state.joining or (is_returning and self._may_slow_start(now_s)):
            state.slow_since_s = now_s

    def _may_slow_start(self, now_s: float) -> bool:
        """Return whether one more target may slow-start.

        The limit of one target in three keeps enough capacity when many links return together.
        """
        slow = sum(state.is_up and self.capacity(state, now_s) < self.slots for state in self)
        return (slow + 1) * TARGETS_PER_PENALTY <= len(self.targets)

    def observe_lost(self, name: str, now_s: float) -> None:
        """Handle the loss of a link; the slots of the target must have been released before."""
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
        """Handle an answer: reset the failure count and the ejection time."""
        state.failures = 0
        state.next_eject_s = FIRST_EJECTION_S

    def observe_failure(self, state: TargetSlots, now_s: float) -> None:
        """Count a lost, shed or unanswered request; eject the target after several in a row."""
        state.failures += 1
        if state.failures < EJECT_AFTER_FAILURES or state.ejected_until_s > now_s:
            return
        ejected = sum(other.ejected_until_s > now_s for other in self)
        if (ejected + 1) * TARGETS_PER_PENALTY > len(self.targets):
            return
        state.ejected_until_s = state.slow_since_s = now_s + state.next_eject_s
        state.next_eject_s = min(MAX_EJECTION_S, 2.0 * state.next_eject_s)
        # Until the target answers, a single further failure ejects it again.
        state.failures = EJECT_AFTER_FAILURES - 1
        self._usable = None
        self.ejections += 1

    def observe_shed(self, state: TargetSlots, now_s: float) -> None:
        """Handle a shed: give the target no new runs for ``SHED_BACKOFF_S`` and count a failure."""
        state.backoff_until_s = now_s + SHED_BACKOFF_S
        self.observe_failure(state, now_s)

    def acquire(self, state: TargetSlots, *, is_remote: bool, is_long: bool, now_s: float) -> None:
        """Take a slot; `is_remote` is True if the request entered in another zone."""
        state.observe_load(now_s)
        state.in_flight += 1
        state.remote_in_flight += is_remote
        if is_long:
            self.adjust_long(state, 1)

    def release(self, state: TargetSlots, *, is_remote: bool, is_long: bool, now_s: float) -> None:
        """Release a slot."""
        state.observe_load(now_s)
        state.in_flight -= 1
        state.remote_in_flight -= is_remote
        if is_long:
            self.adjust_long(state, -1)

    def adjust_long(self, state: TargetSlots, change: int) -> None:
        """Change the count of long runs when one starts, ends or is reclassified while it runs."""
        state.long_in_flight += change
        self.long_in_flight += change

    def capacity(self, state: TargetSlots, now_s: float) -> int:
        """Return the number of slots of the target, used or free, that slow start allows now."""
        if now_s - state.slow_since_s >= SLOW_START_STEP_S * self.slots:
            return self.slots
        steps = 1 + int(max(0.0, now_s - state.slow_since_s) / SLOW_START_STEP_S)
        return min(self.slots, steps)

    def has_free_slot(self, state: TargetSlots, now_s: float) -> bool:
        """Return whether the target can take a request that is pinned to it."""
        return (
            state.is_up
            and state.backoff_until_s <= now_s
            and state.in_flight < self.capacity(state, now_s)
        )

    def list_free_targets(self, now_s: float) -> list[TargetSlots]:
        """Return the targets that can take an unpinned request."""
        return [
            state
            for state in self
            if state.takes_new_work
            and state.ejected_until_s <= now_s
            and self.has_free_slot(state, now_s)
        ]

    def observe_tick(self, now_s: float) -> None:
        """Update the load averages and recompute the number of usable slots."""
        self._usable = None
        for state in self:
            state.observe_load(now_s)
        self.mean_load = sum(state.load for state in self) / max(1, len(self.targets))

    def usable_slots(self, now_s: float) -> int:
        """Return the number of slots, free or not, that unpinned requests may use.

        The number is cached; it is recomputed after each tick and each change of a target.
        """
        if self._usable is None:
            self._usable = self._count_usable(now_s)
        return self._usable

    def count_free_slots(self, now_s: float) -> int:
        """Return the number of free slots that unpinned requests may use."""
        return sum(
            max(0, self.capacity(state, now_s) - state.in_flight)
            for state in self.list_free_targets(now_s)
        )

    def _count_usable(self, now_s: float) -> int:
        return sum(
            self.capacity(state, now_s)
            for state in self
            if state.is_up and state.takes_new_work and state.ejected_until_s <= now_s
        )

    def pick_target(
        self, free: list[TargetSlots], zone: str, zone_queued: dict[str, int], now_s: float
    ) -> TargetSlots | None:
        """Return the best target in `free` for a request that entered in `zone`, or None."""
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
            if state.zone == zone and state.load <= LOCAL_LOAD_RATIO * self.mean_load:
                cost -= 1.0
            return cost + 10.0 * self._report_penalty(state, now_s) + 0.01 * state.load

        return pick_zone_first(allowed, zone, zone_of=lambda s: s.zone, cost_of=cost_of)

    @staticmethod
    def _report_penalty(state: TargetSlots, now_s: float) -> int:
        """Return 1 if a recent report says that the target is draining or unhealthy, otherwise 0.

        Reports can be outdated or wrong, so they only affect the order of targets with a free slot.
        """
        report = state.report
        if report is None or now_s - state.report_s > REPORT_FRESH_S:
            return 0
        return int(report.draining or not report.healthy)
