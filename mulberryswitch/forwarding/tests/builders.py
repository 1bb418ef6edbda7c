"""Builders of callers' packets and of a forwarder with a fixed seed for tests."""

from random import Random

from mulberryswitch.directory import Directory
from mulberryswitch.directory.tests.builders import ROUTE_HOST
from mulberryswitch.forwarding import Forwarder, Packet

CALLER = 0x64400007


def build_packet(
    *, caller: int = CALLER, caller_port: int = 1000, port: int = 443, **changes
) -> Packet:
    """Return a packet; an opening (SYN) if there are no changes."""
    fields = {
        "flow": (caller, caller_port, ROUTE_HOST, port),
        "token": 0,
        "sequence": 0,
        "acknowledged": 0,
        "payload_bytes": 0,
        "opens": not changes,
        "acknowledges": bool(changes),
        "finishes": False,
        "resets": False,
        "data": b"",
    }
    return Packet(**(fields | changes))


def build_forwarder(directory: Directory, *, zone: str = "za", seed: int = 1) -> Forwarder:
    """Return a forwarder that records its counters in ``forwarder.counts``."""
    counts: dict[str, int] = {}

    def count(name: str, amount: int) -> None:
        counts[name] = counts.get(name, 0) + amount

    forwarder = Forwarder(directory=directory, zone=zone, rng=Random(seed), count=count)
    forwarder.counts = counts
    return forwarder
