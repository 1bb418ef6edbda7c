"""The task that reads the store."""

import asyncio
import logging
from collections.abc import Callable
from random import Random

from mulberryswitch.directory import Directory, Pause, ReadAll, ReadPlanner

from ._settings import Changes, HistoryLostError, Store, StoreError

__all__ = ["StoreReader"]

IDLE_CHECK_S = 0.1

log = logging.getLogger("store")


class StoreReader:
    """Reads the store in the order that ``ReadPlanner`` decides and fills the directory.

    Parameters
    ----------
    directory : Directory
    store : Store
    rng : Random
    clock : callable
        Returns seconds that never go back.
    report_change : callable
        Called after the directory has changed.
    count : callable
        ``count(name, amount)`` adds to a counter.
    is_needed : callable
        Returns whether this VM has to read the store now.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        store: Store,
        rng: Random,
        clock: Callable[[], float],
        report_change: Callable[[], None],
        count: Callable[[str, int], None],
        is_needed: Callable[[], bool] = lambda: True,
    ):
        self.directory = directory
        self.store = store
        self.rng = rng
        self.clock = clock
        self.report_change = report_change
        self.count = count
        self.is_needed = is_needed
        self.planner = ReadPlanner()

    def replace_store(self, store: Store) -> None:
        """Read another store from now on."""
        self.store.close()
        self.store = store

    async def run(self) -> None:
        """Read for ever."""
        while True:
            if not self.is_needed():
                await asyncio.sleep(IDLE_CHECK_S)
                continue
            step = self.planner.decide(revision=self.directory.revision, now_s=self.clock())
            if isinstance(step, Pause):
                await asyncio.sleep(step.wait_s)
                continue
            self.count("store_reads", 1)
            try:
                await self._read(step)
            except HistoryLostError:
                log.warning("store lost its history", extra={"after": self.directory.revision})
                self.planner.observe_history_lost()
            except StoreError as exc:
                self._observe_failure(exc)

    async def _read(self, step) -> None:
        is_whole = isinstance(step, ReadAll)
        if is_whole:
            changes = await self.store.read_all(may_be_stale=step.may_be_stale)
        else:
            changes = await self.store.watch(after=step.after, wait_s=step.wait_s)
        now_s = self.clock()
        if self.planner.failures:
            log.info("store answers again", extra={"failures": self.planner.failures})
        size_bytes = sum(len(record.value or b"x") for record in changes.records)
        self.planner.observe_success(size_bytes=size_bytes, now_s=now_s)
        self._apply(changes, is_whole, now_s)

    def _apply(self, changes: Changes, is_whole: bool, now_s: float) -> None:
        apply = self.directory.apply_snapshot if is_whole else self.directory.apply_records
        if apply(records=changes.records, revision=changes.revision, now_s=now_s):
            self.report_change()

    def _observe_failure(self, exc: StoreError) -> None:
        self.count("store_reads_failed", 1)
        if not self.planner.failures:
            log.warning(
                "store does not answer",
                extra={"error": str(exc), "revision": self.directory.revision},
            )
        self.planner.observe_failure(
            is_loaded=self.directory.is_loaded, now_s=self.clock(), rng=self.rng
        )
