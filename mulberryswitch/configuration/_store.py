"""The configuration in force at one VM."""

import hashlib
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, replace

from mulberryswitch.contracts import ResultCode, Sheet

from ._bindings import MAX_TOMBSTONES, Binding, Tombstones
from ._document import DIGEST_BYTES
from ._errors import Problem, SheetRefusedError
from ._validation import CheckedDocument, build_sheet, check_document

__all__ = ["ConfigStore", "OfferResult", "RefusedSheet"]

MAX_VERSION = 2**63 - 1  # largest integer of the wire messages; 0 means no configuration
MAX_REFUSED = 32
MAX_REFUSED_PROBLEMS = 100


@dataclass(frozen=True, kw_only=True, slots=True)
class OfferResult:
    """Outcome of an offer: accepted, ignored because it is not newer, or refused with problems."""

    accepted: bool
    ignored: bool
    problems: tuple[Problem, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class RefusedSheet:
    """A refused document as shown to operators.

    Attributes
    ----------
    version : int
        Version that was offered.
    checksum : bytes
        Checksum of the bytes that were offered.
    source : str
        Sender of the last offer: "platform" or the name of a VM.
    first_s, last_s : float
        Time of the first and last offer in seconds.
    count : int
        Number of offers.
    problems : tuple of Problem
        The first 100 problems.
    problem_count : int
        Number of all problems.
    """

    version: int
    checksum: bytes
    source: str
    first_s: float
    last_s: float
    count: int
    problems: tuple[Problem, ...]
    problem_count: int


class ConfigStore:
    """Accepted sheet, refused sheets and tombstones of one VM.

    (`version`, `digest`) never decreases. `sheet` is replaced by another object of the same version
    when a merged tombstone changes the service of one of its addresses, so callers must compare
    sheets by identity.
    """

    def __init__(self):
        self.sheet: Sheet | None = None
        self.document = b""
        self.since_s = 0.0
        self.tombstones = Tombstones()
        self.ignored_count = 0
        self.refused_count = 0
        self.accepted_count = 0
        self._listed_addresses: frozenset[str] = frozenset()
        self._refused: deque[RefusedSheet] = deque(maxlen=MAX_REFUSED)

    @property
    def version(self) -> int:
        """Version in force, 0 before the first acceptance."""
        return self.sheet.version if self.sheet else 0

    @property
    def digest(self) -> bytes:
        """Digest in force, empty before the first acceptance."""
        return self.sheet.digest if self.sheet else b""

    @property
    def key(self) -> tuple[int, bytes]:
        """Version and digest; configurations are ordered by this pair."""
        return self.version, self.digest

    @property
    def refused(self) -> list[RefusedSheet]:
        """Refused documents, the latest last, at most 32."""
        return list(self._refused)

    def merge_bindings(self, *, bindings: Mapping[str, Binding]) -> None:
        """Merge bindings that other VMs accepted."""
        reassigned = self.tombstones.merge(bindings)
        if self.sheet is None or self._listed_addresses.isdisjoint(reassigned):
            return
        checked = check_document(document=self.document, tombstones=self.tombstones, canonical=True)
        self.sheet = build_sheet(checked=checked, version=self.version, tombstones=self.tombstones)

    def offer(
        self,
        *,
        document: bytes,
        version: int,
        tombstones: Mapping[str, str],
        source: str,
        now_s: float,
        accepted_by_peer: bool = False,
        canonical: bool = False,
    ) -> OfferResult:
        """Accept, ignore or refuse a document.

        Parameters
        ----------
        document : bytes
            JSON text.
        version : int
            Version that the platform assigned, from 1.
        tombstones : mapping of str to str
            Bindings sent with the document; they are merged whatever the outcome is.
        source : str
            Origin of the document, shown to operators.
        now_s : float
            Time in seconds.
        accepted_by_peer : bool
            Whether the document is in force at another VM. If so, a rebound address is no reason
            to refuse it: the address stays with its oldest service and the rest is accepted,
            because a refusal would leave two VMs with different content forever.
        canonical : bool
            Whether `document` is a result of `apply_delta`.

        Returns
        -------
        OfferResult
        """
        if tombstones:
            bindings = {a: Binding(service, version) for a, service in tombstones.items()}
            self.merge_bindings(bindings=bindings)
        repeated = version == self.version and document == self.document
        if repeated or not max(1, self.version) <= version <= MAX_VERSION:
            self.ignored_count += 1
            return OfferResult(accepted=False, ignored=True)
        try:
            checked = check_document(
                document=document, tombstones=self.tombstones, canonical=canonical
            )
            self._check_offer(checked, version, accepted_by_peer)
        except SheetRefusedError as exc:
            self._record_refusal(document, version, source, now_s, exc.problems)
            return OfferResult(accepted=False, ignored=False, problems=exc.problems)
        if (version, checked.digest) <= self.key:
            self.ignored_count += 1
            return OfferResult(accepted=False, ignored=True)
        self._apply(checked, version, now_s)
        return OfferResult(accepted=True, ignored=False, problems=checked.rebound)

    def _check_offer(self, checked: CheckedDocument, version: int, accepted_by_peer: bool) -> None:
        # An older document of the same version is ignored, not reported to operators.
        if (version, checked.digest) <= self.key:
            return
        if checked.rebound and not accepted_by_peer:
            raise SheetRefusedError(checked.rebound)
        addresses = (a for service in checked.model.services for a in service.addresses)
        total = len(self.tombstones) + self.tombstones.count_unbound(addresses)
        if total > MAX_TOMBSTONES:
            text = f"{total} addresses ever bound, at most {MAX_TOMBSTONES}"
            problem = Problem(code=ResultCode.SHEET_TOO_LARGE, item="addresses", message=text)
            raise SheetRefusedError((problem,))

    def _apply(self, checked: CheckedDocument, version: int, now_s: float) -> None:
        bindings = {
            address: Binding(service.name, version)
            for service in checked.model.services
            for address in service.addresses
        }
        self.tombstones.merge(bindings)
        self._listed_addresses = frozenset(bindings)
        self.document = checked.document
        self.since_s = now_s
        self.accepted_count += 1
        self.sheet = build_sheet(checked=checked, version=version, tombstones=self.tombstones)

    def _record_refusal(
        self,
        document: bytes,
        version: int,
        source: str,
        now_s: float,
        problems: tuple[Problem, ...],
    ) -> None:
        self.refused_count += 1
        checksum = hashlib.blake2b(document, digest_size=DIGEST_BYTES).digest()
        former = next(
            (r for r in self._refused if (r.version, r.checksum) == (version, checksum)), None
        )
        if former is not None:
            self._refused.remove(former)
        record = RefusedSheet(
            version=version,
            checksum=checksum,
            source=source,
            first_s=now_s,
            last_s=now_s,
            count=1,
            problems=problems[:MAX_REFUSED_PROBLEMS],
            problem_count=len(problems),
        )
        if former is not None:
            record = replace(record, first_s=former.first_s, count=former.count + 1)
        self._refused.append(record)
