"""Check of a configuration before it is sent, and comparison with the one in force."""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, fields
from enum import Enum

from mulberryswitch.directory import TrafficKind

__all__ = [
    "ConfigDocument",
    "Difference",
    "Problem",
    "RouteEntry",
    "ServiceEntry",
    "Severity",
    "check_document",
    "compare_documents",
    "find_version_problem",
]


class Severity(Enum):
    """``ERROR``: must not be sent. ``WARNING``: an entry is without effect or misleads."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True, kw_only=True, slots=True)
class RouteEntry:
    """A route as written; times in seconds, infinite where none is stated."""

    name: str
    address: str
    kind: TrafficKind
    shares: tuple[tuple[str, float], ...]
    timeout_s: float
    goal_s: float
    attempts: int
    priority: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceEntry:
    """A service as written."""

    name: str
    max_connections: int
    cold_per_s: float
    cold_start_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigDocument:
    """A configuration as written, before any entry is left out."""

    version: int
    routes: tuple[RouteEntry, ...]
    services: tuple[ServiceEntry, ...]
    idle_timeout_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Problem:
    """Something that is wrong with a configuration, and where."""

    severity: Severity
    place: str
    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Difference:
    """An entry that was added, removed or changed; `change` names the fields with both values."""

    place: str
    change: str


def check_document(document: ConfigDocument) -> list[Problem]:
    """Return the problems of a configuration, errors first."""
    problems = [
        *_find_repeated_routes(document),
        *_find_wrong_shares(document),
        *_find_service_problems(document),
        *_find_contradicting_limits(document),
    ]
    return sorted(problems, key=lambda problem: problem.severity is not Severity.ERROR)


def _error(place: str, reason: str) -> Problem:
    return Problem(severity=Severity.ERROR, place=place, reason=reason)


def _warn(place: str, reason: str) -> Problem:
    return Problem(severity=Severity.WARNING, place=place, reason=reason)


def _find_repeated_routes(document: ConfigDocument) -> Iterator[Problem]:
    first_by_address: dict[str, str] = {}
    for route in document.routes:
        first = first_by_address.setdefault(route.address, route.name)
        if first != route.name:
            yield _error(
                f"route {route.name}",
                f"{route.address} is also that of route {first}; one of the " "two never matches",
            )
    names = Counter(route.name for route in document.routes)
    for name in (name for name, count in names.items() if count > 1):
        yield _error(f"route {name}", f"the name stands {names[name]} times")


def _find_wrong_shares(document: ConfigDocument) -> Iterator[Problem]:
    known = {service.name for service in document.services}
    for route in document.routes:
        place = f"route {route.name}"
        if not any(weight > 0 for _, weight in route.shares):
            yield _error(place, "no service with a positive weight")
        for service, weight in route.shares:
            if service not in known:
                yield _error(place, f"service {service} does not exist")
            if not 0 <= weight < float("inf"):
                yield _error(place, f"weight {weight} of service {service} is not a weight")
            elif not weight and len(route.shares) > 1:
                yield _warn(place, f"service {service} has weight 0 and gets no flow")
        repeated = Counter(service for service, _ in route.shares)
        for service in (name for name, count in repeated.items() if count > 1):
            yield _warn(place, f"service {service} stands {repeated[service]} times in the split")


def _find_service_problems(document: ConfigDocument) -> Iterator[Problem]:
    used = {service for route in document.routes for service, weight in route.shares if weight > 0}
    names = Counter(service.name for service in document.services)
    for service in document.services:
        place = f"service {service.name}"
        if names[service.name] > 1:
            yield _error(place, f"the name stands {names[service.name]} times")
        if service.name not in used:
            yield _warn(place, "no route leads to it")
        if service.max_connections < 1:
            yield _error(place, f"its targets may hold {service.max_connections} connections")
        if service.cold_per_s > 0 and not service.cold_start_s:
            yield _warn(place, "a rate for cold targets without a time for which they are cold")


def _find_contradicting_limits(document: ConfigDocument) -> Iterator[Problem]:
    for route in document.routes:
        place = f"route {route.name}"
        if route.timeout_s <= 0 or route.goal_s <= 0:
            yield _error(place, "its time limit or its aim is not positive")
        elif route.goal_s > route.timeout_s:
            yield _warn(
                place, f"its aim of {route.goal_s:g} s is beyond its limit of {route.timeout_s:g} s"
            )
        elif route.attempts * route.goal_s > route.timeout_s < float("inf"):
            yield _warn(
                place,
                f"{route.attempts} attempts of {route.goal_s:g} s do not fit into its limit of "
                f"{route.timeout_s:g} s",
            )
        if route.timeout_s < float("inf") and document.idle_timeout_s < route.timeout_s:
            yield _warn(
                place,
                f"flows may be discarded after {document.idle_timeout_s:g} s without a packet, but "
                f"a request may take {route.timeout_s:g} s",
            )


def compare_documents(former: ConfigDocument, document: ConfigDocument) -> list[Difference]:
    """Return what `document` would change, in the order of the places."""
    differences = [
        *_compare_entries("route", former.routes, document.routes),
        *_compare_entries("service", former.services, document.services),
        *_compare_fields("limits", former, document, ("idle_timeout_s",)),
    ]
    return sorted(differences, key=lambda difference: difference.place)


def find_version_problem(former: ConfigDocument, document: ConfigDocument) -> list[Problem]:
    """Return the problem of a version that would not replace the one in force."""
    if document.version > former.version:
        return []
    reason = f"{document.version} is not above {former.version}, which is in force"
    return [_error("version", reason)]


def _compare_entries(
    what: str,
    former: Iterable[RouteEntry | ServiceEntry],
    present: Iterable[RouteEntry | ServiceEntry],
) -> Iterator[Difference]:
    old, new = ({entry.name: entry for entry in entries} for entries in (former, present))
    for name in old.keys() - new.keys():
        yield Difference(place=f"{what} {name}", change="removed")
    for name in new.keys() - old.keys():
        yield Difference(place=f"{what} {name}", change="added")
    for name in old.keys() & new.keys():
        names = (field.name for field in fields(new[name]))
        yield from _compare_fields(f"{what} {name}", old[name], new[name], names)


def _compare_fields(
    place: str, old: object, new: object, names: Iterable[str]
) -> Iterator[Difference]:
    values = ((name, getattr(old, name), getattr(new, name)) for name in names)
    changes = [f"{name}: {before} -> {after}" for name, before, after in values if before != after]
    if changes:
        yield Difference(place=place, change=", ".join(changes))
