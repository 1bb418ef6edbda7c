"""Links of a VM to targets, and the frames queued until a link opens."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from mulberryswitch.contracts import Target
from mulberryswitch.links import AttachTarget, DetachTarget, SendTargetFrame

__all__ = ["TargetSessions"]

MAX_QUEUED_FRAMES = 256
# A restarted target process listens again within this time, so a refused target counts as lost only
# after it.
LOST_AFTER_S = 3.0
# New flows avoid a target whose link has been down for at least this long.
UNREACHABLE_AFTER_S = 0.5


@dataclass(kw_only=True, slots=True)
class _Session:
    target: Target
    is_up: bool = False
    is_refused: bool = False
    down_since_s: float = 0.0
    is_loss_reported: bool = False
    queued: list[Any] = field(default_factory=list)


class TargetSessions:
    """State of the links of this VM to targets.

    Parameters
    ----------
    emit : callable
        Takes effects for the links.
    """

    def __init__(self, *, emit: Callable[[Any], None]):
        self.emit = emit
        self._sessions: dict[str, _Session] = {}

    def attach(self, target: Target, now_s: float) -> None:
        """Open a link to `target` unless there is one; a changed address replaces the link."""
        existing = self._sessions.get(target.name)
        if existing is not None and existing.target.address == target.address:
            existing.target = target
            return
        if existing is not None:
            self.detach(target.name)
        self._sessions[target.name] = _Session(target=target, down_since_s=now_s)
        self.emit(AttachTarget(target=target))

    def detach(self, name: str) -> None:
        """Close the link to a target."""
        if self._sessions.pop(name, None) is not None:
            self.emit(DetachTarget(target=name))

    def observe_up(self, name: str) -> bool:
        """Record that the link is open and send its queued frames; False without a session."""
        session = self._sessions.get(name)
        if session is None:
            return False
        session.is_up, session.is_refused, session.is_loss_reported = True, False, False
        queued, session.queued = session.queued, []
        for frame in queued:
            self.emit(SendTargetFrame(target=name, frame=frame))
        return True

    def observe_lost(self, name: str, now_s: float) -> bool:
        """Record that the link was lost; False without a session."""
        session = self._sessions.get(name)
        if session is None:
            return False
        session.is_up, session.down_since_s = False, now_s
        return True

    def observe_refused(self, name: str) -> None:
        """Record that no process listens on the target's port."""
        session = self._sessions.get(name)
        if session is not None:
            session.is_refused = True

    def list_unreachable(self, now_s: float) -> frozenset[str]:
        """Return the targets that new flows should avoid."""
        return frozenset(
            name
            for name, session in self._sessions.items()
            if not session.is_up and now_s - session.down_since_s >= UNREACHABLE_AFTER_S
        )

    def take_queued_frames(self, name: str) -> list[Any]:
        """Remove and return the frames queued for the link to a target."""
        session = self._sessions[name]
        queued, session.queued = session.queued, []
        return queued

    def is_up(self, name: str) -> bool:
        """Return whether the link to the target is open."""
        session = self._sessions.get(name)
        return session is not None and session.is_up

    def list_names(self) -> tuple[str, ...]:
        """Return the names of the targets with a session."""
        return tuple(self._sessions)

    def send_or_queue(self, name: str, frame: Any) -> bool:
        """Send `frame`, or queue it until the link opens.

        Returns False without a session and when the queue is full.
        """
        session = self._sessions.get(name)
        if session is None:
            return False
        if session.is_up:
            self.emit(SendTargetFrame(target=name, frame=frame))
            return True
        if len(session.queued) >= MAX_QUEUED_FRAMES:
            return False
        session.queued.append(frame)
        return True

    def take_lost(self, now_s: float) -> list[str]:
        """Return the targets whose process no longer runs, each once per outage.

        Only a refused connection shows that. A target that does not answer at all may be reachable
        from other VMs, so its flows stay open.
        """
        lost = [
            session
            for session in self._sessions.values()
            if not session.is_up
            and session.is_refused
            and not session.is_loss_reported
            and now_s - session.down_since_s >= LOST_AFTER_S
        ]
        for session in lost:
            session.is_loss_reported = True
            session.queued.clear()
        return [session.target.name for session in lost]
