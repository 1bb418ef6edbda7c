"""Callers' packets and the actions on them, independent of any wire format."""

from dataclasses import dataclass
from ipaddress import IPv4Address
from typing import NamedTuple

from mulberryswitch.directory import RouteKey, Target

__all__ = ["Action", "FlowKey", "Forward", "Packet", "Reset", "format_flow"]

FlowKey = tuple[int, int, int, int]
"""IPv4 address and port of the caller, then those of the route."""


def format_flow(flow: FlowKey) -> str:
    """Return a flow in the format of callers' tools, e.g. ``100.64.0.7:40001>198.18.0.1:443``."""
    caller, caller_port, route, route_port = flow
    return f"{IPv4Address(caller)}:{caller_port}>{IPv4Address(route)}:{route_port}"


class Packet(NamedTuple):
    """One packet of a caller.

    Attributes
    ----------
    flow : FlowKey
        The flow that it belongs to.
    token : int
        Token that the caller echoes from the target's last answer; 0 before the first answer.
    sequence, acknowledged : int
        Sequence number of the payload and acknowledgement number, modulo 2**32.
    payload_bytes : int
        Length of the payload.
    opens, acknowledges, finishes, resets : bool
        The flags SYN, ACK, FIN and RST.
    data : bytes
        The packet as received.
    """

    flow: FlowKey
    token: int
    sequence: int
    acknowledged: int
    payload_bytes: int
    opens: bool
    acknowledges: bool
    finishes: bool
    resets: bool
    data: bytes

    @property
    def route_key(self) -> RouteKey:
        """Address and port of the route."""
        return self.flow[2:]


@dataclass(frozen=True, kw_only=True, slots=True)
class Forward:
    """Send `packet` to `target`; a nonzero `token` replaces that of the packet."""

    packet: Packet
    target: Target
    token: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Reset:
    """Reset the flow of `packet` at the caller."""

    packet: Packet


Action = Forward | Reset
