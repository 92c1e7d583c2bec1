"""Invariants of admission control under arbitrary sequences of events of the engine, the entries and time."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tamarackfield.manager.admission import AdmissionController
from tamarackfield.manager.tickets import ModelOrder, Ticket
from tamarackfield.policy.residency import MAX_CONCURRENT_LOADS, LoadOrder, UnloadOrder

BATCH = 3
SLOTS = 2
ADAPTERS = st.sampled_from(('m/a', 'm/b', 'm/c', 'm/d', 'm'))


class AdmissionMachine(RuleBasedStateMachine):
    """Engine that executes orders with a delay, and entries that queue and release requests."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.numbers = iter(range(1, 10_000))
        self.admission = AdmissionController(BATCH, SLOTS)
        self.resident = {}
        self.loading = {}
        self.models = {'m'}
        self.running = {}
        self.enqueued_keys = set()
        self.ended_keys = set()
        self.slots_exceeded = False
        self.evicted_while_running = False
        self.admission.update_engine_state(self.models, dict(self.resident), (), self.now)

    @rule(adapter=ADAPTERS, stream=st.integers(1, 2), priority=st.integers(0, 2), remaining_seconds=st.floats(0.1, 5))
    def enqueue(self, adapter, stream, priority, remaining_seconds):
        key = (stream, next(self.numbers))
        self.enqueued_keys.add(key)
        self.admission.enqueue(
            Ticket(key, adapter, 0, priority, self.now, self.now + remaining_seconds, self.now + remaining_seconds / 4)
        )
        self.apply_plan()

    @rule(data=st.data())
    def release(self, data):
        if self.running:
            key = data.draw(st.sampled_from(sorted(self.running)))
            self.running.pop(key)
            self.admission.release(key, self.now)
            self.apply_plan()

    @rule(stream=st.integers(1, 2))
    def end_stream(self, stream):
        self.admission.release_stream(stream, self.now)
        self.ended_keys |= {key for key in self.enqueued_keys if key[0] == stream}
        self.running = {key: adapter for key, adapter in self.running.items() if key[0] != stream}
        self.apply_plan()

    @rule(seconds=st.floats(0.01, 2))
    def advance_time(self, seconds):
        self.now += seconds
        self.apply_plan()

    @rule()
    def finish_loads(self):
        self.resident |= self.loading
        self.loading.clear()
        self.report_engine_state()
        self.apply_plan()

    @rule()
    def restart_engine(self):
        self.resident.clear()
        self.loading.clear()
        self.models.clear()
        self.running.clear()
        self.admission.reset()
        self.report_engine_state()
        self.apply_plan()

    @rule()
    def load_model(self):
        self.models.add('m')
        self.report_engine_state()
        self.apply_plan()

    def report_engine_state(self):
        self.admission.update_engine_state(self.models, dict(self.resident), tuple(self.loading), self.now)

    def apply_plan(self):
        plan = self.admission.make_plan(self.now)
        for ticket in plan.grants:
            assert ticket.deadline > self.now
            assert ticket.adapter in self.models or ticket.adapter in self.resident
            self.running[ticket.key] = ticket.adapter
        self.ended_keys |= {decline.ticket.key for decline in plan.declines}
        for order in plan.orders:
            accepted = self.execute_order(order)
            self.admission.record_order_result(order, accepted, self.now)
        if plan.orders:
            self.report_engine_state()

    def execute_order(self, order):
        if isinstance(order, ModelOrder):
            self.models.add(order.model)
        elif isinstance(order, UnloadOrder):
            self.evicted_while_running |= order.adapter in self.running.values()
            self.resident.pop(order.adapter, None)
        elif isinstance(order, LoadOrder):
            self.loading[order.adapter] = 1
            self.slots_exceeded |= (
                len({*self.resident, *self.loading}) > SLOTS or len(self.loading) > MAX_CONCURRENT_LOADS
            )
        return True

    @invariant()
    def batch_is_not_exceeded(self):
        assert len(self.running) <= BATCH

    @invariant()
    def slots_are_not_exceeded(self):
        assert not self.slots_exceeded

    @invariant()
    def no_adapter_is_evicted_while_a_request_uses_it(self):
        assert not self.evicted_while_running

    @invariant()
    def no_running_request_is_lost_and_no_ended_one_remains(self):
        known = set(self.admission.waiting) | set(self.admission.granted)
        assert self.running.keys() <= set(self.admission.granted)
        assert not known & self.ended_keys

    @invariant()
    def no_request_is_queued_past_its_deadline(self):
        for ticket in self.admission.waiting.values():
            assert self.now < ticket.deadline


TestAdmission = AdmissionMachine.TestCase
TestAdmission.settings = settings(max_examples=150, stateful_step_count=40)
