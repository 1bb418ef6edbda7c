"""The fault schedule of a run, generated from a seed."""

import itertools
from dataclasses import dataclass
from enum import Enum
from random import Random

__all__ = ["Fault", "FaultKind", "generate_faults"]

MIN_INTERVAL_S = 0.1
MAX_INTERVAL_S = 2.0
MAX_DURATION_S = 3.0
# Changes are often repeated, or coincide with another change. A fault is of the same kind as the
# previous one with this probability.
REPEAT_PROBABILITY = 0.25
# Drawn apart from the others, so that a seed's other faults stay what they were without them.
MAX_EVACUATIONS = 2


class FaultKind(Enum):
    """What an injected fault or change does."""

    VM_KILL = "vm-kill"
    VM_TERM = "vm-term"
    VM_PAUSE = "vm-pause"
    VM_RELOAD = "vm-reload"
    VM_RESTART_ALL = "vm-restart-all"
    VM_CUT = "vm-cut"  # no packets between some VMs and the others
    VM_CUT_ONE_WAY = "vm-cut-one-way"  # the others hear nothing of some VMs
    TARGET_CRASH = "target-crash"
    TARGET_DARK = "target-dark"  # the target stops answering
    TARGET_DRAIN = "target-drain"
    TARGET_REUSE = "target-reuse"  # another service takes over the address
    TARGET_ADD = "target-add"
    STORE_BUSY = "store-busy"  # the store refuses reads
    STORE_LAPSE = "store-lapse"  # records of live targets lapse
    STORE_FORGET = "store-forget"  # the store drops its change history
    STORE_RESTORE = "store-restore"  # the store comes back from an older copy
    LINK_RESET = "link-reset"
    LINK_SILENT = "link-silent"
    LINK_ONE_WAY = "link-one-way"
    LINK_SLOW = "link-slow"
    CONFIG_ADD = "config-add"
    CONFIG_REMOVE = "config-remove"
    CONFIG_STORM = "config-storm"
    ZONE_EVACUATE = "zone-evacuate"  # a zone's targets get no new flows for a while


@dataclass(frozen=True, kw_only=True, slots=True)
class Fault:
    """One injected fault or planned change.

    Attributes
    ----------
    at_s, duration_s : float
        Start, relative to the start of traffic, and duration in seconds.
    selector : int
        Selects the VM or the target among the eligible ones.
    """

    kind: FaultKind
    at_s: float
    duration_s: float
    selector: int


def generate_faults(*, seed: int, length_s: float) -> tuple[Fault, ...]:
    """Return the faults of a run of `length_s` seconds; kinds repeat and faults overlap."""
    rng = Random(seed)
    kinds = [kind for kind in FaultKind if kind is not FaultKind.ZONE_EVACUATE]
    faults: list[Fault] = []
    at_s = MAX_INTERVAL_S * rng.random()
    while at_s < length_s:
        is_repeated = bool(faults) and rng.random() < REPEAT_PROBABILITY
        kind = faults[-1].kind if is_repeated else rng.choice(kinds)
        faults.append(
            Fault(
                kind=kind,
                at_s=round(at_s, 3),
                duration_s=round(rng.uniform(0.2, MAX_DURATION_S), 3),
                selector=rng.randrange(1_000),
            )
        )
        at_s += rng.uniform(MIN_INTERVAL_S, MAX_INTERVAL_S)
    faults = [*itertools.islice(faults, 100), *_generate_evacuations(seed, length_s)]
    return tuple(sorted(faults, key=lambda fault: fault.at_s))


def _generate_evacuations(seed: int, length_s: float) -> list[Fault]:
    rng = Random(f"evacuations of {seed}")
    return [
        Fault(
            kind=FaultKind.ZONE_EVACUATE,
            at_s=round(length_s * rng.random(), 3),
            duration_s=round(rng.uniform(0.2, 2 * MAX_DURATION_S), 3),
            selector=rng.randrange(1_000),
        )
        for _ in range(rng.randrange(MAX_EVACUATIONS + 1))
    ]
