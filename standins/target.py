"""Target stand-in: serves one service with a few slots and records every event."""

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
from ._process import parse_endpoint, run_program
from ._records import RecordFile

__all__ = ["Job", "Link", "Target", "parse_job", "serve"]

COLD_S = 1.0
COLD_FACTOR = 3.0
READ_BYTES = 64 * 1024
UNPACKER_BYTES = 4 * MAX_TARGET_FRAME_BYTES
REPORT_PERIOD_S = 1.0
MAX_WORK_MS = 60_000
MAX_ANSWER_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, kw_only=True, slots=True)
class Job:
    """Content of a request body."""

    work_ms: int
    answer_bytes: int
    service: str


def parse_job(body: bytes) -> Job | None:
    """Return the job in a request body, or None when it holds none within the limits."""
    try:
        values = msgpack.unpackb(body)
        job = Job(
            work_ms=int(values["work_ms"]),
            answer_bytes=int(values["answer_bytes"]),
            service=str(values["service"]),
        )
    except Exception:  # msgpack raises several unrelated types on bad input
        return None
    within = 0 <= job.work_ms <= MAX_WORK_MS and 0 <= job.answer_bytes <= MAX_ANSWER_BYTES
    return job if within else None


def _parse_service(body: bytes) -> str:
    with contextlib.suppress(Exception):  # msgpack raises several unrelated types on bad input
        return str(msgpack.unpackb(body)["service"])
    return ""


class Link:
    """One TCP link from a VM.

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
        """Queue `message`; a link that is closing drops it."""
        if not self._writer.is_closing():
            self._writer.write(TARGET_CODEC.encode(message))


class Target:
    """Slots, open flows and links of one target.

    Parameters
    ----------
    service, name : str
        Service that the target serves and its own name.
    slots : int
        Requests that run at the same time.
    report_lag_s : float
        Age of the load that a report states, in seconds.
    record : RecordFile
        Receives one event per request and flow transition.
    started_s : float
        Monotonic time of the start; the first second after it is cold.
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
        self.busy = 0
        self.links: set[Link] = set()
        self.flows: dict[bytes, Link] = {}
        self.counts: Counter[str] = Counter()
        self._loads: deque[tuple[float, int]] = deque()
        self._handlers: dict[type, Callable[[Link, Any], None]] = {
            TargetRequest: self._receive_request,
            TargetCancel: self._receive_cancel,
            TargetOpen: self._receive_open,
            TargetData: self._receive_data,
            TargetClose: self._receive_close,
        }

    def receive(self, link: Link, message: Any) -> None:
        """Act on one frame of an attached link; raise ``DecodeError`` on an unexpected type."""
        handler = self._handlers.get(type(message))
        if handler is None:
            raise DecodeError(f"unexpected {type(message).__name__}")
        handler(link, message)

    def refuse_attach(self, message: Any) -> None:
        """Count a link that was opened for another service."""
        self._count("wrong_service", expected=self.service, asked=getattr(message, "service", ""))

    def attach(self, link: Link) -> None:
        """Take `link` into use."""
        self.links.add(link)
        link.send(Attached(service=self.service, target=self.name))

    def detach(self, link: Link) -> None:
        """Forget `link`; its running requests keep their slots until they end."""
        self.links.discard(link)

    def _count(self, event: str, **values: Any) -> None:
        self.counts[event] += 1
        self.record.append(event, **values)

    def _check_service(self, body_service: str, flow: bytes) -> None:
        if body_service != self.service:
            self._count("wrong_service", expected=self.service, asked=body_service, flow=flow.hex())

    def _find_shed_reason(self, req: TargetRequest) -> str:
        if req.deadline_ms and time.time() * 1000 > req.deadline_ms:
            return "late"
        if self.draining:
            return "draining"
        return "full" if self.busy >= self.slots else ""

    def _receive_request(self, link: Link, req: TargetRequest) -> None:
        reason = self._find_shed_reason(req)
        job = parse_job(req.body)
        if job is None:
            reason = "no job"
        if reason:
            self._count("shed", **_request_fields(req), reason=reason, vm=link.vm)
            link.send(Shed(dispatch_id=req.dispatch_id))
            return
        self._check_service(job.service, req.flow)
        self._count("started", **_request_fields(req), body_service=job.service, vm=link.vm)
        self.busy += 1
        cold = time.monotonic() - self.started_s < COLD_S
        work_s = job.work_ms / 1000 * (COLD_FACTOR if cold else 1.0)
        handle = asyncio.get_running_loop().call_later(work_s, self._finish, link, req, job)
        link.running[req.dispatch_id] = (handle, req)

    def _finish(self, link: Link, req: TargetRequest, job: Job) -> None:
        # The slot is free before the answer leaves, so a prompt next request is not shed.
        self._release(link, req, "finished")
        last = count_pieces(job.answer_bytes) - 1
        for index, body in enumerate(iterate_pieces(req.flow, req.request_id, job.answer_bytes)):
            link.send(
                AnswerPiece(dispatch_id=req.dispatch_id, index=index, last=index == last, body=body)
            )

    def _release(self, link: Link, req: TargetRequest, event: str) -> None:
        self.busy -= 1
        del link.running[req.dispatch_id]
        self._count(event, **_request_fields(req))

    def _receive_cancel(self, link: Link, message: TargetCancel) -> None:
        if message.dispatch_id in link.running:
            handle, req = link.running[message.dispatch_id]
            handle.cancel()
            self._release(link, req, "cancelled")

    def _receive_open(self, link: Link, message: TargetOpen) -> None:
        if message.flow not in self.flows:
            service = _parse_service(message.body)
            self._check_service(service, message.flow)
            self._count("flow_opened", flow=message.flow.hex(), body_service=service, vm=link.vm)
        self.flows[message.flow] = link
        link.send(FlowOpened(flow=message.flow))

    def _receive_data(self, link: Link, message: TargetData) -> None:
        if message.flow not in self.flows:
            self._count("unknown_flow_data", flow=message.flow.hex(), vm=link.vm)
            link.send(FlowClosed(flow=message.flow, code=ResultCode.UNKNOWN_FLOW))
            return
        self.flows[message.flow] = link
        self._send_on_flow(FlowData(flow=message.flow, body=message.body))

    def _receive_close(self, link: Link, message: TargetClose) -> None:
        if self.flows.pop(message.flow, None):
            self._count("flow_closed", flow=message.flow.hex(), vm=link.vm)
        link.send(FlowClosed(flow=message.flow, code=ResultCode.OK))

    def _send_on_flow(self, message: FlowData) -> None:
        link = self.flows[message.flow]
        if link not in self.links:
            link = next(iter(self.links), link)
        link.send(message)

    def decide_report(self, now_s: float) -> LoadReport:
        """Return the report for `now_s`, which states the load of `report_lag_s` ago."""
        self._loads.append((now_s, self.busy))
        while len(self._loads) > 1 and self._loads[1][0] <= now_s - self.report_lag_s:
            self._loads.popleft()
        return LoadReport(running=self._loads[0][1], healthy=True, draining=self.draining)


def _request_fields(req: TargetRequest) -> dict[str, Any]:
    return {
        "flow": req.flow.hex(),
        "request_id": req.request_id,
        "attempt": req.attempt,
        "idempotent": req.idempotent,
    }


async def _read_messages(target: Target, reader: asyncio.StreamReader, link: Link) -> None:
    unpacker = msgpack.Unpacker(max_buffer_size=UNPACKER_BYTES)
    attached = False
    while data := await reader.read(READ_BYTES):
        unpacker.feed(data)
        for value in unpacker:
            message = TARGET_CODEC.decode_value(value)
            if attached:
                target.receive(link, message)
            elif isinstance(message, Attach) and message.service == target.service:
                link.vm = message.vm
                target.attach(link)
                attached = True
            else:
                target.refuse_attach(message)
                return


def _build_link_handler(target: Target) -> Callable:
    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        link = Link(vm="", writer=writer)
        try:
            await _read_messages(target, reader, link)
        except (DecodeError, msgpack.UnpackException, ValueError) as exc:
            target.record.append("bad_frame", vm=link.vm, error=str(exc))
        except (ConnectionError, asyncio.CancelledError):
            # asyncio prints a traceback for a link handler that ends as cancelled at shutdown.
            return
        finally:
            target.detach(link)
            writer.close()

    return handle


async def _send_reports(target: Target) -> None:
    while True:
        await asyncio.sleep(REPORT_PERIOD_S)
        report = target.decide_report(time.monotonic())
        for link in target.links:
            link.send(report)


def _build_target(cfg: ConfigParser) -> Target:
    section = cfg["target"]
    fixed = {"target": section["name"], "service": section["service"]}
    return Target(
        service=section["service"],
        name=section["name"],
        slots=section.getint("slots", 3),
        report_lag_s=section.getfloat("report_lag_s", 1.0),
        record=RecordFile(path=Path(section["record"]), fixed=fixed),
        started_s=time.monotonic(),
    )


async def serve(cfg: ConfigParser, stop: asyncio.Event) -> None:
    """Serve until `stop` is set; SIGUSR1 starts to drain."""
    host, port = parse_endpoint(cfg["target"]["listen"])
    target = _build_target(cfg)

    def drain() -> None:
        target.draining = True

    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, drain)
    server = await asyncio.start_server(_build_link_handler(target), host, port, backlog=512)
    reports = asyncio.create_task(_send_reports(target))
    await stop.wait()
    reports.cancel()
    server.close()


if __name__ == "__main__":
    run_program(serve)
