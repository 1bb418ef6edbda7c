"""Detection of pauses of this process."""

__all__ = ["PauseDetector"]


class PauseDetector:
    """Detects that the process was paused, and whether its membership view is current again.

    Parameters
    ----------
    limit_s : float
        Gap between two ticks above which the process counts as paused. It is also the time after a
        pause at which a process without any acknowledgement assumes that it has no reachable peer
        and resumes work.
    """

    def __init__(self, *, limit_s: float = 1.0):
        self.limit_s = limit_s
        self._last_tick_s: float | None = None
        self._resumed_s: float | None = None

    def observe_tick(self, *, now_s: float) -> bool:
        """Record a tick of the event loop; return whether the process was paused before it."""
        paused = self._last_tick_s is not None and now_s - self._last_tick_s > self.limit_s
        self._last_tick_s = now_s
        if paused:
            self._resumed_s = now_s
        return paused

    def observe_peer_ack(self, *, now_s: float, sent_s: float | None = None) -> None:
        """Record an acknowledgement of a ping that was sent at `sent_s`.

        Acknowledgements of pings from before the pause are ignored: they may have been in the
        socket's buffer during the pause and do not show that the view is current. Without `sent_s`
        the caller guarantees that the ping was sent after the pause.
        """
        if self._resumed_s is not None and (sent_s is None or sent_s >= self._resumed_s):
            self._resumed_s = None

    def may_start_work(self, *, now_s: float, has_live_peers: bool = True) -> bool:
        """Return whether an owner may accept new work."""
        if self._resumed_s is None or not has_live_peers:
            return True
        return now_s - self._resumed_s >= self.limit_s
