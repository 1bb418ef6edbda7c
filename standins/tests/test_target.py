"""Tests of slots and flows in the simulated target."""

import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

import msgpack

from mulberryswitch.contracts import (
    FlowClosed,
    FlowData,
    FlowOpened,
    ResultCode,
    Shed,
    TargetCancel,
    TargetClose,
    TargetData,
    TargetOpen,
    TargetRequest,
)
from standins._records import RecordFile, read_records
from standins.target import Target


class FakeLink:
    """A link that collects the messages of the target."""

    def __init__(self) -> None:
        self.vm = "vm-1"
        self.running: dict = {}
        self.sent: list = []

    def send(self, message) -> None:
        self.sent.append(message)


def build_request(number: int, service: str = "feeds", **values) -> TargetRequest:
    job = {"work_ms": 10_000, "answer_bytes": 10, "service": service}
    fields = {"attempt": 1, "deadline_ms": 0, "idempotent": False, "trace": ""}
    return TargetRequest(
        dispatch_id=number,
        flow=b"flow-1",
        request_id=number,
        body=msgpack.packb(job),
        **(fields | values),
    )


class TargetTest(unittest.IsolatedAsyncioTestCase):
    """Slots and records must be exact, as the counts of a run are computed from the records."""

    async def asyncSetUp(self):
        directory = TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / "target.jsonl"
        record = RecordFile(path=self.path, common_fields={"service": "feeds"})
        self.addCleanup(record.close)
        self.target = Target(
            service="feeds", name="feeds-1", slots=2, report_lag_s=1.0, record=record, started_s=0.0
        )
        self.link = FakeLink()
        self.target.attach(self.link)

    def read_events(self) -> list[str]:
        return [record["event"] for record in read_records([self.path])]

    def receive(self, *messages) -> list:
        for message in messages:
            self.target.receive(self.link, message)
        return self.link.sent[1:]

    async def test_request_without_a_free_slot_is_shed_until_a_cancel_frees_one(self):
        sent = self.receive(*map(build_request, (1, 2, 3)), TargetCancel(dispatch_id=1))
        self.assertEqual(sent, [Shed(dispatch_id=3)])
        self.assertEqual(self.receive(build_request(4)), [Shed(dispatch_id=3)])
        expected = ["started", "started", "shed", "cancelled", "started"]
        self.assertEqual(self.read_events(), expected)

    async def test_draining_and_late_requests_are_not_started(self):
        self.receive(build_request(1, deadline_ms=1))
        self.target.draining = True
        self.receive(build_request(2))
        self.assertEqual(self.read_events(), ["shed", "shed"])

    async def test_request_of_another_service_is_recorded(self):
        self.receive(build_request(1, service="scans"))
        self.assertIn("wrong_service", self.read_events())

    async def test_flow_data_is_echoed_only_while_open(self):
        sent = self.receive(
            TargetData(flow=b"f", body=b"early"),
            TargetOpen(flow=b"f", body=b""),
            TargetData(flow=b"f", body=b"one"),
            TargetClose(flow=b"f"),
        )
        expected = [
            FlowClosed(flow=b"f", code=ResultCode.UNKNOWN_FLOW),
            FlowOpened(flow=b"f"),
            FlowData(flow=b"f", body=b"one"),
            FlowClosed(flow=b"f", code=0),
        ]
        self.assertEqual(sent, expected)
        self.assertIn("unknown_flow_data", self.read_events())
