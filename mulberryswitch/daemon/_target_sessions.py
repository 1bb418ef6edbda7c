"""Which target links a VM keeps, and frames that wait for a link to open."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from mulberryswitch.contracts import Target
from mulberryswitch.links import AttachTarget, DetachTarget, SendTargetFrame

__all__ = ["TargetSessions"]

MAX_WAITING_FRAMES = 256
# A restarted target process listens again within this time.
LOST_AFTER_S = 3.0
# New flows avoid a target whose link has been down for this long.
UNREACHABLE_AFTER_S = 0.5


@dataclass(kw_only=True, slots=True)
class _Session:
    target: Target
    is_up: bool = False
    is_refused: bool = False
    down_since_s: float = 0.0
    lost_told: bool = False
    waiting: list[Any] = field(default_factory=list)


class TargetSessions:
    """State of the links to targets.

    Parameters
    ----------
    emit : callable
        Takes effects for the links.
    """

    def __init__(self, *, emit: Callable[[Any], None]):
        self.emit = emit
        self._sessions: dict[str, _Session] = {}

    def apply_attach(self, target: Target, now_s: float) -> None:
        """Keep a link to `target`; a changed address replaces the link."""
        known = self._sessions.get(target.name)
        if known is not None and known.target.address == target.address:
            known.target = target
            return
        if known is not None:
            self.apply_detach(target.name)
        self._sessions[target.name] = _Session(target=target, down_since_s=now_s)
        self.emit(AttachTarget(target=target))

    def apply_detach(self, name: str) -> None:
        """Give up the link to a target."""
        if self._sessions.pop(name, None) is not None:
            self.emit(DetachTarget(target=name))

    def observe_up(self, name: str) -> bool:
        """Record that the link is open and send what waited for it; False if it is unknown."""
        session = self._sessions.get(name)
        if session is None:
            return False
        session.is_up, session.is_refused, session.lost_told = True, False, False
        waiting, session.waiting = session.waiting, []
        for frame in waiting:
            self.emit(SendTargetFrame(target=name, frame=frame))
        return True

    def observe_lost(self, name: str, now_s: float) -> bool:
        """Record that the link broke; False if it is unknown."""
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

    def take_waiting(self, name: str) -> list[Any]:
        """Return and forget the frames that wait for the link to a target."""
        session = self._sessions[name]
        waiting, session.waiting = session.waiting, []
        return waiting

    def is_up(self, name: str) -> bool:
        """Return whether the link to the target is open."""
        session = self._sessions.get(name)
        return session is not None and session.is_up

    def names(self) -> tuple[str, ...]:
        """Return the targets with a session."""
        return tuple(self._sessions)

    def apply_send(self, name: str, frame: Any) -> bool:
        """Send `frame`, or let it wait for the link; False when neither is possible."""
        session = self._sessions.get(name)
        if session is None:
            return False
        if session.is_up:
            self.emit(SendTargetFrame(target=name, frame=frame))
            return True
        if len(session.waiting) >= MAX_WAITING_FRAMES:
            return False
        session.waiting.append(frame)
        return True

    def decide_lost(self, now_s: float) -> list[str]:
        """Return targets whose process is gone, each once per outage.

        A target that does not answer at all may be reachable from other VMs, so its flows stay.
        """
        lost = [
            session
            for session in self._sessions.values()
            if not session.is_up
            and session.is_refused
            and not session.lost_told
            and now_s - session.down_since_s >= LOST_AFTER_S
        ]
        for session in lost:
            session.lost_told = True
            session.waiting.clear()
        return [session.target.name for session in lost]
