"""Cost and speed of the membership over an in-memory network, on one core.

Run with ``python -m benchmarks.membership [--quick]``. Processor time includes the codec and the
network of the simulation, so it is an upper bound. Nothing is extrapolated.
"""

import sys
import time
from collections.abc import Callable, Iterable
from itertools import product
from statistics import mean

from mulberryswitch.contracts import MemberState
from mulberryswitch.vms.tests.builders import Fleet

SIZES = (16, 64, 256, 1024)
EVENTS_PER_S = 0.28  # 12,000 restarts or replacements a day, each of which leaves and joins
DOWN_S = 5.0
WARM_UP_S = 10.0
MEASURED_S = 60.0
HEADER_BYTES = 28  # IPv4 and UDP
LIMIT_S = 120.0
LOSS = 0.05
REPEATS = 5


def print_table(title: str, names: Iterable[str], rows: Iterable[Iterable[object]]) -> None:
    """Print `rows` under `names` as columns of equal width."""
    print(f"\n{title}")
    for row in (names, *rows):
        cells = (f"{cell:.2f}" if isinstance(cell, float) else str(cell) for cell in row)
        print("".join(f"{cell:>13}" for cell in cells), flush=True)


def count_wrong_deaths(fleet: Fleet) -> int:
    """Return the number of (view, running VM) pairs in which the VM is not live."""
    running = fleet.running.keys()
    return sum(len(running - fleet.live_names(vm)) for vm in running)


def run_events(fleet: Fleet, duration_s: float) -> int:
    """Kill a VM and start it again, over and over; return the number of events."""
    events = 0
    end_s = fleet.now_s + duration_s
    next_kill_s = fleet.now_s
    starts: list[tuple[float, str]] = []
    while fleet.now_s < end_s:
        if fleet.now_s >= next_kill_s:
            vm = fleet.rng.choice(sorted(fleet.running))
            fleet.kill(vm)
            starts.append((fleet.now_s + DOWN_S, vm))
            next_kill_s += 2 / EVENTS_PER_S
            events += 1
        if starts and fleet.now_s >= starts[0][0]:
            restart(fleet, starts.pop(0)[1])
            events += 1
        fleet.run(0.25)
    return events


def restart(fleet: Fleet, vm: str) -> None:
    """Start `vm` at its former address with the platform's list."""
    node = fleet.start(fleet.entries[vm])
    node.observe_list(entries=fleet.entries.values(), now_s=fleet.now_s)


def measure_cost(fleet: Fleet, label: str, run: Callable[[], object]) -> tuple[object, ...]:
    """Return bytes, datagrams and processor time per VM and second while `run` runs."""
    count = len(fleet.running)
    sent_bytes, datagrams, start_s = fleet.sent_bytes, fleet.sent_datagrams, fleet.now_s
    busy_s = time.process_time()
    run()
    busy_s = time.process_time() - busy_s
    share = 1 / (count * (fleet.now_s - start_s))
    bytes_per_s = (fleet.sent_bytes - sent_bytes) * share
    datagrams_per_s = (fleet.sent_datagrams - datagrams) * share
    return (
        count,
        label,
        bytes_per_s,
        bytes_per_s + HEADER_BYTES * datagrams_per_s,
        datagrams_per_s,
        round(busy_s * share * 1e6),
    )


def measure_costs(count: int) -> list[tuple[object, ...]]:
    """Return the cost of a common start, of quiet times, of steady events and of loss."""
    fleet = Fleet(count=count)
    rows = [measure_cost(fleet, "start", lambda: fleet.run(WARM_UP_S))]
    rows.append(measure_cost(fleet, "quiet", lambda: fleet.run(MEASURED_S)))
    rows.append(measure_cost(fleet, "events", lambda: run_events(fleet, MEASURED_S)))
    return rows


def measure_loss(count: int) -> tuple[object, ...]:
    """Return the cost and the wrong deaths while datagrams are lost."""
    fleet = Fleet(count=count)
    fleet.run(WARM_UP_S)
    fleet.loss_rate = LOSS
    wrong: list[int] = []

    def run() -> None:
        for _ in range(round(MEASURED_S)):
            fleet.run(1.0)
            wrong.append(count_wrong_deaths(fleet))

    cost = measure_cost(fleet, f"{LOSS:.0%} loss", run)
    fleet.loss_rate = 0.0
    fleet.run(10.0)
    return (*cost, sum(wrong), count_wrong_deaths(fleet))


def is_dead(fleet: Fleet, observer: str, vm: str) -> bool:
    """Return whether `vm` is dead in the view of `observer`."""
    member = fleet.running[observer].members.get(vm)
    return member is not None and member.state == MemberState.DEAD


def measure_speed(count: int) -> tuple[object, ...]:
    """Return times from a kill, a restart and a planned shutdown to the views."""
    fleet = Fleet(count=count)
    fleet.run(WARM_UP_S)
    first, spread, joined, left = [], [], [], []
    for index in range(REPEATS):
        vm = f"vm-{index}"
        fleet.kill(vm)
        first.append(
            fleet.run_until(lambda v=vm: any(is_dead(fleet, o, v) for o in fleet.running), LIMIT_S)
        )
        spread.append(
            fleet.run_until(lambda v=vm: all(is_dead(fleet, o, v) for o in fleet.running), LIMIT_S)
        )
        restart(fleet, vm)
        joined.append(fleet.run_until(fleet.is_converged, LIMIT_S))
        leaving = fleet.running[f"vm-{index + REPEATS}"]
        fleet.send(leaving.vm, leaving.apply_leaving(now_s=fleet.now_s))
        left.append(
            fleet.run_until(
                lambda v=leaving.vm: all(v not in fleet.live_names(o) for o in fleet.running),
                LIMIT_S,
            )
        )
        fleet.kill(leaving.vm)
        fleet.run(DOWN_S)
    times = (mean(first), max(first), mean(spread), max(spread))
    return (count, *times, mean(joined), max(joined), mean(left), max(left))


def measure_partition(count: int, duration_s: float) -> tuple[object, ...]:
    """Return times from a cut of a quarter of the VMs, and from its end, to right views."""
    fleet = Fleet(count=count)
    fleet.run(WARM_UP_S)
    names = list(fleet.running)
    sides = (set(names[: count // 4]), set(names[count // 4 :]))
    fleet.cuts = {*product(*sides), *product(*reversed(sides))}
    side_of = {vm: side for side in sides for vm in side}
    split_s = fleet.run_until(
        lambda: all(fleet.live_names(vm) == side_of[vm] for vm in names), LIMIT_S
    )
    fleet.run(max(0.0, duration_s - split_s))
    fleet.heal()
    lost = 0

    def is_whole() -> bool:
        nonlocal lost
        lost = max(lost, *(len(side_of[vm] - fleet.live_names(vm)) for vm in names))
        return fleet.is_converged()

    return (count, duration_s, split_s, fleet.run_until(is_whole, LIMIT_S), lost)


def main() -> None:
    """Print the tables."""
    sizes = SIZES[:3] if "--quick" in sys.argv else SIZES
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
        [measure_speed(count) for count in sizes],
    )
    print_table(
        "A quarter of the VMs cut off; own-side members missing in any view while merging",
        ("members", "cut s", "split s", "merged s", "missing"),
        [measure_partition(count, cut_s) for count in sizes[:2] for cut_s in (10.0, 600.0)],
    )


if __name__ == "__main__":
    main()
