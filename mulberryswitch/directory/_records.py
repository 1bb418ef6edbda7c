"""Records of the platform's store and what they describe, in the product's own terms."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

__all__ = [
    "DecodeRecord",
    "Manifest",
    "Record",
    "Route",
    "RouteKey",
    "Target",
    "TrafficKind",
]

RouteKey = tuple[int, int]
"""IPv4 address as an integer and port of a route."""


class TrafficKind(Enum):
    """What a route carries."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    DOWNLOAD = "download"


@dataclass(frozen=True, kw_only=True, slots=True)
class Record:
    """One key of the store as of `revision`; `value` is None once the key was deleted.

    `created_revision` is the revision at which the key came into being.
    """

    key: str
    revision: int
    created_revision: int
    value: bytes | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """An address that callers use, and the services that new flows to it are split over."""

    name: str
    key: RouteKey
    kind: TrafficKind
    shares: tuple[tuple[str, float], ...]

    @property
    def is_retried(self) -> bool:
        """Whether callers retry a request that failed after its flow opened."""
        return self.kind is not TrafficKind.NON_IDEMPOTENT


@dataclass(frozen=True, kw_only=True, slots=True)
class Manifest:
    """The configuration that an operator published."""

    version: int
    routes: tuple[Route, ...]
    idle_timeout_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """One process of a service as it describes itself.

    Attributes
    ----------
    key : str
        Key of its record in the store.
    identity : bytes
        The eight bytes that address packets to this process and to no successor at its address.
    address : tuple of str and int
        Where it takes datagrams.
    cold_s : float
        How long it stays slow after the record was written, in seconds.
    boot_ms : int
        Start of the process, Unix milliseconds; 0 if it does not say.
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


DecodeRecord = Callable[[Record], Target | Manifest | None]
"""Returns what a record describes; None for a record of another writer, which is ignored."""
