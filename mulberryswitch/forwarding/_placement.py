"""Choice of the service and the target of a new flow."""

import struct
import zlib
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from random import Random

from mulberryswitch.directory import Route, Target

from ._packets import FlowKey

__all__ = ["Candidate", "draw_targets", "pick_service", "pick_target"]

# Work per slot by which a target of another zone has to be less loaded. A flow that stays in its
# zone outlives a cut of the zone, so only a queue at home is worth leaving it.
SPILL_MARGIN = 1.5
# VMs that place at the same moment do not see each other's choices. Few draws keep them from all
# choosing the same target, such as one that has just been added and is empty.
SAMPLE_TARGETS = 3

_FLOW_KEY = struct.Struct("!IHIH")


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A target that may take a new flow.

    Attributes
    ----------
    work : float
        Requests that are likely in its slots or its queue.
    speed : float
        Share of the usual speed; below 1 while it is cold or slow.
    is_ejected : bool
        It does not answer.
    """

    target: Target
    work: float
    speed: float = 1.0
    is_ejected: bool = False

    @property
    def cost(self) -> float:
        """Expected wait of one more request, in work per slot."""
        return (self.work + 1.0) / (self.target.slots * self.speed)


def pick_service(*, route: Route, flow: FlowKey) -> str:
    """Return the service of a flow by the weights of its route.

    The choice depends on the flow alone, so that copies of an opening agree at every VM.
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


def draw_targets(
    *, targets: Sequence[Target], zone: str, is_usable: Callable[[Target], bool], rng: Random
) -> list[Target]:
    """Return the targets that are worth rating: some of `zone` and some of other zones.

    The cost of a new flow then does not grow with the number of targets.

    Parameters
    ----------
    targets : sequence of Target
        Targets of the flow's service.
    zone : str
        Availability zone of this VM.
    is_usable : callable
        Whether a target answers and was not tried yet; others are drawn only if none is left.
    rng : Random
    """
    near = [target for target in targets if target.zone == zone]
    far = [target for target in targets if target.zone != zone]
    return [*_draw(near, is_usable, rng), *_draw(far, is_usable, rng)]


def _draw(
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
    """Return the target with the shortest expected wait, one in `zone` unless it has a queue.

    Parameters
    ----------
    candidates : sequence of Candidate
        Targets of the flow's service.
    zone : str
        Availability zone of this VM.
    tried : collection of str
        Keys of targets that did not answer this flow; used again only when no other is left.
    rng : Random
        Breaks ties and draws the sample.
    """
    usable = (
        [c for c in candidates if not c.is_ejected and c.target.key not in tried]
        or [c for c in candidates if c.target.key not in tried]
        or list(candidates)
    )
    near = _pick_cheapest([c for c in usable if c.target.zone == zone], rng)
    far = _pick_cheapest([c for c in usable if c.target.zone != zone], rng)
    if near is None or far is None:
        best = near or far
    else:
        best = far if far.cost + SPILL_MARGIN < near.cost else near
    return best.target if best else None


def _pick_cheapest(candidates: list[Candidate], rng: Random) -> Candidate | None:
    if not candidates:
        return None
    sample = rng.sample(candidates, min(SAMPLE_TARGETS, len(candidates)))
    return min(sample, key=lambda candidate: candidate.cost)
