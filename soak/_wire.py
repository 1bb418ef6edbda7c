"""Packet codec of callers and targets, independent of the codec under test."""

import socket
import struct
import zlib
from typing import NamedTuple

__all__ = ["ACK", "FIN", "RST", "SYN", "FlowId", "Segment", "decode", "encode"]

SYN, ACK, FIN, RST = 64, 8, 32, 4
_HEADER = struct.Struct("!IIHIHIHBII")
_CHECKSUM_KEY = b"known to callers and targets only"


class FlowId(NamedTuple):
    """Addresses of a flow: caller first, hosts as text."""

    caller: str
    caller_port: int
    route: str
    route_port: int


class Segment(NamedTuple):
    """One packet, without its addresses.

    Attributes
    ----------
    token : int
        Field that a VM sets in the opening and both ends echo in later packets.
    has_valid_checksum : bool
        Whether caller or target computed the checksum; resets of a VM have no valid one.
    """

    flags: int
    token: int
    sequence: int
    acknowledged: int
    payload: bytes
    has_valid_checksum: bool = True


def encode(source: tuple[str, int], destination: tuple[str, int], segment: Segment) -> bytes:
    """Return a packet with its checksum."""
    zeroed = _pack(0, 0, source, destination, segment)
    return _pack(
        segment.token, _compute_checksum(zeroed, segment.payload), source, destination, segment
    )


def decode(data: bytes) -> tuple[tuple[str, int], tuple[str, int], Segment]:
    """Return source, destination and segment of a packet."""
    token, checksum, dport, dst, sport, src, size, flags, seq, ack = _HEADER.unpack_from(data)
    payload = data[_HEADER.size :]
    source, destination = (_format_host(src), sport), (_format_host(dst), dport)
    segment = Segment(flags, token, seq, ack, payload)
    has_valid_checksum = checksum == _compute_checksum(
        _pack(0, 0, source, destination, segment), payload
    )
    return (
        source,
        destination,
        segment._replace(has_valid_checksum=has_valid_checksum and size == len(payload)),
    )


def _pack(token, checksum, source, destination, segment: Segment) -> bytes:
    header = _HEADER.pack(
        token,
        checksum,
        destination[1],
        _parse_host(destination[0]),
        source[1],
        _parse_host(source[0]),
        len(segment.payload),
        segment.flags,
        segment.sequence,
        segment.acknowledged,
    )
    return header + segment.payload


def _compute_checksum(zeroed: bytes, payload: bytes) -> int:
    return zlib.crc32(_CHECKSUM_KEY + zeroed + payload) or 1


def _parse_host(host: str) -> int:
    return int.from_bytes(socket.inet_aton(host), "big")


def _format_host(host: int) -> str:
    return socket.inet_ntoa(host.to_bytes(4, "big"))
