"""Observations of the callers, the targets and the process supervision during a run."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from ._wire import FlowId

__all__ = [
    "Context",
    "Evacuation",
    "Opening",
    "Outcome",
    "Records",
    "RequestResult",
    "Reset",
    "Run",
    "Subject",
]


class Subject(Enum):
    """Subject of a disturbance other than a single VM or target."""

    STORE = "store"


class Outcome(Enum):
    """Final outcome of a caller's request."""

    ANSWERED = "answered"
    NOT_OPENED = "not opened"
    REFUSED = "refused"
    RESET = "reset"
    TIMEOUT = "timeout"


@dataclass(frozen=True, kw_only=True, slots=True)
class Opening:
    """A target received the opening of a flow, sent by VM `vm`.

    Attributes
    ----------
    at_s, sent_s : float
        When the target received the opening and when the caller first sent it.
    """

    at_s: float
    sent_s: float
    flow: FlowId
    target: str
    service: str
    vm: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """A target started to run a request."""

    at_s: float
    request_id: str
    flow: FlowId
    target: str
    service: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Reset:
    """A caller received a reset from VM `vm`; `target` is empty unless the flow was open."""

    at_s: float
    flow: FlowId
    opened_s: float
    target: str
    vm: str


@dataclass(kw_only=True, slots=True)
class Evacuation:
    """Time in which the targets of a zone had to get no new flows, in seconds."""

    zone: str
    start_s: float
    end_s: float = float("inf")


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestResult:
    """Outcome of a request after its retries."""

    started_s: float
    ended_s: float
    request_id: str
    outcome: Outcome


@dataclass(kw_only=True)
class Records:
    """All records of a run.

    Attributes
    ----------
    allowed_services : dict
        Services that any version assigned to a route, by route port.
    route_added_s, route_removed_s : dict
        When the store acknowledged the version that added or removed a route, by route port.
    drain_started_s : dict
        When the store acknowledged the draining state of a target.
    disturbances : dict
        Start and end of each disturbance in seconds, by VM, target or ``Subject``.
    vm_starts_s : dict
        Process starts of each VM, in seconds.
    faults_end_s : float
        End of the last fault.
    violations : list of str
        Errors that are recorded as they occur, such as a modified packet or an unexpected exit.
    """

    openings: list[Opening] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    resets: list[Reset] = field(default_factory=list)
    results: list[RequestResult] = field(default_factory=list)
    non_idempotent: set[str] = field(default_factory=set)
    allowed_services: dict[int, set[str]] = field(default_factory=lambda: defaultdict(set))
    route_added_s: dict[int, float] = field(default_factory=dict)
    route_removed_s: dict[int, float] = field(default_factory=dict)
    drain_started_s: dict[str, float] = field(default_factory=dict)
    target_zones: dict[str, str] = field(default_factory=dict)
    evacuations: list[Evacuation] = field(default_factory=list)
    disturbances: dict[str | Subject, list[tuple[float, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    vm_starts_s: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    faults_end_s: float = 0.0
    violations: list[str] = field(default_factory=list)

    def is_undisturbed(self, subject: str | Subject, since_s: float, until_s: float) -> bool:
        """Return whether `subject` had no disturbance in the given interval."""
        return not any(
            start_s <= until_s and end_s >= since_s for start_s, end_s in self.disturbances[subject]
        )


@dataclass(frozen=True, kw_only=True)
class Context:
    """State shared by all parts of a run.

    Attributes
    ----------
    records : Records
    clock : callable
        Returns seconds since the start of the run.
    vm_by_host : dict
        VM names by host address.
    target_by_address : dict
        Name of the target that runs at an address, or ran there last.
    opening_sent_s : dict
        When the caller first sent the opening of each flow.
    """

    records: Records
    clock: Callable[[], float]
    vm_by_host: dict[str, str]
    target_by_address: dict[tuple[str, int], str] = field(default_factory=dict)
    opening_sent_s: dict[FlowId, float] = field(default_factory=dict)
