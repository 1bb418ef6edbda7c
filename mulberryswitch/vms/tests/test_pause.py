"""Tests of the pause detector."""

import unittest

from mulberryswitch.vms import PauseDetector


def make_paused() -> PauseDetector:
    detector = PauseDetector()
    detector.observe_tick(now_s=100.0)
    detector.observe_tick(now_s=130.0)
    return detector


class PauseDetectorTest(unittest.TestCase):
    """Guards against an owner that accepts work with the outdated view from before a pause."""

    def test_only_a_late_tick_is_a_pause(self):
        detector = PauseDetector()
        ticks = [detector.observe_tick(now_s=now_s) for now_s in (100.0, 101.0, 131.0, 131.1)]
        self.assertEqual(ticks, [False, False, True, False])

    def test_work_waits_for_an_acknowledgement(self):
        detector = make_paused()
        self.assertFalse(detector.may_start_work(now_s=130.5))
        detector.observe_peer_ack(now_s=130.5, sent_s=130.1)
        self.assertTrue(detector.may_start_work(now_s=130.5))

    def test_acknowledgement_of_a_ping_from_before_the_pause_is_ignored(self):
        detector = make_paused()
        detector.observe_peer_ack(now_s=130.1, sent_s=99.9)
        self.assertFalse(detector.may_start_work(now_s=130.1))

    def test_process_without_reachable_peers_resumes_work(self):
        """Otherwise the only VM of a zone would refuse work after each pause."""
        detector = make_paused()
        self.assertTrue(detector.may_start_work(now_s=131.0))
        self.assertTrue(make_paused().may_start_work(now_s=130.0, has_live_peers=False))

    def test_second_pause_is_detected(self):
        detector = make_paused()
        detector.observe_peer_ack(now_s=130.1, sent_s=130.1)
        self.assertTrue(detector.observe_tick(now_s=140.0))
        self.assertFalse(detector.may_start_work(now_s=140.1))
