"""Tests of the deterministic answers and of the requests of the simulated caller."""

import random
import unittest

from mulberryswitch.contracts import MAX_PIECE_BYTES, Reply, ReplyKind, ResultCode
from standins._answers import is_correct_answer, iterate_pieces
from standins._requests import Outcome, Request, RequestSpec, RetryPolicy

SIZE_BYTES = 2 * MAX_PIECE_BYTES + 100


def build_answer(flow: bytes = b"flow-1", request_id: int = 7, size: int = SIZE_BYTES):
    return dict(enumerate(iterate_pieces(flow, request_id, size)))


def is_accepted(pieces: dict[int, bytes]) -> bool:
    return is_correct_answer(pieces, flow=b"flow-1", request_id=7, answer_bytes=SIZE_BYTES)


class AnswerTest(unittest.TestCase):
    """An answer to another request or an incomplete answer must be detected."""

    def test_complete_answer_is_accepted(self):
        self.assertTrue(is_accepted(build_answer()))
        self.assertEqual(build_answer(size=0), {0: b""})

    def test_foreign_and_incomplete_answers_are_rejected(self):
        own = build_answer()
        cases = {
            "other flow": build_answer(flow=b"flow-2"),
            "other request": build_answer(request_id=8),
            "missing piece": {0: own[0], 2: own[2]},
            "swapped pieces": {0: own[1], 1: own[0], 2: own[2]},
            "truncated piece": own | {2: own[2][:-1]},
        }
        for name, pieces in cases.items():
            with self.subTest(name):
                self.assertFalse(is_accepted(pieces))


def build_request(*, idempotent: bool) -> Request:
    spec = RequestSpec(
        flow=b"flow-1",
        request_id=7,
        service="feeds",
        address="10.80.0.1:443",
        idempotent=idempotent,
        work_ms=1,
        answer_bytes=SIZE_BYTES,
    )
    policy = RetryPolicy(max_attempts=2, attempt_timeout_s=1.0)
    return Request(spec=spec, policy=policy, rng=random.Random(1))


def build_reply(kind: ReplyKind, **values) -> Reply:
    return Reply(**{"kind": kind, "flow": b"flow-1", "request_id": 7, "attempt": 1, **values})


class RequestTest(unittest.TestCase):
    """A wrong retry or outcome would hide a lost request, a second run or a false refusal."""

    def test_pieces_are_accepted_in_any_order(self):
        req = build_request(idempotent=False)
        req.decide_packet(0.0, 0.0)
        for index in (2, 0, 1):
            body = build_answer()[index]
            self.assertIsNone(req.outcome)
            req.observe_reply(
                build_reply(ReplyKind.ANSWER, index=index, last=index == 2, body=body), 0.1
            )
        self.assertEqual(req.outcome, Outcome.ANSWERED)

    def test_receipt_is_returned_after_a_refusal_only(self):
        for refused, receipt in ((True, b"r" * 16), (False, b"")):
            with self.subTest(refused=refused):
                req = build_request(idempotent=False)
                req.decide_packet(0.0, 0.0)
                if refused:
                    reply = build_reply(
                        ReplyKind.REFUSED, code=ResultCode.QUEUE_FULL, receipt=b"r" * 16
                    )
                    req.observe_reply(reply, 0.1)
                packet = req.decide_packet(2.0, 2.0)
                self.assertEqual((packet.attempt, packet.receipt), (2, receipt))

    def test_request_is_lost_when_its_last_attempt_has_no_result(self):
        for refused in (False, True):
            with self.subTest(refused=refused):
                req = build_request(idempotent=False)
                self.assertTrue(req.decide_packet(0.0, 0.0))
                if refused:
                    req.observe_reply(build_reply(ReplyKind.REFUSED, code=106), 0.1)
                self.assertTrue(req.decide_packet(2.0, 2.0))
                self.assertIsNone(req.decide_packet(5.9, 5.9))
                self.assertIsNone(req.outcome)
                self.assertIsNone(req.decide_packet(6.0, 6.0))
                self.assertEqual(req.outcome, Outcome.LOST)

    def test_refused_retry_of_idempotent_request_is_not_reported_as_not_run(self):
        req = build_request(idempotent=True)
        req.decide_packet(0.0, 0.0)
        req.decide_packet(2.0, 2.0)
        req.observe_reply(build_reply(ReplyKind.REFUSED, attempt=2, code=107), 2.1)
        req.decide_packet(9.0, 9.0)
        self.assertEqual(req.outcome, Outcome.UNKNOWN)
