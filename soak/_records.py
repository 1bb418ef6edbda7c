"""What callers, targets and the supervisor of the VMs saw during a run."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from ._wire import FlowId

__all__ = ["Answer", "Context", "Opening", "Outcome", "Records", "Reset", "Run", "Subject"]


class Subject(Enum):
    """What a disturbance hits apart from a VM or a target of its own."""

    STORE = "store"


class Outcome(Enum):
    """How a caller's request ended after its retries."""

    ANSWERED = "answered"
    NOT_OPENED = "not opened"
    REFUSED = "refused"
    RESET = "reset"
    TIMEOUT = "timeout"


@dataclass(frozen=True, kw_only=True, slots=True)
class Opening:
    """A target took the packet that opens a flow, as VM `vm` sent it."""

    at_s: float
    sent_s: float
    flow: FlowId
    target: str
    service: str
    vm: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """A target began to work on a request."""

    at_s: float
    request: str
    flow: FlowId
    target: str
    service: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Reset:
    """A caller got a reset that VM `vm` wrote; `target` is empty unless the flow was open."""

    at_s: float
    flow: FlowId
    opened_s: float
    target: str
    vm: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """The end of a request, its retries included."""

    asked_s: float
    ended_s: float
    request: str
    outcome: Outcome


@dataclass(kw_only=True)
class Records:
    """All records of a run.

    Attributes
    ----------
    allowed : dict
        Services that any version ever gave a route, by its port.
    added_s, removed_s : dict
        When the store acknowledged the version that added or removed a route, by its port.
    draining_s : dict
        When the store acknowledged that a target leaves.
    disturbed : dict
        Spans of trouble in seconds, by VM, target or ``Subject``.
    boots : dict
        Starts of each VM, in seconds.
    faults_end_s : float
        When the last fault was over.
    violations : list of str
        What was wrong at first sight: bytes that changed on the way, processes that ended.
    """

    openings: list[Opening] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    resets: list[Reset] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)
    non_idempotent: set[str] = field(default_factory=set)
    allowed: dict[int, set[str]] = field(default_factory=lambda: defaultdict(set))
    added_s: dict[int, float] = field(default_factory=dict)
    removed_s: dict[int, float] = field(default_factory=dict)
    draining_s: dict[str, float] = field(default_factory=dict)
    disturbed: dict[str | Subject, list[tuple[float, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    boots: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    faults_end_s: float = 0.0
    violations: list[str] = field(default_factory=list)

    def is_calm(self, subject: str | Subject, since_s: float, until_s: float) -> bool:
        """Return whether `subject` had no trouble in a span of time."""
        return not any(
            start_s <= until_s and end_s >= since_s for start_s, end_s in self.disturbed[subject]
        )


@dataclass(frozen=True, kw_only=True)
class Context:
    """What all stand-ins of a run share.

    Attributes
    ----------
    records : Records
    clock : callable
        Returns seconds since the start of the run.
    vm_by_host : dict
        VM names by their addresses.
    sent_at : dict
        When the caller first sent the opening of a flow.
    """

    records: Records
    clock: Callable[[], float]
    vm_by_host: dict[str, str]
    sent_at: dict[FlowId, float] = field(default_factory=dict)
