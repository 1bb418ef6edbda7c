"""Messages between VMs on the direct path: store revisions, target loads and suspicions."""

from dataclasses import dataclass

from ._codec import Codec
from ._membership import Ack, Ping, PingRequest

__all__ = [
    "FEED_CODEC",
    "MAX_PULL_BYTES",
    "PULL_CODEC",
    "ChunkPart",
    "ChunkPull",
    "MAX_SILENT_DS",
    "DirectoryPart",
    "DirectoryPull",
    "FailureWitness",
    "FeedAnnounce",
    "HeritagePart",
    "LoadEntry",
    "LoadShare",
    "TargetDoubt",
    "TargetSilent",
    "ZoneLoads",
]

MAX_FEED_BYTES = 60_000
MAX_PULL_BYTES = 16 * 1024 * 1024
# Upper bound of `silent_ds`, also used for a target without a known answer; one byte in msgpack.
MAX_SILENT_DS = 100


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadEntry:
    """Flows and requests in flight at the target that `token` names.

    `silent_ds` is the time since the target last answered the VM, or any of the VMs, whose load the
    entry holds, in tenths of a second.
    """

    token: int
    long_flows: int
    busy: int
    silent_ds: int = MAX_SILENT_DS


@dataclass(frozen=True, kw_only=True, slots=True)
class ZoneLoads:
    """Loads of targets, summed over the VMs of one availability zone."""

    zone: str
    entries: tuple[LoadEntry, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class FeedAnnounce:
    """Position of the store that the sender holds: `revision` in `epoch`.

    `fleet` distinguishes deployments. `age_ms` is the time since the store confirmed the position
    to a VM that reads it. A sender without data announces revision 0, which asks the receiver for
    its own announcement. `version` is that of the configuration in force. With `keeps_heritage`,
    the sender's content differs from the store's because of what it knew before a restore. A few
    small changes are sent along: `packed` holds those after revision `after` of the same epoch and
    is empty otherwise.
    """

    fleet: str
    vm: str
    zone: str
    epoch: int
    revision: int
    version: int
    keeps_heritage: bool
    age_ms: int
    is_reader: bool
    loads: tuple[ZoneLoads, ...]
    after: int = 0
    packed: bytes = b""


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadShare:
    """Load that one VM puts on targets, sent to the VM that aggregates the loads of its zone."""

    fleet: str
    vm: str
    zone: str
    entries: tuple[LoadEntry, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class FailureWitness:
    """VM that saw an opening of `caller`, an IPv4 address as an integer, fail at a target."""

    vm: str
    caller: int


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetSilent:
    """The sender ejected a target for `ejection_ms`; `is_dark` if its open flows are silent too.

    `ejection_ms` is 0 if the sender relays a report from another zone. `witnesses` names the VMs
    that saw openings fail at the target, each with the address of the caller; those of other VMs
    are sent along only if the sender found the target unresponsive itself.
    """

    fleet: str
    vm: str
    zone: str
    token: int
    ejection_ms: int
    is_dark: bool
    witnesses: tuple[FailureWitness, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetDoubt:
    """A request to a target has no answer; the receiver's next new flow should probe the target."""

    fleet: str
    vm: str
    zone: str
    token: int


@dataclass(frozen=True, kw_only=True, slots=True)
class DirectoryPull:
    """Ask for the changes after revision `after` of `epoch`; for all records if both are 0."""

    fleet: str
    epoch: int
    after: int


@dataclass(frozen=True, kw_only=True, slots=True)
class HeritagePart:
    """What the sender of a part knows from before the last restore of the store.

    `former_epoch` and `former_revision` are its position before it learned of the restore, `age_ms`
    ago. `kept` are keys of targets that the store lacks and that are kept for a while, `withheld`
    those of departed targets that the store still holds.
    """

    former_epoch: int = 0
    former_revision: int = 0
    age_ms: int = 0
    kept: tuple[str, ...] = ()
    withheld: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class DirectoryPart:
    """Answer to a pull: the changes after `after`, or all records if `is_whole`.

    `packed` holds the records as compressed msgpack; a large value is replaced by its outline, and
    its chunks are fetched with ``ChunkPull``. `heritage` belongs to all records.
    """

    epoch: int
    revision: int
    after: int
    is_whole: bool
    packed: bytes
    heritage: HeritagePart


@dataclass(frozen=True, kw_only=True, slots=True)
class ChunkPull:
    """Ask for the chunks of large values with these digests."""

    fleet: str
    digests: tuple[bytes, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class ChunkPart:
    """Answer to a pull of chunks: those that the sender holds, as compressed msgpack."""

    packed: bytes


FEED_CODEC = Codec(
    message_types={
        1: Ping,
        2: PingRequest,
        3: Ack,
        4: FeedAnnounce,
        5: LoadShare,
        6: TargetSilent,
        7: TargetDoubt,
    },
    max_bytes=MAX_FEED_BYTES,
)
PULL_CODEC = Codec(
    message_types={1: DirectoryPull, 2: DirectoryPart, 3: ChunkPull, 4: ChunkPart},
    max_bytes=MAX_PULL_BYTES,
)
