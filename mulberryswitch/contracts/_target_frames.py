"""Frames between an owner VM and a target, msgpack over TCP."""

from dataclasses import dataclass

from ._codec import Codec

__all__ = [
    "MAX_TARGET_FRAME_BYTES",
    "TARGET_CODEC",
    "AnswerPiece",
    "Attach",
    "Attached",
    "FlowClosed",
    "FlowData",
    "FlowOpened",
    "LoadReport",
    "Shed",
    "TargetCancel",
    "TargetClose",
    "TargetData",
    "TargetOpen",
    "TargetRequest",
]

MAX_TARGET_FRAME_BYTES = 64 * 1024


@dataclass(frozen=True, kw_only=True, slots=True)
class Attach:
    """First frame of a link; a target of another service closes the link."""

    service: str
    vm: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Attached:
    """The target's answer to ``Attach``."""

    service: str
    target: str


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetRequest:
    """Run a request; `dispatch_id` is unique on the link and repeated in every answer piece."""

    dispatch_id: int
    flow: bytes
    request_id: int
    attempt: int
    deadline_ms: int
    idempotent: bool
    trace: str
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetCancel:
    """Stop a running request and free its slot."""

    dispatch_id: int


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetOpen:
    """Open a long flow; idempotent for a flow that is already open."""

    flow: bytes
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetData:
    """Payload of an open flow."""

    flow: bytes
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetClose:
    """Close an open flow."""

    flow: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerPiece:
    """Part `index` of the answer to a dispatched request."""

    dispatch_id: int
    index: int
    last: bool
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class Shed:
    """The target has not run the request and will not run it."""

    dispatch_id: int


@dataclass(frozen=True, kw_only=True, slots=True)
class FlowOpened:
    """A flow is open at the target."""

    flow: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class FlowData:
    """Payload of an open flow towards its caller."""

    flow: bytes
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class FlowClosed:
    """A flow is not, or no longer, open at the target; `code` is 0 for a requested close."""

    flow: bytes
    code: int


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """Load and health as reported by the target; the values may be outdated or wrong."""

    running: int
    healthy: bool
    draining: bool


TARGET_CODEC = Codec(
    message_types={
        1: Attach,
        2: Attached,
        3: TargetRequest,
        4: TargetCancel,
        5: TargetOpen,
        6: TargetData,
        7: TargetClose,
        8: AnswerPiece,
        9: Shed,
        10: FlowOpened,
        11: FlowData,
        12: FlowClosed,
        13: LoadReport,
    },
    max_bytes=MAX_TARGET_FRAME_BYTES,
)
