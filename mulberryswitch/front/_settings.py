"""Settings of a VM on the direct path, and what a platform's adapter supplies."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from mulberryswitch.directory import DecodeRecord, Record
from mulberryswitch.forwarding import Forward, Packet, Reset

__all__ = [
    "Adapter",
    "Address",
    "Changes",
    "FrontSettings",
    "FrontSettingsError",
    "Store",
    "StoreError",
    "HistoryLostError",
]


class FrontSettingsError(ValueError):
    """The settings file misses a field or holds a bad value."""


class StoreError(OSError):
    """A read of the store brought no usable answer."""


class HistoryLostError(StoreError):
    """The store no longer knows the changes after a revision."""


class Address(NamedTuple):
    """IP address and port."""

    host: str
    port: int


@dataclass(frozen=True, kw_only=True, slots=True)
class FrontSettings:
    """Settings of one VM.

    Attributes
    ----------
    packet_address, ready_address, peer_address, metrics_address : Address
        Where this VM listens; `peer_address` for TCP and UDP.
    seeds : tuple of Address
        Peer addresses of some VMs; they may be stale.
    shutdown_s : float
        Time between the request to stop and the end of the process, in seconds.
    flow_life_s : float
        Longest life of a flow in seconds.
    """

    vm: str
    zone: str
    packet_address: Address
    ready_address: Address
    peer_address: Address
    metrics_address: Address
    seeds: tuple[Address, ...]
    store_address: Address
    shutdown_s: float = 6.0
    flow_life_s: float = 60.0


class Changes(Protocol):
    """Records of the store up to a revision."""

    records: list[Record]
    revision: int


class Store(Protocol):
    """Reads of the platform's store; see ``directory.ReadPlanner`` for their order."""

    async def read_all(self, *, may_be_stale: bool) -> Changes:
        """Return all records; raise ``StoreError``."""

    async def watch(self, *, after: int, wait_s: float) -> Changes:
        """Return the changes after a revision; raise ``StoreError`` or ``HistoryLostError``."""

    def close(self) -> None:
        """Close the connection."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Adapter:
    """Translations between a platform and the product.

    Attributes
    ----------
    parse_settings : callable
        Text of the settings file to ``FrontSettings``; raises ``FrontSettingsError``.
    decode_record : callable
        See ``DecodeRecord``.
    decode_packet : callable
        A caller's datagram to a ``Packet``; None if it is none.
    encode_forward : callable
        ``Forward`` to the datagram for the target.
    encode_reset : callable
        ``Reset`` to the datagram for the caller and the address it goes to.
    connect_store : callable
        Address to a ``Store``.
    """

    parse_settings: Callable[[str], FrontSettings]
    decode_record: DecodeRecord
    decode_packet: Callable[[bytes], Packet | None]
    encode_forward: Callable[[Forward], bytes]
    encode_reset: Callable[[Reset, int], tuple[bytes, tuple[str, int]]]
    connect_store: Callable[[Address], Store]
