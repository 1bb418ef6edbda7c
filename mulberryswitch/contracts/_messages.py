"""Messages between VMs on peer streams over TCP."""

from dataclasses import dataclass
from enum import IntEnum

from ._codec import Codec
from ._packets import Packet

__all__ = [
    "MAX_HOPS",
    "MAX_PEER_FRAME_BYTES",
    "PEER_CODEC",
    "ConfigAnnounce",
    "ConfigDocument",
    "ConfigPull",
    "Declined",
    "Done",
    "Forward",
    "Hello",
    "LeavingTargets",
    "Pin",
    "ShardAck",
    "ShardRole",
    "ShardState",
]

MAX_HOPS = 3
MAX_PEER_FRAME_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, kw_only=True, slots=True)
class Hello:
    """First message of a peer stream; `mac` is an HMAC of the other fields, keyed by the fleet."""

    fleet: str
    vm: str
    zone: str
    incarnation: int
    stamp_ms: int
    mac: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class Forward:
    """A caller's packet on its way to an owner.

    `version` is the configuration version of the sender, `hops` counts relays, `pinned` names the
    target of an open flow or is empty.
    """

    packet: Packet
    service: str
    version: int
    hops: int
    entry_vm: str
    entry_zone: str
    pinned: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Done:
    """The outcome `code` of an attempt has been reported to the caller."""

    flow: bytes
    request_id: int
    attempt: int
    code: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Declined:
    """The attempt was not run here and will not be; the entry VM may send it elsewhere."""

    flow: bytes
    request_id: int
    attempt: int
    code: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Pin:
    """A flow at a target other than the one that the shard's base selects for it."""

    flow: bytes
    target: str


class ShardRole(IntEnum):
    """What the sender of a ``ShardState`` does for the shard."""

    COPY = 0  # holds a replica and serves no packets
    OWNER = 1  # serves the shard
    HANDOVER = 2  # serves the shard until the receiver, its new owner, acknowledges


@dataclass(frozen=True, kw_only=True, slots=True)
class ShardState:
    """Replicated state of a flow shard.

    A `full` state replaces the standby's replica; otherwise `pins` are added and `closed` flows are
    removed. `sequence` rises by one per message from one owner to one VM; a full state takes a new
    one from the clock. `counts` holds the number of open flows at each target of `base`,
    `remaining` the number of messages still to come of a split state, and `role` a ``ShardRole``.
    """

    service: str
    shard: int
    sequence: int
    full: bool
    base: tuple[str, ...]
    pins: tuple[Pin, ...]
    closed: tuple[bytes, ...]
    counts: tuple[int, ...] = ()
    remaining: int = 0
    role: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class ShardAck:
    """A standby holds the shard's state up to `sequence`; `missing` asks for a full state."""

    service: str
    shard: int
    sequence: int
    missing: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigAnnounce:
    """The sender has accepted configuration (`version`, `digest`).

    `tombstones` is a digest of its tombstones; version 0 means that it holds no configuration.
    """

    version: int
    digest: bytes
    tombstones: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigPull:
    """Ask for the accepted configuration; the sender holds (`version`, `digest`).

    A receiver that holds the same configuration answers with its recent tombstones.
    """

    version: int
    digest: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigDocument:
    """An accepted configuration, in full or as a delta to (`base_version`, `base_digest`).

    `base_version` is 0 for a full document. `tombstones` are (address, service, version) with the
    first accepted version that bound the address. An empty `document` carries tombstones only.
    """

    version: int
    digest: bytes
    base_version: int
    base_digest: bytes
    document: bytes
    tombstones: tuple[tuple[str, str, int], ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class LeavingTargets:
    """Targets that were marked as leaving in the platform's list when the sender last read it."""

    names: tuple[str, ...]


PEER_CODEC = Codec(
    message_types={
        1: Hello,
        2: Forward,
        3: Done,
        4: Declined,
        5: ShardState,
        6: ShardAck,
        8: ConfigAnnounce,
        9: ConfigPull,
        10: ConfigDocument,
        11: LeavingTargets,
    },
    max_bytes=MAX_PEER_FRAME_BYTES,
)
