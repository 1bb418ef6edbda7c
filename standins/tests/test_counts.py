"""Tests that the counts of a run show each violation in synthetic records."""

import tempfile
import unittest
from pathlib import Path

from standins._counts import count_late_work, count_records, find_longest_gap
from standins._records import read_records


def build_started(number: int, **values) -> dict:
    record = {"event": "started", "service": "feeds", "body_service": "feeds", "flow": "aa"}
    return record | {"request_id": number, "attempt": 1, "idempotent": False} | values


def build_request(number: int, outcome: str = "answered", **values) -> dict:
    return {"event": "request", "flow": "aa", "request_id": number, "outcome": outcome} | values


class CountTest(unittest.TestCase):
    """Each violation must raise its count; a count that is always 0 would hide it in every run."""

    def check(self, records: list[dict], **expected: int):
        counts = count_records(records)
        found = {name: getattr(counts, name) for name in expected}
        self.assertEqual(found, expected)
        self.assertEqual(
            set(counts.find_failures()), {name for name in expected if name in FAILURE_COUNTS}
        )

    def test_clean_run_has_no_failure(self):
        self.check([build_started(1), build_request(1)], requests=1, answered=1)

    def test_non_idempotent_request_started_twice(self):
        twice = [build_started(1), build_started(1, attempt=2), build_request(1)]
        self.check(twice, run_twice=1)

    def test_idempotent_request_may_start_twice(self):
        twice = [build_started(1, idempotent=True), build_started(1, idempotent=True)]
        self.check([*twice, build_request(1)], answered=1)

    def test_refused_request_that_started(self):
        records = [build_started(1), build_request(1, "refused_not_run")]
        self.check(records, refused_not_run=1, refused_but_run=1)

    def test_lost_requests(self):
        records = [build_request(1, "lost"), build_started(2)]
        self.check(records, requests=1, lost=2)

    def test_request_at_a_target_of_another_service(self):
        records = [build_started(1, body_service="scans"), build_request(1)]
        self.check(records, wrong_service=1)

    def test_link_and_flow_at_a_target_of_another_service(self):
        link = {"event": "wrong_service", "service": "feeds", "asked": "scans"}
        flow = {"event": "flow_opened", "service": "feeds", "body_service": "scans"}
        self.check([link, flow], wrong_service=2)

    def test_broken_and_never_opened_flows(self):
        phases = ("broken", "opening", "closed", "closing")
        records = [{"event": "long_flow", "phase": phase} for phase in phases]
        self.check(records, long_flows=4, broken_flows=1, flows_never_open=1)

    def test_wrong_answer(self):
        self.check([build_started(1), build_request(1, "wrong_answer")], wrong_answer=1)

    def test_work_at_a_leaving_target_counts_after_the_deadline(self):
        records = [build_started(n, target="feeds-1", at_s=float(n)) for n in (1, 2, 3)]
        self.assertEqual(count_late_work(records, target="feeds-1", after_s=1.5), 2)
        self.assertEqual(count_late_work(records, target="feeds-2", after_s=1.5), 0)

    def test_unanswered_request_is_explained_only_by_a_dropped_datagram(self):
        unanswered = [build_request(1, "unknown"), build_request(2, "refused_not_run", flow="bb")]
        self.check(unanswered, unknown=1, refused_not_run=1, unexplained=2)
        dropped = {"event": "dropped", "flow": "bb"}
        self.check([*unanswered, dropped], unknown=1, refused_not_run=1, unexplained=1)

    def test_longest_gap_is_measured_per_service(self):
        times = ((1.0, "feeds"), (1.5, "scans"), (2.0, "feeds"), (2.1, "scans"))
        records = [build_started(1, at_s=at_s, service=service) for at_s, service in times]
        self.assertEqual(find_longest_gap(records), 1.0)


FAILURE_COUNTS = (
    "lost",
    "wrong_answer",
    "run_twice",
    "refused_but_run",
    "wrong_service",
    "broken_flows",
    "flows_never_open",
)


class ReadRecordsTest(unittest.TestCase):
    """Invalid records must not be skipped silently, as the counts would miss their events."""

    def read(self, text: str) -> list[dict]:
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "one.jsonl"
            path.write_text(text)
            return list(read_records([path]))

    def test_truncated_last_line_is_skipped(self):
        self.assertEqual(self.read('{"event": "a"}\n{"eve'), [{"event": "a"}])

    def test_invalid_line_in_the_middle_is_an_error(self):
        with self.assertRaises(ValueError):
            self.read('{"event": "a"}\n{"eve\n{"event": "b"}\n')
