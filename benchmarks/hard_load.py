"""Processor time of the parts that answer hard load, at the size of a zone of 233 VMs.

Run with ``python -m benchmarks.hard_load``.
"""

import json
import time
from collections.abc import Callable
from random import Random

from mulberryswitch.contracts import MemberState
from mulberryswitch.directory import build_outline, index_chunks
from mulberryswitch.forwarding import HedgeLimits, Hedging
from mulberryswitch.vms import Member, OwnershipClaims

ZONE_VMS = 233
ROUTES = 7_000
COLD_TARGETS = 100


def measure_us(run: Callable[[], object], count: int) -> float:
    """Return the processor time of one call in microseconds."""
    start_s = time.process_time()
    for _ in range(count):
        run()
    return (time.process_time() - start_s) / count * 1e6


def build_members() -> list[Member]:
    return [
        Member(
            vm=f"vm-{n}",
            zone="za",
            address="10.0.0.1:7",
            incarnation=1,
            state=MemberState.ALIVE,
        )
        for n in range(ZONE_VMS)
    ]


def build_config() -> bytes:
    rng = Random(1)
    routes = [
        {"name": f"r-{rng.getrandbits(40):x}", "host": "198.18.0.1", "prefix": f"/{port}/"}
        for port in range(ROUTES)
    ]
    return json.dumps({"version": 1, "routes": routes}).encode()


def main() -> None:
    """Print the table."""
    members, config = build_members(), build_config()
    claims = OwnershipClaims(vm="vm-1", zone="za")
    for number in range(200):
        claims.observe_members(members, 0.1 * number)
    hedging = Hedging(limits=HedgeLimits(share=0.05))
    for _ in range(1_000):
        hedging.observe_answer("feeds", 0.004)
    now_s = 0.1 * 199

    def rank_cold_targets() -> None:
        claims._owned.clear()
        for number in range(COLD_TARGETS):
            claims.is_owner(f"t{number}", now_s)

    rows = {
        f"members of a zone recorded, {ZONE_VMS} VMs": (
            lambda: claims.observe_members(members, now_s),
            500,
        ),
        f"owners of {COLD_TARGETS} cold targets found, once for each change of the members": (
            rank_cold_targets,
            10,
        ),
        "check whether an opening is due for a hedge": (
            lambda: hedging.is_due("feeds", 0.003),
            20_000,
        ),
        f"outline of {ROUTES} routes, {len(config) // 1000} KB": (
            lambda: build_outline(config),
            20,
        ),
        "index of its chunks": (lambda: index_chunks([config]), 20),
    }
    for name, (run, count) in rows.items():
        print(f"{name}: {measure_us(run, count):.1f} us")


if __name__ == "__main__":
    main()
