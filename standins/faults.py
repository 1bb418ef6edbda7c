"""Inject faults into an end-to-end run and print the counts.

The scenarios kill, pause, restart and partition processes, or let the platform misbehave. Each runs
several times. A run that exceeds its bounds is marked and makes the exit code 1.
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
from ._plans import FEEDS, SCANS, build_plan, list_initial_targets
from ._run import (
    MAX_CONFIG_SPREAD_S,
    ActionResult,
    RunResult,
    exit_on_sigterm,
    open_run_directory,
    publish_change,
    run_end_to_end,
)
from .fabric import HEAL_SIGNAL, PARTITION_SIGNAL

__all__ = ["SCENARIOS", "Scenario", "main"]

DEFAULT_RUNS = 3
WARM_UP_S = 2.5  # load before the fault, so that dispatchers and flows exist
PAUSE_S = 5.0
PLATFORM_DOWN_S = 3.0
PARTITION_S = 4.0
REPLICATION_DELAY_S = 1.0
# Long flows are opened during the fault too, and the last ones still have time to open.
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

ScenarioAction = Callable[[Cluster, int], Awaitable[ActionResult]]


@dataclass(frozen=True, kw_only=True, slots=True)
class Scenario:
    """A fault under load.

    Attributes
    ----------
    name : str
        Name in the command line and in the table.
    action : callable
        Injects the fault; takes the cluster and the number of the run, which starts at 0.
    load_s : float
        Duration of the load in seconds.
    max_unanswered_s : float
        Bound on the requests that end as refused or unknown without a dropped datagram, as the
        number of requests that the full load sends in this many seconds.
    """

    name: str
    action: ScenarioAction
    load_s: float = 10.0
    max_unanswered_s: float = 0.0


def _order_vms(cluster: Cluster, number: int) -> list[str]:
    """Return the names of all VMs, rotated so that each run affects another one first."""
    dispatchers = list(dict.fromkeys(map(cluster.find_dispatcher, (FEEDS, SCANS))))
    others = [vm.name for vm in cluster.plan.vms if vm.name not in dispatchers]
    # The first run starts with the dispatcher of the feeds, the second with that of the scans, the
    # third with a VM that dispatches neither.
    ordered = [*dispatchers[:2], *others]
    return ordered[number:] + ordered[:number]


def _allow_unreplicated_flows(cluster: Cluster) -> dict[str, int]:
    """Return the bound on broken flows if owners fail now.

    The newest pins of an owner have not been replicated yet; the design limits their age to 1 s.
    """
    oldest_s = time.time() - REPLICATION_DELAY_S
    unreplicated = sum(
        record["event"] == "flow_opened" and record["at_s"] > oldest_s
        for record in cluster.read_records()
    )
    return {"broken_flows": unreplicated}


async def kill_vm(cluster: Cluster, number: int) -> ActionResult:
    """Kill one VM."""
    await asyncio.sleep(WARM_UP_S)
    cluster.signal(_order_vms(cluster, number)[0], signal.SIGKILL)
    return ActionResult(allowed=_allow_unreplicated_flows(cluster))


async def kill_two_vms(cluster: Cluster, number: int) -> ActionResult:
    """Kill two VMs at the same moment."""
    await asyncio.sleep(WARM_UP_S)
    for vm in _order_vms(cluster, number)[:2]:
        cluster.signal(vm, signal.SIGKILL)
    return ActionResult(allowed=_allow_unreplicated_flows(cluster))


async def pause_vm(cluster: Cluster, number: int) -> ActionResult:
    """Pause one VM for some seconds."""
    await asyncio.sleep(WARM_UP_S)
    vm = _order_vms(cluster, number)[0]
    cluster.signal(vm, signal.SIGSTOP)
    allowed = _allow_unreplicated_flows(cluster)
    await asyncio.sleep(PAUSE_S)
    cluster.signal(vm, signal.SIGCONT)
    return ActionResult(allowed=allowed)


async def publish_during_platform_outage(cluster: Cluster, number: int) -> ActionResult:
    """Publish during a platform outage; the spread is measured from the end of the outage."""
    await asyncio.sleep(WARM_UP_S)
    await cluster.set_fault("down")
    publishing = asyncio.create_task(publish_change(cluster))
    await asyncio.sleep(PLATFORM_DOWN_S)
    start_s = time.monotonic()
    await cluster.set_fault("ok")
    action_result = await publishing
    # The change cannot come into force, nor its target stop getting work, before the outage ends.
    in_force = await cluster.wait_version(2, PLATFORM_DOWN_S + 1.0)
    action_result.spread_s = None if in_force is None else time.monotonic() - start_s
    target, after_s = action_result.leaving
    action_result.leaving = (target, after_s + PLATFORM_DOWN_S)
    return action_result


async def replay_old_version(cluster: Cluster, number: int) -> ActionResult:
    """Make the platform serve the previous version, also to a restarted VM."""
    await asyncio.sleep(WARM_UP_S)
    action_result = await publish_change(cluster)
    await cluster.set_fault("replay_old")
    await _restart_vm(cluster, cluster.plan.vms[number].name)
    await asyncio.sleep(2.0)
    in_force = await cluster.wait_version(2, 2.0)
    action_result.spread_s = action_result.spread_s if in_force else None
    return action_result


async def _restart_vm(cluster: Cluster, name: str) -> None:
    cluster.signal(name, signal.SIGTERM)
    code = await cluster.wait_for_exit(name, RESTART_TIMEOUT_S)
    if code != 0:
        raise ClusterError(f"{name} exited with code {code} after SIGTERM")
    cluster.start_vm(next(vm for vm in cluster.plan.vms if vm.name == name))
    version = (await cluster.read_stats())["version"]
    if await cluster.wait_version(version, RESTART_TIMEOUT_S) is None:
        raise ClusterError(f"{name} did not get version {version} after its restart")


async def restart_all_vms(cluster: Cluster, number: int) -> ActionResult:
    """Restart all VMs, one after another."""
    await asyncio.sleep(WARM_UP_S)
    for vm in _order_vms(cluster, number):
        await _restart_vm(cluster, vm)
    return ActionResult()


async def kill_target(cluster: Cluster, number: int) -> ActionResult:
    """Kill a target; the flows that it has opened may break."""
    await asyncio.sleep(WARM_UP_S)
    cluster.signal(KILLED_TARGET, signal.SIGKILL)
    opened = {
        record["flow"]
        for record in cluster.read_records()
        if record["event"] == "flow_opened" and record["target"] == KILLED_TARGET
    }
    return ActionResult(allowed={"broken_flows": len(opened)})


async def drain_target(cluster: Cluster, number: int) -> ActionResult:
    """Drain a target and, a second later, publish it as leaving."""
    await asyncio.sleep(WARM_UP_S)
    cluster.signal(DRAINED_TARGET, signal.SIGUSR1)
    await asyncio.sleep(1.0)
    document = build_document(
        cluster.plan,
        active=list_initial_targets(cluster.plan) - {DRAINED_TARGET},
        leaving=frozenset({DRAINED_TARGET}),
    )
    await cluster.publish(document)
    return ActionResult()


async def partition_zones(cluster: Cluster, number: int) -> ActionResult:
    """Block the links between the VMs of different zones for some seconds.

    The fabric is partitioned as well, so that each caller reaches the VMs of one zone only. Links
    between VMs and targets of different zones stay up.
    """
    await asyncio.sleep(WARM_UP_S)
    vms = cluster.list_live_vms()
    cluster.signal("fabric", PARTITION_SIGNAL)
    for vm in vms:
        await cluster.block_links(vm, [other.name for other in vms if other.zone != vm.zone])
    await asyncio.sleep(PARTITION_S)
    for vm in vms:
        await cluster.block_links(vm, [])
    cluster.signal("fabric", HEAL_SIGNAL)
    return ActionResult()


SCENARIOS = (
    Scenario(name="kill-vm", action=kill_vm, max_unanswered_s=0.5),
    Scenario(name="kill-two-vms", action=kill_two_vms, max_unanswered_s=1.0),
    Scenario(name="pause-vm", action=pause_vm, load_s=12.0, max_unanswered_s=3.0),
    Scenario(name="platform-down", action=publish_during_platform_outage, load_s=12.0),
    Scenario(name="replay-old", action=replay_old_version, load_s=12.0),
    Scenario(name="rolling-restart", action=restart_all_vms, load_s=30.0),
    Scenario(name="kill-target", action=kill_target, max_unanswered_s=0.5),
    Scenario(name="drain-target", action=drain_target),
    Scenario(name="cut-zones", action=partition_zones, load_s=14.0, max_unanswered_s=2.0),
)


def _compute_bounds(scenario: Scenario, result: RunResult) -> dict[str, int]:
    share = scenario.max_unanswered_s / scenario.load_s
    return {"unexplained": round(result.counts.requests * share)}


def _build_row(scenario: Scenario, number: int, result: RunResult) -> list[str]:
    spread_s = result.action_result.spread_s
    failures = result.find_failures(_compute_bounds(scenario, result))
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
    unbounded = {"requests", "answered", "refused_not_run", "unknown"}
    allowed = _compute_bounds(scenario, result) | result.action_result.allowed
    bounds = ("" if name in unbounded else str(allowed.get(name, 0)) for name in COLUMNS)
    return [scenario.name, "bound", *bounds, "0", "0", "", f"{MAX_CONFIG_SPREAD_S:.2f}", ""]


def _iterate_runs(
    scenario: Scenario, runs: int, keep: Path | None
) -> Iterator[tuple[int, RunResult]]:
    for number in range(runs):
        plan = build_plan(
            load_s=scenario.load_s,
            seed=number + 1,
            flow_spread_s=scenario.load_s * FLOW_SPREAD_SHARE,
        )
        run_directory = keep / f"{scenario.name}-{number + 1}" if keep else None

        async def action(cluster: Cluster, number: int = number) -> ActionResult:
            return await scenario.action(cluster, number)

        with open_run_directory(run_directory) as directory:
            yield number, asyncio.run(run_end_to_end(plan, directory, action))


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
    parser.add_argument("--runs", type=int, default=DEFAULT_RUNS, help="runs of each scenario")
    parser.add_argument("--keep", type=Path, help="directory that keeps records and logs")
    args = parser.parse_args()
    if unknown := set(args.scenarios) - set(names):
        parser.error(f"unknown scenario: {', '.join(sorted(unknown))}")
    exit_on_sigterm()
    header = ["scenario", "run", *COLUMNS, "reverted", "late_work", "gap_s", "spread_s", ""]
    table, failed = [header], 0
    for scenario in SCENARIOS:
        if args.scenarios and scenario.name not in args.scenarios:
            continue
        print(f"running {scenario.name}", file=sys.stderr, flush=True)
        rows, failed_runs = _run_scenario(scenario, args.runs, args.keep)
        table, failed = table + rows, failed + failed_runs
    _print_table(table)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
