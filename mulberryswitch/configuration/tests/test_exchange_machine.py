"""Stateful test of several exchanges under faults of the platform, the network and the VMs."""

from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from mulberryswitch.configuration import SheetRefusedError, check_sheet

from .builders import Fleet, build_document, build_service

VMS = 5  # a starting VM queries eight peers at once, so it queries all of these
SHARED_ADDRESSES = ("10.9.0.1:80", "10.9.0.2:80")  # addresses that documents move between services
QUIET_TICKS = 100  # of one second each; refused versions are read again after 60 s
MAX_MESSAGES = 60
vm_indexes = st.integers(0, VMS - 1)
holder_pairs = st.tuples(*[st.sampled_from(["a", "b", ""])] * 2)


def read_bindings(store) -> dict[str, tuple[int, str]]:
    """Return version and service of each bound address."""
    return {a: (version, name) for a, name, version in store.tombstones.list_changed_since(0)}


class ExchangeMachine(RuleBasedStateMachine):
    """VMs of two zones, a platform with versions, and messages in flight.

    Guards against reverts, diverging content and reassigned addresses under combined faults.
    """

    def __init__(self):
        super().__init__()
        self.fleet = Fleet(count=VMS, rng=Random(1))
        self.published: list[tuple[int, bytes]] = []
        self.min_keys = dict.fromkeys(self.fleet.nodes, (0, b""))
        self.settled_bindings: dict[str, dict[str, tuple[int, str]]] = {}

    # The platform.

    def add_version(self, holders, count, step):
        """Publish a document that assigns the shared addresses to `holders`."""
        version = (self.published[-1][0] if self.published else 1) + step
        services = [
            build_service(
                name,
                f"10.9.1.{ord(name)}:80",
                *(a for a, holder in zip(SHARED_ADDRESSES, holders, strict=True) if holder == name),
                count=count,
            )
            for name in "ab"
        ]
        self.published.append((version, build_document(*services)))

    @rule(holders=holder_pairs, count=st.integers(1, 3), step=st.integers(0, 2))
    def publish(self, holders, count, step):
        """Publish the next version, or other content under the last one."""
        self.add_version(holders, count, step)

    @rule(holders=holder_pairs, others=holder_pairs, step=st.integers(0, 1), index=vm_indexes)
    def publish_twice(self, holders, others, step, index):
        """Publish two versions within a second, or one with two contents, to different VMs."""
        for offset, pair, added in ((0, holders, 1), (1, others, step)):
            self.add_version(pair, 1 + offset, added)
            version, document = self.published[-1]
            self.fleet.publish(f"vm{(index + offset) % VMS}", document, version)

    @precondition(lambda self: self.published)
    @rule(
        index=vm_indexes, back=st.integers(0, 4), fault=st.sampled_from(["", "", "half", "large"])
    )
    def read_platform(self, index, back, fault):
        """Let a VM read the latest, an older, a truncated or an oversized document."""
        version, document = self.published[max(0, len(self.published) - 1 - back)]
        changed = {"half": document[: len(document) // 2], "large": document + b" " * 2**20}
        self.fleet.publish(f"vm{index}", changed.get(fault, document), version)

    @rule(index=vm_indexes)
    def fail_platform(self, index):
        """Let a platform read fail."""
        self.fleet.nodes[f"vm{index}"].observe_platform_failure(now_s=self.fleet.now_s)

    # The network and the VMs.

    @rule(step_s=st.sampled_from([0.25, 0.25, 1.0, 3.0]))
    def advance(self, step_s):
        """Advance the time; messages beyond the limit are lost."""
        self.fleet.tick(step_s)
        del self.fleet.messages[:-MAX_MESSAGES]

    @precondition(lambda self: self.fleet.messages)
    @rule(index=st.integers(0, MAX_MESSAGES), fault=st.sampled_from(["", "", "", "lose", "repeat"]))
    def deliver(self, index, fault):
        """Deliver, lose or duplicate a message out of order."""
        position = index % len(self.fleet.messages)
        if fault == "lose":
            self.fleet.messages.pop(position)
            return
        if fault == "repeat":
            self.fleet.messages.append(self.fleet.messages[position])
        self.fleet.deliver(position)

    @rule()
    def deliver_pending(self):
        """Deliver all messages in order."""
        self.fleet.deliver_all()

    @rule(cut=st.booleans())
    def cut_zones(self, cut):
        """Start or heal a partition between the zones."""
        self.fleet.is_partitioned = cut

    def reset_vm(self, index):
        """Replace a VM and reset the expectations of it."""
        vm = self.fleet.replace_vm(index)
        self.min_keys[vm] = (0, b"")
        self.settled_bindings.pop(vm, None)
        return vm

    @rule(index=vm_indexes, answered=st.booleans())
    def replace_vm(self, index, answered):
        """Replace a VM; if peers answer within the first second, it must not fall behind them."""
        vm = self.reset_vm(index)
        if not answered:
            return
        reachable = [n for n in self.fleet.nodes.values() if self.fleet.can_reach(vm, n.vm)]
        if self.published:
            self.fleet.publish(vm, self.published[0][1], self.published[0][0])
            assert self.fleet.nodes[vm].store.version == 0, "platform read before peers answered"
        self.fleet.messages.clear()
        self.fleet.tick(vms=[vm])
        self.fleet.deliver_all()
        self.min_keys[vm] = max(node.store.key for node in reachable)

    @precondition(lambda self: self.published)
    @rule(index=vm_indexes)
    def start_isolated_vm(self, index):
        """Replace a VM that reads the platform while all its messages are lost."""
        vm = self.reset_vm(index)
        waiting = self.fleet.messages
        self.fleet.publish(vm, self.published[-1][1], self.published[-1][0])
        for _ in range(5):
            self.fleet.messages = []
            self.fleet.tick(vms=[vm])
        self.fleet.messages = waiting

    # Quiescence.

    @rule()
    def settle(self):
        """Heal all faults and wait; all VMs must converge."""
        self.fleet.is_partitioned = False
        for _ in range(QUIET_TICKS):
            self.fleet.tick(1.0)
            self.answer_due_reads()
            self.fleet.deliver_all()
        stores = [node.store for node in self.fleet.nodes.values()]
        assert len({store.key for store in stores}) == 1, "VMs hold different configurations"
        assert all(store.sheet == stores[0].sheet for store in stores), "content differs"
        assert all(dict(s.tombstones) == dict(stores[0].tombstones) for s in stores)
        self.check_latest(stores[0])
        self.settled_bindings = dict.fromkeys(self.fleet.nodes, read_bindings(stores[0]))

    def answer_due_reads(self):
        """Answer the platform reads that are due with the latest document."""
        for vm, node in self.fleet.nodes.items():
            plan = node.decide_platform_read(now_s=self.fleet.now_s, rng=self.fleet.rng)
            if plan is None:
                continue
            if self.published and self.published[-1][0] > plan.after:
                self.fleet.publish(vm, self.published[-1][1], self.published[-1][0])
            else:
                node.observe_platform_unchanged(now_s=self.fleet.now_s)

    def check_latest(self, store):
        """Check that the latest version, if valid, is in force after quiescence."""
        if not self.published:
            return
        version, document = self.published[-1]
        try:
            check_sheet(document=document, version=version, tombstones=store.tombstones)
        except SheetRefusedError:
            return
        assert store.version >= version, "the latest valid version is not in force"

    # Invariants.

    @invariant()
    def keys_never_decrease(self):
        """Guards against a revert at a VM or across its replacement."""
        for vm, node in self.fleet.nodes.items():
            assert node.store.key >= self.min_keys[vm], f"{vm} reverted"
            self.min_keys[vm] = node.store.key

    @invariant()
    def mappings_follow_tombstones(self):
        """Guards against routing packets of one service to another."""
        for store in (node.store for node in self.fleet.nodes.values() if node.store.sheet):
            mapped = store.sheet.service_by_address
            services = store.sheet.services.values()
            assert mapped == {a: s.name for s in services for a in s.addresses}
            assert all(store.tombstones[address] == name for address, name in mapped.items())

    @invariant()
    def settled_addresses_stay(self):
        """Guards against a reassigned address, except to a binding of an older version."""
        for vm, settled_bindings in self.settled_bindings.items():
            held = read_bindings(self.fleet.nodes[vm].store)
            assert all(held[address] <= bound for address, bound in settled_bindings.items())


ExchangeMachine.TestCase.settings = settings(
    derandomize=True, max_examples=40, stateful_step_count=40, deadline=None
)

ExchangeMachineTest = ExchangeMachine.TestCase
