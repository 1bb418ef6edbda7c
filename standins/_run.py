"""One end-to-end run: start, load with an action in the middle, stop and counts."""

import asyncio
import contextlib
import signal
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ._cluster import Cluster, ClusterError, ClusterPlan, build_document
from ._counts import Counts, count_late_work, count_records, find_longest_gap
from ._plans import JOINING_TARGET, LEAVING_TARGET, list_initial_targets

__all__ = [
    "MAX_CONFIG_SPREAD_S",
    "ActionResult",
    "RunAction",
    "RunResult",
    "VersionMonitor",
    "exit_on_sigterm",
    "open_run_directory",
    "publish_change",
    "run_end_to_end",
]

MAX_CONFIG_SPREAD_S = 4.0
LEAVING_GRACE_S = 3.0
CALLERS_TIMEOUT_S = 30.0
# Time in which a request that was reported as refused, but runs, is recorded as started.
LATE_START_WAIT_S = 1.0
MONITOR_INTERVAL_S = 0.2


class VersionMonitor:
    """Counts reports of a version below the highest one that the same VM process reported."""

    def __init__(self) -> None:
        self.reverted = 0
        self._highest: dict[tuple[str, int], int] = {}

    def observe_status(self, vm: str, pid: int, version: int) -> None:
        """Record the version that process `pid` of `vm` has in force; 0 means none."""
        highest = self._highest.get((vm, pid), 0)
        self.reverted += version < highest
        self._highest[vm, pid] = max(highest, version)

    async def run(self, cluster: Cluster) -> None:
        """Poll the status of all live VMs until cancelled."""
        while True:
            pids = {name: process.pid for name, process in cluster.processes.items()}
            for vm, status in (await cluster.read_statuses()).items():
                if status:
                    self.observe_status(vm, pids[vm], status["version"] or 0)
            await asyncio.sleep(MONITOR_INTERVAL_S)


@dataclass(kw_only=True, slots=True)
class ActionResult:
    """Measurements and expectations of the action of a run.

    Attributes
    ----------
    spread_s : float or None
        Time from publication to the new version in force on all live VMs, in seconds.
    published : bool
        Whether the action published a change; a `spread_s` of None then means that it timed out.
    leaving : tuple of (str, float)
        Leaving target and the wall-clock time from which it must not get new work, in seconds.
    allowed : dict
        Bounds of the counts that may be above 0.
    """

    spread_s: float | None = None
    published: bool = False
    leaving: tuple[str, float] | None = None
    allowed: dict[str, int] = field(default_factory=dict)


RunAction = Callable[[Cluster], Awaitable[ActionResult]]


@dataclass(frozen=True, kw_only=True, slots=True)
class RunResult:
    """Counts of one run and the result of its action."""

    counts: Counts
    action_result: ActionResult
    reverted: int
    late_work: int
    longest_gap_s: float

    def find_failures(self, allowed: dict[str, int] | None = None) -> dict[str, Any]:
        """Return each value that exceeds its bound."""
        failures: dict[str, Any] = self.counts.find_failures(
            (allowed or {}) | self.action_result.allowed
        )
        spread_s = self.action_result.spread_s
        if self.action_result.published and (spread_s is None or spread_s > MAX_CONFIG_SPREAD_S):
            failures["config_spread_s"] = spread_s
        if self.reverted:
            failures["reverted"] = self.reverted
        if self.late_work:
            failures["late_work"] = self.late_work
        if not self.counts.answered:
            failures["answered"] = 0
        return failures


async def publish_change(cluster: Cluster) -> ActionResult:
    """Publish a join and a leave of targets, and measure the time until it is in force."""
    document = build_document(
        cluster.plan,
        active=(list_initial_targets(cluster.plan) | {JOINING_TARGET}) - {LEAVING_TARGET},
        leaving=frozenset({LEAVING_TARGET}),
    )
    start_s, leaving_s = time.monotonic(), time.time() + LEAVING_GRACE_S
    version = await cluster.publish(document)
    in_force = await cluster.wait_version(version, MAX_CONFIG_SPREAD_S)
    spread_s = None if in_force is None else time.monotonic() - start_s
    return ActionResult(spread_s=spread_s, published=True, leaving=(LEAVING_TARGET, leaving_s))


async def _wait_callers(cluster: Cluster, names: list[str]) -> None:
    for name in names:
        code = await cluster.wait_for_exit(name, cluster.plan.load_s + CALLERS_TIMEOUT_S)
        if code != 0:
            raise ClusterError(f"{name} exited with code {code}\n{cluster.read_log(name)[-2000:]}")


async def _run_load(cluster: Cluster, action: RunAction, monitor: VersionMonitor) -> ActionResult:
    await cluster.start(build_document(cluster.plan, active=list_initial_targets(cluster.plan)))
    monitoring = asyncio.create_task(monitor.run(cluster))
    try:
        callers = cluster.start_callers()
        action_result = await action(cluster)
        await _wait_callers(cluster, callers)
        await asyncio.sleep(LATE_START_WAIT_S)
    finally:
        monitoring.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await monitoring
    return action_result


async def run_end_to_end(plan: ClusterPlan, directory: Path, action: RunAction) -> RunResult:
    """Run `plan` with `action` under load; stops every process that it started."""
    cluster = Cluster(plan=plan, directory=directory)
    monitor = VersionMonitor()
    try:
        action_result = await _run_load(cluster, action, monitor)
    finally:
        cluster.stop()
    records = cluster.read_records()
    late_work = 0
    if action_result.leaving:
        target, after_s = action_result.leaving
        late_work = count_late_work(records, target=target, after_s=after_s)
    return RunResult(
        counts=count_records(records),
        action_result=action_result,
        reverted=monitor.reverted,
        late_work=late_work,
        longest_gap_s=find_longest_gap(records),
    )


@contextlib.contextmanager
def open_run_directory(keep: Path | None) -> Iterator[Path]:
    """Yield `keep`, created if missing, or a temporary directory if `keep` is None.

    Raises
    ------
    ClusterError
        If `keep` is not empty, as records of an earlier run would be counted again.
    """
    if keep:
        keep.mkdir(parents=True, exist_ok=True)
        if any(keep.iterdir()):
            raise ClusterError(f"{keep} is not empty")
        yield keep
        return
    with tempfile.TemporaryDirectory(prefix="mulberryswitch-") as temporary:
        yield Path(temporary)


def exit_on_sigterm() -> None:
    """Raise ``SystemExit`` on SIGTERM, so that the processes of a run are stopped."""

    def exit_on_signal(number: int, _frame: Any) -> None:
        raise SystemExit(128 + number)

    signal.signal(signal.SIGTERM, exit_on_signal)
