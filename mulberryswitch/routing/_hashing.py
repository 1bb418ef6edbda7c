"""Hashing of flow ids to shards, and to targets through a rendezvous lookup table."""

from functools import lru_cache

import xxhash

__all__ = ["FLOW_SHARDS", "build_lookup_table", "pick_slot", "shard_of"]

FLOW_SHARDS = 16
SHARD_BITS = 4
# With 4096 slots the shares of 7 targets stay within a few percent of each other, and a lookup
# costs one hash whatever the number of targets.
TABLE_SLOTS = 4096
MAX_CACHED_TABLES = 64


def shard_of(flow: bytes) -> int:
    """Return the shard, 0 to 15, of a flow id."""
    return xxhash.xxh3_64_intdigest(flow) & (FLOW_SHARDS - 1)


def pick_slot(flow: bytes) -> int:
    """Return the lookup table slot of a flow id, from hash bits that ``shard_of`` does not use."""
    return (xxhash.xxh3_64_intdigest(flow) >> SHARD_BITS) & (TABLE_SLOTS - 1)


@lru_cache(maxsize=MAX_CACHED_TABLES)
def build_lookup_table(base: tuple[str, ...]) -> tuple[str, ...]:
    """Return the target of each slot, chosen by rendezvous hashing over `base`.

    The table is empty if `base` is.
    """
    if not base:
        return ()
    seeds = [xxhash.xxh3_64_intdigest(name.encode()) for name in base]
    digest = xxhash.xxh3_64_intdigest
    return tuple(
        base[max(range(len(base)), key=[digest(slot, seed) for seed in seeds].__getitem__)]
        for slot in (number.to_bytes(2, "big") for number in range(TABLE_SLOTS))
    )
