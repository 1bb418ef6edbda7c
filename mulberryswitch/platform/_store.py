"""Reads of the users' store."""

import base64
import binascii
from dataclasses import dataclass
from urllib.parse import urlencode

import msgspec

from mulberryswitch.directory import Record
from mulberryswitch.front import HistoryLostError, StoreError
from mulberryswitch.transport import HttpClient, HttpError

__all__ = ["StoreChanges", "StoreClient"]

MAX_PAGES = 1_000
READ_TIMEOUT_S = 2.0
# A watch that waits is answered at its end; on a silent connection nothing comes.
WATCH_MARGIN_S = 0.8
HTTP_OK = 200
HTTP_GONE = 410


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreChanges:
    """Records of the store up to `revision`."""

    records: list[Record]
    revision: int


class _Item(msgspec.Struct, rename="camel"):
    key: str
    # Revision of the last change.
    rev: int
    create_revision: int = 0
    value: str | None = None
    deleted: bool = False


class _Page(msgspec.Struct, rename="camel"):
    items: list[_Item]
    store_revision: int
    # More items follow after the last key of this page.
    truncated: bool = False


class _Watch(msgspec.Struct, rename="camel"):
    events: list[_Item]
    store_revision: int


_decode_page = msgspec.json.Decoder(_Page).decode
_decode_watch = msgspec.json.Decoder(_Watch).decode


class StoreClient:
    """Reads all keys of the store and watches them for changes.

    Parameters
    ----------
    host : str
    port : int
    """

    def __init__(self, *, host: str, port: int):
        self._http = HttpClient(host=host, port=port)

    async def read_all(self, *, may_be_stale: bool) -> StoreChanges:
        """Return every record.

        Pages are not a snapshot, so the revision is that of the first one: the changes after it
        repeat what later pages may already show.

        Parameters
        ----------
        may_be_stale : bool
            Accept a state that is seconds old, which costs the store a tenth; a watch from its
            revision closes the gap.

        Raises
        ------
        StoreError
            If the store cannot be reached or answers anything but a page.
        """
        items: list[_Item] = []
        first_revision = None
        after = None
        for _ in range(MAX_PAGES):
            query = {"prefix": ""}
            if may_be_stale:
                query["serializable"] = "1"
            if after is not None:
                query["after"] = after
            page = await self._read("/-/kv-range", query, READ_TIMEOUT_S, _decode_page)
            if first_revision is None:
                first_revision = page.store_revision
            items += page.items
            if not page.truncated or not page.items:
                break
            after = page.items[-1].key
        return StoreChanges(records=_build_records(items), revision=first_revision)

    async def watch(self, *, after: int, wait_s: float) -> StoreChanges:
        """Return the changes after a revision, at the latest after `wait_s` seconds.

        Raises
        ------
        HistoryLostError
            If the store has dropped that part of its history.
        StoreError
            If the store cannot be reached or answers anything else.
        """
        query = {"prefix": "", "after": str(after), "waitMs": str(int(wait_s * 1000))}
        answer = await self._read("/-/kv-watch", query, wait_s + WATCH_MARGIN_S, _decode_watch)
        return StoreChanges(records=_build_records(answer.events), revision=answer.store_revision)

    def close(self) -> None:
        """Close the connection."""
        self._http.close()

    async def _read(self, path: str, query: dict[str, str], timeout_s: float, decode):
        try:
            response = await self._http.get(path=f"{path}?{urlencode(query)}", timeout_s=timeout_s)
        except HttpError as exc:
            raise StoreError(str(exc)) from exc
        if response.status == HTTP_GONE:
            raise HistoryLostError("the store dropped the history that was asked for")
        if response.status != HTTP_OK:
            self._http.close()
            raise StoreError(f"the store answered with status {response.status}")
        try:
            return decode(response.body)
        except ValueError as exc:
            raise StoreError(f"unreadable answer of the store: {exc}") from exc


def _build_records(items: list[_Item]) -> list[Record]:
    return [_build_record(item) for item in items]


def _build_record(item: _Item) -> Record:
    try:
        value = None if item.deleted else base64.b64decode(item.value or "", validate=True)
    except binascii.Error:
        # The key has a value that nobody can read, which is not the same as a deletion.
        value = b""
    return Record(
        key=item.key, revision=item.rev, created_revision=item.create_revision, value=value
    )
