"""HTTP client of the users' store."""

import base64
import binascii
from dataclasses import dataclass
from typing import NoReturn
from urllib.parse import urlencode

import msgspec

from mulberryswitch.directory import Position, Record
from mulberryswitch.front import AnswerTooLargeError, HistoryLostError, StoreError
from mulberryswitch.transport import BodyTooLargeError, HttpClient, HttpError

__all__ = ["StoreReadResult", "StoreClient"]

MAX_PAGES = 1_000
READ_TIMEOUT_S = 2.0
# The store answers a watch at the end of its wait at the latest; without an answer after this
# additional time the connection is taken for dead.
WATCH_MARGIN_S = 0.8
# Room for the largest value of the store, encoded, and the usual changes beside it. Several large
# values in one answer are versions of one key, of which only the newest is needed.
MAX_WATCH_BYTES = 2 * 1024 * 1024
HTTP_OK = 200
HTTP_GONE = 410
# Rises by one each time the store comes back from an older copy. A store without it is in epoch 0.
EPOCH_HEADER = "store-era"


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreReadResult:
    """Records that a read returned, and the position up to which they are complete."""

    records: list[Record]
    position: Position


class _Item(msgspec.Struct, rename="camel"):
    key: str
    # Revision of the last change of the key.
    rev: int
    create_revision: int = 0
    value: str | None = None
    deleted: bool = False


class _RangeResponse(msgspec.Struct, rename="camel"):
    items: list[_Item]
    store_revision: int
    # Whether more items follow after the last key of this page.
    truncated: bool = False


class _WatchResponse(msgspec.Struct, rename="camel"):
    events: list[_Item]
    store_revision: int


_decode_page = msgspec.json.Decoder(_RangeResponse).decode
_decode_watch = msgspec.json.Decoder(_WatchResponse).decode


class StoreClient:
    """Reads all keys of the store and watches them for changes.

    Parameters
    ----------
    host : str
    port : int
    """

    def __init__(self, *, host: str, port: int):
        self._http = HttpClient(host=host, port=port)

    async def read_all(self) -> StoreReadResult:
        """Return every record.

        The pages of one read are not a consistent snapshot, so the result has the revision of the
        first page. A watch from there repeats changes that later pages may already contain.

        Raises
        ------
        StoreError
            If the store cannot be reached, or its answer is invalid or incomplete.
        """
        items: list[_Item] = []
        first: Position | None = None
        after = None
        for _ in range(MAX_PAGES):
            query = {"prefix": ""}
            if after is not None:
                query["after"] = after
            page, epoch = await self._read("/-/kv-range", query, READ_TIMEOUT_S, _decode_page)
            self._check_page(page, after)
            if first is None:
                first = Position(epoch, page.store_revision)
            if epoch != first.epoch:
                self._reject(f"pages of the epochs {first.epoch} and {epoch} in one read")
            items += page.items
            if not page.truncated:
                return StoreReadResult(records=_build_records(items, epoch), position=first)
            after = page.items[-1].key
        # A partial result would count as the deletion of all other keys.
        raise StoreError(f"the store has more than {MAX_PAGES} pages of items")

    def _check_page(self, page: _RangeResponse, after: str | None) -> None:
        """Reject a page that does not follow the requested key, such as a repeated answer."""
        if page.truncated and not page.items:
            self._reject("truncated page without items")
        if after is not None and any(item.key <= after for item in page.items):
            self._reject(f"page contains keys up to the requested start {after!r}")

    async def watch(self, *, after: Position, wait_s: float) -> StoreReadResult:
        """Return the changes after a position, waiting up to `wait_s` seconds for the first.

        Raises
        ------
        HistoryLostError
            If the store no longer keeps these changes, or has entered another epoch, in which the
            revision of `after` stands for another change.
        AnswerTooLargeError
            If these changes exceed ``MAX_WATCH_BYTES``.
        StoreError
            If the store cannot be reached or its answer is invalid.
        """
        query = {"prefix": "", "after": str(after.revision), "waitMs": str(int(wait_s * 1000))}
        answer, epoch = await self._read(
            "/-/kv-watch",
            query,
            wait_s + WATCH_MARGIN_S,
            _decode_watch,
            max_bytes=MAX_WATCH_BYTES,
        )
        if epoch < after.epoch:
            self._reject(f"epoch {epoch} after epoch {after.epoch}")
        if epoch > after.epoch:
            raise HistoryLostError("the store has entered another epoch", epoch=epoch)
        # A second copy of an earlier answer would shift all later answers on the connection by one.
        revisions = [answer.store_revision + 1, *(event.rev for event in answer.events)]
        if min(revisions) <= after.revision:
            self._reject(f"watch after revision {after.revision} returned earlier changes")
        return StoreReadResult(
            records=_build_records(answer.events, epoch),
            position=Position(epoch, answer.store_revision),
        )

    def _reject(self, reason: str) -> NoReturn:
        """Close the connection, whose next answer may belong to an earlier request as well."""
        self._http.close()
        raise StoreError(f"invalid answer of the store: {reason}")

    def close(self) -> None:
        """Close the connection."""
        self._http.close()

    async def _read(
        self, path: str, query: dict[str, str], timeout_s: float, decode, **options: int
    ):
        url = f"{path}?{urlencode(query)}"
        try:
            response = await self._http.get(path=url, timeout_s=timeout_s, **options)
        except BodyTooLargeError as exc:
            raise AnswerTooLargeError(str(exc)) from exc
        except HttpError as exc:
            raise StoreError(str(exc)) from exc
        epoch = _parse_epoch(response.headers.get(EPOCH_HEADER, "0"))
        if response.status == HTTP_GONE:
            raise HistoryLostError("the store no longer keeps the requested changes", epoch=epoch)
        if response.status != HTTP_OK:
            self._http.close()
            raise StoreError(f"the store answered with status {response.status}")
        try:
            return decode(response.body), epoch
        except ValueError as exc:
            raise StoreError(f"malformed answer of the store: {exc}") from exc


def _parse_epoch(text: str) -> int:
    if not (text.isascii() and text.isdigit()):
        raise StoreError(f"the store answered with epoch {text!r}, expected a whole number")
    return int(text)


def _build_records(items: list[_Item], epoch: int) -> list[Record]:
    return [_build_record(item, epoch) for item in items]


def _build_record(item: _Item, epoch: int) -> Record:
    try:
        value = None if item.deleted else base64.b64decode(item.value or "", validate=True)
    except binascii.Error:
        # The key exists with an invalid value, which must not be taken for a deletion.
        value = b""
    return Record(
        key=item.key,
        revision=item.rev,
        created_revision=item.create_revision,
        value=value,
        epoch=epoch,
    )
