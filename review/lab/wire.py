"""Packets of requesters and endpoints, as PROTOCOL.md lays them out."""

import socket
import struct
import zlib
from typing import NamedTuple

SYN, ACK, FIN, RST = 64, 8, 32, 4
HEADER = struct.Struct("!IIHIHIHBII")
SUM_KEY = b"known to requesters and endpoints only"


class Address(NamedTuple):
    host: str
    port: int


class Packet(NamedTuple):
    """One packet; `valid` tells whether its sum is right (resets of the system have sum 0)."""

    src: Address
    dst: Address
    flags: int
    echo: int
    seq: int
    ack: int
    data: bytes = b""
    valid: bool = True

    def encode(self) -> bytes:
        body = self._pack(0, 0)
        return self._pack(self.echo, zlib.crc32(SUM_KEY + body) or 1)

    def _pack(self, echo: int, checksum: int) -> bytes:
        return (
            HEADER.pack(
                echo,
                checksum,
                self.dst.port,
                _to_int(self.dst.host),
                self.src.port,
                _to_int(self.src.host),
                len(self.data),
                self.flags,
                self.seq,
                self.ack,
            )
            + self.data
        )


def decode(data: bytes) -> Packet:
    echo, _, dport, dst, sport, src, _, flags, seq, ack = HEADER.unpack_from(data)
    packet = Packet(
        Address(_to_text(src), sport),
        Address(_to_text(dst), dport),
        flags,
        echo,
        seq,
        ack,
        data[HEADER.size :],
    )
    return packet._replace(valid=packet.encode()[4:8] == data[4:8])


def _to_int(host: str) -> int:
    return int.from_bytes(socket.inet_aton(host), "big")


def _to_text(host: int) -> str:
    return socket.inet_ntoa(host.to_bytes(4, "big"))
