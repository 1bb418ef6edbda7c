"""Kill, pause, restart and mislead the processes of the whole path and print the counts.

Each scenario runs several times. A run outside its bounds is marked, and the exit code is 1 then.
"""

import argparse
import asyncio
import signal
import sys
import time
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass
from pathlib import Path

from ._cluster import Cluster, ClusterError, build_document
from ._plans import FEEDS, SCANS, build_plan, start_targets
from ._run import (
    MAX_SPREAD_S,
    Findings,
    RunResult,
    exit_on_sigterm,
    open_directory,
    publish_change,
    run_path,
)
from .fabric import JOIN_SIGNAL, SPLIT_SIGNAL

__all__ = ["SCENARIOS", "Scenario", "main"]

RUNS = 3
SETTLE_S = 2.5  # load before the fault, so that dispatchers and flows are in place
PAUSE_S = 5.0
PLATFORM_DOWN_S = 3.0
CUT_S = 4.0
YOUNG_S = 1.0
# Long flows open during the fault too, and the last ones still have time to.
FLOW_SPREAD_SHARE = 0.8
RESTART_TIMEOUT_S = 20.0
KILLED_TARGET = "feeds-2"
DRAINED_TARGET = "feeds-2"
COLUMNS = (
    "requests",
    "answered",
    "refused_not_run",
    "unknown",
    "lost",
    "wrong_answer",
    "run_twice",
    "refused_but_run",
    "wrong_service",
    "broken_flows",
    "flows_never_open",
    "unexplained",
)

ScenarioAction = Callable[[Cluster, int], Awaitable[Findings]]


@dataclass(frozen=True, kw_only=True, slots=True)
class Scenario:
    """A fault under load.

    Attributes
    ----------
    name : str
        Title in the table.
    act : callable
        Causes the fault; takes the cluster and the number of the run from 0.
    load_s : float
        Duration of the load in seconds.
    unanswered_s : float
        Bound on requests that end as refused or unknown and lost no datagram in the fabric, as
        seconds of the whole load.
    """

    name: str
    act: ScenarioAction
    load_s: float = 10.0
    unanswered_s: float = 0.0


def _pick_vms(cluster: Cluster, number: int) -> list[str]:
    """Return all VMs, the most interesting for run `number` first."""
    owners = list(dict.fromkeys(map(cluster.find_dispatcher, (FEEDS, SCANS))))
    others = [vm.name for vm in cluster.plan.vms if vm.name not in owners]
    # The runs start with the dispatcher of the feeds, that of the scans and a VM with neither.
    ordered = [*owners[:2], *others]
    return ordered[number:] + ordered[:number]


def _allow_young_flows(cluster: Cluster) -> dict[str, int]:
    """Return the bound on broken flows when owners die now.

    An owner's newest pins have not reached its standbys; the design bounds their age to 1 s.
    """
    oldest_s = time.time() - YOUNG_S
    young = sum(
        record["event"] == "flow_opened" and record["at_s"] > oldest_s
        for record in cluster.read_records()
    )
    return {"broken_flows": young}


async def kill_vm(cluster: Cluster, number: int) -> Findings:
    """Kill one VM."""
    await asyncio.sleep(SETTLE_S)
    cluster.signal(_pick_vms(cluster, number)[0], signal.SIGKILL)
    return Findings(allowed=_allow_young_flows(cluster))


async def kill_two_vms(cluster: Cluster, number: int) -> Findings:
    """Kill two VMs at the same moment."""
    await asyncio.sleep(SETTLE_S)
    for vm in _pick_vms(cluster, number)[:2]:
        cluster.signal(vm, signal.SIGKILL)
    return Findings(allowed=_allow_young_flows(cluster))


async def pause_vm(cluster: Cluster, number: int) -> Findings:
    """Stop one VM for some seconds and continue it."""
    await asyncio.sleep(SETTLE_S)
    vm = _pick_vms(cluster, number)[0]
    cluster.signal(vm, signal.SIGSTOP)
    allowed = _allow_young_flows(cluster)
    await asyncio.sleep(PAUSE_S)
    cluster.signal(vm, signal.SIGCONT)
    return Findings(allowed=allowed)


async def change_while_platform_is_down(cluster: Cluster, number: int) -> Findings:
    """Publish while the platform gives no answer; the spread counts from its return."""
    await asyncio.sleep(SETTLE_S)
    await cluster.set_fault("down")
    publishing = asyncio.create_task(publish_change(cluster))
    await asyncio.sleep(PLATFORM_DOWN_S)
    start_s = time.monotonic()
    await cluster.set_fault("ok")
    findings = await publishing
    # The change cannot be in force, nor its target be left, before the platform is back.
    in_force = await cluster.wait_version(2, PLATFORM_DOWN_S + 1.0)
    findings.spread_s = None if in_force is None else time.monotonic() - start_s
    target, after_s = findings.leaving
    findings.leaving = (target, after_s + PLATFORM_DOWN_S)
    return findings


async def replay_old_version(cluster: Cluster, number: int) -> Findings:
    """Let the platform serve the version before the last one, to a new VM process too."""
    await asyncio.sleep(SETTLE_S)
    findings = await publish_change(cluster)
    await cluster.set_fault("replay_old")
    await _restart_vm(cluster, cluster.plan.vms[number].name)
    await asyncio.sleep(2.0)
    in_force = await cluster.wait_version(2, 2.0)
    findings.spread_s = findings.spread_s if in_force else None
    return findings


async def _restart_vm(cluster: Cluster, name: str) -> None:
    cluster.signal(name, signal.SIGTERM)
    code = await cluster.wait_ended(name, RESTART_TIMEOUT_S)
    if code != 0:
        raise ClusterError(f"{name} ended with code {code} after SIGTERM")
    cluster.start_vm(next(vm for vm in cluster.plan.vms if vm.name == name))
    version = (await cluster.read_stats())["version"]
    if await cluster.wait_version(version, RESTART_TIMEOUT_S) is None:
        raise ClusterError(f"{name} did not get version {version} after its restart")


async def restart_all_vms(cluster: Cluster, number: int) -> Findings:
    """Restart all VMs one after another."""
    await asyncio.sleep(SETTLE_S)
    for vm in _pick_vms(cluster, number):
        await _restart_vm(cluster, vm)
    return Findings()


async def kill_target(cluster: Cluster, number: int) -> Findings:
    """Kill a target; its own flows break."""
    await asyncio.sleep(SETTLE_S)
    cluster.signal(KILLED_TARGET, signal.SIGKILL)
    opened = {
        record["flow"]
        for record in cluster.read_records()
        if record["event"] == "flow_opened" and record["target"] == KILLED_TARGET
    }
    return Findings(allowed={"broken_flows": len(opened)})


async def drain_target(cluster: Cluster, number: int) -> Findings:
    """Let a target shed new requests and, a second later, leave the configuration."""
    await asyncio.sleep(SETTLE_S)
    cluster.signal(DRAINED_TARGET, signal.SIGUSR1)
    await asyncio.sleep(1.0)
    document = build_document(
        cluster.plan,
        active=start_targets(cluster.plan) - {DRAINED_TARGET},
        leaving=frozenset({DRAINED_TARGET}),
    )
    await cluster.publish(document)
    return Findings()


async def cut_zones(cluster: Cluster, number: int) -> Findings:
    """Cut the links between the VMs of two zones for some seconds.

    The fabric splits as well, so that each caller reaches the VMs of one zone. The links to the
    targets of the other zone stay.
    """
    await asyncio.sleep(SETTLE_S)
    vms = cluster.live_vms()
    cluster.signal("fabric", SPLIT_SIGNAL)
    for vm in vms:
        await cluster.cut(vm, [other.name for other in vms if other.zone != vm.zone])
    await asyncio.sleep(CUT_S)
    for vm in vms:
        await cluster.cut(vm, [])
    cluster.signal("fabric", JOIN_SIGNAL)
    return Findings()


SCENARIOS = (
    Scenario(name="kill-vm", act=kill_vm, unanswered_s=0.5),
    Scenario(name="kill-two-vms", act=kill_two_vms, unanswered_s=1.0),
    Scenario(name="pause-vm", act=pause_vm, load_s=12.0, unanswered_s=3.0),
    Scenario(name="platform-down", act=change_while_platform_is_down, load_s=12.0),
    Scenario(name="replay-old", act=replay_old_version, load_s=12.0),
    Scenario(name="rolling-restart", act=restart_all_vms, load_s=30.0),
    Scenario(name="kill-target", act=kill_target, unanswered_s=0.5),
    Scenario(name="drain-target", act=drain_target),
    Scenario(name="cut-zones", act=cut_zones, load_s=14.0, unanswered_s=2.0),
)


def _find_allowed(scenario: Scenario, result: RunResult) -> dict[str, int]:
    share = scenario.unanswered_s / scenario.load_s
    return {"unexplained": round(result.counts.requests * share)}


def _build_row(scenario: Scenario, number: int, result: RunResult) -> list[str]:
    spread_s = result.findings.spread_s
    failures = result.find_failures(_find_allowed(scenario, result))
    verdict = "ok" if not failures else f"OUT OF BOUNDS {failures}"
    return [
        scenario.name,
        str(number + 1),
        *(str(getattr(result.counts, name)) for name in COLUMNS),
        str(result.reverted),
        str(result.late_work),
        f"{result.longest_gap_s:.2f}",
        "-" if spread_s is None else f"{spread_s:.2f}",
        verdict,
    ]


def _build_bound_row(scenario: Scenario, result: RunResult) -> list[str]:
    free = {"requests", "answered", "refused_not_run", "unknown"}
    allowed = _find_allowed(scenario, result) | result.findings.allowed
    bounds = ("" if name in free else str(allowed.get(name, 0)) for name in COLUMNS)
    return [scenario.name, "bound", *bounds, "0", "0", "", f"{MAX_SPREAD_S:.2f}", ""]


def _iterate_runs(
    scenario: Scenario, runs: int, keep: Path | None
) -> Iterator[tuple[int, RunResult]]:
    for number in range(runs):
        plan = build_plan(
            load_s=scenario.load_s,
            seed=number + 1,
            flow_spread_s=scenario.load_s * FLOW_SPREAD_SHARE,
        )
        kept = keep / f"{scenario.name}-{number + 1}" if keep else None

        async def act(cluster: Cluster, number: int = number) -> Findings:
            return await scenario.act(cluster, number)

        with open_directory(kept) as directory:
            yield number, asyncio.run(run_path(plan, directory, act))


def _run_scenario(scenario: Scenario, runs: int, keep: Path | None) -> tuple[list, int]:
    rows, failed = [], 0
    try:
        for number, result in _iterate_runs(scenario, runs, keep):
            rows += [_build_row(scenario, number, result), _build_bound_row(scenario, result)]
            failed += rows[-2][-1] != "ok"
    except ClusterError as exc:
        rows.append([scenario.name, "-", *([""] * (len(COLUMNS) + 4)), f"FAILED: {exc}"])
        failed += 1
    return rows, failed


def _print_table(rows: list[list[str]]) -> None:
    widths = [max(map(len, column)) for column in zip(*(row[:-1] for row in rows), strict=True)]
    for row in rows:
        cells = (cell.rjust(width) for cell, width in zip(row[:-1], widths, strict=True))
        print(*cells, row[-1], sep="  ")


def main() -> int:
    """Run the scenarios and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    names = [scenario.name for scenario in SCENARIOS]
    parser.add_argument("scenarios", nargs="*", help=f"default: all of {', '.join(names)}")
    parser.add_argument("--runs", type=int, default=RUNS, help="runs of each scenario")
    parser.add_argument("--keep", type=Path, help="directory that keeps records and logs")
    args = parser.parse_args()
    if unknown := set(args.scenarios) - set(names):
        parser.error(f"no such scenario: {', '.join(sorted(unknown))}")
    exit_on_sigterm()
    header = ["scenario", "run", *COLUMNS, "reverted", "late_work", "gap_s", "spread_s", ""]
    table, failed = [header], 0
    for scenario in SCENARIOS:
        if args.scenarios and scenario.name not in args.scenarios:
            continue
        print(f"running {scenario.name}", file=sys.stderr, flush=True)
        rows, out = _run_scenario(scenario, args.runs, args.keep)
        table, failed = table + rows, failed + out
    _print_table(table)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
