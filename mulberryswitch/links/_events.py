"""Events that links report to the node, and effects that the node requests from links."""

from dataclasses import dataclass
from typing import Any

from mulberryswitch.contracts import Target

__all__ = [
    "AttachTarget",
    "ClosePeer",
    "ConfigRead",
    "ConfigReadFailed",
    "DetachTarget",
    "FabricPackets",
    "MemberDatagram",
    "PeerLost",
    "PeerMessages",
    "PeerMessagesUnsent",
    "PeerUp",
    "ReadConfig",
    "ReadVmList",
    "TargetFrames",
    "TargetLost",
    "TargetRefused",
    "TargetUp",
    "SendFabricMessage",
    "SendMemberDatagram",
    "SendPeerMessage",
    "SendTargetFrame",
    "VmEntry",
    "VmListRead",
]


@dataclass(frozen=True, kw_only=True, slots=True)
class FabricPackets:
    """Packets received from callers, in order of arrival."""

    packets: tuple[Any, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerUp:
    """A peer opened a stream to this VM and authenticated with the fleet's key."""

    vm: str
    zone: str
    incarnation: int


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerMessages:
    """Messages received from a peer."""

    vm: str
    messages: tuple[Any, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerMessagesUnsent:
    """Messages to a peer that were definitely not sent."""

    vm: str
    messages: tuple[Any, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerLost:
    """The stream to a peer was lost or could not be opened.

    `lost_s` is in seconds since the epoch. If the stream `was_open`, messages written before
    `lost_s` may or may not have arrived; later messages use a new stream. `was_refused` means that
    the VM refused the connection, because no process listens on the peer port.
    """

    vm: str
    lost_s: float
    was_open: bool
    was_refused: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberDatagram:
    """A membership datagram and the address of its sender."""

    sender: str
    message: Any


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetUp:
    """The link to a target is open and the target confirmed its service."""

    target: str


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetFrames:
    """Frames received from a target."""

    target: str
    frames: tuple[Any, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetLost:
    """The link to a target was lost."""

    target: str


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetRefused:
    """A target's host refused the connection: no process listens on the target's port."""

    target: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigRead:
    """The platform answered a configuration read; `document` is None if nothing is newer."""

    document: bytes | None
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigReadFailed:
    """The platform did not answer a configuration read."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class VmEntry:
    """One entry of the platform's list of VMs, which may be out of date."""

    vm: str
    zone: str
    address: str
    leaving: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class VmListRead:
    """Result of reading the platform's list of VMs; `entries` is None if the read failed."""

    entries: tuple[VmEntry, ...] | None


@dataclass(frozen=True, kw_only=True, slots=True)
class SendFabricMessage:
    """Send a reply or an announcement to the fabric."""

    message: Any


@dataclass(frozen=True, kw_only=True, slots=True)
class SendPeerMessage:
    """Send a message to a peer; a stream is opened if there is none."""

    vm: str
    address: str
    message: Any


@dataclass(frozen=True, kw_only=True, slots=True)
class ClosePeer:
    """Close the stream to a peer that was declared dead."""

    vm: str


@dataclass(frozen=True, kw_only=True, slots=True)
class SendMemberDatagram:
    """Send a membership datagram."""

    address: str
    message: Any


@dataclass(frozen=True, kw_only=True, slots=True)
class AttachTarget:
    """Open a link to a target and keep it open."""

    target: Target


@dataclass(frozen=True, kw_only=True, slots=True)
class DetachTarget:
    """Close the link to a target."""

    target: str


@dataclass(frozen=True, kw_only=True, slots=True)
class SendTargetFrame:
    """Send a frame on an open link to a target."""

    target: str
    frame: Any


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadConfig:
    """Read the configuration if it is newer than `after`, waiting up to `wait_s` seconds."""

    after: int
    wait_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadVmList:
    """Read the platform's list of VMs."""
