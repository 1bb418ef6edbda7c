"""The promises of the project's pages, checked against the records of a run."""

import itertools
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from ._records import Opening, Outcome, Records, Reset, Subject

__all__ = ["Finding", "judge"]

# Promises with a time bound hold for VMs that were undisturbed for this long.
STABLE_S = 4.0
DRAIN_S = 3.0
CONFIG_S = 3.0
ROLLBACK_S = 0.25
FLOW_LIFE_S = 60.0
# After the last fault all that is asked is answered; routers, readers and ejections need some time.
RECOVERY_S = 6.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Finding:
    """A promise that was broken, and what shows it."""

    promise: str
    detail: str


def judge(records: Records) -> list[Finding]:
    """Return the promises that a run broke."""
    return [
        *(Finding(promise="intact", detail=text) for text in records.violations),
        *_find_wrong_services(records),
        *_find_second_runs(records),
        *_find_cut_flows(records),
        *_find_late_drains(records),
        *_find_old_versions(records),
        *_find_reverted_versions(records),
        *_find_unserved(records),
    ]


def _is_in_touch(records: Records, vm: str, at_s: float) -> bool:
    since_s = at_s - STABLE_S
    is_up = any(boot_s <= since_s for boot_s in records.boots[vm])
    calm = (records.is_calm(subject, since_s, at_s) for subject in (vm, Subject.STORE))
    return is_up and all(calm)


def _find_wrong_services(records: Records) -> Iterator[Finding]:
    for event in itertools.chain(records.openings, records.runs):
        if event.service not in records.allowed[event.flow.route_port]:
            yield Finding(promise="route", detail=f"{event.service} got {event.flow}")


def _find_second_runs(records: Records) -> Iterator[Finding]:
    runs = Counter(run.request for run in records.runs)
    for request in sorted(records.non_idempotent):
        if runs[request] > 1:
            yield Finding(promise="at most once", detail=f"{request} ran {runs[request]} times")


def _find_cut_flows(records: Records) -> Iterator[Finding]:
    for reset in records.resets:
        port = reset.flow.route_port
        if not reset.target or port in records.removed_s:
            continue
        target_is_calm = records.is_calm(reset.target, reset.at_s - STABLE_S, reset.at_s)
        is_young = reset.at_s - reset.opened_s < FLOW_LIFE_S
        if target_is_calm and is_young and _is_in_touch(records, reset.vm, reset.at_s):
            yield Finding(
                promise="flow",
                detail=f"{reset.vm} reset {reset.flow} at {reset.at_s:.3f} s, its target "
                f"{reset.target} lives",
            )


def _find_late_drains(records: Records) -> Iterator[Finding]:
    for opening in records.openings:
        since_s = records.draining_s.get(opening.target)
        if since_s is None or opening.sent_s <= since_s + DRAIN_S:
            continue
        if _is_in_touch(records, opening.vm, opening.sent_s):
            yield Finding(
                promise="drain",
                detail=f"{opening.vm} opened {opening.flow} at {opening.target}, "
                f"{opening.sent_s - since_s:.3f} s after it began to leave",
            )


def _is_served(event: Opening | Reset) -> bool:
    return isinstance(event, Opening)


def _find_old_versions(records: Records) -> Iterator[Finding]:
    unopened = [reset for reset in records.resets if not reset.target]
    for event in itertools.chain(records.openings, unopened):
        since = records.removed_s if _is_served(event) else records.added_s
        port = event.flow.route_port
        changed_s = since.get(port)
        if changed_s is None or (not _is_served(event) and port in records.removed_s):
            continue
        sent_s = event.sent_s if isinstance(event, Opening) else event.opened_s
        if sent_s > changed_s + CONFIG_S and _is_in_touch(records, event.vm, event.at_s):
            verb = "served" if _is_served(event) else "refused"
            late_s = sent_s - changed_s
            yield Finding(
                promise="configuration",
                detail=f"{event.vm} {verb} {event.flow} {late_s:.3f} s after the change",
            )


def _find_reverted_versions(records: Records) -> Iterator[Finding]:
    """A VM that once acted on a version must not act on an older one in the same boot."""
    unopened = [reset for reset in records.resets if not reset.target]
    events = sorted([*records.openings, *unopened], key=lambda event: event.at_s)
    seen: dict[tuple[str, int, bool], float] = {}
    for event in events:
        port = event.flow.route_port
        if port not in records.added_s:
            continue
        key = (event.vm, port, _is_served(event))
        opposite_s = seen.get((event.vm, port, not _is_served(event)))
        seen.setdefault(key, event.at_s)
        # Added, served, then refused without a removal; or removed, refused, then served.
        changed_s = records.removed_s.get(port)
        is_old = changed_s is None and not _is_served(event)
        is_old |= changed_s is not None and _is_served(event) and (opposite_s or 0.0) > changed_s
        sent_s = event.sent_s if isinstance(event, Opening) else event.opened_s
        if not is_old or opposite_s is None or sent_s <= opposite_s + ROLLBACK_S:
            continue
        if not any(opposite_s <= boot_s <= event.at_s for boot_s in records.boots[event.vm]):
            yield Finding(promise="no way back", detail=f"{event.vm} on port {port}")


def _find_unserved(records: Records) -> Iterator[Finding]:
    after_s = records.faults_end_s + RECOVERY_S
    calm = [answer for answer in records.answers if answer.asked_s >= after_s]
    if not calm:
        yield Finding(promise="recovery", detail="nothing was asked after the faults")
    for answer in calm:
        if answer.outcome is not Outcome.ANSWERED:
            yield Finding(
                promise="recovery",
                detail=f"{answer.request} asked at {answer.asked_s:.3f} s: {answer.outcome.value}",
            )
