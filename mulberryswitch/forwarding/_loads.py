"""What callers' packets tell about the load and the health of targets."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

__all__ = ["LoadDigest", "TargetHealth", "TargetLoad", "TargetLoads"]

# Weight of a new sample of the service time.
SAMPLE_WEIGHT = 0.1
# Two openings or requests in a row without any sign of life: one alone may be a lost datagram.
SILENT_FAILURES = 2
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 8.0
# A digest of a peer is worthless when its VM no longer speaks.
DIGEST_LIFE_S = 1.5


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadDigest:
    """Load of one target as other VMs see it; `silent` is set when one of them ejected it."""

    token: int
    long_flows: int
    busy: int
    silent: bool


@dataclass(kw_only=True, slots=True)
class TargetHealth:
    """Signs of life of one target.

    `failures` counts the openings and requests without an answer since the last answer.
    """

    answered_s: float = 0.0
    failures: int = 0
    failed_s: float = 0.0
    ejection_s: float = 0.0
    ejected_until_s: float = 0.0

    def observe_answer(self, now_s: float) -> None:
        """The target answered a caller."""
        self.answered_s = now_s
        self.failures = 0
        self.ejection_s = 0.0
        self.ejected_until_s = 0.0

    def observe_silence(self, *, since_s: float, now_s: float) -> bool:
        """A packet sent at `since_s` found no answer; return whether the target is now ejected."""
        if self.answered_s >= since_s or self.failed_s > since_s:
            # It answered somebody meanwhile, or this silence was counted with another flow's.
            return False
        self.failures += 1
        self.failed_s = now_s
        if self.failures < SILENT_FAILURES:
            return False
        self.ejection_s = min(MAX_EJECTION_S, max(FIRST_EJECTION_S, 2 * self.ejection_s))
        self.ejected_until_s = now_s + self.ejection_s
        return True


@dataclass(kw_only=True, slots=True)
class TargetLoad:
    """Flows and requests in flight at one target, as this VM sees them."""

    openings: int = 0
    long_flows: int = 0
    busy: int = 0
    service_s: float = 0.0
    health: TargetHealth = field(default_factory=TargetHealth)

    def observe_service(self, service_s: float) -> None:
        """Take in the time from a request to the acknowledgement of its answer."""
        if not self.service_s:
            self.service_s = service_s
        self.service_s += SAMPLE_WEIGHT * (service_s - self.service_s)


class TargetLoads:
    """Loads by token, with the digests of peers."""

    def __init__(self) -> None:
        self._loads: dict[int, TargetLoad] = {}
        self._digests: dict[str, tuple[float, Mapping[int, LoadDigest]]] = {}

    def find(self, token: int) -> TargetLoad:
        """Return the load of the target that `token` names."""
        load = self._loads.get(token)
        if load is None:
            load = self._loads[token] = TargetLoad()
        return load

    def observe_digest(self, *, peer: str, loads: Iterable[LoadDigest], now_s: float) -> None:
        """Take in what `peer` sees, in place of what it said before."""
        self._digests[peer] = (now_s, {load.token: load for load in loads})

    def list_shared(self, token: int, now_s: float) -> list[LoadDigest]:
        """Return what peers see of a target."""
        return [
            loads[token]
            for seen_s, loads in self._digests.values()
            if now_s - seen_s <= DIGEST_LIFE_S and token in loads
        ]

    def build_digest(self, now_s: float) -> list[LoadDigest]:
        """Return what peers have to know of this VM's flows."""
        return [
            LoadDigest(
                token=token,
                long_flows=load.long_flows,
                busy=load.busy,
                silent=now_s < load.health.ejected_until_s,
            )
            for token, load in self._loads.items()
            if load.long_flows or load.busy or now_s < load.health.ejected_until_s
        ]

    def drop_unknown(self, tokens: Iterable[int], now_s: float) -> None:
        """Forget targets that are no longer known and peers that fell silent."""
        kept = set(tokens)
        self._loads = {
            token: load
            for token, load in self._loads.items()
            if token in kept or load.long_flows or load.busy or load.openings
        }
        self._digests = {
            peer: item for peer, item in self._digests.items() if now_s - item[0] <= DIGEST_LIFE_S
        }
