"""Simulated network of memberships for tests and benchmarks."""

import heapq
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from random import Random

from mulberryswitch.contracts import MEMBERSHIP_CODEC
from mulberryswitch.vms import Membership, OutgoingDatagram

TICK_S = 0.125
LATENCY_S = 0.0015  # one way between zones
START_S = 1_000_000.0
BUFFERED_DATAGRAMS = 200


@dataclass(frozen=True, kw_only=True)
class Entry:
    """One VM in the platform's list."""

    vm: str
    zone: str
    address: str
    leaving: bool = False


def make_entry(index: int, *, leaving: bool = False) -> Entry:
    return Entry(
        vm=f"vm-{index}", zone=f"zone-{index % 3}", address=f"10.0.0.{index}:7", leaving=leaving
    )


def make_membership(index: int = 0, *, incarnation: int = 1) -> Membership:
    entry = make_entry(index)
    return Membership(vm=entry.vm, zone=entry.zone, address=entry.address, incarnation=incarnation)


class Fleet:
    """Memberships that exchange encoded datagrams in simulated time.

    Each VM ticks with its own phase offset, and a datagram takes `LATENCY_S`. `cuts` holds the
    (sender, receiver) pairs whose datagrams are dropped. Datagrams to a paused VM are kept in a
    bounded buffer, as in a socket.
    """

    def __init__(self, *, count: int, seed: int = 1):
        self.rng = Random(seed)
        self.now_s = START_S
        self.loss_rate = 0.0
        self.duplicate_rate = 0.0
        self.sent_bytes = 0
        self.sent_datagrams = 0
        self.cuts: set[tuple[str, str]] = set()
        self.running: dict[str, Membership] = {}
        self.buffers: dict[str, deque[tuple[str, bytes]]] = {}
        self.entries: dict[str, Entry] = {}
        self._vm_by_address: dict[str, str] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        for index in range(count):
            self.start(make_entry(index))
        self.publish(self.entries.values())

    def start(self, entry: Entry, *, seeds: Iterable[str] = ()) -> Membership:
        node = Membership(
            vm=entry.vm,
            zone=entry.zone,
            address=entry.address,
            incarnation=int(self.now_s),
        )
        node.observe_seeds(addresses=seeds, now_s=self.now_s)
        self.entries[entry.vm] = entry
        self.running[entry.vm] = node
        self._vm_by_address[entry.address] = entry.vm
        self._schedule(self.rng.random() * TICK_S, lambda: self._tick(node))
        return node

    def kill(self, vm: str) -> None:
        del self.running[vm]
        del self._vm_by_address[self.entries[vm].address]
        self.buffers.pop(vm, None)

    def pause(self, vm: str) -> None:
        self.buffers[vm] = deque(maxlen=BUFFERED_DATAGRAMS)

    def resume(self, vm: str) -> None:
        for sender, data in self.buffers.pop(vm):
            self._deliver(sender, self.entries[vm].address, data)

    def publish(self, entries: Iterable[Entry]) -> None:
        """Pass `entries` to every running VM as the platform's list."""
        entries = list(entries)
        for node in self.running.values():
            node.observe_list(entries=entries, now_s=self.now_s)

    def heal(self) -> None:
        self.cuts.clear()
        self.loss_rate = self.duplicate_rate = 0.0
        for vm in list(self.buffers):
            self.resume(vm)

    def send(self, sender: str, datagrams: Iterable[OutgoingDatagram]) -> None:
        for datagram in datagrams:
            data = MEMBERSHIP_CODEC.encode(datagram.message)
            self.sent_bytes += len(data)
            self.sent_datagrams += 1
            deliver = partial(self._deliver, sender, datagram.address, data)
            for _ in range(1 + (self.rng.random() < self.duplicate_rate)):
                if self.rng.random() >= self.loss_rate:
                    self._schedule(LATENCY_S, deliver)

    def run(self, duration_s: float) -> None:
        end_s = self.now_s + duration_s
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        self.now_s = end_s

    def run_until(self, predicate: Callable[[], bool], limit_s: float) -> float:
        """Run until `predicate` holds, for at most `limit_s`; return the simulated seconds."""
        start_s = self.now_s
        while not predicate() and self.now_s - start_s < limit_s:
            self.run(TICK_S)
        return self.now_s - start_s

    def live_names(self, vm: str) -> set[str]:
        return {member.vm for member in self.running[vm].live()}

    def is_converged(self) -> bool:
        return all(self.live_names(vm) == self.running.keys() for vm in self.running)

    def _schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (self.now_s + delay_s, self._event_count, action))

    def _tick(self, node: Membership) -> None:
        if self.running.get(node.vm) is not node:
            return
        if node.vm not in self.buffers:
            self.send(node.vm, node.decide_tick(now_s=self.now_s, rng=self.rng))
            node.live()  # as the daemon does, so that cached views are exercised
        self._schedule(TICK_S, lambda: self._tick(node))

    def _deliver(self, sender: str, address: str, data: bytes) -> None:
        receiver = self._vm_by_address.get(address)
        if receiver is None or (sender, receiver) in self.cuts:
            return
        if receiver in self.buffers:
            self.buffers[receiver].append((sender, data))
            return
        answers = self.running[receiver].observe_message(
            message=MEMBERSHIP_CODEC.decode(data),
            sender_address=self.entries[sender].address,
            now_s=self.now_s,
            rng=self.rng,
        )
        self.send(receiver, answers)
