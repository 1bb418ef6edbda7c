"""Answer content as a function of flow, request and index, so that a caller can check it."""

from collections.abc import Iterator

import xxhash

from mulberryswitch.contracts import MAX_PIECE_BYTES

__all__ = ["build_piece", "count_pieces", "is_whole_answer", "iterate_pieces"]


def build_piece(flow: bytes, request_id: int, index: int, size_bytes: int) -> bytes:
    """Return `size_bytes` of content for piece `index` of the answer to one request."""
    block = xxhash.xxh3_128_digest(b"%b/%d/%d" % (flow, request_id, index))
    return (block * (size_bytes // len(block) + 1))[:size_bytes]


def count_pieces(answer_bytes: int) -> int:
    """Return the number of pieces of an answer; an empty answer is one empty piece."""
    return max(1, -(-answer_bytes // MAX_PIECE_BYTES))


def iterate_pieces(flow: bytes, request_id: int, answer_bytes: int) -> Iterator[bytes]:
    """Yield the pieces of the answer of `answer_bytes` in order."""
    for index in range(count_pieces(answer_bytes)):
        size_bytes = min(MAX_PIECE_BYTES, answer_bytes - index * MAX_PIECE_BYTES)
        yield build_piece(flow, request_id, index, size_bytes)


def is_whole_answer(
    pieces: dict[int, bytes], *, flow: bytes, request_id: int, answer_bytes: int
) -> bool:
    """Return whether `pieces` by index are exactly the answer to that request."""
    return pieces == dict(enumerate(iterate_pieces(flow, request_id, answer_bytes)))
