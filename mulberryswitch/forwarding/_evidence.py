"""Evidence that a target no longer works, and when it suffices to give up its open flows.

It answers targets that crash or fall silent under load: their callers should try again elsewhere at
once, while the flows of a target that only seems silent must stay. A lost datagram between a caller
and a VM, or on a VM's own full link, looks like a silent target to that one caller or VM. So a
target is given up only if several witnesses agree that share neither caller nor VM, and nobody has
had an answer of the target since.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

__all__ = ["LAPSED_SILENCE_S", "MIN_CALLERS", "TargetEvidence", "Witness"]

# Callers whose openings a target left unanswered, before it is given up. Openings are used because
# a target answers them without a free slot, while a request may wait for long at a live target.
MIN_CALLERS = 2
# VMs that saw them fail.
MIN_VMS = 2
# Failures add up only if they follow each other within this time.
FAILURE_WINDOW_S = 3.0
# Loads of peers are evidence about a request only if received at least this long after it was sent.
PEER_DATA_LAG_S = 0.2
# Silence towards all VMs of the zone after which a target counts as silent to them. The zone's
# loads are up to 0.3 s old, and a busy target answers some VM several times in the remaining time.
ZONE_SILENCE_S = 0.6
# A request of a target without a record may still be at work for this long.
LAPSED_SILENCE_S = 2.5
# A record lapses some seconds after its target has ended. Witnesses that agreed longer before that
# speak of something else.
GIVEN_UP_MEMORY_S = 10.0
MAX_WITNESSES = 16


class Witness(NamedTuple):
    """A VM that saw an opening of `caller` fail at a target and succeed at the next one."""

    vm: str
    caller: int


@dataclass(kw_only=True, slots=True)
class TargetEvidence:
    """What speaks for and against one target.

    Attributes
    ----------
    answered_s : float
        When a caller of this VM last acknowledged data from the target.
    peer_answered_s : float
        The same for the other VMs, according to their last loads.
    given_up_s : float
        When the witnesses agreed, or a request stayed without an answer although the target has no
        record; stands until an answer.
    """

    answered_s: float = float("-inf")
    peer_answered_s: float = float("-inf")
    given_up_s: float = float("-inf")
    _failures: dict[Witness, float] = field(default_factory=dict)

    @property
    def last_answer_s(self) -> float:
        """When the target last answered any VM, as far as this VM knows."""
        return max(self.answered_s, self.peer_answered_s)

    def observe_answer(self, now_s: float) -> None:
        """Record an answer to a caller of this VM, which contradicts all witnesses."""
        self.answered_s = now_s
        self._failures.clear()

    def observe_peer_answer(self, answered_s: float) -> None:
        """Record an answer to a peer, which contradicts the earlier witnesses."""
        self.peer_answered_s = max(self.peer_answered_s, answered_s)
        self._failures = {w: s for w, s in self._failures.items() if s >= answered_s}

    def observe_failures(self, witnesses: Iterable[Witness], now_s: float) -> None:
        """Record openings that the target left unanswered and another target answered.

        Several openings of one caller through one VM are one witness.
        """
        self._failures = {
            w: s for w, s in self._failures.items() if now_s - s <= FAILURE_WINDOW_S
        } | dict.fromkeys(witnesses, now_s)
        while len(self._failures) > MAX_WITNESSES:
            del self._failures[next(iter(self._failures))]
        if self.do_witnesses_agree(now_s):
            self.given_up_s = now_s

    def list_witnesses(self, now_s: float) -> tuple[Witness, ...]:
        """Return the witnesses of the last failures."""
        return tuple(w for w, s in self._failures.items() if now_s - s <= FAILURE_WINDOW_S)

    def do_witnesses_agree(self, now_s: float) -> bool:
        """Return whether enough callers met failures, at enough VMs, since the last answer."""
        vms = {witness.vm for witness in self.list_witnesses(now_s)}
        return self._are_callers_enough(now_s) and len(vms) >= MIN_VMS

    def _are_callers_enough(self, now_s: float) -> bool:
        callers = {witness.caller for witness in self.list_witnesses(now_s)}
        return len(callers) >= MIN_CALLERS

    def is_request_lost(self, *, since_s: float, peers_heard_s: float, now_s: float) -> bool:
        """Return whether a request sent at `since_s` will not be answered.

        Parameters
        ----------
        since_s, now_s : float
        peers_heard_s : float
            When this VM last received the loads of its peers; infinite without peers. A VM with a
            full link loses packets to live targets, and only its peers' answers show that they
            live.
        """
        has_peers = peers_heard_s != float("inf")
        do_agree = self.do_witnesses_agree if has_peers else self._are_callers_enough
        if self.last_answer_s >= since_s or not do_agree(now_s):
            return False
        is_heard = peers_heard_s >= since_s + PEER_DATA_LAG_S
        return is_heard and peers_heard_s - self.peer_answered_s >= ZONE_SILENCE_S

    def is_gone_without_record(self, *, since_s: float, departed_s: float, now_s: float) -> bool:
        """Return whether a target whose record lapsed at `departed_s` has ended.

        A target that only cannot reach the store loses its record too, so a missing record is
        followed by a check of the target itself: a request to it, sent at `since_s`. Silence before
        that request is none, since there may have been nothing to answer.
        """
        if self.given_up_s > max(self.last_answer_s, departed_s - GIVEN_UP_MEMORY_S):
            return True
        # An acknowledgement that came with the request belongs to an earlier one.
        if self.last_answer_s > since_s or now_s - since_s <= LAPSED_SILENCE_S:
            return False
        self.given_up_s = now_s
        return True
