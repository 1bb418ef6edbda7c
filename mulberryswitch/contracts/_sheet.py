"""The published configuration after validation."""

from dataclasses import dataclass, field
from enum import StrEnum

__all__ = ["Service", "Sheet", "Target", "TargetState"]


class TargetState(StrEnum):
    """Lifecycle state of a target; a leaving target gets no new work."""

    ACTIVE = "active"
    JOINING = "joining"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """A VM that serves one service; `address` is ``host:port``."""

    name: str
    service: str
    zone: str
    address: str
    state: TargetState

    @property
    def takes_new_work(self) -> bool:
        """Whether new flows and requests may go to this target."""
        return self.state is not TargetState.LEAVING


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A service with its addresses, its targets and the limits per target."""

    name: str
    addresses: tuple[str, ...]
    slots: int
    connections: int
    targets: tuple[Target, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Sheet:
    """Sheet of services: one accepted version of the published configuration."""

    version: int
    digest: bytes
    zones: tuple[str, ...]
    services: dict[str, Service]
    service_by_address: dict[str, str] = field(default_factory=dict)
