"""Tests of the simulated targets against the protocol of the users' endpoints."""

import asyncio
import unittest
from unittest.mock import Mock

from soak._records import Context, Records
from soak._targets import IDENTITY_BYTES, Target
from soak._wire import ACK, FIN, RST, SYN, Segment, decode, encode

CALLER, ROUTE = ("127.10.3.1", 1024), ("198.18.0.1", 8443)
NAME = "i-a0"


class TargetTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a run of a request whose flow has ended, which no real endpoint does."""

    def setUp(self):
        self.records = Records()
        context = Context(records=self.records, clock=lambda: 0.0, vm_by_host={})
        self.target = Target(
            name=NAME, host="127.10.2.1", port=1, service="feeds", zone="za", context=context
        )
        self.target._socket = Mock()

    def send(self, *segment) -> Segment | None:
        """Deliver a packet of the caller and return the last one of the target, if it sent any."""
        socket = self.target._socket
        socket.reset_mock()
        data = encode(CALLER, ROUTE, Segment(*segment))
        identity = int(NAME.rpartition("-")[2], 16).to_bytes(IDENTITY_BYTES, "big")
        self.target._handle_datagram(identity + data, ("127.10.1.1", 1))
        return decode(socket.send.call_args[0][0])[2] if socket.send.called else None

    async def test_late_copies_of_opening_and_request_do_not_run_again(self):
        """A VM that was paused forwards them after the flow has ended."""
        opened = self.send(SYN, 0, 10, 0, b"")
        request = (ACK, 7, 11, opened.sequence, b"caller-1")
        self.send(*request)
        await asyncio.sleep(0.1)
        self.send(FIN | ACK, 7, 19, opened.sequence, b"")
        self.assertTrue(self.send(SYN, 0, 10, 1, b"").flags & SYN)
        answer = self.send(*request)
        await asyncio.sleep(0.1)
        self.assertEqual([run.request_id for run in self.records.runs], ["caller-1"])
        self.assertEqual(answer.flags, RST)


if __name__ == "__main__":
    unittest.main()
