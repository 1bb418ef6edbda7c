"""The faults of one run, drawn from a seed."""

import itertools
from dataclasses import dataclass
from enum import Enum
from random import Random

__all__ = ["Fault", "FaultKind", "draw_faults"]

MIN_GAP_S = 0.1
MAX_GAP_S = 2.0
MAX_DURATION_S = 3.0
# A change is often followed by the same change, or by another one at the same moment.
REPEAT_CHANCE = 0.25


class FaultKind(Enum):
    """What is done to a run."""

    VM_KILL = "vm-kill"
    VM_TERM = "vm-term"
    VM_PAUSE = "vm-pause"
    VM_RELOAD = "vm-reload"
    VM_RESTART_ALL = "vm-restart-all"
    TARGET_CRASH = "target-crash"
    TARGET_DARK = "target-dark"
    TARGET_DRAIN = "target-drain"
    TARGET_REUSE = "target-reuse"
    TARGET_ADD = "target-add"
    STORE_BUSY = "store-busy"
    STORE_LAPSE = "store-lapse"
    STORE_FORGET = "store-forget"
    LINK_RESET = "link-reset"
    LINK_SILENT = "link-silent"
    LINK_ONE_WAY = "link-one-way"
    LINK_SLOW = "link-slow"
    CONFIG_ADD = "config-add"
    CONFIG_REMOVE = "config-remove"
    CONFIG_STORM = "config-storm"


@dataclass(frozen=True, kw_only=True, slots=True)
class Fault:
    """One fault.

    Attributes
    ----------
    at_s, for_s : float
        Start, from the start of traffic, and duration in seconds.
    pick : int
        Chooses the VM or the target among those that fit.
    """

    kind: FaultKind
    at_s: float
    for_s: float
    pick: int


def draw_faults(*, seed: int, length_s: float) -> tuple[Fault, ...]:
    """Return the faults of a run of `length_s` seconds; they come in series and overlap."""
    rng = Random(seed)
    faults: list[Fault] = []
    at_s = MAX_GAP_S * rng.random()
    while at_s < length_s:
        repeats = bool(faults) and rng.random() < REPEAT_CHANCE
        kind = faults[-1].kind if repeats else rng.choice(list(FaultKind))
        faults.append(
            Fault(
                kind=kind,
                at_s=round(at_s, 3),
                for_s=round(rng.uniform(0.2, MAX_DURATION_S), 3),
                pick=rng.randrange(1_000),
            )
        )
        at_s += rng.uniform(MIN_GAP_S, MAX_GAP_S)
    return tuple(itertools.islice(faults, 100))
