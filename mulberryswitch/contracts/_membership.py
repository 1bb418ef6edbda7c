"""Membership datagrams between VMs, over UDP."""

from dataclasses import dataclass
from enum import IntEnum

from ._codec import Codec

__all__ = [
    "MAX_MEMBERSHIP_BYTES",
    "MEMBERSHIP_CODEC",
    "Ack",
    "MemberState",
    "MemberUpdate",
    "Ping",
    "PingRequest",
]

MAX_MEMBERSHIP_BYTES = 1400  # stays inside one Ethernet frame


class MemberState(IntEnum):
    """State of a VM in the membership view; a higher value wins at equal incarnation."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberUpdate:
    """State of one VM as reported by another; `address` is ``host:port`` for both TCP and UDP."""

    vm: str
    zone: str
    address: str
    incarnation: int
    state: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Ping:
    """Ask the receiver for an ``Ack``; `about` names the intended receiver or is empty."""

    sequence: int
    sender: str
    about: str
    updates: tuple[MemberUpdate, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class PingRequest:
    """Ask the receiver to ping VM `about` and to forward its ``Ack`` (indirect probe)."""

    sequence: int
    sender: str
    about: str
    updates: tuple[MemberUpdate, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Ack:
    """VM `about` answered the ping `sequence`."""

    sequence: int
    sender: str
    about: str
    updates: tuple[MemberUpdate, ...]


MEMBERSHIP_CODEC = Codec(
    message_types={1: Ping, 2: PingRequest, 3: Ack},
    max_bytes=MAX_MEMBERSHIP_BYTES,
)
