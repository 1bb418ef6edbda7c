"""Flow table of one shard: a base that resolves most flows, and the exceptions to it."""

from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from math import inf
from sys import intern

from mulberryswitch.contracts import Pin, ResultCode, Target, TargetState

from ._hashing import FLOW_SHARDS, build_lookup_table, pick_slot

__all__ = ["IDLE_TIMEOUT_S", "MAX_SHARD_FLOWS", "FlowShard"]

IDLE_TIMEOUT_S = 15 * 60
YOUNG_S = 1.0
MAX_SHARD_FLOWS = 400_000
BALANCE_FACTOR = 1.25
BALANCE_SLACK = 2
SLOW_START_S = 30.0
# Several target changes usually arrive together; one rebase covers them.
REBASE_DELAY_S = 5.0
STAMP_S = 60
SWEEP_CHUNK = 8


class FlowShard:
    """Pinned target of each open flow of one shard of a service.

    Parameters
    ----------
    service : str
        Name of the service.
    shard : int
        Shard number, 0 to 15.
    max_flows : int
        Largest number of flows held; a new flow beyond it is refused with ``FLOW_TABLE_FULL``.
    """

    def __init__(self, *, service: str, shard: int, max_flows: int = MAX_SHARD_FLOWS):
        self.service = service
        self.shard = shard
        self.max_flows = max_flows
        self.base: tuple[str, ...] = ()
        self.complete = False
        # Until the state of the previous owner has arrived, an unknown flow is not resolved here.
        self.awaiting_state = True
        self._complete_at_s = 0.0
        # All flows stamped in one minute at one target share one (target, stamp, guessed) tuple,
        # so a flow costs its key and one dictionary entry.
        self._flows: dict[bytes, tuple[str, int, bool]] = {}
        self._marks: dict[tuple[str, bool], tuple[str, int, bool]] = {}
        self._stamp = 0
        self._table: tuple[str, ...] = ()
        self._next_base: tuple[str, ...] = ()
        self._next_table: tuple[str, ...] = ()
        self._exceptions: dict[bytes, str] = {}
        self._young: deque[tuple[float, bytes]] = deque()
        self._closed: list[bytes] = []
        # Flows per target, known here or inherited; `_inherited` is the part that another owner
        # reported and that is unknown here.
        self._counts: dict[str, int] = {}
        self._inherited: dict[str, int] = {}
        self._active_count = 0
        self._foreign: frozenset[str] = frozenset()
        self._valid_until_s = inf
        self._active: dict[str, float] = {}
        self._changed_s = 0.0
        self._limit = 0
        self._sweep: list[bytes] = []

    @property
    def open_count(self) -> int:
        """Flows known here."""
        return len(self._flows)

    @property
    def exceptions(self) -> Mapping[bytes, str]:
        """Flows whose target is not the pick of the base, young ones included."""
        return self._exceptions

    @property
    def flows(self) -> Iterable[tuple[bytes, str]]:
        """Each known flow with its target."""
        return ((flow, mark[0]) for flow, mark in self._flows.items())

    def count_at(self, target: str) -> int:
        """Return the flows at `target`: known here, or reported by the previous owner."""
        return self._counts.get(target, 0)

    def count_by_target(self) -> dict[str, int]:
        """Return the flows of each target that has any."""
        return {name: count for name, count in sorted(self._counts.items()) if count}

    def apply_targets(
        self,
        *,
        targets: Sequence[Target],
        connections: int,
        now_s: float,
        foreign: frozenset[str] = frozenset(),
    ) -> None:
        """Set the targets of the service and the connection limit of each; moves no open flow.

        `foreign` names the targets of other services: a flow that was pinned to one of them before
        it changed its service is not resolved any more.
        """
        first = not self._active
        active = {}
        for target in sorted(targets, key=lambda target: target.name):
            if target.takes_new_work:
                cold = target.state is TargetState.JOINING or not first
                since_s = now_s if cold else now_s - SLOW_START_S
                active[intern(target.name)] = self._active.get(target.name, since_s)
        if active.keys() != self._active.keys():
            self._changed_s = now_s
        self._active = active
        self._active_count = sum(map(self.count_at, active))
        self._limit = connections // FLOW_SHARDS
        self._foreign = foreign
        for name in foreign & self._counts.keys():
            self.apply_target_lost(target=name)
        if not self.base and not self.awaiting_state:
            self._set_base(tuple(active))

    def apply_open(self, *, flow: bytes, now_s: float) -> str | ResultCode:
        """Pin a new flow and return its target, or the target of a flow that is open."""
        self._observe_time(now_s)
        mark = self._flows.get(flow)
        if mark is not None:
            return self._touch(flow, mark)
        if self.awaiting_state or now_s > self._valid_until_s:
            return ResultCode.NOT_OWNER
        if len(self._flows) >= self.max_flows:
            return ResultCode.FLOW_TABLE_FULL
        target = self._pick_target(flow, now_s)
        if isinstance(target, ResultCode):
            return target
        self._add(flow, target)
        if self._is_exception(flow, target):
            self._exceptions[flow] = target
            self._young.append((now_s, flow))
        return target

    def lookup(self, *, flow: bytes, now_s: float) -> str | ResultCode | None:
        """Return the target of a flow; None only if the base is empty.

        An unknown flow resolves to its base pick; ``NOT_OWNER`` is returned instead while this VM
        waits for the state of the previous owner. While the shard is not complete, an unknown flow
        is recorded, so that the shard knows every flow that sent a packet within the idle timeout.
        """
        mark = self._flows.get(flow)
        if mark is not None:
            return self._touch(flow, mark)
        self._observe_time(now_s)
        if self.awaiting_state or now_s > self._valid_until_s:
            return ResultCode.NOT_OWNER
        if not self._table:
            return None
        target = self._table[pick_slot(flow)]
        if target in self._foreign:
            return ResultCode.UNKNOWN_FLOW
        if not self.complete and len(self._flows) < self.max_flows:
            self._release_inherited(target)
            self._add(flow, target, guessed=True)
        return target

    def get_pinned_target(self, *, flow: bytes) -> str:
        """Return the target that a request on this flow must run at; empty if it is not open.

        A flow that this VM has not seen since it took the shard over counts as not open. Resolving
        it with the base would pin every one-shot request after a takeover and end late binding.
        """
        mark = self._flows.get(flow)
        return mark[0] if mark is not None else ""

    def apply_close(self, *, flow: bytes, now_s: float) -> None:
        """Forget a flow."""
        self._observe_time(now_s)
        if flow in self._flows:
            self._remove(flow)
        elif not self.complete and self._table:
            self._release_inherited(self._table[pick_slot(flow)])

    def apply_target_lost(self, *, target: str) -> list[bytes]:
        """Forget the flows of a target that died, and return them."""
        ended = [flow for flow, mark in self._flows.items() if mark[0] == target]
        for flow in ended:
            self._remove(flow)
        self._change_count(target, -self._inherited.pop(target, 0))
        return ended

    def apply_tick(self, *, now_s: float, valid_s: float = inf) -> None:
        """Advance the idle sweep and the completeness.

        After `valid_s` without a tick, unknown flows are not resolved.
        """
        self._observe_time(now_s)
        self._valid_until_s = now_s + valid_s

    # Replication

    def take_changes(
        self, *, now_s: float, young: bool = False
    ) -> tuple[list[Pin], tuple[bytes, ...]]:
        """Return and clear the exceptions that became due and the exceptions that closed.

        Parameters
        ----------
        young : bool
            Whether exceptions younger than 1 s are due too.
        """
        pins = []
        while self._young and (young or now_s - self._young[0][0] >= YOUNG_S):
            _, flow = self._young.popleft()
            target = self._exceptions.get(flow)
            if target is not None:
                pins.append(Pin(flow=flow, target=target))
        closed, self._closed = tuple(self._closed), []
        return pins, closed

    def list_pins(self, *, everything: bool = False) -> list[Pin]:
        """Return all exceptions, or all flows, as pins."""
        source = self.flows if everything else self._exceptions.items()
        return [Pin(flow=flow, target=target) for flow, target in source]

    @property
    def replicated_base(self) -> tuple[str, ...]:
        """The base that standbys are to hold."""
        return self._next_base or self.base

    @property
    def rebasing(self) -> bool:
        """Whether standbys still have to acknowledge the next base."""
        return bool(self._next_base)

    @property
    def has_changes(self) -> bool:
        """Whether exceptions opened or closed that ``take_changes`` has not returned."""
        return bool(self._young or self._closed)

    def needs_rebase(self, *, now_s: float) -> bool:
        """Return whether the base may be rebuilt and differs from the active targets."""
        return (
            self.complete
            and not self._next_base
            and bool(self._active)
            and self.base != tuple(self._active)
            and now_s - self._changed_s >= REBASE_DELAY_S
        )

    def apply_rebase_start(self) -> tuple[str, ...]:
        """Choose the next base and return it.

        Until ``apply_rebase_end`` a flow is an exception if its target differs from the pick of
        either base, so a standby with either one resolves it.
        """
        self._next_base = tuple(self._active)
        self._next_table = build_lookup_table(self._next_base)
        self._rebuild_exceptions()
        return self._next_base

    def apply_rebase_end(self) -> None:
        """Switch to the next base; all standbys hold it."""
        if self._next_base:
            self._set_base(self._next_base)
        self._next_base, self._next_table = (), ()

    def apply_start(self, *, fleet_is_new: bool, now_s: float) -> None:
        """Begin to serve with what is held; a new fleet has no flows that are unknown here."""
        self._observe_time(now_s)
        self.awaiting_state = False
        if self.base:
            return
        self._set_base(tuple(self._active))
        self.complete = fleet_is_new
        self._complete_at_s = now_s + IDLE_TIMEOUT_S

    def apply_state(
        self,
        *,
        base: tuple[str, ...],
        pins: Mapping[bytes, str],
        counts: Mapping[str, int],
        now_s: float,
    ) -> None:
        """Serve from the replicated state of another owner; its pins replace own ones."""
        self.apply_rebase_end()
        self.apply_start(fleet_is_new=False, now_s=now_s)
        self._set_incomplete(now_s)
        if base != self.base:
            self._set_base(base)
            self._rebuild_exceptions()
        for flow, target in pins.items():
            if flow in self._flows:
                self._remove(flow)
            self._add_pin(flow, target, now_s)
        self._raise_inherited(counts)

    def apply_merge(self, *, pins: Iterable[Pin], counts: Mapping[str, int], now_s: float) -> None:
        """Add the pins of another VM that served the shard.

        Own pins win, except those of flows that were only assumed to be at their base pick.
        """
        self._set_incomplete(now_s)
        for pin in pins:
            mark = self._flows.get(pin.flow)
            if mark is not None and not mark[2]:
                continue
            if mark is not None:
                self._remove(pin.flow)
            # The flow is part of the count that the former owner reported.
            self._release_inherited(pin.target)
            self._add_pin(pin.flow, pin.target, now_s)
        self._raise_inherited(counts)

    def is_confirmed(self, *, flow: bytes) -> bool:
        """Return whether the flow's target is known and not only assumed from the base."""
        mark = self._flows.get(flow)
        return mark is not None and not mark[2]

    def apply_found_target(self, *, flow: bytes, target: str, now_s: float) -> None:
        """Pin a flow to the target that was found to hold it."""
        if flow in self._flows:
            self._remove(flow)
        self._add_pin(flow, target, now_s)

    def apply_reset(self) -> None:
        """Forget all flows after another VM has taken the shard over."""
        self.awaiting_state, self.complete = True, False
        self._set_base(())
        self._next_base, self._next_table = (), ()
        for state in (self._flows, self._exceptions, self._counts, self._inherited):
            state.clear()
        self._active_count = 0
        self._marks.clear()
        self._young.clear()
        self._closed.clear()
        self._sweep.clear()

    # Internals

    def _set_base(self, base: tuple[str, ...]) -> None:
        self.base = base
        self._table = build_lookup_table(base)

    def _rebuild_exceptions(self) -> None:
        self._exceptions = {
            flow: mark[0] for flow, mark in self._flows.items() if self._is_exception(flow, mark[0])
        }

    def _set_incomplete(self, now_s: float) -> None:
        self.complete = False
        self._complete_at_s = now_s + IDLE_TIMEOUT_S

    def _raise_inherited(self, counts: Mapping[str, int]) -> None:
        """Count the flows at base picks that another owner has and that are unknown here."""
        for name, count in counts.items():
            unknown = count - self._counts.get(name, 0)
            if unknown > 0 and name not in self._foreign:
                self._inherited[name] = self._inherited.get(name, 0) + unknown
                self._change_count(name, unknown)

    def _is_exception(self, flow: bytes, target: str) -> bool:
        slot = pick_slot(flow)
        if not self._table or self._table[slot] != target:
            return True
        return bool(self._next_table) and self._next_table[slot] != target

    def _pick_target(self, flow: bytes, now_s: float) -> str | ResultCode:
        if not self._active:
            return ResultCode.NO_ACTIVE_TARGET
        mean = self._active_count / len(self._active)
        pick = self._table[pick_slot(flow)] if self._table else ""
        if pick in self._active and self.count_at(pick) < self._bound(pick, mean, now_s):
            return pick
        room = [name for name in self._active if self.count_at(name) < self._limit]
        if not room:
            return ResultCode.CONNECTION_LIMIT
        warm = [name for name in room if self.count_at(name) < self._bound(name, mean, now_s)]
        return min(warm or room, key=self.count_at)

    def _bound(self, name: str, mean: float, now_s: float) -> float:
        warmth = min(1.0, (now_s - self._active[name]) / SLOW_START_S)
        return min(self._limit, BALANCE_FACTOR * mean * warmth + BALANCE_SLACK)

    def _mark(self, target: str, guessed: bool) -> tuple[str, int, bool]:
        key = (target, guessed)
        mark = self._marks.get(key)
        if mark is None:
            mark = self._marks[key] = (target, self._stamp, guessed)
        return mark

    def _touch(self, flow: bytes, mark: tuple[str, int, bool]) -> str:
        if mark[1] != self._stamp:
            self._flows[flow] = self._mark(mark[0], mark[2])
        return mark[0]

    def _add(self, flow: bytes, target: str, guessed: bool = False) -> None:
        self._flows[flow] = self._mark(target, guessed)
        self._change_count(target, 1)

    def _add_pin(self, flow: bytes, target: str, now_s: float) -> None:
        if target in self._foreign:
            return
        target = intern(target)
        self._add(flow, target)
        if self._is_exception(flow, target):
            self._exceptions[flow] = target
            self._young.append((now_s - YOUNG_S, flow))

    def _remove(self, flow: bytes) -> None:
        target = self._flows.pop(flow)[0]
        self._change_count(target, -1)
        if self._exceptions.pop(flow, None) is not None:
            self._closed.append(flow)

    def _release_inherited(self, target: str) -> None:
        if self._inherited.get(target, 0) > 0:
            self._inherited[target] -= 1
            self._change_count(target, -1)

    def _change_count(self, target: str, change: int) -> None:
        self._counts[target] = self._counts.get(target, 0) + change
        if target in self._active:
            self._active_count += change

    def _observe_time(self, now_s: float) -> None:
        stamp = int(now_s) // STAMP_S
        if stamp != self._stamp:
            self._stamp = stamp
            self._marks.clear()
            if not self._sweep:
                self._sweep = list(self._flows)
        if self._sweep:
            self._sweep_some()
        if not self.complete and now_s >= self._complete_at_s:
            self.complete = True
            for name, count in self._inherited.items():
                self._change_count(name, -count)
            self._inherited.clear()

    def _sweep_some(self) -> None:
        oldest = self._stamp - IDLE_TIMEOUT_S // STAMP_S
        for flow in self._sweep[-SWEEP_CHUNK:]:
            mark = self._flows.get(flow)
            if mark is not None and mark[1] < oldest:
                self._remove(flow)
        del self._sweep[-SWEEP_CHUNK:]
