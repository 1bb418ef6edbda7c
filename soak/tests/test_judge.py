"""Tests of the judgement: each promise is found broken, and is not where an exception holds."""

import unittest

from soak._judge import judge
from soak._records import Answer, Outcome, Run, Subject

from .builders import build_flow, build_opening, build_records, build_reset


class JudgeTest(unittest.TestCase):
    """Guards the soak against passing a run that broke a promise, and against false alarms."""

    def setUp(self):
        self.records = build_records()
        self.answer(90.0, Outcome.ANSWERED)

    def answer(self, asked_s: float, outcome: Outcome) -> None:
        self.records.answers.append(
            Answer(asked_s=asked_s, ended_s=asked_s + 0.1, request="r", outcome=outcome)
        )

    def assert_found(self, *promises: str) -> None:
        self.assertEqual([finding.promise for finding in judge(self.records)], list(promises))

    def test_a_calm_run(self):
        self.records.openings.append(build_opening(5.0))
        self.assert_found()

    def test_a_wrong_service(self):
        self.records.openings.append(build_opening(5.0, service="scans"))
        self.assert_found("route")

    def test_a_second_run(self):
        run = Run(at_s=1.0, request="r-1", flow=build_flow(), target="t1", service="feeds")
        self.records.runs += [run, run]
        self.assert_found()
        self.records.non_idempotent.add("r-1")
        self.assert_found("at most once")

    def test_an_open_flow_that_was_reset(self):
        self.records.resets.append(build_reset(9.0, target="t1", opened_s=2.0))
        self.assert_found("flow")

    def test_a_flow_of_a_target_in_trouble_may_be_reset(self):
        self.records.resets.append(build_reset(9.0, target="t1", opened_s=2.0))
        self.records.disturbed["t1"].append((7.0, 8.0))
        self.assert_found()

    def test_a_flow_of_a_removed_route_may_be_reset(self):
        self.records.resets.append(build_reset(9.0, target="t1", opened_s=2.0))
        self.records.removed_s[443] = 8.0
        self.assert_found()

    def test_new_work_of_a_target_that_leaves(self):
        self.records.draining_s["t1"] = 10.0
        self.records.openings += [build_opening(12.9), build_opening(13.1)]
        self.assert_found("drain")

    def test_a_vm_that_started_lately_has_time(self):
        self.records.draining_s["t1"] = 10.0
        self.records.boots["vm-1"] = [12.0]
        self.records.openings.append(build_opening(13.1))
        self.assert_found()

    def test_bounds_rest_while_the_store_is_away(self):
        self.records.added_s[2000] = 10.0
        self.records.resets.append(build_reset(14.0, port=2000))
        self.assert_found("configuration")
        self.records.disturbed[Subject.STORE].append((11.0, 12.0))
        self.assert_found()

    def test_a_removed_route_that_is_served(self):
        self.records.added_s[2000] = 10.0
        self.records.removed_s[2000] = 20.0
        self.records.openings.append(build_opening(23.5, port=2000))
        self.assert_found("configuration")

    def test_a_version_that_goes_back(self):
        self.records.added_s[2000] = 10.0
        self.records.openings.append(build_opening(11.0, port=2000))
        self.records.resets.append(build_reset(11.5, port=2000))
        self.assert_found("no way back")
        self.records.boots["vm-1"].append(11.2)
        self.assert_found()

    def test_requests_after_the_recovery(self):
        self.records.faults_end_s = 50.0
        self.answer(55.0, Outcome.TIMEOUT)
        self.assert_found()
        self.answer(57.0, Outcome.TIMEOUT)
        self.assert_found("recovery")


if __name__ == "__main__":
    unittest.main()
