"""Tests of the detection of silent peers."""

import unittest

from mulberryswitch.vms import SilenceDetector


class SilenceTest(unittest.TestCase):
    """Guards requests against being sent to a paused VM until it is declared dead."""

    def test_peer_that_answers_no_ping_is_silent_until_it_is_heard(self):
        silence = SilenceDetector()
        silence.observe_sent(vm="v", now_s=1.0)
        self.assertEqual(silence.decide_pings(now_s=1.1), [])
        self.assertEqual(silence.decide_pings(now_s=1.25), ["v"])
        self.assertFalse(silence.is_silent(vm="v", now_s=1.5))
        self.assertTrue(silence.is_silent(vm="v", now_s=1.75))
        silence.observe_received(vm="v")
        self.assertFalse(silence.is_silent(vm="v", now_s=1.75))

    def test_peer_that_works_for_long_answers_the_ping_and_is_not_silent(self):
        silence = SilenceDetector()
        for step in range(20):
            now_s = 1.0 + step * 0.2
            silence.observe_sent(vm="v", now_s=now_s)
            if silence.decide_pings(now_s=now_s):
                silence.observe_received(vm="v")
            self.assertFalse(silence.is_silent(vm="v", now_s=now_s))

    def test_pings_are_spaced(self):
        silence = SilenceDetector()
        silence.observe_sent(vm="v", now_s=0.0)
        asks = [silence.decide_pings(now_s=tick * 0.02) for tick in range(50)]
        self.assertEqual(sum(map(len, asks)), 4)

    def test_own_pause_makes_no_peer_silent(self):
        silence = SilenceDetector()
        silence.observe_sent(vm="v", now_s=0.0)
        silence.decide_pings(now_s=0.2)
        silence.apply_resume()
        self.assertFalse(silence.is_silent(vm="v", now_s=30.0))
