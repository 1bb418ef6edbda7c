"""Events that links report to the node and effects that the node asks of links."""

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
    """Packets of callers, in the order of arrival."""

    packets: tuple[Any, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerUp:
    """A peer opened a stream to this VM and proved that it holds the fleet's key."""

    vm: str
    zone: str
    incarnation: int


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerMessages:
    """Messages that arrived from a peer."""

    vm: str
    messages: tuple[Any, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerMessagesUnsent:
    """Messages that certainly did not leave this VM."""

    vm: str
    messages: tuple[Any, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerLost:
    """The stream to a peer broke at `lost_s`, or could not be opened.

    Messages written before `lost_s`, in seconds since the epoch, may or may not have arrived if the
    stream `was_open`. Later messages went to a new stream. `was_refused` means that the VM answered
    that no process listens on the peer port.
    """

    vm: str
    lost_s: float
    was_open: bool
    was_refused: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberDatagram:
    """A membership datagram and the address it came from."""

    sender: str
    message: Any


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetUp:
    """A link to a target is open and the target confirmed its service."""

    target: str


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetFrames:
    """Frames that arrived from a target."""

    target: str
    frames: tuple[Any, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetLost:
    """The link to a target broke."""

    target: str


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetRefused:
    """A target's VM answered that no process listens on the target's port."""

    target: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigRead:
    """The platform answered a configuration read; `document` is None when nothing is newer."""

    document: bytes | None
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigReadFailed:
    """The platform did not answer a configuration read."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class VmEntry:
    """One line of the platform's lagging list."""

    vm: str
    zone: str
    address: str
    leaving: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class VmListRead:
    """The platform's list; `entries` is None when the read failed."""

    entries: tuple[VmEntry, ...] | None


@dataclass(frozen=True, kw_only=True, slots=True)
class SendFabricMessage:
    """Send a reply or an announcement to the fabric."""

    message: Any


@dataclass(frozen=True, kw_only=True, slots=True)
class SendPeerMessage:
    """Send a message to a peer, opening a stream if there is none."""

    vm: str
    address: str
    message: Any


@dataclass(frozen=True, kw_only=True, slots=True)
class ClosePeer:
    """Close the stream to a peer that is held dead."""

    vm: str


@dataclass(frozen=True, kw_only=True, slots=True)
class SendMemberDatagram:
    """Send a membership datagram."""

    address: str
    message: Any


@dataclass(frozen=True, kw_only=True, slots=True)
class AttachTarget:
    """Keep a link to a target open."""

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
    """Read the configuration if newer than `after`, waiting up to `wait_s` seconds."""

    after: int
    wait_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadVmList:
    """Read the platform's list of VMs."""
