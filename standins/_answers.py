"""Deterministic answer content, derived from flow, request id and piece index.

A caller can therefore verify every answer without state shared with the target.
"""

from collections.abc import Iterator

import xxhash

from mulberryswitch.contracts import MAX_PIECE_BYTES

__all__ = ["build_piece", "count_pieces", "is_correct_answer", "iterate_pieces"]


def build_piece(flow: bytes, request_id: int, index: int, size_bytes: int) -> bytes:
    """Return the `size_bytes` bytes of piece `index` of the answer to one request."""
    block = xxhash.xxh3_128_digest(b"%b/%d/%d" % (flow, request_id, index))
    return (block * (size_bytes // len(block) + 1))[:size_bytes]


def count_pieces(answer_bytes: int) -> int:
    """Return the number of pieces of an answer; an empty answer has one empty piece."""
    return max(1, -(-answer_bytes // MAX_PIECE_BYTES))


def iterate_pieces(flow: bytes, request_id: int, answer_bytes: int) -> Iterator[bytes]:
    """Yield the pieces of an answer of `answer_bytes` bytes in order."""
    for index in range(count_pieces(answer_bytes)):
        size_bytes = min(MAX_PIECE_BYTES, answer_bytes - index * MAX_PIECE_BYTES)
        yield build_piece(flow, request_id, index, size_bytes)


def is_correct_answer(
    pieces: dict[int, bytes], *, flow: bytes, request_id: int, answer_bytes: int
) -> bool:
    """Return whether `pieces`, keyed by index, are exactly the answer to that request."""
    return pieces == dict(enumerate(iterate_pieces(flow, request_id, answer_bytes)))
