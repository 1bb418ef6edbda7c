"""Detection of peers that stop responding while they hold forwarded requests."""

__all__ = ["SilenceDetector"]

PING_AFTER_S = 0.2
PING_INTERVAL_S = 0.2
SILENT_AFTER_S = 0.3


class SilenceDetector:
    """Decides which peers to ping and which count as silent.

    Membership declares a paused VM dead only after about 3 s. Requests forwarded to it until then
    may still run after it resumes, so they end with an unknown outcome. Therefore a peer that
    responds to neither a message nor a ping within 0.5 s receives no further requests. A false
    positive only delays a request.
    """

    def __init__(self):
        self._unanswered_since_s: dict[str, float] = {}
        self._first_ping_s: dict[str, float] = {}
        self._last_ping_s: dict[str, float] = {}

    def observe_sent(self, *, vm: str, now_s: float) -> None:
        """Record that a message was sent to `vm` to which it should respond."""
        self._unanswered_since_s.setdefault(vm, now_s)

    def observe_received(self, *, vm: str) -> None:
        """Stop tracking `vm`: a message arrived from it, or it is no longer a member."""
        if self._unanswered_since_s.pop(vm, None) is not None:
            self._first_ping_s.pop(vm, None)
            self._last_ping_s.pop(vm, None)

    def apply_resume(self) -> None:
        """Discard all state after a pause of this process."""
        for state in (self._unanswered_since_s, self._first_ping_s, self._last_ping_s):
            state.clear()

    def decide_pings(self, *, now_s: float) -> list[str]:
        """Return the peers to ping now and record the pings as sent."""
        due = [
            vm
            for vm, sent_s in self._unanswered_since_s.items()
            if now_s - sent_s >= PING_AFTER_S
            and now_s - self._last_ping_s.get(vm, float("-inf")) >= PING_INTERVAL_S
        ]
        for vm in due:
            self._last_ping_s[vm] = now_s
            self._first_ping_s.setdefault(vm, now_s)
        return due

    def is_silent(self, *, vm: str, now_s: float) -> bool:
        """Return whether `vm` has not responded since a ping at least `SILENT_AFTER_S` ago."""
        first_ping_s = self._first_ping_s.get(vm)
        return first_ping_s is not None and now_s - first_ping_s >= SILENT_AFTER_S
