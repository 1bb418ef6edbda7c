"""Task that reads the store and applies its records to the directory."""

import asyncio
import logging
from collections.abc import Callable
from random import Random

from mulberryswitch.directory import Directory, Pause, ReadAll, ReadPlanner, Watch

from ._settings import AnswerTooLargeError, HistoryLostError, Store, StoreError

__all__ = ["StoreReader"]

IDLE_POLL_S = 0.1

log = logging.getLogger("store")


class StoreReader:
    """Performs the reads that ``ReadPlanner`` schedules and applies them to the directory.

    Parameters
    ----------
    directory : Directory
    store : Store
    rng : Random
    clock : callable
        Monotonic clock in seconds.
    report_change : callable
        Called after the directory has changed.
    count : callable
        ``count(name, amount)`` adds to a counter.
    should_read : callable
        Returns whether this VM currently has to read the store itself.
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
        should_read: Callable[[], bool] = lambda: True,
    ):
        self.directory = directory
        self.store = store
        self.rng = rng
        self.clock = clock
        self.report_change = report_change
        self.count = count
        self.should_read = should_read
        self.planner = ReadPlanner()

    def replace_store(self, store: Store) -> None:
        """Close the present store and read from `store` instead."""
        self.store.close()
        self.store = store

    async def run(self) -> None:
        """Read the store until the task is cancelled."""
        while True:
            if not self.should_read():
                await asyncio.sleep(IDLE_POLL_S)
                continue
            step = self.planner.decide(
                position=self.directory.position, now_s=self.clock(), due_s=self.directory.due_s
            )
            if isinstance(step, Pause):
                await asyncio.sleep(step.wait_s)
                continue
            self.count("store_reads", 1)
            try:
                await self._read(step)
            except HistoryLostError as exc:
                log.warning(
                    "store does not have the requested changes, reading all records",
                    extra={
                        "error": str(exc),
                        "epoch": exc.epoch,
                        "replica_epoch": self.directory.epoch,
                        "replica_revision": self.directory.revision,
                    },
                )
                self.planner.observe_history_lost()
            except AnswerTooLargeError as exc:
                log.warning(
                    "changes of the store are too large, reading all records",
                    extra={"error": str(exc), "replica_revision": self.directory.revision},
                )
                self._observe_too_large(step)
            except StoreError as exc:
                self._observe_failure(exc)

    async def _read(self, step: ReadAll | Watch) -> None:
        if isinstance(step, ReadAll):
            result, apply = await self.store.read_all(), self.directory.apply_snapshot
        else:
            result = await self.store.watch(after=step.after, wait_s=step.wait_s)
            apply = self.directory.apply_records
        now_s = self.clock()
        if self.planner.failures:
            log.info("store is reachable again", extra={"failures": self.planner.failures})
            self.directory.observe_outage_end(now_s)
        size_bytes = sum(len(record.value or b"x") for record in result.records)
        self.planner.observe_success(size_bytes=size_bytes, now_s=now_s)
        if apply(records=result.records, position=result.position, now_s=now_s):
            self.report_change()

    def _observe_too_large(self, step: ReadAll | Watch) -> None:
        """Read the present state next; a present state that is too large is a failed read."""
        self.count("store_answers_too_large", 1)
        if isinstance(step, Watch):
            self.planner.observe_history_lost()
        else:
            self._observe_failure(StoreError("all records exceed one answer"))

    def _observe_failure(self, exc: StoreError) -> None:
        self.count("store_reads_failed", 1)
        if not self.planner.failures:
            log.warning(
                "store read failed",
                extra={"error": str(exc), "revision": self.directory.revision},
            )
        self.planner.observe_failure(
            is_loaded=self.directory.is_loaded, now_s=self.clock(), rng=self.rng
        )
