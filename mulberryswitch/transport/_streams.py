"""Framing of msgpack messages on TCP streams."""

import asyncio
import ipaddress
from collections.abc import AsyncIterator, Iterable
from functools import lru_cache
from typing import Any

import msgpack

from mulberryswitch.contracts import Codec, DecodeError

__all__ = ["is_ip_port", "parse_host_port", "read_messages", "write_messages"]

READ_BYTES = 64 * 1024
MAX_PORT = 65_535
MAX_CACHED_ADDRESSES = 16_384


def parse_host_port(endpoint: str) -> tuple[str, int]:
    """Return host and port of ``host:port``."""
    host, _, port = endpoint.rpartition(":")
    return host.strip("[]"), int(port)


@lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def is_ip_port(endpoint: str) -> bool:
    """Return whether `endpoint` is ``ip:port``; a send to a host name would block on a lookup."""
    try:
        host, port = parse_host_port(endpoint)
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return 0 < port <= MAX_PORT


async def read_messages(reader: asyncio.StreamReader, codec: Codec) -> AsyncIterator[list[Any]]:
    """Yield the messages of a stream in batches, as they arrive.

    Raises
    ------
    DecodeError
        If the peer sent malformed data or a message that exceeds the codec's limit.
    """
    unpacker = msgpack.Unpacker(max_buffer_size=codec.max_bytes + READ_BYTES)
    while data := await reader.read(READ_BYTES):
        try:
            unpacker.feed(data)
            values = list(unpacker)
        except Exception as exc:  # msgpack raises several unrelated types on bad input
            raise DecodeError(f"malformed msgpack stream: {type(exc).__name__}") from exc
        if values:
            yield [codec.decode_value(value) for value in values]


def write_messages(writer: asyncio.StreamWriter, codec: Codec, messages: Iterable[Any]) -> int:
    """Write `messages` to the buffer of `writer` and return their size in bytes."""
    data = b"".join(codec.encode(message) for message in messages)
    writer.write(data)
    return len(data)
