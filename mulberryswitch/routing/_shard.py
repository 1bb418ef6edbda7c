"""Flow table of one shard.

The base, an ordered list of target names, resolves most flows by rendezvous hashing. Only flows at
another target than that, the exceptions, are replicated one by one.
"""

from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from math import inf
from sys import intern

from mulberryswitch.contracts import Pin, ResultCode, Target

from ._hashing import FLOW_SHARDS, build_lookup_table, pick_slot
from ._target_counts import TargetCounts

__all__ = ["IDLE_TIMEOUT_S", "MAX_SHARD_FLOWS", "FlowShard"]

IDLE_TIMEOUT_S = 15 * 60
REPLICATION_DELAY_S = 1.0
MAX_SHARD_FLOWS = 400_000
# Changes of targets usually arrive several at a time; after this delay one rebase covers them.
REBASE_DELAY_S = 5.0
TIMESTAMP_STEP_S = 60
SWEEP_BATCH = 8


class FlowShard:
    """Pinned targets of the open flows of one shard of a service.

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
        # While the state of the previous owner is outstanding, unknown flows are not resolved.
        self.awaiting_state = True
        self._complete_at_s = 0.0
        # Flows at one target that were last used in the same minute share one (target, timestamp,
        # assumed) tuple, so that a flow costs only its key and one dictionary entry.
        self._flows: dict[bytes, tuple[str, int, bool]] = {}
        self._shared_records: dict[tuple[str, bool], tuple[str, int, bool]] = {}
        self._timestamp = 0
        self._table: tuple[str, ...] = ()
        self._next_base: tuple[str, ...] = ()
        self._next_table: tuple[str, ...] = ()
        self._exceptions: dict[bytes, str] = {}
        self._unreplicated: deque[tuple[float, bytes]] = deque()
        self._closed_exceptions: list[bytes] = []
        self._counts = TargetCounts()
        self._foreign_targets: frozenset[str] = frozenset()
        self._valid_until_s = inf
        self._targets_changed_s = 0.0
        self._sweep_queue: list[bytes] = []

    @property
    def open_count(self) -> int:
        """Number of flows that this table knows."""
        return len(self._flows)

    @property
    def exceptions(self) -> Mapping[bytes, str]:
        """Flows whose target differs from their base target, with those not replicated yet."""
        return self._exceptions

    @property
    def flows(self) -> Iterable[tuple[bytes, str]]:
        """Known flows with their targets."""
        return ((flow, record[0]) for flow, record in self._flows.items())

    def count_at(self, target: str) -> int:
        """Return the number of flows at `target`, known here or reported by another owner."""
        return self._counts.get(target)

    def count_by_target(self) -> dict[str, int]:
        """Return the number of flows at each target that has any."""
        return {name: count for name, count in sorted(self._counts.by_target.items()) if count}

    def apply_targets(
        self,
        *,
        targets: Sequence[Target],
        connections: int,
        now_s: float,
        foreign_targets: frozenset[str] = frozenset(),
    ) -> None:
        """Set the targets of the service and the connection limit of each; moves no open flow.

        `foreign_targets` are the targets of other services. If a target has moved to another
        service, the flows that were pinned to it under this service are no longer resolved.
        """
        limit = connections // FLOW_SHARDS
        if self._counts.apply_targets(targets=targets, limit=limit, now_s=now_s):
            self._targets_changed_s = now_s
        self._foreign_targets = foreign_targets
        for name in foreign_targets & self._counts.by_target.keys():
            self.apply_target_lost(target=name)
        if not self.base and not self.awaiting_state:
            self._set_base(tuple(self._counts.active))

    def apply_open(self, *, flow: bytes, now_s: float) -> str | ResultCode:
        """Pin a flow and return its target; a flow that is open already keeps its target."""
        self._advance_clock(now_s)
        record = self._flows.get(flow)
        if record is not None:
            return self._touch(flow, record)
        if self.awaiting_state or now_s > self._valid_until_s:
            return ResultCode.NOT_OWNER
        if len(self._flows) >= self.max_flows:
            return ResultCode.FLOW_TABLE_FULL
        preferred = self._table[pick_slot(flow)] if self._table else ""
        target = self._counts.pick_target(preferred, now_s)
        if isinstance(target, ResultCode):
            return target
        self._add_flow(flow, target)
        if self._is_exception(flow, target):
            self._exceptions[flow] = target
            self._unreplicated.append((now_s, flow))
        return target

    def lookup(self, *, flow: bytes, now_s: float) -> str | ResultCode | None:
        """Return the target of a flow; None only if the base is empty.

        An unknown flow resolves to its base target, but to ``NOT_OWNER`` while this VM waits for
        the state of the previous owner. While the table is incomplete it records unknown flows, so
        that after one idle timeout it knows every flow that has sent a packet.
        """
        record = self._flows.get(flow)
        if record is not None:
            return self._touch(flow, record)
        self._advance_clock(now_s)
        if self.awaiting_state or now_s > self._valid_until_s:
            return ResultCode.NOT_OWNER
        if not self._table:
            return None
        target = self._table[pick_slot(flow)]
        if target in self._foreign_targets:
            return ResultCode.UNKNOWN_FLOW
        if not self.complete and len(self._flows) < self.max_flows:
            self._counts.discount_unseen(target)
            self._add_flow(flow, target, assumed=True)
        return target

    def get_pinned_target(self, *, flow: bytes) -> str:
        """Return the target that a request on this flow must run at; empty if it is not open.

        A flow that this VM has not seen since it took the shard over counts as not open. With the
        base as fallback, every one-shot request after a takeover would be pinned to a target and
        late binding would be lost.
        """
        record = self._flows.get(flow)
        return record[0] if record is not None else ""

    def apply_close(self, *, flow: bytes, now_s: float) -> None:
        """Remove a flow; a flow unknown here reduces the count reported for its base target."""
        self._advance_clock(now_s)
        if flow in self._flows:
            self._remove_flow(flow)
        elif not self.complete and self._table:
            self._counts.discount_unseen(self._table[pick_slot(flow)])

    def apply_target_lost(self, *, target: str) -> list[bytes]:
        """Remove and return the flows of a target that failed."""
        ended = [flow for flow, record in self._flows.items() if record[0] == target]
        for flow in ended:
            self._remove_flow(flow)
        self._counts.remove_unseen(target)
        return ended

    def apply_tick(self, *, now_s: float, valid_s: float = inf) -> None:
        """Expire idle flows and update `complete`.

        Unless another tick follows within `valid_s`, unknown flows are no longer resolved.
        """
        self._advance_clock(now_s)
        self._valid_until_s = now_s + valid_s

    # Replication

    def take_changes(
        self, *, now_s: float, include_recent: bool = False
    ) -> tuple[list[Pin], tuple[bytes, ...]]:
        """Return and clear the exceptions due for replication and the exceptions closed since.

        Parameters
        ----------
        include_recent : bool
            Whether exceptions are due before the replication delay of 1 s has passed.
        """
        pins = []
        while self._unreplicated and (
            include_recent or now_s - self._unreplicated[0][0] >= REPLICATION_DELAY_S
        ):
            _, flow = self._unreplicated.popleft()
            target = self._exceptions.get(flow)
            if target is not None:
                pins.append(Pin(flow=flow, target=target))
        closed, self._closed_exceptions = tuple(self._closed_exceptions), []
        return pins, closed

    def list_pins(self, *, all_flows: bool = False) -> list[Pin]:
        """Return the exceptions, or all flows, as pins."""
        source = self.flows if all_flows else self._exceptions.items()
        return [Pin(flow=flow, target=target) for flow, target in source]

    @property
    def replicated_base(self) -> tuple[str, ...]:
        """Base that standbys should hold: the next one during a rebase."""
        return self._next_base or self.base

    @property
    def rebasing(self) -> bool:
        """Whether a rebase is in progress."""
        return bool(self._next_base)

    @property
    def has_changes(self) -> bool:
        """Whether exceptions have opened or closed since ``take_changes`` returned them."""
        return bool(self._unreplicated or self._closed_exceptions)

    def needs_rebase(self, *, now_s: float) -> bool:
        """Return whether the base differs from the active targets and may be replaced now."""
        return (
            self.complete
            and not self._next_base
            and bool(self._counts.active)
            and self.base != tuple(self._counts.active)
            and now_s - self._targets_changed_s >= REBASE_DELAY_S
        )

    def apply_rebase_start(self) -> tuple[str, ...]:
        """Start a rebase to the active targets and return the next base.

        Until ``apply_rebase_end`` a flow is an exception if its target differs from its base
        target under either base, so that a standby with either base resolves it.
        """
        self._next_base = tuple(self._counts.active)
        self._next_table = build_lookup_table(self._next_base)
        self._rebuild_exceptions()
        return self._next_base

    def apply_rebase_end(self) -> None:
        """Switch to the next base once the standbys hold it or the rebase times out."""
        if self._next_base:
            self._set_base(self._next_base)
        self._next_base, self._next_table = (), ()

    def apply_start(self, *, fleet_is_new: bool, now_s: float) -> None:
        """Start serving with the present state.

        In a new fleet there are no flows that this VM does not know.
        """
        self._advance_clock(now_s)
        self.awaiting_state = False
        if self.base:
            return
        self._set_base(tuple(self._counts.active))
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
        """Start serving from the replicated state of another owner; its pins replace local ones."""
        self.apply_rebase_end()
        self.apply_start(fleet_is_new=False, now_s=now_s)
        self._set_incomplete(now_s)
        if base != self.base:
            self._set_base(base)
            self._rebuild_exceptions()
        for flow, target in pins.items():
            if flow in self._flows:
                self._remove_flow(flow)
            self._add_pin(flow, target, now_s)
        self._add_unseen(counts)

    def apply_merge(self, *, pins: Iterable[Pin], counts: Mapping[str, int], now_s: float) -> None:
        """Merge the pins of another VM that served the shard.

        Local pins take precedence unless the flow was only assumed to be at its base target.
        """
        self._set_incomplete(now_s)
        for pin in pins:
            record = self._flows.get(pin.flow)
            if record is not None and not record[2]:
                continue
            if record is not None:
                self._remove_flow(pin.flow)
            # The count that the other owner reported includes this flow.
            self._counts.discount_unseen(pin.target)
            self._add_pin(pin.flow, pin.target, now_s)
        self._add_unseen(counts)

    def apply_handover(self, *, until_s: float, is_successor: bool) -> None:
        """Leave half of the free connections to another VM that may serve the shard as well."""
        self._counts.apply_handover(until_s=until_s, is_successor=is_successor)

    def is_newer_base(self, base: tuple[str, ...]) -> bool:
        """Return whether `base` was set for a newer list of targets than the present base.

        An owner sets its base to the active targets, so the newer base differs less from them.
        """
        active = self._counts.active.keys()
        return len(active ^ set(base)) < len(active ^ set(self.base))

    def apply_base(self, base: tuple[str, ...]) -> None:
        """Replace the base by that of another owner; known flows keep their targets."""
        self.apply_rebase_end()
        self._set_base(base)
        self._rebuild_exceptions()

    def is_confirmed(self, *, flow: bytes) -> bool:
        """Return whether the target of the flow is known, not merely assumed from the base."""
        record = self._flows.get(flow)
        return record is not None and not record[2]

    def apply_found_target(self, *, flow: bytes, target: str, now_s: float) -> None:
        """Pin a flow to the target that a search found it open at."""
        if flow in self._flows:
            self._remove_flow(flow)
        self._add_pin(flow, target, now_s)

    def apply_reset(self) -> None:
        """Remove all flows after another VM has taken the shard over."""
        self.awaiting_state, self.complete = True, False
        self._set_base(())
        self._next_base, self._next_table = (), ()
        for state in (self._flows, self._exceptions, self._counts):
            state.clear()
        self._shared_records.clear()
        self._unreplicated.clear()
        self._closed_exceptions.clear()
        self._sweep_queue.clear()

    # Internals

    def _set_base(self, base: tuple[str, ...]) -> None:
        self.base = base
        self._table = build_lookup_table(base)

    def _rebuild_exceptions(self) -> None:
        self._exceptions = {
            flow: record[0]
            for flow, record in self._flows.items()
            if self._is_exception(flow, record[0])
        }

    def _set_incomplete(self, now_s: float) -> None:
        self.complete = False
        self._complete_at_s = now_s + IDLE_TIMEOUT_S

    def _add_unseen(self, counts: Mapping[str, int]) -> None:
        """Add the flows at base targets that another owner reports and this table does not know."""
        own = {name: n for name, n in counts.items() if name not in self._foreign_targets}
        self._counts.add_unseen(own)

    def _is_exception(self, flow: bytes, target: str) -> bool:
        slot = pick_slot(flow)
        if not self._table or self._table[slot] != target:
            return True
        return bool(self._next_table) and self._next_table[slot] != target

    def _share_record(self, target: str, assumed: bool) -> tuple[str, int, bool]:
        key = (target, assumed)
        record = self._shared_records.get(key)
        if record is None:
            record = self._shared_records[key] = (target, self._timestamp, assumed)
        return record

    def _touch(self, flow: bytes, record: tuple[str, int, bool]) -> str:
        if record[1] != self._timestamp:
            self._flows[flow] = self._share_record(record[0], record[2])
        return record[0]

    def _add_flow(self, flow: bytes, target: str, assumed: bool = False) -> None:
        self._flows[flow] = self._share_record(target, assumed)
        self._counts.change(target, 1)

    def _add_pin(self, flow: bytes, target: str, now_s: float) -> None:
        if target in self._foreign_targets:
            return
        target = intern(target)
        self._add_flow(flow, target)
        if self._is_exception(flow, target):
            self._exceptions[flow] = target
            self._unreplicated.append((now_s - REPLICATION_DELAY_S, flow))

    def _remove_flow(self, flow: bytes) -> None:
        target = self._flows.pop(flow)[0]
        self._counts.change(target, -1)
        if self._exceptions.pop(flow, None) is not None:
            self._closed_exceptions.append(flow)

    def _advance_clock(self, now_s: float) -> None:
        timestamp = int(now_s) // TIMESTAMP_STEP_S
        if timestamp != self._timestamp:
            self._timestamp = timestamp
            self._shared_records.clear()
            if not self._sweep_queue:
                self._sweep_queue = list(self._flows)
        if self._sweep_queue:
            self._sweep_batch()
        if not self.complete and now_s >= self._complete_at_s:
            self.complete = True
            self._counts.remove_all_unseen()

    def _sweep_batch(self) -> None:
        oldest = self._timestamp - IDLE_TIMEOUT_S // TIMESTAMP_STEP_S
        for flow in self._sweep_queue[-SWEEP_BATCH:]:
            record = self._flows.get(flow)
            if record is not None and record[1] < oldest:
                self._remove_flow(flow)
        del self._sweep_queue[-SWEEP_BATCH:]
