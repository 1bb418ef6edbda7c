"""One run of the whole path: start, load, an action in the middle, stop and counts."""

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
from ._plans import JOINING, LEAVING, start_targets

__all__ = [
    "MAX_SPREAD_S",
    "Action",
    "Findings",
    "RunResult",
    "VersionWatch",
    "exit_on_sigterm",
    "open_directory",
    "publish_change",
    "run_path",
]

MAX_SPREAD_S = 4.0
LEAVING_GRACE_S = 3.0
CALLERS_TIMEOUT_S = 30.0
LATE_START_S = 1.0  # a request that was reported as refused would show as started in this time
WATCH_PERIOD_S = 0.2


class VersionWatch:
    """Highest version that each VM process reported, to find one that reverts."""

    def __init__(self) -> None:
        self.reverted = 0
        self._highest: dict[tuple[str, int], int] = {}

    def observe_status(self, vm: str, pid: int, version: int) -> None:
        """Take in the version that process `pid` of `vm` has in force; 0 means none."""
        highest = self._highest.get((vm, pid), 0)
        self.reverted += version < highest
        self._highest[vm, pid] = max(highest, version)

    async def run(self, cluster: Cluster) -> None:
        """Ask all live VMs until cancelled."""
        while True:
            pids = {name: process.pid for name, process in cluster.processes.items()}
            for vm, status in (await cluster.read_statuses()).items():
                if status:
                    self.observe_status(vm, pids[vm], status["version"] or 0)
            await asyncio.sleep(WATCH_PERIOD_S)


@dataclass(kw_only=True, slots=True)
class Findings:
    """What the action of a run measured or expects.

    Attributes
    ----------
    spread_s : float or None
        Time from publication to the new version in force on all live VMs, in seconds.
    changed : bool
        Whether the action published a change; `spread_s` is None then when it took too long.
    leaving : tuple of (str, float)
        Target that leaves and the wall-clock time from which it gets no new work, in seconds.
    allowed : dict
        Bounds above 0 for some counts.
    """

    spread_s: float | None = None
    changed: bool = False
    leaving: tuple[str, float] | None = None
    allowed: dict[str, int] = field(default_factory=dict)


Action = Callable[[Cluster], Awaitable[Findings]]


@dataclass(frozen=True, kw_only=True, slots=True)
class RunResult:
    """Counts and findings of one run."""

    counts: Counts
    findings: Findings
    reverted: int
    late_work: int
    longest_gap_s: float

    def find_failures(self, allowed: dict[str, int] | None = None) -> dict[str, Any]:
        """Return each value that is out of its bound."""
        failures: dict[str, Any] = self.counts.find_failures(
            (allowed or {}) | self.findings.allowed
        )
        spread_s = self.findings.spread_s
        if self.findings.changed and (spread_s is None or spread_s > MAX_SPREAD_S):
            failures["config_spread_s"] = spread_s
        if self.reverted:
            failures["reverted"] = self.reverted
        if self.late_work:
            failures["late_work"] = self.late_work
        if not self.counts.answered:
            failures["answered"] = 0
        return failures


async def publish_change(cluster: Cluster) -> Findings:
    """Let one target join and another leave, and measure the spread of the new version."""
    document = build_document(
        cluster.plan,
        active=(start_targets(cluster.plan) | {JOINING}) - {LEAVING},
        leaving=frozenset({LEAVING}),
    )
    start_s, leaving_s = time.monotonic(), time.time() + LEAVING_GRACE_S
    version = await cluster.publish(document)
    in_force = await cluster.wait_version(version, MAX_SPREAD_S)
    spread_s = None if in_force is None else time.monotonic() - start_s
    return Findings(spread_s=spread_s, changed=True, leaving=(LEAVING, leaving_s))


async def _wait_callers(cluster: Cluster, names: list[str]) -> None:
    for name in names:
        code = await cluster.wait_ended(name, cluster.plan.load_s + CALLERS_TIMEOUT_S)
        if code != 0:
            raise ClusterError(f"{name} ended with code {code}\n{cluster.read_log(name)[-2000:]}")


async def _run_load(cluster: Cluster, act: Action, watch: VersionWatch) -> Findings:
    await cluster.start(build_document(cluster.plan, active=start_targets(cluster.plan)))
    watching = asyncio.create_task(watch.run(cluster))
    try:
        callers = cluster.start_callers()
        findings = await act(cluster)
        await _wait_callers(cluster, callers)
        await asyncio.sleep(LATE_START_S)
    finally:
        watching.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await watching
    return findings


async def run_path(plan: ClusterPlan, directory: Path, act: Action) -> RunResult:
    """Run `plan` with `act` under load; every process it started has ended on return."""
    cluster = Cluster(plan=plan, directory=directory)
    watch = VersionWatch()
    try:
        findings = await _run_load(cluster, act, watch)
    finally:
        cluster.stop()
    records = cluster.read_records()
    late_work = 0
    if findings.leaving:
        target, after_s = findings.leaving
        late_work = count_late_work(records, target=target, after_s=after_s)
    return RunResult(
        counts=count_records(records),
        findings=findings,
        reverted=watch.reverted,
        late_work=late_work,
        longest_gap_s=find_longest_gap(records),
    )


@contextlib.contextmanager
def open_directory(keep: Path | None) -> Iterator[Path]:
    """Yield `keep`, created if missing, or a temporary directory.

    Raises
    ------
    ClusterError
        If `keep` holds files, because records of an earlier run would be counted again.
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
    """Turn SIGTERM into ``SystemExit``, so that the processes of a run are stopped."""

    def exit_on_signal(number: int, _frame: Any) -> None:
        raise SystemExit(128 + number)

    signal.signal(signal.SIGTERM, exit_on_signal)
