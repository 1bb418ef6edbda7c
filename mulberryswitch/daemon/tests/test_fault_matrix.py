"""Fault matrix: every fault at every step of a request, a flow and a configuration change.

Each cell runs a small fleet under load over in-memory links, publishes a change, injects one fault
or two, heals them, and then checks the eight promises of ``docs/design.md``.
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

# Moments around the publication of a change, at which a request is also sent: in seconds.
STEPS = {
    "before the change": -0.3,
    "packet in the fabric": 0.001,
    "packet at the entry VM": 0.0035,
    "request at the dispatcher": 0.0052,
    "version spreading, request running": 0.1,
    "answer on its way": 0.2075,
    "version in force": 1.0,
}
PAIR_STEP = "version spreading, request running"
HEAL_AFTER_S = 2.0
SECOND_FAULT_AFTER_S = 0.3
SETTLE_S = 4.0
MAX_RUN_S = 20.0
WORKERS = 4


def find_dispatcher(fleet) -> str:
    """Return the VM that dispatches the feeds, or some live VM while nobody does."""
    view = fleet.cores[live(fleet)[0]].view
    name = fleet.cores[view.vm].router.pick_dispatcher(
        service="feeds",
        sheet=view.sheet,
        members=view.members,
        members_version=view.members_version,
    )
    return name if name in live(fleet) else live(fleet)[-1]


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
            fleet.at(0.5, start_again)

    return start_again


def kill_target(fleet):
    fleet.kill_target("at-f2")
    return lambda: setattr(fleet.targets["at-f2"], "alive", True)


def drain_target_by_list(fleet):
    fleet.listed_leaving.add("bt-f1")
    fleet.targets["bt-f1"].leaving_since_s = fleet.now_s
    return lambda: None


def cold_target(fleet):
    fleet.targets[JOINING_TARGET].slow = 5.0
    return lambda: setattr(fleet.targets[JOINING_TARGET], "slow", 1.0)


def shed_at_target(fleet):
    fleet.targets["bt-f1"].shedding = True
    return lambda: setattr(fleet.targets["bt-f1"], "shedding", False)


def set_platform(mode):
    def inject(fleet):
        fleet.platform_mode = mode
        return lambda: setattr(fleet, "platform_mode", "ok")

    return inject


def cut_zones(fleet):
    fleet.cut_zones("a", "b")
    return fleet.heal


def cut_zones_for_long(fleet):
    """Cut for longer than a target may refuse connections before its flows end."""
    fleet.cut_zones("a", "b")
    fleet.at(6.0, fleet.heal)
    return lambda: None


def cut_zones_one_way(fleet):
    fleet.cut_zones("a", "b", one_way=True)
    return fleet.heal


def cut_zone_from_platform(fleet):
    fleet.cut |= {("platform", name) for name in fleet.names if name[0] == "a"}
    return fleet.heal


def lose_messages(fleet):
    fleet.lost_share = 0.2
    return lambda: setattr(fleet, "lost_share", 0.0)


def repeat_messages(fleet):
    fleet.repeat_share = 0.5
    return lambda: setattr(fleet, "repeat_share", 0.0)


def publish_twice(fleet):
    """A second operator publishes another change at the same moment."""
    fleet.publish(build_document(leaving=(LEAVING_TARGET,)))
    return lambda: None


def publish_rebound_address(fleet):
    """An operator moves an address to another service; every VM has to refuse it."""
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
    "target drains by the list": drain_target_by_list,
    "target cold": cold_target,
    "target sheds": shed_at_target,
    "platform down": set_platform("down"),
    "platform stale": set_platform("stale"),
    "platform replays version 1": set_platform("replay"),
    "zones cut": cut_zones,
    "zones cut for long": cut_zones_for_long,
    "zones cut one way": cut_zones_one_way,
    "zone cut from platform": cut_zone_from_platform,
    "messages lost": lose_messages,
    "messages repeated": repeat_messages,
    "two operators publish": publish_twice,
    "address moved between services": publish_rebound_address,
}
PLANNED = frozenset(
    (
        "VM joins",
        "dispatcher restarted",
        "target drains by the list",
        "target cold",
        "two operators publish",
        "address moved between services",
    )
)


@dataclass
class Load:
    """Callers of one cell."""

    requests: list
    flows: list


def start_load(fleet, load: Load, seconds: float) -> None:
    """Send requests of both services for a while, one every 40 ms."""
    for i in range(int(seconds / 0.04)):
        service = "scans" if i % 4 == 3 else "feeds"
        fleet.at(i * 0.04, add_request, fleet, load, service, i % 2 == 0)


def add_request(fleet, load: Load, service: str, idempotent: bool, work_s: float = 0.05) -> None:
    load.requests.append(send_request(fleet, service=service, idempotent=idempotent, work_s=work_s))


def publish_change(fleet) -> None:
    fleet.publish(build_document(leaving=(LEAVING_TARGET,)))
    fleet.targets[LEAVING_TARGET].leaving_since_s = fleet.now_s


def run_cell(faults, offset_s: float, seed: int = 1):
    """Run one cell and return the fleet, its load and the time at which all was healed."""
    fleet = build_fleet(seed=seed)
    load = Load(requests=[], flows=[])
    load.flows = [open_flow(fleet, service="feeds") for _ in range(10)]
    load.flows += [open_flow(fleet, service="scans") for _ in range(4)]
    fleet.run(1.5)
    start_load(fleet, load, 3.5)
    fleet.at(0.5, publish_change, fleet)
    fleet.at(0.5, add_request, fleet, load, "feeds", False, 0.2)
    for number, fault in enumerate(faults):
        fleet.at(0.5 + offset_s + number * SECOND_FAULT_AFTER_S, inject, fleet, fault)
    fleet.run(0.5 + offset_s + SECOND_FAULT_AFTER_S + HEAL_AFTER_S)
    fleet.run(6.0 if "zones cut for long" in faults else 0.0)
    healed_s = fleet.now_s
    fleet.run(SETTLE_S)
    versions = {name: fleet.cores[name].store.version for name in live(fleet)}
    while fleet.now_s - healed_s < MAX_RUN_S and not all(r.outcome for r in load.requests):
        fleet.run(0.5)
    return fleet, load, versions


def inject(fleet, fault: str) -> None:
    fleet.at(HEAL_AFTER_S, FAULTS[fault](fleet))


def live(fleet) -> list[str]:
    return [name for name in fleet.names if name not in fleet.dead]


def check_cell(faults, fleet, load: Load, versions) -> list[str]:
    """Return the promises that the cell broke, each with what was seen."""
    before = {flow.flow: flow.echoed for flow in load.flows}
    fleet.run(1.5)
    started = [run for target in fleet.targets.values() for run in target.started]
    broken = check_flows(faults, load, before)
    broken += check_requests(load, started)
    if wrong := sum(target.wrong_service for target in fleet.targets.values()):
        broken.append(f"2 wrong service: {wrong} packets")
    if late := {t.name: t.late_work for t in fleet.targets.values() if t.late_work}:
        broken.append(f"6 new work at leaving targets: {late}")
    if set(faults) <= PLANNED:
        cut = [r.codes for r in load.requests if r.outcome == "unknown"]
        if cut:
            broken.append(f"7 requests cut by planned changes: {cut}")
    return broken + check_versions(fleet, versions)


def check_flows(faults, load: Load, before) -> list[str]:
    broken = []
    for flow in load.flows:
        if flow.closed_code is not None:
            if "target killed" not in faults:
                broken.append(f"1 flow closed with code {flow.closed_code}")
        elif flow.echoed <= before[flow.flow]:
            broken.append(f"1 flow has no echo, open: {flow.is_open}")
    return broken


def check_requests(load: Load, started) -> list[str]:
    broken = []
    runs = {(flow, attempt) for flow, _, attempt, _ in started}
    counts = {}
    for flow, _, _, idempotent in started:
        if not idempotent:
            counts[flow] = counts.get(flow, 0) + 1
    for request in load.requests:
        if request.outcome in ("", "lost"):
            broken.append(f"3 request without a whole answer or outcome: {request.outcome!r}")
        if request.outcome == "refused" and any(flow == request.flow for flow, _ in runs):
            broken.append(f"4 refused but run: {request.codes}")
        if counts.get(request.flow, 0) > 1:
            broken.append(f"5 run {counts[request.flow]} times: {request.codes}")
    return broken


def check_versions(fleet, versions) -> list[str]:
    broken = []
    for name, history in fleet.version_history.items():
        # Zero marks a new process of the VM.
        for _, group in itertools.groupby(history, key=lambda version: version == 0):
            values = list(group)
            if values != sorted(values):
                broken.append(f"8 version went back at {name}: {history}")
    if len(set(versions.values())) != 1:
        broken.append(f"8 not in force everywhere {SETTLE_S} s after the faults: {versions}")
    return broken


def find_broken(cell) -> list[str]:
    """Run one cell and return the promises that it broke."""
    logging.disable(logging.CRITICAL)
    faults, step = cell
    return check_cell(faults, *run_cell(faults, STEPS[step]))


class FaultMatrixTest(unittest.TestCase):
    """Guards the eight promises against every fault at every step, and every pair of faults."""

    def run_cells(self, cells) -> None:
        failed = 0
        with ProcessPoolExecutor(WORKERS) as pool:
            results = list(pool.map(find_broken, cells, chunksize=4))
        for (faults, step), broken in zip(cells, results, strict=True):
            failed += bool(broken)
            with self.subTest(faults=faults, step=step):
                self.assertEqual(broken, [])
        print(f"fault matrix: {len(cells)} cells run, {failed} failed, 0 skipped")

    def test_every_fault_at_every_step(self):
        self.run_cells([((fault,), step) for fault in FAULTS for step in STEPS])

    def test_every_pair_of_faults(self):
        self.run_cells([(pair, PAIR_STEP) for pair in itertools.product(FAULTS, repeat=2)])
