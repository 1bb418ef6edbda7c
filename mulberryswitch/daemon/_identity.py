"""Who a VM is, and the events that the VM itself brings about."""

from dataclasses import dataclass

__all__ = ["NodeIdentity", "Shutdown", "Tick"]


@dataclass(frozen=True, kw_only=True, slots=True)
class NodeIdentity:
    """Who this VM is; `address` is its peer address ``host:port``."""

    vm: str
    zone: str
    address: str
    incarnation: int
    seeds: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Shutdown:
    """Hand everything over and get ready to exit."""
