"""Actions that the dispatcher and the pending table return for the daemon to carry out."""

from dataclasses import dataclass, field

from mulberryswitch.contracts import Done, Forward, Reply, TargetRequest

__all__ = [
    "Action",
    "CancelAtTarget",
    "NotifyEntryVM",
    "ForwardAgain",
    "ReplyToCaller",
    "SendToTarget",
]


@dataclass(frozen=True, slots=True)
class SendToTarget:
    """Send `frame` on the link to `target`; the request waited `wait_s` seconds for a slot."""

    target: str
    dispatch_id: int
    frame: TargetRequest
    wait_s: float = field(default=0.0, compare=False)


@dataclass(frozen=True, slots=True)
class CancelAtTarget:
    """Cancel a run on the link to `target`; must be sent before any later ``SendToTarget``."""

    target: str
    dispatch_id: int


@dataclass(frozen=True, slots=True)
class ReplyToCaller:
    """Send `reply` to the caller through the fabric."""

    reply: Reply


@dataclass(frozen=True, slots=True)
class NotifyEntryVM:
    """Report the outcome of an attempt to the entry VM that forwarded it."""

    entry_vm: str
    done: Done


@dataclass(frozen=True, slots=True)
class ForwardAgain:
    """Forward the request again, to its dispatcher in the current view."""

    forward: Forward


Action = SendToTarget | CancelAtTarget | ReplyToCaller | NotifyEntryVM | ForwardAgain
