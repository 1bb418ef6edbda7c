"""Network I/O of a VM: peers, the fabric, targets, the platform and operators."""

from mulberryswitch.transport import parse_host_port, read_messages, write_messages

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
    PeerMessagesUnsent,
    PeerUp,
    ReadConfig,
    ReadVmList,
    SendFabricMessage,
    SendMemberDatagram,
    SendPeerMessage,
    SendTargetFrame,
    TargetFrames,
    TargetLost,
    TargetRefused,
    TargetUp,
    VmEntry,
    VmListRead,
)
from ._operator import OperatorServer
from ._peers import PeerLinks, sign_hello, verify_hello
from ._platform import PlatformReader, parse_vm_list
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
    "OperatorServer",
    "PeerLinks",
    "PeerLost",
    "PeerMessages",
    "PeerMessagesUnsent",
    "PeerUp",
    "PlatformReader",
    "ReadConfig",
    "ReadVmList",
    "TargetFrames",
    "TargetLinks",
    "TargetLost",
    "TargetRefused",
    "TargetUp",
    "SendFabricMessage",
    "SendMemberDatagram",
    "SendPeerMessage",
    "SendTargetFrame",
    "VmEntry",
    "VmListRead",
    "parse_vm_list",
    "parse_host_port",
    "read_messages",
    "sign_hello",
    "verify_hello",
    "write_messages",
]
