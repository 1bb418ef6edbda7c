"""Choice of the service and the target of a new flow."""

import struct
import zlib
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from random import Random

from mulberryswitch.directory import Route, Target

from ._packets import FlowKey

__all__ = ["Candidate", "pick_service", "pick_target", "sample_targets"]

# Margin, in work per slot, by which a target of another zone has to be cheaper. A flow within its
# zone survives a partition of the zone, so it leaves the zone only to avoid a queue there.
SPILL_MARGIN = 1.5
# VMs that place flows at the same moment do not see each other's choices. A small sample keeps
# them from all choosing the same target, such as an idle one that has just been added.
SAMPLE_TARGETS = 3

_FLOW_KEY = struct.Struct("!IHIH")


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A target that may receive a new flow.

    Attributes
    ----------
    work : float
        Estimated number of requests in its slots and its queue.
    speed : float
        Fraction of the normal speed; below 1 while the target is cold.
    is_ejected : bool
        Whether the target is excluded because it did not answer.
    """

    target: Target
    work: float
    speed: float = 1.0
    is_ejected: bool = False

    @property
    def cost(self) -> float:
        """Expected wait of one further request, in work per slot."""
        return (self.work + 1.0) / (self.target.slots * self.speed)


def pick_service(*, route: Route, flow: FlowKey) -> str:
    """Return the service of a flow, chosen by the weights of its route.

    The choice is a hash of the flow, so every VM makes the same one for each retransmission of an
    opening.
    """
    if len(route.shares) == 1:
        return route.shares[0][0]
    total = sum(weight for _, weight in route.shares)
    point = zlib.crc32(_FLOW_KEY.pack(*flow)) / 2**32 * total
    for service, weight in route.shares:
        point -= weight
        if point < 0:
            return service
    return route.shares[-1][0]


def sample_targets(
    *, targets: Sequence[Target], zone: str, is_usable: Callable[[Target], bool], rng: Random
) -> list[Target]:
    """Return a sample of the targets of `zone` and one of the targets of other zones.

    Rating only a sample keeps the cost of a new flow independent of the number of targets.

    Parameters
    ----------
    targets : sequence of Target
        Targets of the flow's service.
    zone : str
        Availability zone of this VM.
    is_usable : callable
        Whether a target is not ejected and not yet tried; other targets are sampled only if no
        usable one is left.
    rng : Random
    """
    local = [target for target in targets if target.zone == zone]
    remote = [target for target in targets if target.zone != zone]
    return [*_sample(local, is_usable, rng), *_sample(remote, is_usable, rng)]


def _sample(
    targets: Sequence[Target], is_usable: Callable[[Target], bool], rng: Random
) -> Sequence[Target]:
    if len(targets) <= SAMPLE_TARGETS:
        return targets
    sample = rng.sample(targets, SAMPLE_TARGETS)
    if all(map(is_usable, sample)):
        return sample
    usable = [target for target in targets if is_usable(target)]
    return rng.sample(usable, min(SAMPLE_TARGETS, len(usable))) or sample


def pick_target(
    *, candidates: Sequence[Candidate], zone: str, tried: Collection[str], rng: Random
) -> Target | None:
    """Return the target with the shortest expected wait; None if there are no candidates.

    Of each zone group, own and others, the cheapest of a random sample is considered. A target of
    another zone wins only if it is cheaper by more than ``SPILL_MARGIN``.

    Parameters
    ----------
    candidates : sequence of Candidate
        Targets of the flow's service.
    zone : str
        Availability zone of this VM.
    tried : collection of str
        Keys of targets that did not answer this flow; reused only if no other is left.
    rng : Random
        Draws the sample.
    """
    usable = (
        [c for c in candidates if not c.is_ejected and c.target.key not in tried]
        or [c for c in candidates if c.target.key not in tried]
        or list(candidates)
    )
    local = _pick_cheapest([c for c in usable if c.target.zone == zone], rng)
    remote = _pick_cheapest([c for c in usable if c.target.zone != zone], rng)
    if local is None or remote is None:
        best = local or remote
    else:
        best = remote if remote.cost + SPILL_MARGIN < local.cost else local
    return best.target if best else None


def _pick_cheapest(candidates: list[Candidate], rng: Random) -> Candidate | None:
    if not candidates:
        return None
    sample = rng.sample(candidates, min(SAMPLE_TARGETS, len(candidates)))
    return min(sample, key=lambda candidate: candidate.cost)
