"""Cost of validating, storing and disseminating the configuration.

Run with ``python -m benchmarks.configuration``. Dissemination is simulated in memory; its times are
computed from the number of rounds and an assumed delay per message.
"""

import json
import time
import tracemalloc
from collections.abc import Callable, Iterator
from random import Random
from typing import Any

from mulberryswitch.configuration import (
    CONFIG_TICK_S,
    MAX_DOCUMENT_BYTES,
    ConfigExchange,
    ConfigStore,
    apply_delta,
    build_delta,
    check_sheet,
)
from mulberryswitch.contracts import PEER_CODEC, MemberState
from mulberryswitch.vms import Member

# Numbers of targets and of addresses.
DOCUMENT_SIZES = ((100, 40), (1_000, 400), (10_000, 4_000), (34_000, 13_000))
TARGETS_PER_SERVICE = 10
FLEET_SIZES = (16, 64, 256)
ZONES = ("tn-a", "tn-b", "tn-c", "tn-d")
MESSAGE_DELAY_S = 0.002  # assumed delay of one message
WARM_UP_TICKS = 60
MEASURED_TICKS = 40
SEED = 7
REPEATS = 5


def build_target(index: int, state: str = "active") -> dict[str, Any]:
    """Return the entry of target `index` in a generated sheet."""
    host = f"10.{64 + index // 62_500}.{index // 250 % 250}.{index % 250 + 1}"
    zone = ZONES[index % len(ZONES)]
    return {"name": f"t{index}", "zone": zone, "address": f"{host}:9000", "state": state}


def build_document(targets: int, addresses: int, leaving: int = 0) -> bytes:
    """Return a sheet as compact JSON; the first `leaving` targets are in state leaving."""
    target_entries = [
        build_target(index, "leaving" if index < leaving else "active") for index in range(targets)
    ]
    service_addresses = [
        f"10.32.{index // 250}.{index % 250 + 1}:443" for index in range(addresses)
    ]
    count = targets // TARGETS_PER_SERVICE
    services = [
        {
            "name": f"service{index}",
            "addresses": service_addresses[index::count],
            "slots": 3,
            "connections": 4000,
            "targets": target_entries[index::count],
        }
        for index in range(count)
    ]
    document = {"format": 1, "zones": ZONES, "services": services}
    return json.dumps(document, separators=(",", ":")).encode()


def measure_ms(action: Callable[[], Any]) -> float:
    """Return the CPU milliseconds of the fastest of `REPEATS` runs."""
    times = []
    for _ in range(REPEATS):
        start_s = time.process_time()
        action()
        times.append(time.process_time() - start_s)
    return 1000 * min(times)


def measure_memory_mb(action: Callable[[], Any]) -> tuple[float, float]:
    """Return the memory retained by the result of `action` and the peak during the call, in MB."""
    tracemalloc.start()
    result = action()
    retained, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return retained / 1e6, peak / 1e6


def build_store(document: bytes) -> ConfigStore:
    """Return a store whose current configuration is `document`."""
    store = ConfigStore()
    store.offer(document=document, version=1, tombstones={}, source="benchmark", now_s=0.0)
    return store


def accept_delta(document: bytes, delta: bytes) -> None:
    """Apply and store a delta as a VM does that receives it from a peer."""
    ConfigStore().offer(
        document=apply_delta(document, delta),
        version=1,
        tombstones={},
        source="benchmark",
        now_s=0.0,
        accepted_by_peer=True,
        canonical=True,
    )


def iterate_size_rows() -> Iterator[str]:
    """Yield one table row of validation and delta costs per document size."""
    for targets, addresses in DOCUMENT_SIZES:
        old = build_document(targets, addresses)
        new = build_document(targets, addresses, leaving=1)
        if len(old) > MAX_DOCUMENT_BYTES:
            yield (
                f"{targets:>8}{addresses:>10}{len(old):>10}  over the limit of "
                f"{MAX_DOCUMENT_BYTES} bytes by {len(old) / MAX_DOCUMENT_BYTES:.1f} times, refused"
            )
            continue
        check_ms = measure_ms(lambda d=old: check_sheet(document=d, version=1, tombstones={}))
        retained_mb, peak_mb = measure_memory_mb(lambda d=old: build_store(d))
        delta = build_delta(old, new)
        build_ms = measure_ms(lambda o=old, n=new: build_delta(o, n))
        apply_ms = measure_ms(lambda o=old, d=delta: apply_delta(o, d))
        accept_ms = measure_ms(lambda o=old, d=delta: accept_delta(o, d))
        yield (
            f"{targets:>8}{addresses:>10}{len(old):>10}{check_ms:>10.1f}{retained_mb:>9.1f}"
            f"{peak_mb:>9.1f}{len(delta):>9}{build_ms:>10.1f}{apply_ms:>10.1f}{accept_ms:>11.1f}"
        )


class Fleet:
    """Simulated fleet of configuration exchanges that counts message hops and bytes."""

    def __init__(self, *, size: int, rng: Random):
        names = [f"vm{index}" for index in range(size)]
        self.members = [
            Member(
                vm=name,
                zone=ZONES[index % len(ZONES)],
                address="127.0.0.1:1",
                incarnation=1,
                state=MemberState.ALIVE,
            )
            for index, name in enumerate(names)
        ]
        self.nodes = {
            member.vm: ConfigExchange(vm=member.vm, zone=member.zone, store=ConfigStore())
            for member in self.members
        }
        self.rng = rng
        self.now_s = 0.0
        self.sent_bytes = 0

    def tick(self) -> int:
        """Run one tick; return the length of the longest chain of messages that it causes."""
        self.now_s += CONFIG_TICK_S
        pending = [
            (vm, outgoing)
            for vm, node in self.nodes.items()
            for outgoing in node.decide_tick(now_s=self.now_s, rng=self.rng)
        ]
        hops = 0
        while pending:
            hops += 1
            self.sent_bytes += sum(
                len(PEER_CODEC.encode(outgoing.message)) for _, outgoing in pending
            )
            pending = [
                (outgoing.vm, reply)
                for vm, outgoing in pending
                for reply in self.deliver(vm, outgoing)
            ]
        return hops

    def deliver(self, sender_vm: str, outgoing: Any) -> list[Any]:
        """Deliver one message and return the replies."""
        node = self.nodes[outgoing.vm]
        return node.observe_message(sender_vm=sender_vm, message=outgoing.message, now_s=self.now_s)

    def publish(self, document: bytes, version: int) -> None:
        """Deliver `document` to the first VM as if it was read from the platform."""
        node = next(iter(self.nodes.values()))
        node.observe_platform_document(document=document, version=version, now_s=self.now_s)

    def count_outdated(self, version: int) -> int:
        """Return the number of VMs with a version below `version`."""
        return sum(node.store.version < version for node in self.nodes.values())


def measure_dissemination(size: int) -> str:
    """Return one table row of dissemination costs for a fleet of `size` VMs."""
    fleet = Fleet(size=size, rng=Random(SEED))
    for node in fleet.nodes.values():
        node.observe_members(members=fleet.members, now_s=0.0)
    fleet.publish(build_document(100, 40), 1)
    for _ in range(WARM_UP_TICKS):
        fleet.tick()
    fleet.sent_bytes = 0
    for _ in range(MEASURED_TICKS):
        fleet.tick()
    idle_bytes = fleet.sent_bytes
    fleet.sent_bytes = 0
    fleet.publish(build_document(100, 40, leaving=1), 2)
    rounds, duration_s = 0, 0.0
    for _ in range(MEASURED_TICKS):
        outdated = fleet.count_outdated(2)
        hops = fleet.tick()
        rounds += bool(outdated)
        duration_s += (CONFIG_TICK_S + hops * MESSAGE_DELAY_S) if outdated else 0.0
    bytes_per_node = (fleet.sent_bytes - idle_bytes) / size
    idle_bytes_per_s = idle_bytes / size / (MEASURED_TICKS * CONFIG_TICK_S)
    return (
        f"{size:>8}{rounds:>8}{duration_s:>12.2f}{bytes_per_node:>16.0f}{idle_bytes_per_s:>16.1f}"
    )


def main() -> None:
    """Print the tables."""
    print(
        "Validation and deltas (CPU ms, best of 5; delta of one changed target;"
        " accept: apply, check and store it)"
    )
    print(
        f"{'targets':>8}{'addresses':>10}{'bytes':>10}{'check_ms':>10}{'held_MB':>9}"
        f"{'peak_MB':>9}{'delta_B':>9}{'build_ms':>10}{'apply_ms':>10}{'accept_ms':>11}"
    )
    for row in iterate_size_rows():
        print(row)
    print()
    print(
        f"Dissemination of one changed target (computed: rounds x {CONFIG_TICK_S} s tick + "
        f"{MESSAGE_DELAY_S * 1000:.0f} ms per message in a chain; bytes are counted)"
    )
    print(f"{'nodes':>8}{'rounds':>8}{'spread_s':>12}{'B/node/change':>16}{'idle B/s/node':>16}")
    for size in FLEET_SIZES:
        print(measure_dissemination(size))


if __name__ == "__main__":
    main()
