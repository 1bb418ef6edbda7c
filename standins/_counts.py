"""Computes the counts of a run from the records of fabric, targets and callers."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import pairwise
from typing import Any

__all__ = ["Counts", "count_late_work", "count_records", "find_longest_gap"]

RequestKey = tuple[str, int]


@dataclass(frozen=True, kw_only=True, slots=True)
class Counts:
    """Outcomes of the requests and long flows of one run.

    `unexplained` counts requests that ended as refused or unknown although the fabric dropped none
    of their datagrams: the reported outcome is true, but the caller got no service.
    """

    requests: int
    answered: int
    refused_not_run: int
    unknown: int
    lost: int
    wrong_answer: int
    run_twice: int
    refused_but_run: int
    wrong_service: int
    broken_flows: int
    long_flows: int
    flows_never_open: int
    targets_bad_frames: int
    unexplained: int

    def find_failures(self, allowed: dict[str, int] | None = None) -> dict[str, int]:
        """Return the counts above their bound, which is 0 unless `allowed` sets another."""
        bounds = dict.fromkeys(MUST_BE_ZERO, 0) | (allowed or {})
        values = {name: getattr(self, name) for name in bounds}
        return {name: value for name, value in values.items() if value > bounds[name]}


MUST_BE_ZERO = (
    "lost",
    "wrong_answer",
    "run_twice",
    "refused_but_run",
    "wrong_service",
    "broken_flows",
    "flows_never_open",
    "targets_bad_frames",
)


def _get_request_key(record: dict[str, Any]) -> RequestKey:
    return record["flow"], record["request_id"]


def _is_misrouted(record: dict[str, Any]) -> bool:
    return record.get("body_service", record["service"]) != record["service"]


def count_records(records: Iterable[dict[str, Any]]) -> Counts:
    """Return the counts of `records`, the events of all processes of one run.

    A request that a target started and that no caller recorded counts as lost. The fabric's
    records of dropped datagrams are used for `unexplained` only.
    """
    records = list(records)
    by_event: dict[str, list[dict[str, Any]]] = {}
    for record in records:
        by_event.setdefault(record["event"], []).append(record)
    requests = by_event.get("request", [])
    started = by_event.get("started", [])
    opened = by_event.get("flow_opened", [])
    flows = by_event.get("long_flow", [])
    outcomes = Counter(record["outcome"] for record in requests)
    starts = Counter(_get_request_key(record) for record in started if not record["idempotent"])
    started_keys = {_get_request_key(record) for record in started}
    recorded = {_get_request_key(record) for record in requests}
    refused = {_get_request_key(r) for r in requests if r["outcome"] == "refused_not_run"}
    dropped = {record["flow"] for record in by_event.get("dropped", [])}
    unanswered = {r["flow"] for r in requests if r["outcome"] in ("refused_not_run", "unknown")}
    phases = Counter(record["phase"] for record in flows)
    misrouted = sum(map(_is_misrouted, started + opened))
    refused_links = sum("flow" not in record for record in by_event.get("wrong_service", []))
    return Counts(
        requests=len(requests),
        answered=outcomes["answered"],
        refused_not_run=outcomes["refused_not_run"],
        unknown=outcomes["unknown"],
        lost=outcomes["lost"] + len(started_keys - recorded),
        wrong_answer=outcomes["wrong_answer"],
        run_twice=sum(count > 1 for count in starts.values()),
        refused_but_run=len(refused & started_keys),
        wrong_service=misrouted + refused_links,
        broken_flows=phases["broken"],
        long_flows=len(flows),
        flows_never_open=phases["opening"],
        targets_bad_frames=len(by_event.get("bad_frame", [])),
        unexplained=len(unanswered - dropped),
    )


def count_late_work(records: Iterable[dict[str, Any]], *, target: str, after_s: float) -> int:
    """Return how many requests and flows `target` accepted after wall-clock time `after_s`."""
    return sum(
        record["event"] in ("started", "flow_opened")
        and record["target"] == target
        and record["at_s"] > after_s
        for record in records
    )


def find_longest_gap(records: Iterable[dict[str, Any]]) -> float:
    """Return the longest time between two request starts of one service, in seconds."""
    starts_by_service: dict[str, list[float]] = {}
    for record in records:
        if record["event"] == "started":
            starts_by_service.setdefault(record["service"], []).append(record["at_s"])
    gaps = (
        b - a
        for start_times_s in starts_by_service.values()
        for a, b in pairwise(sorted(start_times_s))
    )
    return max(gaps, default=0.0)
