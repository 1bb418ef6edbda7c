"""Simulated target: serves one service with a few slots and records every event."""

import asyncio
import contextlib
import signal
import time
from collections import Counter, deque
from collections.abc import Callable
from configparser import ConfigParser
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgpack

from mulberryswitch.contracts import (
    MAX_TARGET_FRAME_BYTES,
    TARGET_CODEC,
    AnswerPiece,
    Attach,
    Attached,
    DecodeError,
    FlowClosed,
    FlowData,
    FlowOpened,
    LoadReport,
    ResultCode,
    Shed,
    TargetCancel,
    TargetClose,
    TargetData,
    TargetOpen,
    TargetRequest,
)

from ._answers import count_pieces, iterate_pieces
from ._process import parse_host_port, run_program
from ._records import RecordFile

__all__ = ["Job", "Link", "Target", "parse_job", "serve"]

COLD_START_S = 1.0
COLD_START_FACTOR = 3.0
READ_SIZE_BYTES = 64 * 1024
UNPACKER_BUFFER_BYTES = 4 * MAX_TARGET_FRAME_BYTES
REPORT_INTERVAL_S = 1.0
MAX_WORK_MS = 60_000
MAX_ANSWER_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, kw_only=True, slots=True)
class Job:
    """Content of a request body."""

    work_ms: int
    answer_bytes: int
    service: str


def parse_job(body: bytes) -> Job | None:
    """Return the job in a request body, or None if it is malformed or exceeds the limits."""
    try:
        values = msgpack.unpackb(body)
        job = Job(
            work_ms=int(values["work_ms"]),
            answer_bytes=int(values["answer_bytes"]),
            service=str(values["service"]),
        )
    except Exception:  # msgpack raises several unrelated types on bad input
        return None
    is_within_limits = 0 <= job.work_ms <= MAX_WORK_MS and 0 <= job.answer_bytes <= MAX_ANSWER_BYTES
    return job if is_within_limits else None


def _parse_service(body: bytes) -> str:
    with contextlib.suppress(Exception):  # msgpack raises several unrelated types on bad input
        return str(msgpack.unpackb(body)["service"])
    return ""


class Link:
    """One TCP connection from a VM.

    Parameters
    ----------
    vm : str
        Name of the VM.
    writer : asyncio.StreamWriter
        Stream towards the VM.
    """

    def __init__(self, *, vm: str, writer: asyncio.StreamWriter):
        self.vm = vm
        self._writer = writer
        self.running: dict[int, tuple[asyncio.TimerHandle, TargetRequest]] = {}

    def send(self, message: Any) -> None:
        """Queue `message`, or drop it if the link is closing."""
        if not self._writer.is_closing():
            self._writer.write(TARGET_CODEC.encode(message))


class Target:
    """State of one target: slots, open flows and links.

    Parameters
    ----------
    service, name : str
        Service that the target serves and its own name.
    slots : int
        Maximum number of requests that run at the same time.
    report_lag_s : float
        Age of the load in a report, in seconds.
    record : RecordFile
        Receives one event per request and flow transition.
    started_s : float
        Monotonic time of the start; requests run slower in the first second after it.
    """

    def __init__(
        self,
        *,
        service: str,
        name: str,
        slots: int,
        report_lag_s: float,
        record: RecordFile,
        started_s: float,
    ):
        self.service = service
        self.name = name
        self.slots = slots
        self.report_lag_s = report_lag_s
        self.record = record
        self.started_s = started_s
        self.draining = False
        self.busy_slots = 0
        self.links: set[Link] = set()
        self.flows: dict[bytes, Link] = {}
        self.counts: Counter[str] = Counter()
        self._load_samples: deque[tuple[float, int]] = deque()
        self._handlers: dict[type, Callable[[Link, Any], None]] = {
            TargetRequest: self._handle_request,
            TargetCancel: self._handle_cancel,
            TargetOpen: self._handle_open,
            TargetData: self._handle_data,
            TargetClose: self._handle_close,
        }

    def receive(self, link: Link, message: Any) -> None:
        """Process a message of an attached link; raise ``DecodeError`` on an unexpected type."""
        handler = self._handlers.get(type(message))
        if handler is None:
            raise DecodeError(f"unexpected {type(message).__name__}")
        handler(link, message)

    def record_refused_attach(self, message: Any) -> None:
        """Record a link whose first message does not attach to this service."""
        self._record_event(
            "wrong_service", expected=self.service, asked=getattr(message, "service", "")
        )

    def attach(self, link: Link) -> None:
        """Add `link` and confirm the attach."""
        self.links.add(link)
        link.send(Attached(service=self.service, target=self.name))

    def detach(self, link: Link) -> None:
        """Remove `link`; its running requests keep their slots until they end."""
        self.links.discard(link)

    def _record_event(self, event: str, **values: Any) -> None:
        self.counts[event] += 1
        self.record.append(event, **values)

    def _check_service(self, body_service: str, flow: bytes) -> None:
        if body_service != self.service:
            self._record_event(
                "wrong_service", expected=self.service, asked=body_service, flow=flow.hex()
            )

    def _find_shed_reason(self, req: TargetRequest) -> str:
        if req.deadline_ms and time.time() * 1000 > req.deadline_ms:
            return "late"
        if self.draining:
            return "draining"
        return "full" if self.busy_slots >= self.slots else ""

    def _handle_request(self, link: Link, req: TargetRequest) -> None:
        reason = self._find_shed_reason(req)
        job = parse_job(req.body)
        if job is None:
            reason = "no job"
        if reason:
            self._record_event("shed", **_request_fields(req), reason=reason, vm=link.vm)
            link.send(Shed(dispatch_id=req.dispatch_id))
            return
        self._check_service(job.service, req.flow)
        self._record_event("started", **_request_fields(req), body_service=job.service, vm=link.vm)
        self.busy_slots += 1
        is_cold = time.monotonic() - self.started_s < COLD_START_S
        work_s = job.work_ms / 1000 * (COLD_START_FACTOR if is_cold else 1.0)
        handle = asyncio.get_running_loop().call_later(work_s, self._send_answer, link, req, job)
        link.running[req.dispatch_id] = (handle, req)

    def _send_answer(self, link: Link, req: TargetRequest, job: Job) -> None:
        # The slot is released before the answer is sent, so that a request which the VM sends in
        # response to the answer is not shed.
        self._release_slot(link, req, "finished")
        last = count_pieces(job.answer_bytes) - 1
        for index, body in enumerate(iterate_pieces(req.flow, req.request_id, job.answer_bytes)):
            link.send(
                AnswerPiece(dispatch_id=req.dispatch_id, index=index, last=index == last, body=body)
            )

    def _release_slot(self, link: Link, req: TargetRequest, event: str) -> None:
        self.busy_slots -= 1
        del link.running[req.dispatch_id]
        self._record_event(event, **_request_fields(req))

    def _handle_cancel(self, link: Link, message: TargetCancel) -> None:
        if message.dispatch_id in link.running:
            handle, req = link.running[message.dispatch_id]
            handle.cancel()
            self._release_slot(link, req, "cancelled")

    def _handle_open(self, link: Link, message: TargetOpen) -> None:
        if message.flow not in self.flows:
            service = _parse_service(message.body)
            self._check_service(service, message.flow)
            self._record_event(
                "flow_opened", flow=message.flow.hex(), body_service=service, vm=link.vm
            )
        self.flows[message.flow] = link
        link.send(FlowOpened(flow=message.flow))

    def _handle_data(self, link: Link, message: TargetData) -> None:
        if message.flow not in self.flows:
            self._record_event("unknown_flow_data", flow=message.flow.hex(), vm=link.vm)
            link.send(FlowClosed(flow=message.flow, code=ResultCode.UNKNOWN_FLOW))
            return
        self.flows[message.flow] = link
        self._send_flow_data(FlowData(flow=message.flow, body=message.body))

    def _handle_close(self, link: Link, message: TargetClose) -> None:
        if self.flows.pop(message.flow, None):
            self._record_event("flow_closed", flow=message.flow.hex(), vm=link.vm)
        link.send(FlowClosed(flow=message.flow, code=ResultCode.OK))

    def _send_flow_data(self, message: FlowData) -> None:
        link = self.flows[message.flow]
        if link not in self.links:
            link = next(iter(self.links), link)
        link.send(message)

    def sample_load(self, now_s: float) -> LoadReport:
        """Record the load at `now_s` and return a report with the load of `report_lag_s` ago."""
        self._load_samples.append((now_s, self.busy_slots))
        while len(self._load_samples) > 1 and self._load_samples[1][0] <= now_s - self.report_lag_s:
            self._load_samples.popleft()
        return LoadReport(running=self._load_samples[0][1], healthy=True, draining=self.draining)


def _request_fields(req: TargetRequest) -> dict[str, Any]:
    return {
        "flow": req.flow.hex(),
        "request_id": req.request_id,
        "attempt": req.attempt,
        "idempotent": req.idempotent,
    }


async def _read_messages(target: Target, reader: asyncio.StreamReader, link: Link) -> None:
    unpacker = msgpack.Unpacker(max_buffer_size=UNPACKER_BUFFER_BYTES)
    is_attached = False
    while data := await reader.read(READ_SIZE_BYTES):
        unpacker.feed(data)
        for value in unpacker:
            message = TARGET_CODEC.decode_value(value)
            if is_attached:
                target.receive(link, message)
            elif isinstance(message, Attach) and message.service == target.service:
                link.vm = message.vm
                target.attach(link)
                is_attached = True
            else:
                target.record_refused_attach(message)
                return


def _build_connection_handler(target: Target) -> Callable:
    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        link = Link(vm="", writer=writer)
        try:
            await _read_messages(target, reader, link)
        except (DecodeError, msgpack.UnpackException, ValueError) as exc:
            target.record.append("bad_frame", vm=link.vm, error=str(exc))
        except (ConnectionError, asyncio.CancelledError):
            # asyncio would log a traceback for a handler that is cancelled at shutdown.
            return
        finally:
            target.detach(link)
            writer.close()

    return handle


async def _send_reports(target: Target) -> None:
    while True:
        await asyncio.sleep(REPORT_INTERVAL_S)
        report = target.sample_load(time.monotonic())
        for link in target.links:
            link.send(report)


def _build_target(cfg: ConfigParser) -> Target:
    section = cfg["target"]
    common_fields = {"target": section["name"], "service": section["service"]}
    return Target(
        service=section["service"],
        name=section["name"],
        slots=section.getint("slots", 3),
        report_lag_s=section.getfloat("report_lag_s", 1.0),
        record=RecordFile(path=Path(section["record"]), common_fields=common_fields),
        started_s=time.monotonic(),
    )


async def serve(cfg: ConfigParser, stop: asyncio.Event) -> None:
    """Serve until `stop` is set; SIGUSR1 starts draining."""
    host, port = parse_host_port(cfg["target"]["listen"])
    target = _build_target(cfg)

    def drain() -> None:
        target.draining = True

    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, drain)
    server = await asyncio.start_server(_build_connection_handler(target), host, port, backlog=512)
    reports = asyncio.create_task(_send_reports(target))
    await stop.wait()
    reports.cancel()
    server.close()


if __name__ == "__main__":
    run_program(serve)
