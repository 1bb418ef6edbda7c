"""Pings that wait for a sign of life."""

from dataclasses import dataclass

__all__ = ["Probe", "Relay"]


@dataclass(kw_only=True, slots=True)
class Probe:
    """A member that was pinged at `sent_s` and has to be heard since."""

    vm: str
    sent_s: float
    is_indirect: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Relay:
    """A ping on behalf of another VM that waits for its acknowledgement."""

    address: str
    sequence: int
    vm: str
    sent_s: float
