"""Model check of replicas while the store is restored, written again, read and pulled from."""

import math
import unittest
from collections.abc import Iterable
from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from mulberryswitch.directory import START, Directory, Position, Record, Target
from mulberryswitch.directory.tests.builders import (
    CONFIG_KEY,
    build_config_record,
    build_record,
    build_target_record,
    decode,
)

REPLICAS = 3
NAMES = ("t0", "t1", "t2", "t3")
# Writers notice a restore within this time.
REWRITE_S = 2.0
# A departed target may still be live, and register again, within this time.
GRACE_S = 2.5
# The store may hold a record of an ended process for this time after a restore.
COPY_S = 15.0
SETTLED_S = 20

replica_numbers = st.integers(0, REPLICAS - 1)
target_names = st.sampled_from(NAMES)


class StoreModel:
    """Store with all its changes; a restore keeps the oldest ones only."""

    def __init__(self) -> None:
        self.epoch = 1
        self.changes: list[Record] = []
        self.items: dict[str, Record] = {}

    @property
    def position(self) -> Position:
        return Position(self.epoch, 1 + len(self.changes))

    def write(self, build, key: str, **content) -> None:
        """Append the record that `build` returns for the next revision."""
        known = self.items.get(key)
        revision = self.position.revision + 1
        created = known.created_revision if known else revision
        self._append(build(key, revision, epoch=self.epoch, created=created, **content))

    def _append(self, record: Record) -> None:
        self.changes.append(record)
        if record.value is None:
            self.items.pop(record.key, None)
        else:
            self.items[record.key] = record

    def restore(self, count: int) -> None:
        """Lose the last `count` changes; the next epoch begins."""
        kept = self.changes[: max(1, len(self.changes) - count)]
        self.epoch += 1
        self.changes, self.items = [], {}
        for record in kept:
            # The records of an answer are of the epoch of the answer.
            self._append(
                Record(
                    key=record.key,
                    revision=record.revision,
                    created_revision=record.created_revision,
                    value=record.value,
                    epoch=self.epoch,
                )
            )

    def list_after(self, position: Position) -> list[Record]:
        return [change for change in self.changes if change.revision > position.revision]


def build_config(key: str, revision: int, *, created: int, **content) -> Record:
    return build_config_record(revision, **content)


@dataclass(kw_only=True)
class View:
    """Processes that one replica has seen since its start, as name and start time.

    `expected` are those that it listed when the store was restored, `missing_since_s` ended ones
    that it has listed, with the time since when it does not.
    """

    confirmed_s: float = -math.inf
    drained: set[tuple[str, int]] = field(default_factory=set)
    expected: set[tuple[str, int]] = field(default_factory=set)
    listed: set[tuple[str, int]] = field(default_factory=set)
    missing_since_s: dict[tuple[str, int], float] = field(default_factory=dict)


def list_processes(targets: Iterable[Target]) -> set[tuple[str, int]]:
    return {(target.key, target.boot_ms) for target in targets}


class RestoreMachine(RuleBasedStateMachine):
    """Three replicas that read one store and pull from each other."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.store = StoreModel()
        self.replicas = [Directory(decode=decode) for _ in range(REPLICAS)]
        self.former = [(0, START)] * REPLICAS
        self.version = 0
        self.boots = 0
        self.live: dict[str, dict] = {}
        self.rewrite_due_s: float | None = None
        self.restored_s = -COPY_S
        self.views = [View() for _ in range(REPLICAS)]
        self.publish()

    # Writers

    @rule()
    def publish(self) -> None:
        self.version += 1
        self.write_config()

    @rule(name=target_names)
    def start_and_read(self, name: str) -> None:
        self.start(name)
        self.read_everywhere()

    @rule(name=target_names)
    def leave_and_read(self, name: str) -> None:
        self.leave(name)
        self.read_everywhere()

    @rule()
    def read_everywhere(self) -> None:
        for number in range(REPLICAS):
            self.read(number)

    def write_config(self) -> None:
        routes = {1000 + self.version: "feeds"}
        self.store.write(build_config, CONFIG_KEY, version=self.version, routes=routes)

    @rule(name=target_names)
    def start(self, name: str) -> None:
        if name not in self.live:
            self.boots += 1
            self.live[name] = {"boot_ms": self.boots, "draining": False}
            self.write_target(name)

    def write_target(self, name: str) -> None:
        self.store.write(build_target_record, name, **self.live[name])

    @rule(name=target_names)
    def drain(self, name: str) -> None:
        if name in self.live:
            self.live[name]["draining"] = True
            self.write_target(name)

    @rule(name=target_names)
    def leave(self, name: str) -> None:
        if self.live.pop(name, None) is not None:
            self.delete(name)

    def delete(self, name: str) -> None:
        if name in self.store.items:
            self.store.write(build_record, name)

    @rule(count=st.integers(1, 6))
    def restore(self, count: int) -> None:
        self.store.restore(count)
        self.restored_s = self.now_s
        if self.rewrite_due_s is None:
            self.rewrite_due_s = self.now_s + REWRITE_S
        for view, replica in zip(self.views, self.replicas, strict=True):
            view.expected = list_processes(replica.targets.values())

    @rule()
    def write_again(self) -> None:
        if self.rewrite_due_s is None:
            return
        self.rewrite_due_s = None
        self.write_config()
        for name in self.live:
            self.write_target(name)
        for name in NAMES:
            if name not in self.live:
                self.delete(name)

    # Replicas

    @rule(number=replica_numbers)
    def read(self, number: int) -> None:
        replica, position = self.replicas[number], self.store.position
        self.views[number].confirmed_s = self.now_s
        if replica.epoch == position.epoch:
            changes = self.store.list_after(replica.position)
            replica.apply_records(records=changes, position=position, now_s=self.now_s)
        else:
            records = list(self.store.items.values())
            replica.apply_snapshot(records=records, position=position, now_s=self.now_s)
        self.apply_due()

    @rule(number=replica_numbers, peer_number=replica_numbers)
    def pull(self, number: int, peer_number: int) -> None:
        replica, peer = self.replicas[number], self.replicas[peer_number]
        if peer.position == START or number == peer_number:
            return
        if peer.position >= replica.position:
            view, peer_view = self.views[number], self.views[peer_number]
            view.confirmed_s = max(view.confirmed_s, peer_view.confirmed_s)
        changes = None if replica.needs_heritage else peer.list_changes(replica.position)
        if changes is not None:
            replica.apply_records(records=changes, position=peer.position, now_s=self.now_s)
            return
        replica.apply_snapshot(
            records=peer.list_records(),
            position=peer.position,
            now_s=self.now_s,
            heritage=peer.build_heritage(self.now_s),
        )

    @rule(number=replica_numbers)
    def restart(self, number: int) -> None:
        self.replicas[number] = Directory(decode=decode)
        self.former[number] = (0, START)
        self.views[number] = View()

    @rule(seconds=st.floats(0.1, 3.0))
    def wait(self, seconds: float) -> None:
        if self.rewrite_due_s is not None and self.now_s + seconds > self.rewrite_due_s:
            self.write_again()
        self.now_s += seconds
        self.apply_due()

    def apply_due(self) -> None:
        for view, replica in zip(self.views, self.replicas, strict=True):
            replica.apply_due(now_s=self.now_s, confirmed_s=view.confirmed_s)

    # Checks

    @invariant()
    def nothing_goes_back(self) -> None:
        for number, replica in enumerate(self.replicas):
            version, position = self.former[number]
            assert replica.version >= version, (number, version, replica.version)
            assert replica.position >= position, (number, position, replica.position)
            self.former[number] = (replica.version, replica.position)

    @invariant()
    def drained_processes_stay_out(self) -> None:
        for view, replica in zip(self.views, self.replicas, strict=True):
            targets = [*replica.targets.values()]
            view.drained |= list_processes(t for t in targets if t.is_draining)
            back = list_processes(t for t in targets if not t.is_draining) & view.drained
            assert not back, back

    @invariant()
    def live_processes_stay_until_they_are_written_again(self) -> None:
        if self.rewrite_due_s is None:
            return
        live = {(name, state["boot_ms"]) for name, state in self.live.items()}
        for view, replica in zip(self.views, self.replicas, strict=True):
            lost = (view.expected & live) - list_processes(replica.targets.values())
            assert not lost, lost

    @invariant()
    def ended_processes_stay_out_while_the_store_may_hold_them(self) -> None:
        live = {(name, state["boot_ms"]) for name, state in self.live.items()}
        for view, replica in zip(self.views, self.replicas, strict=True):
            listed = list_processes(replica.targets.values())
            missing = {process for process in view.listed - listed if process not in live}
            view.listed |= listed
            view.missing_since_s |= dict.fromkeys(missing - view.missing_since_s.keys(), self.now_s)
            gone = {p for p, s in view.missing_since_s.items() if self.now_s - s > GRACE_S}
            if self.now_s <= self.restored_s + COPY_S:
                assert not gone & listed, gone & listed
            for process in listed:
                view.missing_since_s.pop(process, None)

    def teardown(self) -> None:
        """After all is written again, each replica has the content of the store."""
        self.write_again()
        for _ in range(2):
            for number in range(REPLICAS):
                self.read(number)
            for _ in range(SETTLED_S):
                self.now_s += 1.0
                for view in self.views:
                    view.confirmed_s = self.now_s
                self.apply_due()
        expected = {name: state["draining"] for name, state in self.live.items()}
        for replica in self.replicas:
            targets = {key: target.is_draining for key, target in replica.targets.items()}
            assert targets == expected, (targets, expected)
            assert replica.version == self.version, (replica.version, self.version)
            assert [key[1] for key in replica.routes] == [1000 + self.version]
            assert not replica.keeps_heritage


RestoreMachineTest = RestoreMachine.TestCase
RestoreMachineTest.settings = settings(max_examples=150, stateful_step_count=40)


if __name__ == "__main__":
    unittest.main()
