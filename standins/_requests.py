"""Requests of the simulated caller: attempts, retry policy and check of the answer."""

import random
from collections import defaultdict
from dataclasses import dataclass
from enum import StrEnum

import msgpack

from mulberryswitch.contracts import Packet, PacketKind, Reply, ReplyKind

from ._answers import is_correct_answer

__all__ = ["Outcome", "Request", "RequestSpec", "RetryPolicy"]

RESULT_GRACE_S = 1.0  # time for a result that was sent at the deadline to arrive


class Outcome(StrEnum):
    """Final outcome of a request as its caller sees it."""

    ANSWERED = "answered"
    REFUSED_NOT_RUN = "refused_not_run"
    UNKNOWN = "unknown"
    LOST = "lost"
    WRONG_ANSWER = "wrong_answer"


@dataclass(frozen=True, kw_only=True, slots=True)
class RetryPolicy:
    """Limits of a request; times in seconds."""

    max_attempts: int
    attempt_timeout_s: float
    deadline_s: float = 3.0
    backoff_s: float = 0.05


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestSpec:
    """Content of a request."""

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
    spec : RequestSpec
        Content of the request.
    policy : RetryPolicy
        Limits of attempts and time.
    rng : random.Random
        Source of the backoff jitter.
    """

    def __init__(self, *, spec: RequestSpec, policy: RetryPolicy, rng: random.Random):
        self.spec = spec
        self.outcome: Outcome | None = None
        self.codes: list[int] = []
        self.attempt = 0
        self.next_s = 0.0
        self._sent_s = 0.0
        self._policy = policy
        self._rng = rng
        self._receipt = b""
        self._awaiting_result = False
        self._may_have_run = False
        self._last_result = Outcome.LOST
        self._pieces: dict[int, dict[int, bytes]] = defaultdict(dict)
        self._last_index: dict[int, int] = {}

    def decide_packet(self, now_s: float, wall_s: float) -> Packet | None:
        """Return the next attempt if it is due; set the outcome if no attempt is left."""
        if self.outcome or now_s < self.next_s:
            return None
        if self._awaiting_result:
            self._receipt = b""
            self._may_have_run = True
        if self.attempt >= self._policy.max_attempts:
            self._resolve(now_s)
            return None
        self.attempt += 1
        self._sent_s = now_s
        self._awaiting_result = True
        self.next_s = now_s + self._policy.attempt_timeout_s
        return self._build_packet(wall_s)

    def _resolve(self, now_s: float) -> None:
        """Set the outcome unless the last attempt may still get a result.

        The result of an earlier attempt says nothing about the last one, which may be running.
        """
        latest_s = self._sent_s + self._policy.deadline_s + RESULT_GRACE_S
        if self._awaiting_result and now_s < latest_s:
            self.next_s = latest_s
        else:
            self.finish()

    def _build_packet(self, wall_s: float) -> Packet:
        spec = self.spec
        job = {
            "work_ms": spec.work_ms,
            "answer_bytes": spec.answer_bytes,
            "service": spec.service,
        }
        return Packet(
            kind=PacketKind.REQUEST,
            flow=spec.flow,
            address=spec.address,
            request_id=spec.request_id,
            attempt=self.attempt,
            deadline_ms=int((wall_s + self._policy.deadline_s) * 1000),
            idempotent=spec.idempotent,
            receipt=self._receipt,
            body=msgpack.packb(job),
        )

    def observe_reply(self, reply: Reply, now_s: float) -> None:
        """Process a reply to any attempt; replies after the outcome are ignored."""
        if self.outcome:
            return
        if reply.kind == ReplyKind.ANSWER:
            self._handle_answer_piece(reply)
        elif reply.kind == ReplyKind.REFUSED:
            self.codes.append(reply.code)
            self._handle_refusal(reply, now_s)
        elif reply.kind == ReplyKind.UNKNOWN:
            self.codes.append(reply.code)
            self._handle_unknown(reply, now_s)

    def _handle_answer_piece(self, reply: Reply) -> None:
        # Pieces are collected per attempt, as two runs of an idempotent request give two answers.
        pieces = self._pieces[reply.attempt]
        pieces[reply.index] = reply.body
        if reply.last:
            self._last_index[reply.attempt] = reply.index
        if len(pieces) != self._last_index.get(reply.attempt, -2) + 1:
            return
        is_correct = is_correct_answer(
            pieces,
            flow=self.spec.flow,
            request_id=self.spec.request_id,
            answer_bytes=self.spec.answer_bytes,
        )
        self.outcome = Outcome.ANSWERED if is_correct else Outcome.WRONG_ANSWER

    def _handle_refusal(self, reply: Reply, now_s: float) -> None:
        if reply.attempt != self.attempt or not self._awaiting_result:
            return
        # A refused attempt of an idempotent request says nothing about earlier attempts. For a
        # non-idempotent request, a refusal states that no attempt ran; it is recorded as such, so
        # that a false refusal shows up in the counts.
        may_have_run = self.spec.idempotent and self._may_have_run
        self._last_result = Outcome.UNKNOWN if may_have_run else Outcome.REFUSED_NOT_RUN
        self._receipt = reply.receipt
        self._schedule_retry(now_s)

    def _handle_unknown(self, reply: Reply, now_s: float) -> None:
        if not self.spec.idempotent:
            self.outcome = Outcome.UNKNOWN
            return
        self._last_result = Outcome.UNKNOWN
        self._may_have_run = True
        if reply.attempt == self.attempt and self._awaiting_result:
            self._receipt = b""
            self._schedule_retry(now_s)

    def _schedule_retry(self, now_s: float) -> None:
        self._awaiting_result = False
        backoff_s = self._policy.backoff_s * 2 ** (self.attempt - 1)
        self.next_s = now_s + backoff_s * self._rng.uniform(0.5, 1.5)

    def finish(self) -> None:
        """Set the outcome if there is none; a request whose last attempt has no result is lost."""
        if not self.outcome:
            self.outcome = Outcome.LOST if self._awaiting_result else self._last_result
