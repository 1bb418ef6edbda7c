"""Messages by which one VM replicates its state of a flow shard to others."""

from collections.abc import Iterable

from mulberryswitch.contracts import Pin, ShardRole

from ._roles import Outgoing
from ._shard import FlowShard
from ._streams import Replica, StateStream

__all__ = ["StateSender"]

# A VM that takes over can exceed a connection limit only by the flows opened within this interval.
COUNTS_INTERVAL_S = 1.0


class StateSender:
    """Streams of one shard to other VMs, with one order of sequence numbers over all of them.

    Parameters
    ----------
    flows : FlowShard
        Flow table of the shard.

    Attributes
    ----------
    streams : dict of str to StateStream
        Streams to the standbys, or to the successor, by VM.
    """

    def __init__(self, *, flows: FlowShard):
        self.flows = flows
        self.streams: dict[str, StateStream] = {}
        # Highest sequence number of all streams. A new stream continues from it, since its receiver
        # would otherwise take the messages for duplicates.
        self._sequence = 0
        self._sent_counts: tuple[int, ...] = ()
        self._counts_sent_s = 0.0

    @property
    def is_settled(self) -> bool:
        """Whether all receivers have acknowledged everything."""
        return all(stream.is_settled for stream in self.streams.values())

    def schedule_snapshots(self) -> None:
        """Send a snapshot on each stream with the next changes."""
        for stream in self.streams.values():
            stream.needs_snapshot = True

    def send_snapshot(self, stream: StateStream, now_s: float) -> list[Outgoing]:
        """Restart a stream with the flow table."""
        base = () if stream.all_flows else self.flows.replicated_base
        return self._restart(
            stream,
            base=base,
            pins=self.flows.list_pins(all_flows=stream.all_flows),
            counts=tuple(map(self.flows.count_at, base)),
            now_s=now_s,
        )

    def send_copy(self, vm: str, replicas: Iterable[Replica], now_s: float) -> list[Outgoing]:
        """Send what this VM holds of a shard that it does not serve, once."""
        usable = sorted(
            (replica for replica in replicas if replica.is_usable),
            key=lambda replica: replica.updated_s,
        )
        # The newest replica may come from the requesting VM itself, so the pins of all are sent.
        pins = {flow: target for replica in usable for flow, target in replica.pins.items()}
        newest = usable[-1] if usable else Replica()
        return self._restart(
            StateStream(vm=vm, role=ShardRole.COPY),
            base=newest.base,
            pins=[Pin(flow=flow, target=target) for flow, target in pins.items()],
            counts=tuple(newest.counts.get(name, 0) for name in newest.base),
            now_s=now_s,
        )

    def _restart(
        self,
        stream: StateStream,
        *,
        base: tuple[str, ...],
        pins: list[Pin],
        counts: tuple[int, ...],
        now_s: float,
    ) -> list[Outgoing]:
        states = stream.restart(
            service=self.flows.service,
            shard=self.flows.shard,
            base=base,
            pins=pins,
            counts=counts,
            after=self._sequence,
            now_s=now_s,
        )
        self._sequence = max(self._sequence, stream.sequence)
        return [Outgoing(vm=stream.vm, message=state) for state in states]

    def send_due_changes(self, now_s: float, *, include_recent: bool) -> list[Outgoing]:
        """Send the changes and retransmissions that are due, on all streams.

        With `include_recent`, the flows that have just been opened are sent too.
        """
        pins, closed = self.flows.take_changes(now_s=now_s, include_recent=include_recent)
        counts = tuple(map(self.flows.count_at, self.flows.replicated_base))
        are_counts_due = (
            now_s - self._counts_sent_s >= COUNTS_INTERVAL_S and counts != self._sent_counts
        )
        is_due = bool(pins or closed or are_counts_due)
        if is_due:
            self._sent_counts, self._counts_sent_s = counts, now_s
        outgoing: list[Outgoing] = []
        for stream in self.streams.values():
            if stream.needs_snapshot:
                outgoing += self.send_snapshot(stream, now_s)
                continue
            states = stream.take_retransmissions(now_s=now_s)
            if is_due:
                states += stream.append_changes(
                    service=self.flows.service,
                    shard=self.flows.shard,
                    pins=pins,
                    closed=closed,
                    counts=counts,
                    now_s=now_s,
                )
                self._sequence = max(self._sequence, stream.sequence)
            outgoing += [Outgoing(vm=stream.vm, message=state) for state in states]
        return outgoing
