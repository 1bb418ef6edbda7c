"""Tests of the zone preference and of the limit on spill."""

import unittest

from mulberryswitch.zones import SpillPolicy, pick_zone_first


class PreferenceTest(unittest.TestCase):
    def pick(self, candidates, bonus=0.0):
        return pick_zone_first(
            candidates,
            "a",
            zone_of=lambda item: item[0],
            cost_of=lambda item: item[1],
            local_bonus=bonus,
        )

    def test_the_local_zone_wins_ties_and_up_to_the_bonus(self):
        self.assertEqual(self.pick([("b", 1), ("a", 1)]), ("a", 1))
        self.assertEqual(self.pick([("b", 1), ("a", 2)]), ("b", 1))
        self.assertEqual(self.pick([("b", 1), ("a", 2)], bonus=1.0), ("a", 2))
        self.assertIsNone(self.pick([]))

    def test_spill_is_limited_while_local_requests_are_queued(self):
        """A busy zone must not displace another zone's requests from that zone's targets."""
        policy = SpillPolicy()
        cases = ((3, 2, 0, True), (3, 0, 1, True), (3, 1, 1, False), (2, 1, 1, False))
        for slots, remote, queued, allowed in cases:
            with self.subTest(slots=slots, remote=remote, queued=queued):
                found = policy.is_spill_allowed(
                    slots=slots, remote_in_flight=remote, local_queued=queued
                )
                self.assertEqual(found, allowed)


if __name__ == "__main__":
    unittest.main()
