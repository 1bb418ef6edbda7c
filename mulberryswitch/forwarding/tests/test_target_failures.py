"""Tests of what the forwarder concludes from openings and requests that no target answers."""

import itertools
import unittest

from mulberryswitch.contracts import LoadEntry
from mulberryswitch.forwarding import Forward, Reset, Witness
from mulberryswitch.forwarding.tests.builders import PathTest, token_of


class UnresponsiveTargetTest(PathTest):
    """Flows to an unresponsive target must be reset, and those to a slow target must not."""

    def setUp(self):
        super().setUp()
        self.witness_numbers = itertools.count()

    def request(self, now_s: float, *, caller_port: int = 5000, port: int = 443) -> list:
        return self.send(
            now_s,
            caller_port=caller_port,
            port=port,
            token=token_of("t2"),
            sequence=100,
            acknowledged=7,
            payload_bytes=50,
        )

    def fail_openings(self, now_s: float, count: int) -> None:
        """Record openings that t2 left unanswered and another target answered."""
        health = self.forwarder.loads.get_or_create(token_of("t2")).health
        for _ in range(count):
            number = next(self.witness_numbers)
            witness = Witness(vm=f"front-{number}", caller=number)
            health.observe_confirmed_failure(witness=witness, since_s=now_s, now_s=now_s)

    def start(self) -> None:
        self.send(0.0, caller_port=5000, token=token_of("t2"), sequence=99, acknowledged=7)
        self.send(0.0, caller_port=5000, port=80, token=token_of("t2"), sequence=99, acknowledged=7)

    def test_a_slow_request_alone_resets_nothing(self):
        """A caller retransmits a request that waits in the queue of a live target."""
        self.start()
        for now_s in (0.1, 0.3, 0.7, 1.5):
            self.assertIsInstance(self.request(now_s)[0], Forward)

    def test_a_flow_of_an_unresponsive_target_is_reset_so_that_its_caller_retries(self):
        self.start()
        self.assertIsInstance(self.request(0.1)[0], Forward)
        self.fail_openings(0.2, 2)
        self.assertIsInstance(self.request(0.3)[0], Forward)
        self.assertIsInstance(self.request(0.7)[0], Reset)

    def test_the_next_request_to_an_unresponsive_target_is_reset_at_once(self):
        self.start()
        self.request(0.1)
        self.fail_openings(0.2, 2)
        self.request(0.3)
        self.request(0.7)
        self.assertIsInstance(self.request(0.9, caller_port=5001)[0], Reset)

    def test_one_lost_opening_is_not_sufficient(self):
        self.start()
        self.request(0.1)
        self.fail_openings(0.2, 1)
        self.assertIsInstance(self.request(0.7)[0], Forward)

    def test_an_answer_to_any_caller_clears_the_failures(self):
        self.start()
        self.request(0.1)
        self.fail_openings(0.2, 2)
        self.forwarder.loads.get_or_create(token_of("t2")).health.observe_answer(0.5)
        self.assertIsInstance(self.request(0.7)[0], Forward)

    def test_a_non_idempotent_request_is_not_reset(self):
        """Its caller does not retry it, so a reset would only fail it."""
        self.start()
        self.request(0.1, port=80)
        self.fail_openings(0.2, 2)
        self.assertIsInstance(self.request(0.7, port=80)[0], Forward)

    def test_failures_that_are_far_apart_do_not_add_up(self):
        """Two lost openings seconds or minutes apart are packet loss, not a failed target."""
        self.start()
        self.fail_openings(0.2, 1)
        self.fail_openings(4.0, 1)
        self.request(4.1)
        self.assertIsInstance(self.request(4.9)[0], Forward)

    def receive_zone_loads(self, *, silent_ds: int, now_s: float) -> None:
        """Record loads of the zone according to which t2 last answered `silent_ds` ago."""
        entry = LoadEntry(token=token_of("t2"), long_flows=3, busy=1, silent_ds=silent_ds)
        self.forwarder.loads.has_peers = True
        self.forwarder.loads.observe_zone(zone="za", entries=[entry], now_s=now_s, is_own=True)

    def test_a_target_that_answers_peers_is_not_unresponsive(self):
        """A VM with a saturated link loses packets to live targets."""
        self.start()
        self.request(0.1)
        self.fail_openings(0.2, 2)
        self.receive_zone_loads(silent_ds=2, now_s=0.8)
        self.assertIsInstance(self.request(0.9)[0], Forward)

    def test_a_target_that_is_silent_to_peers_too_is_unresponsive(self):
        self.start()
        self.request(0.1)
        self.fail_openings(0.2, 2)
        self.receive_zone_loads(silent_ds=9, now_s=0.8)
        self.assertIsInstance(self.request(0.9)[0], Reset)

    def test_a_flow_is_reset_at_the_second_retransmission(self):
        """Some callers wait for only a second, so a later reset would be too late for them."""
        self.start()
        self.request(0.1)
        self.request(0.3)
        self.fail_openings(0.2, 2)
        self.receive_zone_loads(silent_ds=6, now_s=0.55)
        self.assertIsInstance(self.request(0.7)[0], Reset)

    def test_a_short_silence_to_peers_is_not_sufficient(self):
        """Loads of the zone are slightly old, and a live target may be between two answers."""
        self.start()
        self.request(0.1)
        self.fail_openings(0.2, 2)
        self.receive_zone_loads(silent_ds=4, now_s=0.45)
        self.assertIsInstance(self.request(0.7)[0], Forward)

    def test_loads_from_before_the_request_are_not_evidence(self):
        self.start()
        self.receive_zone_loads(silent_ds=9, now_s=0.05)
        self.request(0.1)
        self.fail_openings(0.2, 2)
        self.assertIsInstance(self.request(0.9)[0], Forward)


class OwnPathTest(PathTest):
    """A VM whose own link is saturated or down must not blame targets for it."""

    def test_openings_that_no_target_answers_confirm_no_failure(self):
        self.open(0.0)
        for step in range(1, 4):
            self.forwarder.decide_tick(now_s=0.04 * step)
        for name in ("t1", "t2", "t3"):
            self.check_failures(name, 0)

    def test_an_answer_of_the_next_target_confirms_the_failure(self):
        first = self.open(0.0)
        (action,) = self.forwarder.decide_tick(now_s=0.05)
        self.acknowledge(0.06, action.target.key)
        self.check_failures(first, 1)

    def test_a_late_answer_of_the_first_target_does_not_blame_it(self):
        first = self.open(0.0)
        self.forwarder.decide_tick(now_s=0.05)
        self.acknowledge(0.06, first)
        self.check_failures(first, 0)

    def test_a_late_answer_of_the_first_target_does_not_blame_the_second(self):
        """The caller accepts the first answer, so the second one says nothing about its target."""
        first = self.open(0.0)
        (action,) = self.forwarder.decide_tick(now_s=0.05)
        self.acknowledge(0.06, first)
        self.check_failures(action.target.key, 0)

    def test_a_late_answer_to_a_presumably_abandoned_flow_clears_its_target(self):
        """A caller may open two flows at once, with a late answer to the first one."""
        first = self.open(0.0)
        second = self.open(0.02, caller_port=1001)
        self.acknowledge(0.03, second, caller_port=1001)
        self.check_failures(first, 1)
        self.acknowledge(0.04, first)
        health = self.forwarder.loads.get_or_create(token_of(first)).health
        self.assertFalse(health.evidence.list_witnesses(0.05) or health.is_ejected(0.05))

    def test_a_refusal_is_confirmed_when_the_next_flow_of_the_caller_opens(self):
        first = self.open(0.0)
        second = self.open(0.02, caller_port=1001, opens=True)
        self.acknowledge(0.03, second, caller_port=1001)
        self.check_failures(first, 1)


if __name__ == "__main__":
    unittest.main()
