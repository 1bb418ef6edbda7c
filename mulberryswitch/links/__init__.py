"""Links to peers, the fabric, targets, the platform and operators."""

from mulberryswitch.transport import parse_endpoint, read_messages, write_messages

from ._datagrams import DatagramEndpoint
from ._events import (
    AttachTarget,
    ClosePeer,
    ConfigRead,
    ConfigReadFailed,
    DetachTarget,
    FabricPackets,
    MemberDatagram,
    PeerLost,
    PeerMessages,
    PeerUnsent,
    PeerUp,
    ReadConfig,
    ReadVmList,
    TargetFrames,
    TargetLost,
    TargetRefused,
    TargetUp,
    ToFabric,
    ToMember,
    ToPeer,
    ToTarget,
    VmEntry,
    VmListRead,
)
from ._operator import OperatorPort
from ._peers import PeerLinks, sign_hello, verify_hello
from ._platform import PlatformReader, check_vm_list
from ._targets import TargetLinks

__all__ = [
    "AttachTarget",
    "ClosePeer",
    "ConfigRead",
    "ConfigReadFailed",
    "DatagramEndpoint",
    "DetachTarget",
    "FabricPackets",
    "MemberDatagram",
    "OperatorPort",
    "PeerLinks",
    "PeerLost",
    "PeerMessages",
    "PeerUnsent",
    "PeerUp",
    "PlatformReader",
    "ReadConfig",
    "ReadVmList",
    "TargetFrames",
    "TargetLinks",
    "TargetLost",
    "TargetRefused",
    "TargetUp",
    "ToFabric",
    "ToMember",
    "ToPeer",
    "ToTarget",
    "VmEntry",
    "VmListRead",
    "check_vm_list",
    "parse_endpoint",
    "read_messages",
    "sign_hello",
    "verify_hello",
    "write_messages",
]
