"""Simulated fabric: sends packets to random VMs and replies to callers, with impairments.

SIGUSR1 partitions the fabric: half of the callers reach only the VMs in ``split_vms``, the others
only the remaining VMs. SIGUSR2 heals the partition.
"""

import asyncio
import random
import signal
import socket
import time
from collections import OrderedDict
from configparser import ConfigParser
from dataclasses import dataclass
from pathlib import Path

from mulberryswitch.contracts import FABRIC_CODEC, Announce, DecodeError, Packet, Reply

from ._datagrams import Address, open_datagram_socket, send_datagram, watch_datagrams
from ._process import parse_host_port, run_program
from ._records import RecordFile

__all__ = ["HEAL_SIGNAL", "PARTITION_SIGNAL", "Fabric", "Impairment", "serve"]

PARTITION_SIGNAL = signal.SIGUSR1
HEAL_SIGNAL = signal.SIGUSR2

ANNOUNCE_TIMEOUT_S = 1.0
MAX_RETURN_PATHS = 200_000  # the least recently used one is evicted first


@dataclass(frozen=True, kw_only=True, slots=True)
class Impairment:
    """Network faults of each datagram: probabilities from 0 to 1, times in seconds."""

    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    delay_s: float = 0.0
    reorder_delay_s: float = 0.005


class Fabric:
    """Forwards datagrams between callers and live VMs.

    Parameters
    ----------
    caller_sock, vm_sock : socket.socket
        UDP sockets towards callers and towards VMs.
    impairment : Impairment
        Faults of the network.
    rng : random.Random
        Source of randomness for the choice of VMs and for the faults.
    record : RecordFile
        Receives one event per dropped datagram.
    split_vms : frozenset of str
        VMs on the first side while the fabric is partitioned.
    """

    def __init__(
        self,
        *,
        caller_sock: socket.socket,
        vm_sock: socket.socket,
        impairment: Impairment,
        rng: random.Random,
        record: RecordFile,
        split_vms: frozenset[str] = frozenset(),
    ):
        self._caller_sock = caller_sock
        self._vm_sock = vm_sock
        self._impairment = impairment
        self._rng = rng
        self._record = record
        self._split_vms = split_vms
        self._caller_sides: dict[Address, bool] = {}
        self.is_partitioned = False
        self._vms: dict[str, tuple[Address, float]] = {}
        self._return_paths: OrderedDict[bytes, Address] = OrderedDict()

    def receive_from_caller(self, data: bytes, source: Address) -> None:
        """Send a caller's packet to a random live VM."""
        packet = _decode(data)
        if not isinstance(packet, Packet):
            return
        self._return_paths[packet.flow] = source
        self._return_paths.move_to_end(packet.flow)
        if len(self._return_paths) > MAX_RETURN_PATHS:
            self._return_paths.popitem(last=False)
        vms = self.list_live_vms(time.monotonic(), source)
        if vms:
            self._send(self._vm_sock, data, self._rng.choice(vms), packet)

    def receive_from_vm(self, data: bytes, source: Address) -> None:
        """Process an announcement, or send a reply to the caller of its flow."""
        message = _decode(data)
        if isinstance(message, Announce):
            self.observe_announce(message, source, time.monotonic())
        elif isinstance(message, Reply) and message.flow in self._return_paths:
            self._send(self._caller_sock, data, self._return_paths[message.flow], message)

    def observe_announce(self, message: Announce, source: Address, now_s: float) -> None:
        """Add, refresh or remove the announced VM."""
        if message.withdrawn:
            self._vms.pop(message.vm, None)
        else:
            self._vms[message.vm] = (source, now_s)

    def list_live_vms(self, now_s: float, caller: Address) -> list[Address]:
        """Return the addresses of recently announced VMs that `caller` can reach."""
        oldest_s = now_s - ANNOUNCE_TIMEOUT_S
        # Callers are assigned to the two sides in turn, so that both sides have some.
        side = self._caller_sides.setdefault(caller, len(self._caller_sides) % 2 == 0)
        return [
            address
            for vm, (address, seen_s) in self._vms.items()
            if seen_s >= oldest_s and (not self.is_partitioned or (vm in self._split_vms) == side)
        ]

    def _send(
        self, sock: socket.socket, data: bytes, address: Address, message: Packet | Reply
    ) -> None:
        faults = self._impairment
        if self._rng.random() < faults.loss:
            self._record.append("dropped", flow=message.flow.hex(), type=type(message).__name__)
            return
        copies = 2 if self._rng.random() < faults.duplicate else 1
        for _ in range(copies):
            is_reordered = self._rng.random() < faults.reorder
            delay_s = faults.delay_s + (faults.reorder_delay_s if is_reordered else 0.0)
            if delay_s:
                loop = asyncio.get_running_loop()
                loop.call_later(delay_s, send_datagram, sock, data, address)
            else:
                send_datagram(sock, data, address)


def _decode(data: bytes) -> Packet | Reply | Announce | None:
    try:
        return FABRIC_CODEC.decode(data)
    except DecodeError:
        return None


async def serve(cfg: ConfigParser, stop: asyncio.Event) -> None:
    """Forward datagrams until `stop` is set."""
    section = cfg["fabric"]
    caller_sock = open_datagram_socket(*parse_host_port(section["callers"]))
    vm_sock = open_datagram_socket(*parse_host_port(section["vms"]))
    impairment = Impairment(
        loss=section.getfloat("loss", 0.0),
        duplicate=section.getfloat("duplicate", 0.0),
        reorder=section.getfloat("reorder", 0.0),
        delay_s=section.getfloat("delay_s", 0.0),
    )
    fabric = Fabric(
        caller_sock=caller_sock,
        vm_sock=vm_sock,
        impairment=impairment,
        rng=random.Random(section.getint("seed", 1)),
        record=RecordFile(path=Path(section["record"]), common_fields={}),
        split_vms=frozenset(section.get("split_vms", "").split()),
    )

    def set_partitioned(is_partitioned: bool) -> None:
        fabric.is_partitioned = is_partitioned

    loop = asyncio.get_running_loop()
    loop.add_signal_handler(PARTITION_SIGNAL, set_partitioned, True)
    loop.add_signal_handler(HEAL_SIGNAL, set_partitioned, False)
    watch_datagrams(caller_sock, fabric.receive_from_caller)
    watch_datagrams(vm_sock, fabric.receive_from_vm)
    await stop.wait()


if __name__ == "__main__":
    run_program(serve)
