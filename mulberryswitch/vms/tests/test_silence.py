"""Tests of the silence detector."""

import unittest

from mulberryswitch.vms import SilenceDetector


class SilenceTest(unittest.TestCase):
    """Guards against sending requests to a paused VM until membership declares it dead."""

    def test_peer_that_answers_no_ping_is_silent_until_a_message_arrives(self):
        silence = SilenceDetector()
        silence.observe_sent(vm="v", now_s=1.0)
        self.assertEqual(silence.decide_pings(now_s=1.1), [])
        self.assertEqual(silence.decide_pings(now_s=1.25), ["v"])
        self.assertFalse(silence.is_silent(vm="v", now_s=1.5))
        self.assertTrue(silence.is_silent(vm="v", now_s=1.75))
        silence.observe_received(vm="v")
        self.assertFalse(silence.is_silent(vm="v", now_s=1.75))

    def test_busy_peer_that_answers_pings_is_not_silent(self):
        silence = SilenceDetector()
        for step in range(20):
            now_s = 1.0 + step * 0.2
            silence.observe_sent(vm="v", now_s=now_s)
            if silence.decide_pings(now_s=now_s):
                silence.observe_received(vm="v")
            self.assertFalse(silence.is_silent(vm="v", now_s=now_s))

    def test_pings_are_rate_limited(self):
        silence = SilenceDetector()
        silence.observe_sent(vm="v", now_s=0.0)
        pings = [silence.decide_pings(now_s=tick * 0.02) for tick in range(50)]
        self.assertEqual(sum(map(len, pings)), 4)

    def test_pause_of_this_process_marks_no_peer_silent(self):
        silence = SilenceDetector()
        silence.observe_sent(vm="v", now_s=0.0)
        silence.decide_pings(now_s=0.2)
        silence.apply_resume()
        self.assertFalse(silence.is_silent(vm="v", now_s=30.0))
