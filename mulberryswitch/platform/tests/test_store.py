"""Tests of the client of the users' store against incomplete and repeated answers."""

import asyncio
import itertools
import json
import unittest

from mulberryswitch.directory import Position
from mulberryswitch.front import HistoryLostError, StoreError
from mulberryswitch.platform import StoreClient
from mulberryswitch.platform._store import MAX_PAGES


def build_item(key: str, revision: int = 5) -> dict:
    return {"key": key, "value": "", "rev": revision, "createRevision": revision, "lease": 0}


def build_page(*keys: str, truncated: bool = False) -> dict:
    items = [build_item(key) for key in keys]
    return {"items": items, "storeRevision": 9, "truncated": truncated}


class StoreClientTestCase(unittest.IsolatedAsyncioTestCase):
    """Fixture with a server that answers each request with the next of some bodies and epochs."""

    async def connect(self, bodies, epochs=()) -> StoreClient:
        remaining = zip(bodies, itertools.chain(epochs, itertools.repeat(0)), strict=False)

        async def serve(reader, writer):
            while await reader.read(1000):
                content, epoch = next(remaining)
                body = json.dumps(content)
                head = f"HTTP/1.1 200 OK\r\nStore-Era: {epoch}\r\nContent-Length: {len(body)}"
                writer.write(f"{head}\r\n\r\n{body}".encode())

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        client = StoreClient(host="127.0.0.1", port=server.sockets[0].getsockname()[1])
        self.addCleanup(client.close)
        return client


class ReadAllTest(StoreClientTestCase):
    """A partial result would count as the deletion of all other keys."""

    async def test_pages_are_joined(self):
        client = await self.connect([build_page("a", "b", truncated=True), build_page("c")])
        result = await client.read_all()
        self.assertEqual([record.key for record in result.records], ["a", "b", "c"])
        self.assertEqual(result.position, Position(revision=9))

    async def test_incomplete_results_are_errors(self):
        endless = (build_page(f"{number:05}", truncated=True) for number in range(MAX_PAGES + 1))
        first = build_page("a", "b", truncated=True)
        for name, pages in {
            "more pages than the limit": endless,
            "truncated page without items": [first, build_page(truncated=True)],
            "second copy of the first page": [first, first],
        }.items():
            with self.subTest(name):
                client = await self.connect(pages)
                with self.assertRaises(StoreError):
                    await client.read_all()


class EpochTest(StoreClientTestCase):
    """Revisions of a store that was restored from an older copy must not be compared."""

    async def watch(self, epoch: int | str) -> Position:
        changes = {"events": [build_item("a", 9)], "storeRevision": 9}
        client = await self.connect([changes], [epoch])
        return (await client.watch(after=Position(2, 5), wait_s=0.1)).position

    async def test_watch_that_succeeds_in_a_later_epoch_has_skipped_changes(self):
        self.assertEqual(await self.watch(2), Position(2, 9))
        with self.assertRaises(HistoryLostError) as caught:
            await self.watch(3)
        self.assertEqual(caught.exception.epoch, 3)

    async def test_earlier_or_malformed_epoch_is_an_error(self):
        for epoch in (1, "", "-1", "x", "²"):
            with self.subTest(epoch), self.assertRaises(StoreError) as caught:
                await self.watch(epoch)
            self.assertNotIsInstance(caught.exception, HistoryLostError)

    async def test_pages_of_two_epochs_are_not_joined(self):
        client = await self.connect([build_page("a", truncated=True), build_page("b")], [1, 2])
        with self.assertRaises(StoreError):
            await client.read_all()


class WatchTest(StoreClientTestCase):
    """A second copy of an answer must not be taken for the answer to the next watch."""

    async def watch(self, after: int, answer: dict) -> list[int]:
        self.client = await self.connect([answer])
        result = await self.client.watch(after=Position(revision=after), wait_s=0.1)
        return [record.revision for record in result.records]

    async def test_changes_are_returned(self):
        answer = {"events": [build_item("a", 6), build_item("b", 9)], "storeRevision": 9}
        self.assertEqual(await self.watch(5, answer), [6, 9])

    async def test_answer_to_an_earlier_watch_is_an_error(self):
        """The first answer led to revision 9; its copy repeats the changes up to there."""
        for answer in (
            {"events": [build_item("a", 6), build_item("b", 9)], "storeRevision": 9},
            {"events": [], "storeRevision": 8},
        ):
            with self.subTest(answer), self.assertRaises(StoreError):
                await self.watch(9, answer)
            self.assertIsNone(self.client._http._streams)


if __name__ == "__main__":
    unittest.main()
