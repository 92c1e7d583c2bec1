"""State machine that fails if a job is dispatched twice, or if slots, batch or pins exceed their limits."""

from collections import Counter

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tamarackfield.policy.admission import ADMISSION_POLICIES
from tamarackfield.policy.queueing import QUEUE_ORDERS
from tamarackfield.policy.eviction import EVICTION_POLICIES
from tamarackfield.sidecar.jobs import Dispatch, Job, Load, Refuse, SlotState, Unload
from tamarackfield.sidecar.scheduler import Scheduler

ADAPTERS = st.sampled_from(['a@1', 'b@1', 'c@1', 'd@1'])
SLOTS = 2
BATCH = 3


class SchedulerMachine(RuleBasedStateMachine):
    """Drives the scheduler with an engine that restarts, refuses orders and answers late."""

    queue_order = 'fifo'
    admission = 'all'

    def __init__(self):
        super().__init__()
        self.now = 1.0
        self.scheduler = Scheduler(SLOTS, BATCH, EVICTION_POLICIES['lru'], QUEUE_ORDERS[self.queue_order])
        self.scheduler.admission = ADMISSION_POLICIES[self.admission]
        self.next_id = 0
        self.orders = []
        self.dispatched = set()
        self.ended = set()
        self.loaded_adapters = set()

    def execute_actions(self):
        for action in self.scheduler.next_actions(self.now):
            match action:
                case Dispatch(job_id):
                    assert job_id not in self.dispatched
                    assert self.scheduler.running[job_id].adapter in self.loaded_adapters
                    self.dispatched.add(job_id)
                case Refuse(job_id):
                    assert job_id not in self.dispatched
                    self.ended.add(job_id)
                case Load() | Unload():
                    if isinstance(action, Unload):
                        using = {job.adapter for job in self.scheduler.running.values()}
                        assert action.adapter not in using
                    self.orders.append(action)

    @rule(adapter=ADAPTERS, caller=st.sampled_from(['north', 'south']), seconds=st.floats(0.1, 5))
    def arrive(self, adapter, caller, seconds):
        self.next_id += 1
        self.scheduler.add_job(Job(self.next_id, adapter, caller, 5, self.now, self.now + seconds))
        self.execute_actions()

    @rule(seconds=st.floats(0.01, 2))
    def wait(self, seconds):
        self.now += seconds
        self.execute_actions()

    @rule(data=st.data(), success=st.booleans())
    def engine_answers(self, data, success):
        if not self.orders:
            return
        order = self.orders.pop(data.draw(st.integers(0, len(self.orders) - 1)))
        if isinstance(order, Load):
            if success:
                self.loaded_adapters.add(order.adapter)
                self.scheduler.confirm_load(order.adapter, self.now)
            else:
                self.scheduler.record_load_failure(order.adapter, self.now)
        elif success:
            self.loaded_adapters.discard(order.adapter)
            self.scheduler.confirm_unload(order.adapter)
        else:
            self.scheduler.record_unload_failure(order.adapter)
        self.execute_actions()

    @rule(data=st.data())
    def job_ends(self, data):
        running = sorted(self.scheduler.running)
        if running:
            self.scheduler.remove_job(data.draw(st.sampled_from(running)), self.now)
            self.execute_actions()

    @rule(data=st.data())
    def waiting_job_is_cancelled(self, data):
        waiting = sorted(self.scheduler.waiting)
        if waiting:
            self.scheduler.remove_job(data.draw(st.sampled_from(waiting)), self.now)

    @rule()
    def engine_restarts_empty(self):
        self.orders.clear()
        self.loaded_adapters.clear()
        self.scheduler.reset_residents([], self.now)
        self.execute_actions()

    @invariant()
    def never_more_adapters_than_slots(self):
        assert len(self.scheduler.slots_by_adapter) <= SLOTS

    @invariant()
    def never_more_running_than_the_batch(self):
        assert len(self.scheduler.running) <= BATCH

    @invariant()
    def only_loaded_adapters_count_as_resident(self):
        resident = {name for name, slot in self.scheduler.slots_by_adapter.items() if slot.state is SlotState.RESIDENT}
        assert resident <= self.loaded_adapters

    @invariant()
    def pins_match_running_jobs(self):
        for name, slot in self.scheduler.slots_by_adapter.items():
            assert slot.pins == sum(job.adapter == name for job in self.scheduler.running.values())

    @invariant()
    def callers_are_counted_while_they_wait(self):
        assert self.scheduler.waiting_by_caller == Counter(job.caller for job in self.scheduler.waiting.values())


class FairSchedulerMachine(SchedulerMachine):
    """The same machine with fair queueing and admission by deadline."""

    queue_order = 'fair'
    admission = 'deadline'


TestScheduler = SchedulerMachine.TestCase
TestFairScheduler = FairSchedulerMachine.TestCase


def make_fair_scheduler():
    """Return a scheduler with fair queueing that refuses jobs that cannot end in time; a request takes 0.5 s."""
    return Scheduler(SLOTS, BATCH, EVICTION_POLICIES['lru'], QUEUE_ORDERS['fair'], ADMISSION_POLICIES['deadline'])


def next_refusals(scheduler, now):
    """Return the refusals among the next actions."""
    return [action for action in scheduler.next_actions(now) if isinstance(action, Refuse)]


def test_idle_target_refuses_no_job():
    scheduler = make_fair_scheduler()
    scheduler.reset_residents(['a@1'], 0.5)
    scheduler.add_job(Job(1, 'a@1', 'north', 5, 1.0, 1.1))
    assert next_refusals(scheduler, 1.0) == []


def test_full_target_refuses_on_arrival_a_job_that_cannot_end_in_time():
    scheduler = make_fair_scheduler()
    scheduler.reset_residents(['a@1'], 0.5)
    for job_id in range(1, 31):
        scheduler.add_job(Job(job_id, 'a@1', 'north', 5, 1.0, 30.0))
    assert next_refusals(scheduler, 1.0) == []
    scheduler.add_job(Job(31, 'a@1', 'north', 5, 1.0, 3.0))
    refused = next_refusals(scheduler, 1.0)
    assert [(refusal.job_id, refusal.code) for refusal in refused] == [(31, 'overloaded')]
    assert refused[0].retry_after >= 1


def test_burst_of_one_caller_does_not_refuse_jobs_of_another():
    scheduler = make_fair_scheduler()
    scheduler.reset_residents(['a@1'], 0.5)
    for job_id in range(1, 61):
        scheduler.add_job(Job(job_id, 'a@1', 'north', 5, 1.0, 30.0))
    scheduler.next_actions(1.0)
    scheduler.add_job(Job(61, 'a@1', 'south', 5, 1.0, 3.0))
    assert next_refusals(scheduler, 1.0) == []


def test_expired_head_of_queue_is_refused_and_the_next_job_dispatched():
    scheduler = make_fair_scheduler()
    scheduler.reset_residents(['a@1'], 0.5)
    for job_id in range(1, BATCH + 1):
        scheduler.add_job(Job(job_id, 'a@1', 'north', 5, 1.0, 30.0))
    scheduler.next_actions(1.0)
    scheduler.add_job(Job(11, 'a@1', 'north', 5, 1.0, 4.0))
    scheduler.add_job(Job(12, 'a@1', 'north', 5, 1.0, 30.0))
    scheduler.remove_job(1, 3.8)
    assert [type(action) for action in scheduler.next_actions(3.8)] == [Refuse, Dispatch]
    assert 12 in scheduler.running
