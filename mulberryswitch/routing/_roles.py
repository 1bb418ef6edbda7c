"""Roles of a VM for a flow shard, the local view of the shard, and outgoing messages."""

from dataclasses import dataclass
from enum import Enum

from mulberryswitch.contracts import ShardAck, ShardState

__all__ = ["Outgoing", "Role", "ShardView"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Outgoing:
    """A replication message and the VM that it is sent to."""

    vm: str
    message: ShardState | ShardAck


@dataclass(frozen=True, kw_only=True, slots=True)
class ShardView:
    """Owner and standbys of a shard in the local view.

    `previous_owner` is the owner in the preceding view; `live_vms` are the live members.
    """

    owner: str
    previous_owner: str
    standbys: tuple[str, ...]
    live_vms: frozenset[str]


class Role(Enum):
    """Role of this VM for a shard."""

    IDLE = 0  # standby, or not involved
    AWAITING_STATE = 1  # owner in the local view, still without the previous owner's state
    OWNER = 2
    HANDING_OVER = 3  # serves until the successor has acknowledged the state
