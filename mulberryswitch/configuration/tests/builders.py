"""Builders of documents, members and fleets for tests."""

import json
from collections.abc import Sequence
from random import Random
from typing import Any

from mulberryswitch.configuration import CONFIG_TICK_S, ConfigExchange, ConfigStore, Outgoing
from mulberryswitch.contracts import MemberState
from mulberryswitch.vms import Member

ZONES = ("za", "zb")


def build_targets(prefix: str, count: int = 1, **changes: Any) -> list[dict[str, Any]]:
    """Return targets named `prefix` and an index."""
    net = ord(prefix[0])
    base = {"zone": "za", "state": "active"}
    return [
        {**base, "name": f"{prefix}{i}", "address": f"10.{net}.0.{i + 1}:9000", **changes}
        for i in range(count)
    ]


def build_service(name: str, *addresses: str, count: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a service; without `addresses` it gets an address derived from its name."""
    default_address = f"10.0.{ord(name[0])}.1:80"
    return {
        "name": name,
        "addresses": list(addresses) or [default_address],
        "slots": 3,
        "connections": 4000,
        "targets": build_targets(name, count),
        **changes,
    }


def build_document(*services: dict[str, Any], **changes: Any) -> bytes:
    """Return a document of `services`, or of one service."""
    listed = list(services) or [build_service("a")]
    return json.dumps({"format": 1, "zones": list(ZONES), "services": listed, **changes}).encode()


def build_members(count: int) -> list[Member]:
    """Return live members `vm0`, `vm1`, ... in alternating zones."""
    return [
        Member(
            vm=f"vm{i}",
            zone=ZONES[i % len(ZONES)],
            address=f"127.0.0.1:{9000 + i}",
            incarnation=1,
            state=MemberState.ALIVE,
        )
        for i in range(count)
    ]


class Fleet:
    """In-memory fleet: the exchanges of several VMs and the messages in flight between them."""

    def __init__(self, *, count: int, rng: Random):
        self.members = build_members(count)
        self.rng = rng
        self.now_s = 0.0
        self.messages: list[tuple[str, Outgoing]] = []
        self.is_partitioned = False
        self.nodes = {member.vm: self.build_node(member) for member in self.members}

    def build_node(self, member: Member) -> ConfigExchange:
        """Return the exchange of a VM that has just started."""
        node = ConfigExchange(vm=member.vm, zone=member.zone, store=ConfigStore())
        node.observe_members(members=self.members, now_s=self.now_s)
        return node

    def replace_vm(self, index: int) -> str:
        """Replace a VM by one without state and return its name."""
        member = self.members[index]
        self.nodes[member.vm] = self.build_node(member)
        return member.vm

    def can_reach(self, vm: str, other: str) -> bool:
        """Return whether no partition separates two VMs."""
        return not self.is_partitioned or self.nodes[vm].zone == self.nodes[other].zone

    def send(self, sender: str, outgoing: Sequence[Outgoing]) -> None:
        """Queue the messages of `sender` to VMs that it can reach."""
        self.messages += [(sender, out) for out in outgoing if self.can_reach(sender, out.vm)]

    def deliver(self, index: int = 0) -> None:
        """Deliver one queued message and queue the answers."""
        sender, out = self.messages.pop(index)
        answers = self.nodes[out.vm].observe_message(
            sender_vm=sender, message=out.message, now_s=self.now_s
        )
        self.send(out.vm, answers)

    def deliver_all(self) -> None:
        """Deliver messages and their answers until none is left."""
        while self.messages:
            self.deliver()

    def tick(self, step_s: float = CONFIG_TICK_S, vms: Sequence[str] = ()) -> None:
        """Advance the time and queue the messages that the VMs send."""
        self.now_s += step_s
        for vm in vms or self.nodes:
            self.send(vm, self.nodes[vm].decide_tick(now_s=self.now_s, rng=self.rng))

    def run(self, ticks: int) -> None:
        """Run some ticks without loss."""
        for _ in range(ticks):
            self.tick()
            self.deliver_all()

    def publish(self, vm: str, document: bytes, version: int) -> Any:
        """Hand a document of the platform to one VM."""
        return self.nodes[vm].observe_platform_document(
            document=document, version=version, now_s=self.now_s
        )

    def collect_keys(self) -> set[tuple[int, bytes]]:
        """Return version and digest of each configuration in force in the fleet."""
        return {node.store.key for node in self.nodes.values()}
