"""Tests of the entry VM's table of forwarded requests."""

import unittest

from mulberryswitch.contracts import Declined, ReplyKind, ResultCode
from mulberryswitch.requests import ForwardAgain

from .builders import ADDRESS, SIGNER, build_forward, build_pending


def decline(forward, code=ResultCode.NO_PATH):
    packet = forward.packet
    return Declined(
        flow=packet.flow, request_id=packet.request_id, attempt=packet.attempt, code=code
    )


class PendingTest(unittest.TestCase):
    """Guards the truth of what an entry VM tells when the next VM is lost."""

    def test_loss_of_an_older_stream_leaves_a_later_forward_alone(self):
        """A loss that is handled late must not make a request unknown that never left."""
        pending = build_pending()
        forward = build_forward()
        pending.observe_forwarded(forward, "vm1", 2.0)
        self.assertEqual(pending.observe_link_lost("vm1", 1.9, 2.1), [])
        pending.observe_declined(decline(forward), 2.1)
        self.assertEqual(pending.decide_tick(2.3), [ForwardAgain(forward)])

    def test_loss_after_the_forward_is_unknown_for_a_non_idempotent_request(self):
        pending = build_pending()
        pending.observe_forwarded(build_forward(), "vm1", 1.0)
        (action,) = pending.observe_link_lost("vm1", 1.5, 1.6)
        self.assertEqual(action.reply.kind, ReplyKind.UNKNOWN)
        self.assertEqual(action.reply.code, ResultCode.OWNER_LOST)
        self.assertTrue(pending.is_idle)

    def test_idempotent_request_is_forwarded_again_after_a_loss(self):
        pending = build_pending()
        forward = build_forward(idempotent=True)
        pending.observe_forwarded(forward, "vm1", 1.0)
        self.assertEqual(pending.observe_link_lost("vm1", 1.5, 1.6), [ForwardAgain(forward)])

    def test_request_that_never_left_is_refused_with_a_receipt_at_its_deadline(self):
        pending = build_pending()
        forward = build_forward(deadline_ms=1_500)
        pending.observe_forwarded(forward, "vm1", 1.0)
        pending.observe_declined(decline(forward), 1.45)
        (action,) = pending.decide_tick(1.6)
        packet = forward.packet
        self.assertEqual(action.reply.code, ResultCode.DEADLINE_PASSED)
        self.assertTrue(
            SIGNER.verify(ADDRESS, packet.flow, packet.request_id, 1, action.reply.receipt)
        )

    def test_retry_without_receipt_is_never_refused_as_not_run(self):
        """The entry VM knows nothing of the first attempt, which may have run elsewhere."""
        pending = build_pending()
        forward = build_forward(attempt=2, deadline_ms=1_500)
        pending.observe_forwarded(forward, "vm1", 1.0)
        pending.observe_declined(decline(forward), 1.45)
        (action,) = pending.decide_tick(1.6)
        self.assertEqual(action.reply.kind, ReplyKind.UNKNOWN)
