"""Fault matrix: each fault at each step of a request, a flow and a configuration change.

Each cell runs a small fleet under load over in-memory links, publishes a change, injects one or
two faults, removes them, and then checks the eight guarantees of ``docs/design.md``.
"""

import itertools
import logging
import unittest
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from .builders import (
    JOINING_TARGET,
    LEAVING_TARGET,
    build_document,
    build_fleet,
    open_flow,
    send_request,
)

# Injection times in seconds, relative to the publication of a change. A request is sent at the
# same moment as the change, so the times also fall on the steps of that request.
STEP_OFFSETS_S = {
    "before the change": -0.3,
    "packet in the fabric": 0.001,
    "packet at the entry VM": 0.0035,
    "request at the dispatcher": 0.0052,
    "version spreading, request running": 0.1,
    "answer in transit": 0.2075,
    "version in force": 1.0,
}
PAIR_STEP = "version spreading, request running"
HEAL_AFTER_S = 2.0
SECOND_FAULT_AFTER_S = 0.3
SETTLE_S = 4.0
MAX_RUN_S = 20.0
WORKERS = 4


def find_dispatcher(fleet) -> str:
    """Return the VM that dispatches the service feeds, or another live VM while none does."""
    view = fleet.cores[list_live(fleet)[0]].view
    name = fleet.cores[view.vm].router.pick_dispatcher(
        service="feeds",
        sheet=view.sheet,
        members=view.members,
        members_version=view.members_version,
    )
    return name if name in list_live(fleet) else list_live(fleet)[-1]


def kill_dispatcher(fleet):
    name = find_dispatcher(fleet)
    fleet.kill(name)
    return lambda: fleet.start_vm(name)


def kill_other_vm(fleet):
    name = next(n for n in fleet.names if n not in fleet.dead and n != find_dispatcher(fleet))
    fleet.kill(name)
    return lambda: fleet.start_vm(name)


def join_vm(fleet):
    name = f"a{len(fleet.names)}"
    fleet.names.append(name)
    fleet.start_vm(name)
    return lambda: None


def pause_dispatcher(fleet):
    name = find_dispatcher(fleet)
    fleet.pause(name)
    return lambda: fleet.resume(name)


def restart_dispatcher(fleet):
    name = find_dispatcher(fleet)
    fleet.shutdown(name)

    def start_again():
        if name in fleet.dead:
            fleet.start_vm(name)
        else:
            fleet.call_later(0.5, start_again)

    return start_again


def kill_target(fleet):
    fleet.kill_target("at-f2")
    return lambda: setattr(fleet.targets["at-f2"], "alive", True)


def drain_target_by_list(fleet):
    fleet.listed_leaving.add("bt-f1")
    fleet.targets["bt-f1"].leaving_since_s = fleet.now_s
    return lambda: None


def slow_down_joining_target(fleet):
    fleet.targets[JOINING_TARGET].slowdown = 5.0
    return lambda: setattr(fleet.targets[JOINING_TARGET], "slowdown", 1.0)


def start_shedding(fleet):
    fleet.targets["bt-f1"].shedding = True
    return lambda: setattr(fleet.targets["bt-f1"], "shedding", False)


def set_platform(mode):
    def inject(fleet):
        fleet.platform_mode = mode
        return lambda: setattr(fleet, "platform_mode", "ok")

    return inject


def partition_zones(fleet):
    fleet.partition_zones("a", "b")
    return fleet.heal


def partition_zones_for_long(fleet):
    """Keep the partition for longer than a target may refuse connections before its flows end."""
    fleet.partition_zones("a", "b")
    fleet.call_later(6.0, fleet.heal)
    return lambda: None


def partition_zones_one_way(fleet):
    fleet.partition_zones("a", "b", one_way=True)
    return fleet.heal


def partition_zone_from_platform(fleet):
    fleet.blocked_links |= {("platform", name) for name in fleet.names if name[0] == "a"}
    return fleet.heal


def lose_messages(fleet):
    fleet.loss_probability = 0.2
    return lambda: setattr(fleet, "loss_probability", 0.0)


def duplicate_messages(fleet):
    fleet.duplicate_probability = 0.5
    return lambda: setattr(fleet, "duplicate_probability", 0.0)


def publish_twice(fleet):
    """Publish another change at the same moment, as a second operator would."""
    fleet.publish(build_document(leaving=(LEAVING_TARGET,)))
    return lambda: None


def publish_rebound_address(fleet):
    """Publish a sheet that moves addresses between services; every VM has to refuse it."""
    swapped = {"feeds": "10.0.0.2:443", "scans": "10.0.0.1:443"}
    fleet.publish(build_document(addresses=swapped))
    return lambda: fleet.publish(build_document(leaving=(LEAVING_TARGET,)))


FAULTS = {
    "dispatcher killed": kill_dispatcher,
    "other VM killed": kill_other_vm,
    "VM joins": join_vm,
    "dispatcher paused": pause_dispatcher,
    "dispatcher restarted": restart_dispatcher,
    "target killed": kill_target,
    "target drained by the VM list": drain_target_by_list,
    "target cold": slow_down_joining_target,
    "target sheds": start_shedding,
    "platform down": set_platform("down"),
    "platform stale": set_platform("stale"),
    "platform replays version 1": set_platform("replay"),
    "zones partitioned": partition_zones,
    "zones partitioned for long": partition_zones_for_long,
    "zones partitioned one way": partition_zones_one_way,
    "zone partitioned from platform": partition_zone_from_platform,
    "messages lost": lose_messages,
    "messages duplicated": duplicate_messages,
    "two operators publish": publish_twice,
    "address moved between services": publish_rebound_address,
}
PLANNED_CHANGES = frozenset(
    (
        "VM joins",
        "dispatcher restarted",
        "target drained by the VM list",
        "target cold",
        "two operators publish",
        "address moved between services",
    )
)


@dataclass
class Workload:
    """Requests and flows of the callers in one cell."""

    requests: list
    flows: list


def start_workload(fleet, workload: Workload, seconds: float) -> None:
    """Send one request every 40 ms for `seconds`; every fourth goes to the service scans."""
    for i in range(int(seconds / 0.04)):
        service = "scans" if i % 4 == 3 else "feeds"
        fleet.call_later(i * 0.04, send_tracked_request, fleet, workload, service, i % 2 == 0)


def send_tracked_request(
    fleet, workload: Workload, service: str, idempotent: bool, work_s: float = 0.05
) -> None:
    workload.requests.append(
        send_request(fleet, service=service, idempotent=idempotent, work_s=work_s)
    )


def publish_change(fleet) -> None:
    fleet.publish(build_document(leaving=(LEAVING_TARGET,)))
    fleet.targets[LEAVING_TARGET].leaving_since_s = fleet.now_s


def run_cell(faults, offset_s: float, seed: int = 1):
    """Run one cell; return the fleet, its workload and the version in force at each live VM.

    The versions are read `SETTLE_S` after the last fault has been removed.
    """
    fleet = build_fleet(seed=seed)
    workload = Workload(requests=[], flows=[])
    workload.flows = [open_flow(fleet, service="feeds") for _ in range(10)]
    workload.flows += [open_flow(fleet, service="scans") for _ in range(4)]
    fleet.run(1.5)
    start_workload(fleet, workload, 3.5)
    fleet.call_later(0.5, publish_change, fleet)
    fleet.call_later(0.5, send_tracked_request, fleet, workload, "feeds", False, 0.2)
    for number, fault in enumerate(faults):
        fleet.call_later(0.5 + offset_s + number * SECOND_FAULT_AFTER_S, inject, fleet, fault)
    fleet.run(0.5 + offset_s + SECOND_FAULT_AFTER_S + HEAL_AFTER_S)
    fleet.run(6.0 if "zones partitioned for long" in faults else 0.0)
    healed_s = fleet.now_s
    fleet.run(SETTLE_S)
    versions = {name: fleet.cores[name].store.version for name in list_live(fleet)}
    while fleet.now_s - healed_s < MAX_RUN_S and not all(r.outcome for r in workload.requests):
        fleet.run(0.5)
    return fleet, workload, versions


def inject(fleet, fault: str) -> None:
    fleet.call_later(HEAL_AFTER_S, FAULTS[fault](fleet))


def list_live(fleet) -> list[str]:
    return [name for name in fleet.names if name not in fleet.dead]


def check_cell(faults, fleet, workload: Workload, versions) -> list[str]:
    """Return the violated guarantees by number, each with the observation."""
    echoed_before = {flow.flow: flow.echoed for flow in workload.flows}
    fleet.run(1.5)
    started = [run for target in fleet.targets.values() for run in target.started]
    violations = check_flows(faults, workload, echoed_before)
    violations += check_requests(workload, started)
    if wrong := sum(target.wrong_service for target in fleet.targets.values()):
        violations.append(f"2 wrong service: {wrong} packets")
    if late := {t.name: t.late_work for t in fleet.targets.values() if t.late_work}:
        violations.append(f"6 new work at leaving targets: {late}")
    if set(faults) <= PLANNED_CHANGES:
        unknown = [r.codes for r in workload.requests if r.outcome == "unknown"]
        if unknown:
            violations.append(
                f"7 requests without a known outcome after planned changes: {unknown}"
            )
    return violations + check_versions(fleet, versions)


def check_flows(faults, workload: Workload, echoed_before) -> list[str]:
    violations = []
    for flow in workload.flows:
        if flow.closed_code is not None:
            if "target killed" not in faults:
                violations.append(f"1 flow closed with code {flow.closed_code}")
        elif flow.echoed <= echoed_before[flow.flow]:
            violations.append(f"1 flow has no echo, open: {flow.is_open}")
    return violations


def check_requests(workload: Workload, started) -> list[str]:
    violations = []
    runs = {(flow, attempt) for flow, _, attempt, _ in started}
    counts = {}
    for flow, _, _, idempotent in started:
        if not idempotent:
            counts[flow] = counts.get(flow, 0) + 1
    for request in workload.requests:
        if request.outcome in ("", "lost"):
            violations.append(
                f"3 request without a complete answer or an outcome: {request.outcome!r}"
            )
        if request.outcome == "refused" and any(flow == request.flow for flow, _ in runs):
            violations.append(f"4 refused but run: {request.codes}")
        if counts.get(request.flow, 0) > 1:
            violations.append(f"5 run {counts[request.flow]} times: {request.codes}")
    return violations


def check_versions(fleet, versions) -> list[str]:
    violations = []
    for name, history in fleet.version_history.items():
        # Version 0 marks the start of a new process of the VM.
        for _, group in itertools.groupby(history, key=lambda version: version == 0):
            values = list(group)
            if values != sorted(values):
                violations.append(f"8 version went back at {name}: {history}")
    if len(set(versions.values())) != 1:
        violations.append(f"8 not in force everywhere {SETTLE_S} s after the faults: {versions}")
    return violations


def run_and_check_cell(cell) -> list[str]:
    """Run one cell in a worker process and return the violated guarantees."""
    logging.disable(logging.CRITICAL)
    faults, step = cell
    return check_cell(faults, *run_cell(faults, STEP_OFFSETS_S[step]))


class FaultMatrixTest(unittest.TestCase):
    """Checks the eight guarantees under each fault at each step and under each pair of faults."""

    def run_cells(self, cells) -> None:
        failed = 0
        with ProcessPoolExecutor(WORKERS) as pool:
            results = list(pool.map(run_and_check_cell, cells, chunksize=4))
        for (faults, step), violations in zip(cells, results, strict=True):
            failed += bool(violations)
            with self.subTest(faults=faults, step=step):
                self.assertEqual(violations, [])
        print(f"fault matrix: {len(cells)} cells run, {failed} failed, 0 skipped")

    def test_every_fault_at_every_step(self):
        self.run_cells([((fault,), step) for fault in FAULTS for step in STEP_OFFSETS_S])

    def test_every_pair_of_faults(self):
        self.run_cells([(pair, PAIR_STEP) for pair in itertools.product(FAULTS, repeat=2)])
