"""Packets of callers and what is done with them, free of any wire format."""

from dataclasses import dataclass
from ipaddress import IPv4Address
from typing import NamedTuple

from mulberryswitch.directory import RouteKey, Target

__all__ = ["Action", "FlowKey", "Forward", "Packet", "Reset", "format_flow"]

FlowKey = tuple[int, int, int, int]
"""Caller's IPv4 address and port, then the route's."""


def format_flow(flow: FlowKey) -> str:
    """Return a flow as callers' tools show it, such as ``100.64.0.7:40001>198.18.0.1:443``."""
    caller, caller_port, route, route_port = flow
    return f"{IPv4Address(caller)}:{caller_port}>{IPv4Address(route)}:{route_port}"


class Packet(NamedTuple):
    """One packet of a caller.

    Attributes
    ----------
    flow : FlowKey
        The flow that it belongs to.
    token : int
        What the target last told the caller to repeat; 0 before it has answered.
    sequence, acknowledged : int
        Position of the payload and next position expected from the target, modulo 2**32.
    payload_bytes : int
        Length of the payload.
    opens, acknowledges, finishes, resets : bool
        The flags SYN, ACK, FIN and RST.
    data : bytes
        The packet as it arrived.
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
    """Send `packet` to `target`; a `token` that is not 0 replaces the packet's own."""

    packet: Packet
    target: Target
    token: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Reset:
    """Tell the caller that the flow of `packet` has ended or will not open."""

    packet: Packet


Action = Forward | Reset
