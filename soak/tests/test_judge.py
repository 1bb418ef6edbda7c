"""Each violated guarantee gives a finding, and none is given where an exception applies."""

import unittest

from soak._judge import collect_findings
from soak._records import Evacuation, Outcome, RequestResult, Run, Subject

from .builders import build_flow, build_opening, build_records, build_reset


class GuaranteesTest(unittest.TestCase):
    """Guards against missed violations and against false positives of the soak test."""

    def setUp(self):
        self.records = build_records()
        self.add_result(90.0, Outcome.ANSWERED)

    def add_result(self, started_s: float, outcome: Outcome) -> None:
        self.records.results.append(
            RequestResult(
                started_s=started_s, ended_s=started_s + 0.1, request_id="r", outcome=outcome
            )
        )

    def assert_findings(self, *guarantees: str) -> None:
        self.assertEqual(
            [finding.guarantee for finding in collect_findings(self.records)], list(guarantees)
        )

    def test_an_undisturbed_run_has_no_findings(self):
        self.records.openings.append(build_opening(5.0))
        self.assert_findings()

    def test_an_opening_at_a_target_of_another_service(self):
        self.records.openings.append(build_opening(5.0, service="scans"))
        self.assert_findings("route")

    def test_a_duplicate_run_of_a_non_idempotent_request(self):
        run = Run(at_s=1.0, request_id="r-1", flow=build_flow(), target="t1", service="feeds")
        self.records.runs += [run, run]
        self.assert_findings()
        self.records.non_idempotent.add("r-1")
        self.assert_findings("at most once")

    def test_a_reset_of_an_open_flow(self):
        self.records.resets.append(build_reset(9.0, target="t1", opened_s=2.0))
        self.assert_findings("flow")

    def test_a_flow_of_a_disturbed_target_may_be_reset(self):
        self.records.resets.append(build_reset(9.0, target="t1", opened_s=2.0))
        self.records.disturbances["t1"].append((7.0, 8.0))
        self.assert_findings()

    def test_a_flow_of_a_removed_route_may_be_reset(self):
        self.records.resets.append(build_reset(9.0, target="t1", opened_s=2.0))
        self.records.route_removed_s[443] = 8.0
        self.assert_findings()

    def test_an_opening_in_an_evacuated_zone(self):
        self.records.target_zones |= {"t1": "za", "t2": "zb"}
        self.records.evacuations.append(Evacuation(zone="za", start_s=10.0, end_s=20.0))
        for at_s in (9.0, 12.9, 20.1):
            self.records.openings.append(build_opening(at_s))
        self.records.openings.append(build_opening(15.0, target="t2"))
        self.assert_findings()
        self.records.openings.append(build_opening(13.1))
        self.assert_findings("evacuation")

    def test_an_opening_at_a_draining_target(self):
        self.records.drain_started_s["t1"] = 10.0
        self.records.openings += [build_opening(12.9), build_opening(13.1)]
        self.assert_findings("drain")

    def test_time_limits_do_not_apply_to_a_recently_started_vm(self):
        self.records.drain_started_s["t1"] = 10.0
        self.records.vm_starts_s["vm-1"] = [12.0]
        self.records.openings.append(build_opening(13.1))
        self.assert_findings()

    def test_time_limits_do_not_apply_during_a_store_outage(self):
        self.records.route_added_s[2000] = 10.0
        self.records.resets.append(build_reset(14.0, port=2000))
        self.assert_findings("configuration")
        self.records.disturbances[Subject.STORE].append((11.0, 12.0))
        self.assert_findings()

    def test_a_removed_route_that_is_still_served(self):
        self.records.route_added_s[2000] = 10.0
        self.records.route_removed_s[2000] = 20.0
        self.records.openings.append(build_opening(23.5, port=2000))
        self.assert_findings("configuration")

    def test_a_rollback_without_a_restart(self):
        self.records.route_added_s[2000] = 10.0
        self.records.openings.append(build_opening(11.0, port=2000))
        self.records.resets.append(build_reset(11.5, port=2000))
        self.assert_findings("no rollback")
        self.records.vm_starts_s["vm-1"].append(11.2)
        self.assert_findings()

    def test_requests_after_the_recovery_must_be_answered(self):
        self.records.faults_end_s = 50.0
        self.add_result(55.0, Outcome.TIMEOUT)
        self.assert_findings()
        self.add_result(57.0, Outcome.TIMEOUT)
        self.assert_findings("recovery")


if __name__ == "__main__":
    unittest.main()
