"""Packet routing to owner VMs, and the replicated flow tables that the owners keep."""

from ._hashing import FLOW_SHARDS, shard_of
from ._replication import FlowShards, ShardCounters
from ._roles import Outgoing
from ._router import (
    UNPINNED,
    Drop,
    ForwardTo,
    RefuseLocally,
    Route,
    Router,
    ServeFlow,
    ServeRequest,
)
from ._shard import IDLE_TIMEOUT_S, FlowShard

__all__ = [
    "FLOW_SHARDS",
    "IDLE_TIMEOUT_S",
    "Drop",
    "FlowShard",
    "FlowShards",
    "ForwardTo",
    "Outgoing",
    "RefuseLocally",
    "Route",
    "Router",
    "ServeFlow",
    "ServeRequest",
    "ShardCounters",
    "UNPINNED",
    "shard_of",
]
