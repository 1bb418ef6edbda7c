"""Target selection for new flows, compared with simpler policies, and the cost of a packet.

Prints the results of a simulated load under each policy (share of requests on time, failures,
imbalance), then the figures from which docs/CAPACITY.md takes the slopes of the direct path.
"""

import logging
import time
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from random import Random

from mulberryswitch.directory.tests.builders import build_directory, build_record
from mulberryswitch.forwarding import Candidate, Forwarder, pick_target
from mulberryswitch.forwarding import _forwarder as forwarder_module
from mulberryswitch.forwarding.tests.builders import build_forwarder, build_packet
from mulberryswitch.forwarding.tests.simulated import Workload
from mulberryswitch.forwarding.tests.simulation import Simulation

SEEDS = range(3)
PEAK_LOAD = Workload(feeds=280, reports_per_s=65)
TARGET_COUNTS = (100, 400, 1600)
PACKETS = 2_000


def pick_random(*, candidates, zone, tried, rng):
    """Return a random candidate."""
    return rng.choice(candidates).target if candidates else None


def pick_two_choices(*, candidates, zone, tried, rng):
    """Return the cheaper of two random candidates (power of two choices)."""
    if not candidates:
        return None
    sample = rng.sample(candidates, min(2, len(candidates)))
    return min(sample, key=lambda candidate: candidate.cost).target


def pick_cheapest(*, candidates, zone, tried, rng):
    """Return the cheapest candidate, regardless of its zone."""
    return min(candidates, key=lambda c: c.cost).target if candidates else None


@contextmanager
def override_pick_target(pick: Callable[..., object]) -> Iterator[None]:
    """Replace the target selection of all forwarders by `pick`."""
    forwarder_module.pick_target = pick
    try:
        yield
    finally:
        forwarder_module.pick_target = pick_target


def isolate_zone(simulation: Simulation) -> None:
    """Partition a zone from the others for half of the simulation."""
    simulation.at(4.0, lambda: setattr(simulation, "cut_zone", "za"))
    simulation.at(9.0, lambda: setattr(simulation, "cut_zone", None))


def measure_policy(pick: Callable[..., object], *, shares_loads: bool, inject_fault=None) -> str:
    """Return one table cell: share on time, failed per thousand, busiest target over the mean."""
    on_time = asked = failed = 0
    max_imbalance = 0.0
    with override_pick_target(pick):
        for seed in SEEDS:
            simulation = Simulation(load=PEAK_LOAD, seed=seed, shares_loads=shares_loads)
            if inject_fault is not None:
                inject_fault(simulation)
            outcome = simulation.run()
            on_time += outcome.on_time
            asked += outcome.asked
            failed += outcome.failed
            served = [target.served for target in simulation.targets.values()]
            max_imbalance = max(max_imbalance, max(served) * len(served) / sum(served))
    return f"{on_time / asked:.3f} {1000 * failed / asked:5.1f} {max_imbalance:.2f}"


def print_policies() -> None:
    """Print the results of each policy at peak load, with and without a partitioned zone."""
    print("policy (on time, failed per 1,000, busiest/mean) | peak load | peak load, zone cut")
    policies = (
        ("random", pick_random, False),
        ("two choices, local view", pick_two_choices, False),
        ("cheapest, local view", pick_cheapest, False),
        ("cheapest, zone's loads", pick_cheapest, True),
        ("local zone first, zone's loads", pick_target, True),
    )
    for name, pick, shares_loads in policies:
        cells = [
            measure_policy(pick, shares_loads=shares_loads, inject_fault=inject_fault)
            for inject_fault in (None, isolate_zone)
        ]
        print(f"{name:30} | {cells[0]} | {cells[1]}", flush=True)


def build_fleet(count: int) -> Forwarder:
    """Return a forwarder for `count` targets of one service in three zones."""
    config = build_record("config", 1, version=1, routes={443: "feeds"})
    entries = (
        build_record(
            f"t{i}",
            2,
            service="feeds",
            zone=f"z{i % 3}",
            slots=3,
            draining=False,
            cold_s=0.0,
        )
        for i in range(count)
    )
    return build_forwarder(build_directory(config, *entries), zone="z0")


def print_costs() -> None:
    """Print CPU time per packet and memory per target by the number of targets."""
    print("targets | us per new flow | us per packet of an open flow | bytes per target")
    for count in TARGET_COUNTS:
        tracemalloc.start()
        baseline_bytes = tracemalloc.get_traced_memory()[0]
        forwarder = build_fleet(count)
        allocated_bytes = tracemalloc.get_traced_memory()[0] - baseline_bytes
        tracemalloc.stop()
        started_s = time.process_time()
        for port in range(PACKETS):
            packet = build_packet(caller=port, caller_port=port, opens=True)
            forwarder.observe_packet(packet=packet, now_s=port / 1000)
        opened_s = time.process_time()
        flows = list(forwarder.flows.flows.items())
        packets = [build_packet(token=f.token, caller=k[0], caller_port=k[1]) for k, f in flows]
        ready_s = time.process_time()
        for packet in packets:
            forwarder.observe_packet(packet=packet, now_s=3.0)
        done_s = time.process_time()
        print(
            f"{count:7} | {(opened_s - started_s) / PACKETS * 1e6:8.1f} | "
            f"{(done_s - ready_s) / len(packets) * 1e6:8.1f} | {allocated_bytes / count:8.0f}",
            flush=True,
        )
    print(f"one selection among 100: {measure_pick_us():.1f} us")


def measure_pick_us() -> float:
    """Return the CPU time of one selection among 100 candidates in microseconds."""
    forwarder = build_fleet(100)
    targets = forwarder.directory.list_serving("feeds", 0.0)
    candidates = [Candidate(target=target, work=i % 7) for i, target in enumerate(targets)]
    rng = Random(1)
    started_s = time.process_time()
    for _ in range(PACKETS):
        pick_target(candidates=candidates, zone="z0", tried=(), rng=rng)
    return (time.process_time() - started_s) / PACKETS * 1e6


def main() -> None:
    """Print both tables."""
    logging.disable(logging.INFO)
    logging.getLogger().setLevel(logging.ERROR)
    print_policies()
    print_costs()


if __name__ == "__main__":
    main()
