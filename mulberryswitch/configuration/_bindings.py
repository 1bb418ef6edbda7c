"""Permanent bindings of addresses to services."""

from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

import xxhash

__all__ = ["MAX_TOMBSTONES", "Binding", "Tombstones"]

MAX_TOMBSTONES = 65_536


class Binding(NamedTuple):
    """Service of an address and the first accepted version that bound it."""

    service: str
    version: int

    @property
    def rank(self) -> tuple[int, str]:
        """Order of conflicting bindings: the oldest version wins, then the lower name."""
        return self.version, self.service


def _hash_binding(address: str, binding: Binding) -> int:
    text = f"{address}|{binding.service}|{binding.version}"
    return xxhash.xxh3_64_intdigest(text.encode())


class Tombstones(Mapping[str, str]):
    """Bindings that were ever accepted, as a mapping of address to service.

    Merging is commutative, associative and idempotent, so VMs that exchange bindings converge in
    any order of messages.
    """

    def __init__(self):
        self._bindings: dict[str, Binding] = {}
        # Change number of each binding; a delta carries only the bindings changed since its base.
        self._change_numbers: dict[str, int] = {}
        self._digest = 0
        self.sequence = 0

    @property
    def digest(self) -> bytes:
        """Digest of all bindings, equal at two VMs that hold the same ones."""
        return self._digest.to_bytes(8)

    @property
    def is_full(self) -> bool:
        """Whether the table is at its limit, so that new addresses are not added."""
        return len(self._bindings) >= MAX_TOMBSTONES

    def __getitem__(self, address: str) -> str:
        return self._bindings[address].service

    def __iter__(self) -> Iterator[str]:
        return iter(self._bindings)

    def __len__(self) -> int:
        return len(self._bindings)

    def count_unbound(self, addresses: Iterable[str]) -> int:
        """Return how many distinct `addresses` have no binding."""
        return len(set(addresses) - self._bindings.keys())

    def merge(self, bindings: Mapping[str, Binding]) -> list[str]:
        """Merge `bindings` and return the addresses whose service changed.

        New addresses beyond the limit are ignored.
        """
        reassigned = []
        for address, binding in sorted(bindings.items()):
            current = self._bindings.get(address)
            if current is None and self.is_full:
                continue
            if current is not None and current.rank <= binding.rank:
                continue
            # The XOR of all hashes is independent of the order and updated in one step per change.
            self._digest ^= _hash_binding(address, binding)
            if current is not None:
                self._digest ^= _hash_binding(address, current)
            self.sequence += 1
            self._bindings[address] = binding
            self._change_numbers[address] = self.sequence
            if current is None or current.service != binding.service:
                reassigned.append(address)
        return reassigned

    def list_changed_since(self, sequence: int) -> list[tuple[str, str, int]]:
        """Return (address, service, version) of the bindings changed after `sequence`."""
        return [
            (address, *self._bindings[address])
            for address, change in self._change_numbers.items()
            if change > sequence
        ]
