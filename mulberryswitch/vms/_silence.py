"""Detection of peers that stopped answering while they hold forwarded requests."""

__all__ = ["SilenceDetector"]

ASK_AFTER_S = 0.2
ASK_PERIOD_S = 0.2
SILENT_AFTER_S = 0.3


class SilenceDetector:
    """Tell which peers to ping now, and which are silent.

    A paused VM is declared dead after about 3 s. Requests that are forwarded to it until then may
    run when it wakes, so they end as unknown. A peer that answers neither a message nor a ping
    within 0.5 s gets no further request; wrong silence delays a request and nothing more.
    """

    def __init__(self):
        self._unanswered_s: dict[str, float] = {}
        self._first_ask_s: dict[str, float] = {}
        self._last_ask_s: dict[str, float] = {}

    def observe_sent(self, *, vm: str, now_s: float) -> None:
        """A message that `vm` will answer was sent to it."""
        self._unanswered_s.setdefault(vm, now_s)

    def observe_received(self, *, vm: str) -> None:
        """Anything arrived from `vm`, or it is no member any longer."""
        if self._unanswered_s.pop(vm, None) is not None:
            self._first_ask_s.pop(vm, None)
            self._last_ask_s.pop(vm, None)

    def apply_resume(self) -> None:
        """Forget all times after a pause of this process."""
        for state in (self._unanswered_s, self._first_ask_s, self._last_ask_s):
            state.clear()

    def decide_pings(self, *, now_s: float) -> list[str]:
        """Return the peers to ping now."""
        due = [
            vm
            for vm, sent_s in self._unanswered_s.items()
            if now_s - sent_s >= ASK_AFTER_S
            and now_s - self._last_ask_s.get(vm, float("-inf")) >= ASK_PERIOD_S
        ]
        for vm in due:
            self._last_ask_s[vm] = now_s
            self._first_ask_s.setdefault(vm, now_s)
        return due

    def is_silent(self, *, vm: str, now_s: float) -> bool:
        """Return whether `vm` has left a ping without an answer for too long."""
        asked_s = self._first_ask_s.get(vm)
        return asked_s is not None and now_s - asked_s >= SILENT_AFTER_S
