"""Checks the documented guarantees against the records of a run."""

import itertools
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from ._records import Opening, Outcome, Records, Reset, Subject

__all__ = ["Finding", "collect_findings"]

# Guarantees with a time limit apply only to VMs that ran undisturbed for this long.
STABLE_AFTER_S = 4.0
MAX_DRAIN_DELAY_S = 3.0
MAX_CONFIG_DELAY_S = 3.0
MAX_EVACUATION_DELAY_S = 3.0
# A rollback is reported only for flows that were opened this long after the opposite observation.
ROLLBACK_MARGIN_S = 0.25
MAX_FLOW_AGE_S = 60.0
# Requests sent this long after the last fault must be answered. Until then, readiness checks, store
# readers and ejected targets may still be recovering.
RECOVERY_S = 6.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Finding:
    """A violated guarantee and its evidence."""

    guarantee: str
    detail: str


def collect_findings(records: Records) -> list[Finding]:
    """Return every violation of a guarantee during a run."""
    return [
        *(Finding(guarantee="intact", detail=text) for text in records.violations),
        *_find_wrong_services(records),
        *_find_duplicate_runs(records),
        *_find_broken_flows(records),
        *_find_openings_after_drain(records),
        *_find_openings_in_evacuated_zones(records),
        *_find_stale_versions(records),
        *_find_reverted_versions(records),
        *_find_failed_requests(records),
    ]


def _is_stable(records: Records, vm: str, at_s: float) -> bool:
    """Return whether a VM was running, and it and the store undisturbed, for long enough."""
    since_s = at_s - STABLE_AFTER_S
    is_up = any(start_s <= since_s for start_s in records.vm_starts_s[vm])
    undisturbed = (
        records.is_undisturbed(subject, since_s, at_s) for subject in (vm, Subject.STORE)
    )
    return is_up and all(undisturbed)


def _find_wrong_services(records: Records) -> Iterator[Finding]:
    for event in itertools.chain(records.openings, records.runs):
        if event.service not in records.allowed_services[event.flow.route_port]:
            yield Finding(guarantee="route", detail=f"{event.service} received {event.flow}")


def _find_duplicate_runs(records: Records) -> Iterator[Finding]:
    runs = Counter(run.request_id for run in records.runs)
    for request_id in sorted(records.non_idempotent):
        if runs[request_id] > 1:
            yield Finding(
                guarantee="at most once", detail=f"{request_id} ran {runs[request_id]} times"
            )


def _find_broken_flows(records: Records) -> Iterator[Finding]:
    for reset in records.resets:
        port = reset.flow.route_port
        if not reset.target or port in records.route_removed_s:
            continue
        is_target_undisturbed = records.is_undisturbed(
            reset.target, reset.at_s - STABLE_AFTER_S, reset.at_s
        )
        is_within_max_age = reset.at_s - reset.opened_s < MAX_FLOW_AGE_S
        if (
            is_target_undisturbed
            and is_within_max_age
            and _is_stable(records, reset.vm, reset.at_s)
        ):
            yield Finding(
                guarantee="flow",
                detail=f"{reset.vm} reset {reset.flow} at {reset.at_s:.3f} s, its target "
                f"{reset.target} was serving",
            )


def _find_openings_after_drain(records: Records) -> Iterator[Finding]:
    for opening in records.openings:
        since_s = records.drain_started_s.get(opening.target)
        if since_s is None or opening.sent_s <= since_s + MAX_DRAIN_DELAY_S:
            continue
        if _is_stable(records, opening.vm, opening.sent_s):
            yield Finding(
                guarantee="drain",
                detail=f"{opening.vm} opened {opening.flow} at {opening.target}, "
                f"{opening.sent_s - since_s:.3f} s after it started draining",
            )


def _find_openings_in_evacuated_zones(records: Records) -> Iterator[Finding]:
    for opening, item in itertools.product(records.openings, records.evacuations):
        is_inside = item.start_s + MAX_EVACUATION_DELAY_S < opening.at_s < item.end_s
        if not is_inside or records.target_zones[opening.target] != item.zone:
            continue
        if _is_stable(records, opening.vm, opening.at_s):
            yield Finding(
                guarantee="evacuation",
                detail=f"{opening.vm} opened {opening.flow} at {opening.target}, "
                f"{opening.at_s - item.start_s:.3f} s after {item.zone} was evacuated",
            )


def _is_served(event: Opening | Reset) -> bool:
    return isinstance(event, Opening)


def _find_stale_versions(records: Records) -> Iterator[Finding]:
    unopened = [reset for reset in records.resets if not reset.target]
    for event in itertools.chain(records.openings, unopened):
        since = records.route_removed_s if _is_served(event) else records.route_added_s
        port = event.flow.route_port
        changed_s = since.get(port)
        if changed_s is None or (not _is_served(event) and port in records.route_removed_s):
            continue
        sent_s = event.sent_s if isinstance(event, Opening) else event.opened_s
        if sent_s > changed_s + MAX_CONFIG_DELAY_S and _is_stable(records, event.vm, event.at_s):
            verb = "served" if _is_served(event) else "refused"
            late_s = sent_s - changed_s
            yield Finding(
                guarantee="configuration",
                detail=f"{event.vm} {verb} {event.flow} {late_s:.3f} s after the change",
            )


def _find_reverted_versions(records: Records) -> Iterator[Finding]:
    """Find VMs that went back to an older configuration version without a restart."""
    unopened = [reset for reset in records.resets if not reset.target]
    events = sorted([*records.openings, *unopened], key=lambda event: event.at_s)
    first_seen_s: dict[tuple[str, int, bool], float] = {}
    for event in events:
        port = event.flow.route_port
        if port not in records.route_added_s:
            continue
        key = (event.vm, port, _is_served(event))
        opposite_s = first_seen_s.get((event.vm, port, not _is_served(event)))
        first_seen_s.setdefault(key, event.at_s)
        # A rollback: a route was served and then refused although it was never removed, or it was
        # removed, refused and then served again.
        changed_s = records.route_removed_s.get(port)
        is_rollback = changed_s is None and not _is_served(event)
        is_rollback |= (
            changed_s is not None and _is_served(event) and (opposite_s or 0.0) > changed_s
        )
        sent_s = event.sent_s if isinstance(event, Opening) else event.opened_s
        if not is_rollback or opposite_s is None or sent_s <= opposite_s + ROLLBACK_MARGIN_S:
            continue
        if not any(
            opposite_s <= start_s <= event.at_s for start_s in records.vm_starts_s[event.vm]
        ):
            yield Finding(guarantee="no rollback", detail=f"{event.vm} on port {port}")


def _find_failed_requests(records: Records) -> Iterator[Finding]:
    after_s = records.faults_end_s + RECOVERY_S
    results = [result for result in records.results if result.started_s >= after_s]
    if not results:
        yield Finding(guarantee="recovery", detail="no request was started after the faults")
    for result in results:
        if result.outcome is not Outcome.ANSWERED:
            yield Finding(
                guarantee="recovery",
                detail=f"{result.request_id}, started at {result.started_s:.3f} s: "
                f"{result.outcome.value}",
            )
