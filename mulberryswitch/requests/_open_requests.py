"""Listing of queued and running requests for operators."""

from collections.abc import Iterable
from dataclasses import dataclass

from ._records import Record

__all__ = ["OpenRequest", "list_open_requests"]


@dataclass(frozen=True, slots=True)
class OpenRequest:
    """A queued or running request; `since_s` is the time at which it entered its state."""

    flow: bytes
    request_id: int
    attempt: int
    state: str
    target: str
    is_long: bool
    since_s: float


def list_open_requests(records: Iterable[Record]) -> list[OpenRequest]:
    """Return the requests that are queued or running."""
    return [
        OpenRequest(
            flow=record.key[0],
            request_id=record.key[1],
            attempt=record.attempt,
            state=record.state.value,
            target=record.target,
            is_long=record.is_long,
            since_s=record.started_s if record.target else record.queued_s,
        )
        for record in records
        if record.is_open
    ]
