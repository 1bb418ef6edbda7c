"""The daemon of an entry VM."""

from ._core import NodeCore
from ._flow_service import FlowService
from ._identity import NodeIdentity, Shutdown, Tick
from ._node import Node, run_node
from ._packet_service import PacketService
from ._request_service import RequestService
from ._status import build_explanation, build_gauges, build_holds, build_status
from ._target_sessions import TargetSessions
from ._view import View, build_effective_sheet

__all__ = [
    "FlowService",
    "Node",
    "NodeCore",
    "NodeIdentity",
    "PacketService",
    "RequestService",
    "Shutdown",
    "TargetSessions",
    "Tick",
    "View",
    "build_effective_sheet",
    "build_explanation",
    "build_gauges",
    "build_holds",
    "build_status",
    "run_node",
]
