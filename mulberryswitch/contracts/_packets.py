"""Packets between callers, the fabric and entry VMs."""

from dataclasses import dataclass
from enum import IntEnum

from ._codec import Codec, DecodeError

__all__ = [
    "FABRIC_CODEC",
    "MAX_DATAGRAM_BYTES",
    "MAX_FLOW_ID_BYTES",
    "MAX_PIECE_BYTES",
    "RECEIPT_BYTES",
    "Announce",
    "Packet",
    "PacketKind",
    "Reply",
    "ReplyKind",
    "check_packet",
]

MAX_DATAGRAM_BYTES = 16 * 1024
MAX_PIECE_BYTES = 8 * 1024
MAX_FLOW_ID_BYTES = 16
MAX_ADDRESS_CHARS = 64
RECEIPT_BYTES = 16
MAX_TRACE_CHARS = 55  # length of a W3C traceparent header


class PacketKind(IntEnum):
    """What a caller's packet asks for."""

    OPEN = 1
    REQUEST = 2
    DATA = 3
    CANCEL = 4
    CLOSE = 5


PACKET_KINDS = frozenset(PacketKind)


class ReplyKind(IntEnum):
    """What a packet towards a caller carries."""

    OPENED = 1
    ANSWER = 2
    REFUSED = 3
    UNKNOWN = 4
    DATA = 5
    CLOSED = 6


@dataclass(frozen=True, kw_only=True, slots=True)
class Packet:
    """One packet of a caller.

    Attributes
    ----------
    kind : int
        A ``PacketKind``.
    flow : bytes
        Flow id, 1 to 16 bytes, unique per connection of a caller.
    address : str
        Service address as ``host:port``.
    request_id, attempt : int
        Id of the request within the flow, and attempt number from 1; each attempt is sent once.
    deadline_ms : int
        Absolute wall-clock deadline in milliseconds since the epoch; 0 means none.
    idempotent : bool
        Whether the request may run more than once.
    receipt : bytes
        Receipt that proves the refusal of the previous attempt, or empty.
    trace : str
        W3C ``traceparent`` or empty.
    body : bytes
        Payload.
    """

    kind: int
    flow: bytes
    address: str
    request_id: int = 0
    attempt: int = 1
    deadline_ms: int = 0
    idempotent: bool = False
    receipt: bytes = b""
    trace: str = ""
    body: bytes = b""


@dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """One packet towards a caller; a large answer is split into pieces numbered by `index`."""

    kind: int
    flow: bytes
    request_id: int = 0
    attempt: int = 0
    code: int = 0
    index: int = 0
    last: bool = True
    receipt: bytes = b""
    body: bytes = b""


@dataclass(frozen=True, kw_only=True, slots=True)
class Announce:
    """Announce to the fabric that packets may be routed to this VM, or withdraw the route."""

    vm: str
    withdrawn: bool = False


FABRIC_CODEC = Codec(
    message_types={1: Packet, 2: Reply, 3: Announce},
    max_bytes=MAX_DATAGRAM_BYTES,
)


def check_packet(packet: Packet) -> Packet:
    """Return `packet` if its field values are in range, else raise ``DecodeError``."""
    if packet.kind not in PACKET_KINDS:
        raise DecodeError(f"unknown packet kind {packet.kind}")
    if not 1 <= len(packet.flow) <= MAX_FLOW_ID_BYTES:
        raise DecodeError(f"flow id of {len(packet.flow)} bytes, expected 1 to 16")
    if not 1 <= len(packet.address) <= MAX_ADDRESS_CHARS:
        raise DecodeError(f"address of {len(packet.address)} characters, expected 1 to 64")
    if packet.attempt < 1:
        raise DecodeError("attempt 0, expected 1 or more")
    if len(packet.receipt) not in (0, RECEIPT_BYTES):
        raise DecodeError(f"receipt of {len(packet.receipt)} bytes, expected 0 or 16")
    if len(packet.trace) > MAX_TRACE_CHARS:
        raise DecodeError(f"trace of {len(packet.trace)} characters, at most 55")
    return packet
