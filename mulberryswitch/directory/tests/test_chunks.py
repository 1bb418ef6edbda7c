"""Tests of the division of large values into chunks."""

import json
import unittest
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from mulberryswitch.directory import (
    ChunkError,
    ChunkStore,
    Outline,
    build_outline,
    index_chunks,
)
from mulberryswitch.directory._chunks import MAX_CHUNK_BYTES, MAX_KEPT_BYTES, split_value


def build_config(routes: int, *, seed: int = 1) -> list[dict]:
    rng = Random(seed)
    return [
        {"name": f"r-{rng.getrandbits(40):x}", "host": "198.18.0.1", "port": rng.randrange(65_536)}
        for _ in range(routes)
    ]


def encode(routes: list[dict], version: int = 1) -> bytes:
    return json.dumps({"version": version, "routes": routes, "limits": {"idle": 1}}).encode()


class ChunkTest(unittest.TestCase):
    """A configuration that grows must cost what it grows by."""

    @given(st.binary(max_size=5_000))
    def test_chunks_add_up_to_the_value(self, value):
        self.assertEqual(b"".join(split_value(value)), value)
        outline = build_outline(value)
        self.assertEqual(Outline.unpack(outline.pack()), outline)

    def test_chunks_are_bounded(self):
        for value in (bytes(100_000), b"}" * 100_000, Random(1).randbytes(100_000)):
            sizes = [len(chunk) for chunk in split_value(value)]
            self.assertEqual(sum(sizes), len(value))
            self.assertLessEqual(max(sizes), MAX_CHUNK_BYTES)

    def test_added_routes_change_few_chunks(self):
        routes = build_config(5_000)
        known = index_chunks([encode(routes)])
        grown = encode(routes[:2_000] + build_config(100, seed=2) + routes[2_000:], version=2)
        missing = ChunkStore().list_missing(build_outline(grown), known)
        sizes = {digest: len(chunk) for digest, chunk in index_chunks([grown]).items()}
        self.assertLess(sum(sizes[digest] for digest in missing), len(grown) / 20)

    def test_transfer_that_breaks_off_goes_on_with_a_newer_value(self):
        routes = build_config(3_000)
        first, second = encode(routes), encode(routes[:-5], version=2)
        chunks = index_chunks([first])
        store = ChunkStore()
        missing = store.list_missing(build_outline(first), {})
        store.add(bytes(chunks[digest]) for digest in missing[: len(missing) // 2])
        rest = store.list_missing(build_outline(second), {})
        self.assertLess(len(rest), 0.6 * len(missing))
        newer = index_chunks([second])
        store.add(bytes(newer[digest]) for digest in rest)
        self.assertEqual(store.assemble(build_outline(second), {}), second)

    def test_wrong_chunk_is_not_assembled(self):
        outline = build_outline(encode(build_config(200)))
        wrong = Outline(checksum=bytes(16), digests=outline.digests)
        known = index_chunks([encode(build_config(200))])
        with self.assertRaises(ChunkError):
            ChunkStore().assemble(wrong, known)

    def test_malformed_outlines_are_rejected(self):
        for packed in (b"", bytes(15), bytes(17)):
            with self.subTest(packed), self.assertRaises(ChunkError):
                Outline.unpack(packed)

    def test_kept_chunks_are_bounded(self):
        store = ChunkStore()
        rng = Random(1)
        for _ in range(MAX_KEPT_BYTES // MAX_CHUNK_BYTES + 2):
            store.add([rng.randbytes(MAX_CHUNK_BYTES)])
        store.trim()
        self.assertEqual(store._size_bytes, 0)


if __name__ == "__main__":
    unittest.main()
