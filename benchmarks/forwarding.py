"""Placing new flows: each way beside the others on the same load, and the cost of a packet.

Prints what callers get from a simulated load (share in time, failed, imbalance), then the slopes
behind the rows of the direct path in docs/CAPACITY.md.
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
from mulberryswitch.forwarding.tests.simulation import Simulation, Workload

SEEDS = range(3)
CREST = Workload(feeds=280, reports_per_s=65)
SIZES = (100, 400, 1600)
PACKETS = 2_000


def pick_random(*, candidates, zone, tried, rng):
    """Return any candidate."""
    return rng.choice(candidates).target if candidates else None


def pick_two_choices(*, candidates, zone, tried, rng):
    """Return the cheaper of two random candidates."""
    if not candidates:
        return None
    sample = rng.sample(candidates, min(2, len(candidates)))
    return min(sample, key=lambda candidate: candidate.cost).target


def pick_cheapest(*, candidates, zone, tried, rng):
    """Return the cheapest candidate of all zones."""
    return min(candidates, key=lambda c: c.cost).target if candidates else None


@contextmanager
def use_choice(pick: Callable[..., object]) -> Iterator[None]:
    """Let forwarders choose with `pick`."""
    forwarder_module.pick_target = pick
    try:
        yield
    finally:
        forwarder_module.pick_target = pick_target


def cut_zone(run: Simulation) -> None:
    """Cut a zone off for half of the simulation."""
    run.at(4.0, lambda: setattr(run, "cut_zone", "za"))
    run.at(9.0, lambda: setattr(run, "cut_zone", None))


def play_all(pick: Callable[..., object], *, shares_loads: bool, trouble=None) -> str:
    """Return one cell: share in time, failed per thousand, busiest target over the mean."""
    on_time = asked = failed = 0
    busiest = 0.0
    with use_choice(pick):
        for seed in SEEDS:
            run = Simulation(load=CREST, seed=seed, shares_loads=shares_loads)
            if trouble is not None:
                trouble(run)
            outcome = run.run()
            on_time += outcome.on_time
            asked += outcome.asked
            failed += outcome.failed
            served = [target.served for target in run.targets.values()]
            busiest = max(busiest, max(served) * len(served) / sum(served))
    return f"{on_time / asked:.3f} {1000 * failed / asked:5.1f} {busiest:.2f}"


def print_choices() -> None:
    """Print each way of placing on a crest, with and without a cut zone."""
    print("way of placing (in time, failed per 1,000, busiest/mean) | crest | crest, zone cut")
    ways = (
        ("random", pick_random, False),
        ("two choices, own view", pick_two_choices, False),
        ("cheapest, own view", pick_cheapest, False),
        ("cheapest, zone's loads", pick_cheapest, True),
        ("own zone first, zone's loads", pick_target, True),
    )
    for name, pick, shares_loads in ways:
        cells = [
            play_all(pick, shares_loads=shares_loads, trouble=trouble)
            for trouble in (None, cut_zone)
        ]
        print(f"{name:30} | {cells[0]} | {cells[1]}", flush=True)


def build_fleet(count: int) -> Forwarder:
    """Return a forwarder with `count` targets of one service in three zones."""
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


def print_slopes() -> None:
    """Print processor time per packet and memory by the number of targets of a service."""
    print("targets | us per new flow | us per packet of an open flow | bytes per target")
    for count in SIZES:
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        forwarder = build_fleet(count)
        size_bytes = tracemalloc.get_traced_memory()[0] - before
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
            f"{(done_s - ready_s) / len(packets) * 1e6:8.1f} | {size_bytes / count:8.0f}",
            flush=True,
        )
    print(f"one choice among 100: {measure_choice():.1f} us")


def measure_choice() -> float:
    """Return the time of one choice among 100 candidates in microseconds."""
    forwarder = build_fleet(100)
    targets = forwarder.directory.list_serving("feeds", 0.0)
    candidates = [Candidate(target=target, work=i % 7) for i, target in enumerate(targets)]
    rng = Random(1)
    started_s = time.process_time()
    for _ in range(PACKETS):
        pick_target(candidates=candidates, zone="z0", tried=(), rng=rng)
    return (time.process_time() - started_s) / PACKETS * 1e6


def main() -> None:
    """Run both measurements."""
    logging.disable(logging.INFO)
    logging.getLogger().setLevel(logging.ERROR)
    print_choices()
    print_slopes()


if __name__ == "__main__":
    main()
