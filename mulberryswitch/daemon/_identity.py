"""Identity of a VM, and the events that its own process raises."""

from dataclasses import dataclass

__all__ = ["NodeIdentity", "Shutdown", "Tick"]


@dataclass(frozen=True, kw_only=True, slots=True)
class NodeIdentity:
    """Identity of this VM.

    `address` is its peer address ``host:port``. `seeds` are peer addresses that it pings first.
    """

    vm: str
    zone: str
    address: str
    incarnation: int
    seeds: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Tick:
    """Periodic tick that drives the timers."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Shutdown:
    """Request to hand over all state and to exit."""
