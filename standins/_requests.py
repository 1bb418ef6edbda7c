"""Requests of the caller stand-in: attempts, retry policy and check of the answer."""

import random
from collections import defaultdict
from dataclasses import dataclass
from enum import StrEnum

import msgpack

from mulberryswitch.contracts import Packet, PacketKind, Reply, ReplyKind

from ._answers import is_whole_answer

__all__ = ["Outcome", "Request", "RequestPlan", "RetryPolicy"]

RESULT_GRACE_S = 1.0  # a result that is told at the deadline still has to arrive


class Outcome(StrEnum):
    """Final result of a request as its caller sees it."""

    ANSWERED = "answered"
    REFUSED_NOT_RUN = "refused_not_run"
    UNKNOWN = "unknown"
    LOST = "lost"
    WRONG_ANSWER = "wrong_answer"


@dataclass(frozen=True, kw_only=True, slots=True)
class RetryPolicy:
    """Bounds of a request; times in seconds."""

    max_attempts: int
    attempt_timeout_s: float
    deadline_s: float = 3.0
    backoff_s: float = 0.05


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestPlan:
    """What a request asks for."""

    flow: bytes
    request_id: int
    service: str
    address: str
    idempotent: bool
    work_ms: int
    answer_bytes: int


class Request:
    """State of one request.

    Parameters
    ----------
    plan : RequestPlan
        What is asked for.
    policy : RetryPolicy
        Bounds.
    rng : random.Random
        Source of the backoff jitter.
    """

    def __init__(self, *, plan: RequestPlan, policy: RetryPolicy, rng: random.Random):
        self.plan = plan
        self.outcome: Outcome | None = None
        self.codes: list[int] = []
        self.attempt = 0
        self.next_s = 0.0
        self._sent_s = 0.0
        self._policy = policy
        self._rng = rng
        self._receipt = b""
        self._waiting = False
        self._may_have_run = False
        self._last_result = Outcome.LOST
        self._pieces: dict[int, dict[int, bytes]] = defaultdict(dict)
        self._last_index: dict[int, int] = {}

    def decide_packet(self, now_s: float, wall_s: float) -> Packet | None:
        """Return the next attempt when it is due; set the outcome when none is left."""
        if self.outcome or now_s < self.next_s:
            return None
        if self._waiting:
            self._receipt = b""
            self._may_have_run = True
        if self.attempt >= self._policy.max_attempts:
            self._conclude(now_s)
            return None
        self.attempt += 1
        self._sent_s = now_s
        self._waiting = True
        self.next_s = now_s + self._policy.attempt_timeout_s
        return self._build_packet(wall_s)

    def _conclude(self, now_s: float) -> None:
        """Set the outcome unless the last attempt may still get a result.

        The result of an earlier attempt does not cover the last one, which may be running.
        """
        latest_s = self._sent_s + self._policy.deadline_s + RESULT_GRACE_S
        if self._waiting and now_s < latest_s:
            self.next_s = latest_s
        else:
            self.apply_end()

    def _build_packet(self, wall_s: float) -> Packet:
        plan = self.plan
        job = {
            "work_ms": plan.work_ms,
            "answer_bytes": plan.answer_bytes,
            "service": plan.service,
        }
        return Packet(
            kind=PacketKind.REQUEST,
            flow=plan.flow,
            address=plan.address,
            request_id=plan.request_id,
            attempt=self.attempt,
            deadline_ms=int((wall_s + self._policy.deadline_s) * 1000),
            idempotent=plan.idempotent,
            receipt=self._receipt,
            body=msgpack.packb(job),
        )

    def observe_reply(self, reply: Reply, now_s: float) -> None:
        """Take in a reply to any attempt; replies after the outcome change nothing."""
        if self.outcome:
            return
        if reply.kind == ReplyKind.ANSWER:
            self._observe_piece(reply)
        elif reply.kind == ReplyKind.REFUSED:
            self.codes.append(reply.code)
            self._observe_refusal(reply, now_s)
        elif reply.kind == ReplyKind.UNKNOWN:
            self.codes.append(reply.code)
            self._observe_unknown(reply, now_s)

    def _observe_piece(self, reply: Reply) -> None:
        # Pieces are joined per attempt: two runs of an idempotent request are two answers.
        pieces = self._pieces[reply.attempt]
        pieces[reply.index] = reply.body
        if reply.last:
            self._last_index[reply.attempt] = reply.index
        if len(pieces) != self._last_index.get(reply.attempt, -2) + 1:
            return
        whole = is_whole_answer(
            pieces,
            flow=self.plan.flow,
            request_id=self.plan.request_id,
            answer_bytes=self.plan.answer_bytes,
        )
        self.outcome = Outcome.ANSWERED if whole else Outcome.WRONG_ANSWER

    def _observe_refusal(self, reply: Reply, now_s: float) -> None:
        if reply.attempt != self.attempt or not self._waiting:
            return
        # A refusal of an idempotent attempt says nothing about earlier attempts. A refusal of a
        # non-idempotent request is taken at its word, so that a false one is counted.
        ran = self.plan.idempotent and self._may_have_run
        self._last_result = Outcome.UNKNOWN if ran else Outcome.REFUSED_NOT_RUN
        self._receipt = reply.receipt
        self._schedule_retry(now_s)

    def _observe_unknown(self, reply: Reply, now_s: float) -> None:
        if not self.plan.idempotent:
            self.outcome = Outcome.UNKNOWN
            return
        self._last_result = Outcome.UNKNOWN
        self._may_have_run = True
        if reply.attempt == self.attempt and self._waiting:
            self._receipt = b""
            self._schedule_retry(now_s)

    def _schedule_retry(self, now_s: float) -> None:
        self._waiting = False
        backoff_s = self._policy.backoff_s * 2 ** (self.attempt - 1)
        self.next_s = now_s + backoff_s * self._rng.uniform(0.5, 1.5)

    def apply_end(self) -> None:
        """Set the outcome; a request whose last attempt has no result is lost."""
        if not self.outcome:
            self.outcome = Outcome.LOST if self._waiting else self._last_result
