"""Builders of callers' packets, targets and a forwarder with a fixed seed for tests."""

import unittest
from random import Random

from mulberryswitch.directory import Directory, build_token
from mulberryswitch.directory.tests.builders import (
    ROUTE_HOST,
    build_directory,
    build_record,
    build_target,
    build_target_record,
)
from mulberryswitch.forwarding import Forward, Forwarder, Packet

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


ROUTES = {443: "feeds", 80: "feeds", 81: "scans"}


def build_fleet(*names: str, kinds: dict[str, str] | None = None, **changes):
    """Return a directory with a configuration and targets of the service `feeds`."""
    config = build_record(
        "config", 5, version=1, routes=ROUTES, kinds=kinds or {"80": "non-idempotent"}
    )
    return build_directory(config, *(build_target_record(name, 6, **changes) for name in names))


def token_of(name: str) -> int:
    return build_token(build_target(name).identity)


class PathTest(unittest.TestCase):
    """Fixture with three targets and a forwarder that packets are sent to."""

    def setUp(self):
        self.directory = build_fleet("t1", "t2", "t3")
        self.forwarder = build_forwarder(self.directory)

    def send(self, now_s: float, **fields) -> list:
        return self.forwarder.observe_packet(packet=build_packet(**fields), now_s=now_s)

    def open(self, now_s: float, **fields) -> str:
        """Open a flow and return the target's key."""
        (action,) = self.send(now_s, **fields)
        self.assertIsInstance(action, Forward)
        return action.target.key

    def check_failures(self, target: str, count: int) -> None:
        """Check how many witnesses saw openings fail at a target."""
        health = self.forwarder.loads.get_or_create(token_of(target)).health
        self.assertEqual(len(health.evidence.list_witnesses(0.1)), count)

    def acknowledge(self, now_s: float, target: str, **fields) -> list:
        return self.send(now_s, token=token_of(target), sequence=1, acknowledged=1, **fields)
