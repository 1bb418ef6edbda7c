"""Pacing of bulk transfers to a share of a VM's link.

It answers a fleet that pulls a large configuration at once: callers' packets and heartbeats share
the link of the VM that serves the pulls, and a full link drops them.
"""

__all__ = ["TransferPacer"]

# Share of the link for bulk transfers; the rest is left to callers' packets and heartbeats.
LINK_SHARE = 0.5
# Sent without a wait, so that small transfers are not delayed.
BURST_BYTES = 32_768


class TransferPacer:
    """Token bucket that tells how long to wait before a transfer.

    Parameters
    ----------
    link_bytes_per_s : float
        Capacity of the link; infinite if it is not known.
    """

    def __init__(self, *, link_bytes_per_s: float):
        self.rate_bytes_per_s = LINK_SHARE * link_bytes_per_s
        self._free_s = float("-inf")

    def reserve(self, size_bytes: int, now_s: float) -> float:
        """Reserve `size_bytes` of the link; return the wait in seconds before they may be sent."""
        burst_s = BURST_BYTES / self.rate_bytes_per_s
        start_s = max(self._free_s, now_s - burst_s)
        self._free_s = start_s + size_bytes / self.rate_bytes_per_s
        return max(0.0, self._free_s - now_s)
