"""Actions that the request decisions return to their caller."""

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
    """Send `frame` on the link of `target`; it waited `wait_s` seconds for a slot."""

    target: str
    dispatch_id: int
    frame: TargetRequest
    wait_s: float = field(default=0.0, compare=False)


@dataclass(frozen=True, slots=True)
class CancelAtTarget:
    """Send a cancellation on the link of `target`, before any later ``SendToTarget``."""

    target: str
    dispatch_id: int


@dataclass(frozen=True, slots=True)
class ReplyToCaller:
    """Send `reply` to the caller through the fabric."""

    reply: Reply


@dataclass(frozen=True, slots=True)
class NotifyEntryVM:
    """Tell `entry_vm` the outcome of an attempt that it forwarded."""

    entry_vm: str
    done: Done


@dataclass(frozen=True, slots=True)
class ForwardAgain:
    """Forward to the dispatcher in the current view."""

    forward: Forward


Action = SendToTarget | CancelAtTarget | ReplyToCaller | NotifyEntryVM | ForwardAgain
