"""State machine that fails if an adapter is unloaded while a running request uses it.

The failures are lost and late answers to orders, restarts of the engine and pauses of the process.
The modelled engine executes an order at any time after it was sent, even after the time-out of its
sender; an engine that ignores fencing numbers executes it within `ORDER_HORIZON_SECONDS` of that.
"""

from dataclasses import dataclass

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tamarackfield.core import Application
from tamarackfield.observe.audit import AuditTrail
from tamarackfield.observe.metrics import Metrics
from tamarackfield.policy.queueing import QUEUE_ORDERS
from tamarackfield.policy.eviction import EVICTION_POLICIES
from tamarackfield.sidecar.engine import EngineError, EngineStatus
from tamarackfield.sidecar.events import (
    FenceClaimed,
    JobArrived,
    JobEnded,
    OrderConfirmed,
    OrderFailed,
    StateInvalidated,
    StatusRead,
)
from tamarackfield.sidecar.jobs import Dispatch, Job, Load, Unload
from tamarackfield.sidecar.scheduler import Scheduler
from tamarackfield.sidecar.worker import ORDER_HORIZON_SECONDS, TargetWorker

ADAPTERS = st.sampled_from(['a@1', 'b@1'])
INDEXES = st.integers(0, 3)
SLOTS = 1
BATCH = 3
#: Time by which every event advances the clock.
STEP_SECONDS = 0.001


@dataclass(slots=True)
class SentOrder:
    """A sent order: whether the engine executed or refused it, and when it expires after its answer is lost.

    ``expires_at`` is infinite while the sender waits for the answer.
    """

    order: Load | Unload
    fence: int
    issued_incarnation: int
    executed: bool = False
    refused: bool = False
    expires_at: float = float('inf')

    @property
    def answer_pending(self):
        return self.expires_at == float('inf')


class WorkerMachine(RuleBasedStateMachine):
    """Applies events to the worker directly, in any order."""

    fencing = True

    def __init__(self):
        super().__init__()
        self.now = 1.0
        self.scheduler = Scheduler(SLOTS, BATCH, EVICTION_POLICIES['lru'], QUEUE_ORDERS['fifo'])
        self.worker = TargetWorker(Application('test'), self.scheduler, object(), AuditTrail(), Metrics('test'))
        self.ownership = self.worker.ownership
        self.worker.may_send = self.worker.ready.is_set
        self.incarnation = 1
        self.resident = set()
        self.running = {}
        self.highest_fence = 0
        self.orders = []
        self.delayed_statuses = []
        self.next_id = 0

    def post(self, event):
        self.now += STEP_SECONDS
        self.worker._apply_event(event, self.now)
        for action in self.worker._next_actions(self.now):
            match action:
                case Dispatch(job_id):
                    self.dispatch(job_id)
                case Load() | Unload():
                    pending_adapters = {sent.order.adapter for sent in self.orders if sent.answer_pending}
                    assert action.adapter not in pending_adapters
                    self.orders.append(SentOrder(action, self.ownership.fence, self.worker.engine_incarnation))

    def dispatch(self, job_id):
        adapter = self.scheduler.running[job_id].adapter
        if adapter in self.resident:
            self.running[job_id] = adapter
        else:
            self.worker._apply_event(JobEnded(job_id), self.now)
            self.worker._apply_event(StateInvalidated(), self.now)

    def read_status(self):
        return EngineStatus(
            self.incarnation, frozenset(self.resident), len(self.running), self.highest_fence, fencing=self.fencing
        )

    def discard_expired_orders(self):
        self.orders = [sent for sent in self.orders if sent.expires_at > self.now]

    @rule(adapter=ADAPTERS)
    def arrive(self, adapter):
        self.next_id += 1
        job = Job(self.next_id, adapter, 'caller', 5, self.now, self.now + 1000)
        self.post(JobArrived(job, None))

    @rule(seconds=st.sampled_from([0.1, 1.0, ORDER_HORIZON_SECONDS / 2, ORDER_HORIZON_SECONDS]))
    def wait(self, seconds):
        self.now += seconds
        self.discard_expired_orders()

    @rule(index=INDEXES)
    def engine_carries_out_and_answers(self, index):
        self.engine_carries_out(index)
        self.engine_answers(index)

    @rule(index=INDEXES)
    def engine_carries_out(self, index):
        pending = [sent for sent in self.orders if not sent.executed]
        if not pending:
            return
        sent = pending[index % len(pending)]
        sent.executed = True
        sent.refused = self.fencing and sent.fence < self.highest_fence
        if sent.refused:
            return
        self.highest_fence = max(self.highest_fence, sent.fence)
        adapter = sent.order.adapter
        if isinstance(sent.order, Unload):
            assert adapter not in self.running.values(), 'unloaded while a request uses it'
            self.resident.discard(adapter)
        elif len(self.resident | {adapter}) > SLOTS:
            sent.refused = True
        else:
            self.resident.add(adapter)

    @rule(index=INDEXES)
    def engine_answers(self, index):
        answered = [sent for sent in self.orders if sent.executed and sent.answer_pending]
        if not answered:
            return
        sent = answered[index % len(answered)]
        self.orders.remove(sent)
        if sent.refused:
            error = EngineError('refused', 'order', 'engine', answered=True)
            self.post(OrderFailed(sent.order, sent.issued_incarnation, error))
        else:
            self.post(OrderConfirmed(sent.order, sent.issued_incarnation, self.incarnation, 0.1))

    @rule(index=INDEXES)
    def answer_is_lost(self, index):
        unanswered = [sent for sent in self.orders if sent.answer_pending]
        if not unanswered:
            return
        sent = unanswered[index % len(unanswered)]
        sent.expires_at = self.now + ORDER_HORIZON_SECONDS
        self.post(OrderFailed(sent.order, sent.issued_incarnation, EngineError('cut', 'order', 'engine')))

    @rule()
    def claim_arrives(self):
        fence = self.ownership.fence
        if self.ownership.claim_pending and fence >= self.highest_fence:
            self.highest_fence = fence
            self.post(FenceClaimed(fence))

    @rule()
    def status_is_read(self):
        requested_at = self.now
        self.post(StatusRead(self.read_status(), requested_at))

    @rule()
    def claim_and_status(self):
        self.claim_arrives()
        self.status_is_read()

    @rule()
    def status_is_asked(self):
        self.delayed_statuses.append(StatusRead(self.read_status(), self.now))

    @rule()
    def late_status_arrives(self):
        if self.delayed_statuses:
            self.post(self.delayed_statuses.pop(0))

    @rule(index=INDEXES)
    def job_ends(self, index):
        if self.running:
            job_id = sorted(self.running)[index % len(self.running)]
            self.running.pop(job_id)
            self.post(JobEnded(job_id))

    @rule()
    def process_was_paused(self):
        self.now += 2
        self.discard_expired_orders()
        self.worker._handle_pause(self.now)

    @rule()
    def engine_restarts_empty(self):
        self.incarnation += 1
        self.resident.clear()
        self.highest_fence = 0
        self.delayed_statuses.clear()
        broken = [sent for sent in self.orders if sent.answer_pending]
        self.orders.clear()
        for sent in broken:
            self.post(OrderFailed(sent.order, sent.issued_incarnation, EngineError('cut', 'order', 'engine')))
        for job_id in sorted(self.running):
            self.running.pop(job_id)
            self.post(JobEnded(job_id))

    @invariant()
    def adapters_in_use_are_resident(self):
        assert set(self.running.values()) <= self.resident

    @invariant()
    def never_superseded_by_itself(self):
        assert not self.ownership.superseded


class UnfencedWorkerMachine(WorkerMachine):
    """The same machine with an engine that ignores fencing numbers."""

    fencing = False


TestWorker = WorkerMachine.TestCase
TestUnfencedWorker = UnfencedWorkerMachine.TestCase
TestWorker.settings = settings(max_examples=150, stateful_step_count=60)
TestUnfencedWorker.settings = TestWorker.settings


def leave_unload_unanswered(machine):
    """Leave an unload order unanswered while a waiting job needs the unloaded adapter."""
    machine.status_is_read()
    machine.claim_and_status()
    machine.arrive(adapter='a@1')
    machine.engine_carries_out_and_answers(index=0)
    assert list(machine.running.values()) == ['a@1']
    machine.job_ends(index=0)
    machine.arrive(adapter='b@1')
    assert [sent.order for sent in machine.orders] == [Unload('a@1')]
    machine.arrive(adapter='a@1')
    machine.answer_is_lost(index=0)


def test_unanswered_unload_blocks_adapter_until_raised_fence_is_claimed():
    machine = WorkerMachine()
    leave_unload_unanswered(machine)
    machine.status_is_read()
    assert not machine.running
    machine.claim_and_status()
    assert list(machine.running.values()) == ['a@1']
    machine.engine_carries_out(index=0)
    assert machine.resident == {'a@1'}


def test_unanswered_unload_blocks_adapter_for_the_horizon_if_fences_are_ignored():
    machine = UnfencedWorkerMachine()
    leave_unload_unanswered(machine)
    machine.claim_and_status()
    assert not machine.running
    machine.wait(seconds=ORDER_HORIZON_SECONDS)
    machine.status_is_read()
    assert list(machine.running.values()) == ['a@1']


def test_status_shows_effect_of_unanswered_unload():
    machine = UnfencedWorkerMachine()
    leave_unload_unanswered(machine)
    machine.engine_carries_out(index=0)
    machine.claim_and_status()
    assert 'a@1' not in machine.scheduler.slots_by_adapter
