"""Platform-independent model of the store's records and of the content that they describe."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

__all__ = [
    "START",
    "ColdLimit",
    "DecodeRecord",
    "Evacuation",
    "Manifest",
    "Position",
    "Record",
    "RecordContent",
    "Route",
    "RouteKey",
    "Target",
    "TrafficKind",
]


class Position(NamedTuple):
    """A revision of the store, and the epoch in which the store gave it out.

    A store that is restored from an older copy gives revisions out again, in the next epoch. So a
    later position has a higher epoch, or the same epoch and a higher revision.
    """

    epoch: int = 0
    revision: int = 0


START = Position()
"""Position before the first read."""

RouteKey = tuple[int, int]
"""IPv4 address, as an integer, and port of a route."""


class TrafficKind(Enum):
    """Kind of the requests that a route carries."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    DOWNLOAD = "download"


@dataclass(frozen=True, kw_only=True, slots=True)
class Record:
    """State of one key of the store as of `revision` in `epoch`.

    `value` is None if the key was deleted. `created_revision` is the revision of its creation.
    """

    key: str
    revision: int
    created_revision: int
    value: bytes | None
    epoch: int = 0

    @property
    def position(self) -> Position:
        """Epoch and revision of the last change."""
        return Position(self.epoch, self.revision)


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """An address that callers connect to, with the weights that split new flows over services.

    The highest `priority` is 0.
    """

    name: str
    key: RouteKey
    kind: TrafficKind
    shares: tuple[tuple[str, float], ...]
    priority: int = 0

    @property
    def is_retried(self) -> bool:
        """Whether callers retry a request that fails after its flow was opened."""
        return self.kind is not TrafficKind.NON_IDEMPOTENT


@dataclass(frozen=True, kw_only=True, slots=True)
class ColdLimit:
    """New flows a second that a target bears while it is cold, and for how long, in seconds."""

    per_s: float
    start_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Manifest:
    """A configuration published by an operator.

    `services` are the names of the services that exist; empty if the configuration lists none.
    `cold_limits` are those of the services that have one.
    """

    version: int
    routes: tuple[Route, ...]
    idle_timeout_s: float
    services: frozenset[str] = frozenset()
    cold_limits: Mapping[str, ColdLimit] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """One process of a service, as described by its own record.

    Attributes
    ----------
    key : str
        Key of its record in the store.
    identity : bytes
        Eight bytes that identify this process, as opposed to a later process at its address.
    address : tuple of str and int
        Host and port that receive datagrams.
    cold_s : float
        Duration of the slow warm-up phase after the record was written, in seconds.
    boot_ms : int
        Start time of the process in Unix milliseconds; 0 if unknown.
    """

    key: str
    identity: bytes
    service: str
    address: tuple[str, int]
    zone: str
    slots: int
    is_draining: bool
    cold_s: float
    boot_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Evacuation:
    """An operator's request that the targets of `zone` get no new flows while the record exists."""

    zone: str


RecordContent = Target | Manifest | Evacuation
"""What a record describes."""

DecodeRecord = Callable[[Record], RecordContent | None]
"""Decoder of a record; returns None for a record of an unrelated writer, which is ignored."""
