"""Detection of a paused process."""

__all__ = ["PauseDetector"]


class PauseDetector:
    """Tell whether the process was paused and whether its view may be trusted again.

    Parameters
    ----------
    limit_s : float
        Gap between two ticks that counts as a pause, and the time after which a paused process
        that no peer answers is taken to be alone and goes on.
    """

    def __init__(self, *, limit_s: float = 1.0):
        self.limit_s = limit_s
        self._last_tick_s: float | None = None
        self._resumed_s: float | None = None

    def observe_tick(self, *, now_s: float) -> bool:
        """Take in a tick of the loop; return True when the loop was paused before it."""
        paused = self._last_tick_s is not None and now_s - self._last_tick_s > self.limit_s
        self._last_tick_s = now_s
        if paused:
            self._resumed_s = now_s
        return paused

    def observe_peer_ack(self, *, now_s: float, sent_s: float | None = None) -> None:
        """Take in an acknowledgement of a ping that was sent at `sent_s`.

        An acknowledgement that waited in the socket's buffer during the pause says nothing about
        the present, so one of a ping from before the pause is ignored. Without `sent_s` the
        caller vouches that the ping was sent after the pause.
        """
        if self._resumed_s is not None and (sent_s is None or sent_s >= self._resumed_s):
            self._resumed_s = None

    def may_start_work(self, *, now_s: float, has_live_peers: bool = True) -> bool:
        """Return whether an owner may take new work."""
        if self._resumed_s is None or not has_live_peers:
            return True
        return now_s - self._resumed_s >= self.limit_s
