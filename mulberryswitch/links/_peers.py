"""Streams between VMs: one outgoing connection per peer and a server for incoming ones."""

import asyncio
import contextlib
import hashlib
import hmac
import itertools
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from mulberryswitch.contracts import PEER_CODEC, DecodeError, Hello
from mulberryswitch.transport import parse_host_port, read_messages, write_messages

from ._events import PeerLost, PeerMessages, PeerMessagesUnsent, PeerUp

__all__ = ["PeerLinks", "sign_hello", "verify_hello"]

CONNECT_TIMEOUT_S = 1.0
HELLO_TIMEOUT_S = 2.0
HELLO_MAX_AGE_MS = 60_000
MAX_QUEUED_MESSAGES = 10_000
MAX_BATCH_MESSAGES = 256

log = logging.getLogger("peers")


def _compute_mac(key: bytes, hello: Hello) -> bytes:
    text = "\0".join(
        (hello.fleet, hello.vm, hello.zone, str(hello.incarnation), str(hello.stamp_ms))
    )
    return hmac.digest(key, text.encode(), hashlib.sha256)


def sign_hello(*, key: bytes, fleet: str, vm: str, zone: str, incarnation: int, now_s: float):
    """Return a signed ``Hello``."""
    fields = {"fleet": fleet, "vm": vm, "zone": zone, "incarnation": incarnation}
    hello = Hello(**fields, stamp_ms=int(now_s * 1000), mac=b"")
    return Hello(**fields, stamp_ms=hello.stamp_ms, mac=_compute_mac(key, hello))


def verify_hello(*, key: bytes, fleet: str, hello: Hello, now_s: float) -> bool:
    """Return whether `hello` is signed with the fleet's key and at most a minute old."""
    is_recent = abs(now_s * 1000 - hello.stamp_ms) <= HELLO_MAX_AGE_MS
    return (
        is_recent
        and hello.fleet == fleet
        and hmac.compare_digest(hello.mac, _compute_mac(key, hello))
    )


@dataclass(kw_only=True, slots=True, eq=False)
class _OutgoingLink:
    """One outgoing stream and the queue of messages to send on it."""

    queue: asyncio.Queue
    task: asyncio.Task | None = None
    was_open: bool = False
    was_refused: bool = False


class PeerLinks:
    """Manages all streams to and from peers.

    Parameters
    ----------
    listen : str
        ``ip:port`` of the server.
    fleet : str
        Fleet name; streams of peers from another fleet are refused.
    key : bytes
        Shared key of the fleet.
    build_hello : callable
        Returns the signed ``Hello`` of this VM.
    clock : callable
        Returns the current time in seconds since the epoch.
    report : callable
        Called with each event for the node.
    count : callable
        ``count(name, amount)`` increments a counter for sent bytes and refused streams.
    """

    def __init__(
        self,
        *,
        listen: str,
        fleet: str,
        key: bytes,
        build_hello: Callable[[], Hello],
        clock: Callable[[], float],
        report: Callable[[Any], None],
        count: Callable[[str, int], None],
    ):
        self.listen = listen
        self.fleet = fleet
        self.key = key
        self.build_hello = build_hello
        self.clock = clock
        self.report = report
        self.count = count
        self.cut_vms: frozenset[str] = frozenset()
        self._links: dict[str, _OutgoingLink] = {}
        self._vm_by_writer: dict[asyncio.StreamWriter, str] = {}
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to accept streams."""
        host, port = parse_host_port(self.listen)
        self._server = await asyncio.start_server(self._serve, host, port)

    async def stop(self) -> None:
        """Send queued messages for up to a second, then close all streams."""
        if self._server:
            self._server.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(1.0):
                await asyncio.gather(*(link.queue.join() for link in self._links.values()))
        for vm in list(self._links):
            self.close(vm)
        for writer in list(self._vm_by_writer):
            writer.close()

    def cut(self, vms: frozenset[str]) -> None:
        """Drop all traffic with `vms` to simulate a partition in tests."""
        self.cut_vms = vms
        for vm in vms:
            self.close(vm)
        for writer, vm in list(self._vm_by_writer.items()):
            if vm in vms:
                writer.close()

    def send(self, vm: str, address: str, message: Any) -> None:
        """Queue `message` for `vm`; if it cannot be sent, ``PeerMessagesUnsent`` is reported."""
        if vm in self.cut_vms:
            self.report(PeerMessagesUnsent(vm=vm, messages=(message,)))
            return
        link = self._links.get(vm)
        if link is None:
            link = self._links[vm] = self._open_link(vm, address)
        try:
            link.queue.put_nowait(message)
        except asyncio.QueueFull:
            self.report(PeerMessagesUnsent(vm=vm, messages=(message,)))

    def close(self, vm: str) -> None:
        """Close the stream to `vm`, if there is one."""
        link = self._links.get(vm)
        if link is not None:
            link.task.cancel()

    def _open_link(self, vm: str, address: str) -> _OutgoingLink:
        link = _OutgoingLink(queue=asyncio.Queue(MAX_QUEUED_MESSAGES))
        link.task = asyncio.create_task(self._run_link(address, link))
        # The end of the link is reported by a callback, because a task that is cancelled before its
        # first step runs none of its own code.
        link.task.add_done_callback(lambda _: self._handle_link_closed(vm, link))
        return link

    async def _run_link(self, address: str, link: _OutgoingLink) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*parse_host_port(address))
        except (OSError, TimeoutError) as exc:
            link.was_refused = isinstance(exc, ConnectionRefusedError)
            return
        link.was_open = True
        try:
            await self._send_queued(reader, writer, link.queue)
        except OSError as exc:
            log.info("peers: stream lost", extra={"address": address, "reason": str(exc)})
        finally:
            writer.close()

    def _handle_link_closed(self, vm: str, link: _OutgoingLink) -> None:
        if self._links.get(vm) is link:
            del self._links[vm]
        unsent = tuple(link.queue.get_nowait() for _ in range(link.queue.qsize()))
        self.report(PeerMessagesUnsent(vm=vm, messages=unsent))
        self.report(
            PeerLost(
                vm=vm,
                lost_s=self.clock(),
                was_open=link.was_open,
                was_refused=link.was_refused,
            )
        )

    async def _send_queued(self, reader, writer, queue: asyncio.Queue) -> None:
        write_messages(writer, PEER_CODEC, [self.build_hello()])
        # The peer never writes to this stream, so a completed read means that the peer closed it.
        peer_closed = asyncio.create_task(reader.read(1))
        try:
            while True:
                next_message = asyncio.create_task(queue.get())
                await asyncio.wait({next_message, peer_closed}, return_when=asyncio.FIRST_COMPLETED)
                if not next_message.done():
                    next_message.cancel()
                    return
                extra_count = min(queue.qsize(), MAX_BATCH_MESSAGES)
                batch = [next_message.result(), *(queue.get_nowait() for _ in range(extra_count))]
                self.count("peer_bytes", self._write_batch(writer, batch))
                await writer.drain()
                for _ in batch:
                    queue.task_done()
        finally:
            peer_closed.cancel()

    def _write_batch(self, writer: asyncio.StreamWriter, batch: list[Any]) -> int:
        size_bytes = 0
        for message in batch:
            try:
                size_bytes += write_messages(writer, PEER_CODEC, [message])
            except DecodeError as exc:
                log.error("peers: message too large to send", extra={"reason": str(exc)})
        return size_bytes

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        vm = ""
        try:
            stream = read_messages(reader, PEER_CODEC)
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                first = await anext(stream)
            hello = self._check_hello(first[0])
            vm = hello.vm
            self._vm_by_writer[writer] = vm
            self.report(PeerUp(vm=vm, zone=hello.zone, incarnation=hello.incarnation))
            await self._receive_messages(vm, stream, first[1:])
        except (DecodeError, StopAsyncIteration, TimeoutError) as exc:
            self.count("peer_streams_refused", 1)
            log.warning("peers: stream refused", extra={"peer": vm, "reason": str(exc)})
        except OSError as exc:
            log.info("peers: stream lost", extra={"peer": vm, "reason": str(exc)})
        finally:
            self._vm_by_writer.pop(writer, None)
            writer.close()

    def _check_hello(self, message: Any) -> Hello:
        if not isinstance(message, Hello):
            raise DecodeError("first message of the stream is not a Hello")
        if not verify_hello(key=self.key, fleet=self.fleet, hello=message, now_s=self.clock()):
            raise DecodeError("Hello has expired or is not signed with this fleet's key")
        if message.vm in self.cut_vms:
            raise DecodeError("link to this VM is cut for testing")
        return message

    async def _receive_messages(self, vm: str, stream, buffered: list[Any]) -> None:
        if buffered:
            self.report(PeerMessages(vm=vm, messages=tuple(buffered)))
        async for messages in stream:
            if vm in self.cut_vms:
                return
            if any(isinstance(message, Hello) for message in messages):
                raise DecodeError("second Hello on a stream")
            self.report(PeerMessages(vm=vm, messages=tuple(itertools.chain(messages))))
