"""Settings of a VM on the direct path, and the interface of a platform's adapter."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from mulberryswitch.directory import DecodeRecord, Position, Record
from mulberryswitch.forwarding import (
    NO_COLD_EXCESS,
    NO_HEDGES,
    ColdBounds,
    Forward,
    HedgeLimits,
    Packet,
    Reset,
)

__all__ = [
    "Adapter",
    "Address",
    "ReadResult",
    "FrontSettings",
    "FrontSettingsError",
    "AnswerTooLargeError",
    "Store",
    "StoreError",
    "HistoryLostError",
]


class FrontSettingsError(ValueError):
    """The settings file lacks a required field or has an invalid value."""


class StoreError(OSError):
    """A read of the store failed or returned an invalid response."""


class AnswerTooLargeError(StoreError):
    """The changes after the requested position are too many for one answer."""


class HistoryLostError(StoreError):
    """The store does not have the changes after the requested position.

    It has discarded them, or it has entered another epoch.

    Attributes
    ----------
    epoch : int
        Epoch of the store that answered.
    """

    def __init__(self, message: str, *, epoch: int):
        super().__init__(message)
        self.epoch = epoch


class Address(NamedTuple):
    """IP address and port."""

    host: str
    port: int


@dataclass(frozen=True, kw_only=True, slots=True)
class FrontSettings:
    """Settings of one VM.

    Attributes
    ----------
    zones : frozenset of str
        Availability zones of the deployment; empty if the settings do not list them.
    packet_address, ready_address, peer_address, metrics_address : Address
        Addresses this VM listens on; `peer_address` for both TCP and UDP.
    seeds : tuple of Address
        Peer addresses of some VMs, used to join the fleet; some may be out of date.
    link_bytes_per_s : float
        Capacity of this VM's link; infinite if it is not known.
    cold_bounds : ColdBounds
        What is allowed beyond the rates that services state for their cold targets.
    hedge_limits : HedgeLimits
        Limit of early second openings, from the operators' options; none by default.
    shutdown_s : float
        Time in seconds from the request to stop within which the process has to end.
    flow_lifetime_s : float
        Maximum lifetime of a flow in seconds.
    """

    vm: str
    zone: str
    zones: frozenset[str] = frozenset()
    packet_address: Address
    ready_address: Address
    peer_address: Address
    metrics_address: Address
    seeds: tuple[Address, ...]
    store_address: Address
    link_bytes_per_s: float = float("inf")
    cold_bounds: ColdBounds = NO_COLD_EXCESS
    hedge_limits: HedgeLimits = NO_HEDGES
    shutdown_s: float = 6.0
    flow_lifetime_s: float = 60.0


class ReadResult(Protocol):
    """Records that a read returned, and the position up to which they are complete."""

    records: list[Record]
    position: Position


class Store(Protocol):
    """Client of the platform's store; ``directory.ReadPlanner`` decides which read comes next."""

    async def read_all(self) -> ReadResult:
        """Return all records.

        Raises
        ------
        StoreError
            If the read fails.
        """

    async def watch(self, *, after: Position, wait_s: float) -> ReadResult:
        """Return the changes after a position, which are of the same epoch.

        Raises
        ------
        HistoryLostError
            If the store does not have these changes.
        AnswerTooLargeError
            If these changes exceed one answer.
        StoreError
            If the read fails.
        """

    def close(self) -> None:
        """Close the connection."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Adapter:
    """Conversions between a platform's formats and this package's types.

    Attributes
    ----------
    parse_settings : callable
        Converts the text of the settings file; raises ``FrontSettingsError``.
    decode_record : callable
        Converts a record of the store; see ``DecodeRecord``.
    decode_packet : callable
        Converts a datagram of a caller; returns None if it is not a valid packet.
    encode_forward : callable
        Returns the datagram to send to the target.
    encode_reset : callable
        Takes a reset and the port on which callers receive datagrams; returns the datagram for the
        caller and its destination address.
    connect_store : callable
        Returns the ``Store`` at an address.
    """

    parse_settings: Callable[[str], FrontSettings]
    decode_record: DecodeRecord
    decode_packet: Callable[[bytes], Packet | None]
    encode_forward: Callable[[Forward], bytes]
    encode_reset: Callable[[Reset, int], tuple[bytes, tuple[str, int]]]
    connect_store: Callable[[Address], Store]
