"""Cost and propagation times of the membership over an in-memory network, on one core.

Run with ``python -m benchmarks.membership [--quick]``. CPU time includes the codec and the
simulated network, so it is an upper bound. Nothing is extrapolated.
"""

import sys
import time
from collections.abc import Callable, Iterable
from itertools import product
from statistics import mean

from mulberryswitch.contracts import MemberState
from mulberryswitch.vms.tests.builders import Fleet

FLEET_SIZES = (16, 64, 256, 1024)
EVENTS_PER_S = 0.28  # 12,000 restarts or replacements a day, each of them a leave and a join
DOWNTIME_S = 5.0
WARM_UP_S = 10.0
MEASUREMENT_S = 60.0
IP_UDP_HEADER_BYTES = 28  # IPv4 20, UDP 8
TIMEOUT_S = 120.0
LOSS_RATE = 0.05
REPEATS = 5


def print_table(title: str, names: Iterable[str], rows: Iterable[Iterable[object]]) -> None:
    """Print `names` and `rows` as a table with columns of equal width."""
    print(f"\n{title}")
    for row in (names, *rows):
        cells = (f"{cell:.2f}" if isinstance(cell, float) else str(cell) for cell in row)
        print("".join(f"{cell:>13}" for cell in cells), flush=True)


def count_false_deaths(fleet: Fleet) -> int:
    """Return the number of (view, VM) pairs in which a running VM is not live."""
    running = fleet.running.keys()
    return sum(len(running - fleet.live_names(vm)) for vm in running)


def run_churn(fleet: Fleet, duration_s: float) -> int:
    """Kill random VMs and restart each after `DOWNTIME_S`; return the number of events."""
    events = 0
    end_s = fleet.now_s + duration_s
    next_kill_s = fleet.now_s
    pending_restarts: list[tuple[float, str]] = []
    while fleet.now_s < end_s:
        if fleet.now_s >= next_kill_s:
            vm = fleet.rng.choice(sorted(fleet.running))
            fleet.kill(vm)
            pending_restarts.append((fleet.now_s + DOWNTIME_S, vm))
            next_kill_s += 2 / EVENTS_PER_S
            events += 1
        if pending_restarts and fleet.now_s >= pending_restarts[0][0]:
            restart(fleet, pending_restarts.pop(0)[1])
            events += 1
        fleet.run(0.25)
    return events


def restart(fleet: Fleet, vm: str) -> None:
    """Start `vm` again at its previous address with the platform's list."""
    node = fleet.start(fleet.entries[vm])
    node.observe_list(entries=fleet.entries.values(), now_s=fleet.now_s)


def measure_cost(fleet: Fleet, label: str, run: Callable[[], object]) -> tuple[object, ...]:
    """Return bytes, datagrams and CPU time per VM and second during `run`."""
    count = len(fleet.running)
    sent_bytes, datagrams, start_s = fleet.sent_bytes, fleet.sent_datagrams, fleet.now_s
    cpu_s = time.process_time()
    run()
    cpu_s = time.process_time() - cpu_s
    per_vm_second = 1 / (count * (fleet.now_s - start_s))
    bytes_per_s = (fleet.sent_bytes - sent_bytes) * per_vm_second
    datagrams_per_s = (fleet.sent_datagrams - datagrams) * per_vm_second
    return (
        count,
        label,
        bytes_per_s,
        bytes_per_s + IP_UDP_HEADER_BYTES * datagrams_per_s,
        datagrams_per_s,
        round(cpu_s * per_vm_second * 1e6),
    )


def measure_costs(count: int) -> list[tuple[object, ...]]:
    """Return the cost of a simultaneous start, of an idle fleet and of steady churn."""
    fleet = Fleet(count=count)
    rows = [measure_cost(fleet, "start", lambda: fleet.run(WARM_UP_S))]
    rows.append(measure_cost(fleet, "quiet", lambda: fleet.run(MEASUREMENT_S)))
    rows.append(measure_cost(fleet, "events", lambda: run_churn(fleet, MEASUREMENT_S)))
    return rows


def measure_loss(count: int) -> tuple[object, ...]:
    """Return the cost and the false deaths under datagram loss, and the false deaths after it."""
    fleet = Fleet(count=count)
    fleet.run(WARM_UP_S)
    fleet.loss_rate = LOSS_RATE
    false_deaths: list[int] = []

    def run() -> None:
        for _ in range(round(MEASUREMENT_S)):
            fleet.run(1.0)
            false_deaths.append(count_false_deaths(fleet))

    cost = measure_cost(fleet, f"{LOSS_RATE:.0%} loss", run)
    fleet.loss_rate = 0.0
    fleet.run(10.0)
    return (*cost, sum(false_deaths), count_false_deaths(fleet))


def is_dead(fleet: Fleet, observer: str, vm: str) -> bool:
    """Return whether `vm` is dead in the view of `observer`."""
    member = fleet.running[observer].members.get(vm)
    return member is not None and member.state == MemberState.DEAD


def measure_propagation(count: int) -> tuple[object, ...]:
    """Return the time until the views reflect a kill, a restart and a planned shutdown."""
    fleet = Fleet(count=count)
    fleet.run(WARM_UP_S)
    first_dead_s, all_dead_s, all_joined_s, all_left_s = [], [], [], []
    for index in range(REPEATS):
        vm = f"vm-{index}"
        fleet.kill(vm)
        first_dead_s.append(
            fleet.run_until(
                lambda v=vm: any(is_dead(fleet, o, v) for o in fleet.running), TIMEOUT_S
            )
        )
        all_dead_s.append(
            fleet.run_until(
                lambda v=vm: all(is_dead(fleet, o, v) for o in fleet.running), TIMEOUT_S
            )
        )
        restart(fleet, vm)
        all_joined_s.append(fleet.run_until(fleet.is_converged, TIMEOUT_S))
        leaving = fleet.running[f"vm-{index + REPEATS}"]
        fleet.send(leaving.vm, leaving.apply_leaving(now_s=fleet.now_s))
        all_left_s.append(
            fleet.run_until(
                lambda v=leaving.vm: all(v not in fleet.live_names(o) for o in fleet.running),
                TIMEOUT_S,
            )
        )
        fleet.kill(leaving.vm)
        fleet.run(DOWNTIME_S)
    times = (mean(first_dead_s), max(first_dead_s), mean(all_dead_s), max(all_dead_s))
    return (count, *times, mean(all_joined_s), max(all_joined_s), mean(all_left_s), max(all_left_s))


def measure_partition(count: int, duration_s: float) -> tuple[object, ...]:
    """Return the convergence times after a partition of a quarter of the VMs and after its end."""
    fleet = Fleet(count=count)
    fleet.run(WARM_UP_S)
    names = list(fleet.running)
    sides = (set(names[: count // 4]), set(names[count // 4 :]))
    fleet.cuts = {*product(*sides), *product(*reversed(sides))}
    side_by_vm = {vm: side for side in sides for vm in side}
    partitioned_s = fleet.run_until(
        lambda: all(fleet.live_names(vm) == side_by_vm[vm] for vm in names), TIMEOUT_S
    )
    fleet.run(max(0.0, duration_s - partitioned_s))
    fleet.heal()
    missing = 0

    def is_merged() -> bool:
        nonlocal missing
        missing = max(missing, *(len(side_by_vm[vm] - fleet.live_names(vm)) for vm in names))
        return fleet.is_converged()

    return (count, duration_s, partitioned_s, fleet.run_until(is_merged, TIMEOUT_S), missing)


def main() -> None:
    """Print the tables."""
    sizes = FLEET_SIZES[:3] if "--quick" in sys.argv else FLEET_SIZES
    cost_names = ("members", "load", "bytes/s", "with headers", "datagrams/s", "cpu us/s")
    rows = [row for count in sizes for row in measure_costs(count)]
    print_table("Sent per VM and second", cost_names, rows)
    print_table(
        "Loss; wrong deaths summed over views and seconds, and 10 s after its end",
        (*cost_names, "wrong", "wrong after"),
        [measure_loss(count) for count in sizes[:3]],
    )
    print_table(
        f"Seconds from a kill, a restart and a planned shutdown, {REPEATS} each (mean, max)",
        ("members", "first dead", "max", "dead in all", "max", "joined all", "max", "left", "max"),
        [measure_propagation(count) for count in sizes],
    )
    print_table(
        "A quarter of the VMs partitioned; same-side members missing in any view while merging",
        ("members", "cut s", "split s", "merged s", "missing"),
        [
            measure_partition(count, partition_s)
            for count in sizes[:2]
            for partition_s in (10.0, 600.0)
        ],
    )


if __name__ == "__main__":
    main()
