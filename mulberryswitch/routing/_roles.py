"""Who is in charge of a flow shard, and the messages that follow from it."""

from dataclasses import dataclass
from enum import Enum

from mulberryswitch.contracts import ShardAck, ShardState

__all__ = ["Outgoing", "Role", "ShardView"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Outgoing:
    """A message to send to VM `vm`."""

    vm: str
    message: ShardState | ShardAck


@dataclass(frozen=True, kw_only=True, slots=True)
class ShardView:
    """Who is in charge of a shard in the local view; `former` is the owner in the view before."""

    owner: str
    previous_owner: str
    standbys: tuple[str, ...]
    live_vms: frozenset[str]


class Role(Enum):
    """What this VM does for a shard."""

    IDLE = 0  # standby, or no part in it
    AWAITING_STATE = 1  # owner in the local view, without the state of the previous owner
    OWNER = 2
    HANDING_OVER = 3  # still serves, until the successor has acknowledged
