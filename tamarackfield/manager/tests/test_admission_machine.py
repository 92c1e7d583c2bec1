"""AdmissionController as a state machine: whatever engine, entries and time do, some things always hold."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tamarackfield.manager.admission import AdmissionController, ModelOrder, Ticket
from tamarackfield.policy.residency import MAX_CONCURRENT_LOADS, LoadOrder, UnloadOrder

BATCH = 3
SLOTS = 2
ADAPTERS = st.sampled_from(('m/a', 'm/b', 'm/c', 'm/d', 'm'))


class AdmissionMachine(RuleBasedStateMachine):
    """An engine that does what it is pending_orders, late; entries that ask and release."""

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
        self.evicted_in_use = False
        self.admission.update_engine_state(self.models, dict(self.resident), (), self.now)

    @rule(adapter=ADAPTERS, stream=st.integers(1, 2), priority=st.integers(0, 2), remaining_seconds=st.floats(0.1, 5))
    def enqueue(self, adapter, stream, priority, remaining_seconds):
        key = (stream, next(self.numbers))
        self.enqueued_keys.add(key)
        self.admission.enqueue(
            Ticket(key, adapter, 0, priority, self.now, self.now + remaining_seconds, self.now + remaining_seconds / 4)
        )
        self.decide()

    @rule(data=st.data())
    def release(self, data):
        if self.running:
            key = data.draw(st.sampled_from(sorted(self.running)))
            self.running.pop(key)
            self.admission.release(key, self.now)
            self.decide()

    @rule(stream=st.integers(1, 2))
    def end_stream(self, stream):
        self.admission.release_stream(stream, self.now)
        self.ended_keys |= {key for key in self.enqueued_keys if key[0] == stream}
        self.running = {key: adapter for key, adapter in self.running.items() if key[0] != stream}
        self.decide()

    @rule(seconds=st.floats(0.01, 2))
    def advance_time(self, seconds):
        self.now += seconds
        self.decide()

    @rule()
    def finish_loads(self):
        self.resident |= self.loading
        self.loading.clear()
        self.observe()
        self.decide()

    @rule()
    def restart_engine(self):
        self.resident.clear()
        self.loading.clear()
        self.models.clear()
        self.running.clear()
        self.admission.reset()
        self.observe()
        self.decide()

    @rule()
    def load_model(self):
        self.models.add('m')
        self.observe()
        self.decide()

    def observe(self):
        self.admission.update_engine_state(self.models, dict(self.resident), tuple(self.loading), self.now)

    def decide(self):
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
            self.observe()

    def execute_order(self, order):
        if isinstance(order, ModelOrder):
            self.models.add(order.model)
        elif isinstance(order, UnloadOrder):
            self.evicted_in_use |= order.adapter in self.running.values()
            self.resident.pop(order.adapter, None)
        elif isinstance(order, LoadOrder):
            self.loading[order.adapter] = 1
            self.slots_exceeded |= (
                len({*self.resident, *self.loading}) > SLOTS or len(self.loading) > MAX_CONCURRENT_LOADS
            )
        return True

    @invariant()
    def batch_is_never_overrun(self):
        assert len(self.running) <= BATCH

    @invariant()
    def places_are_never_overrun(self):
        assert not self.slots_exceeded

    @invariant()
    def no_adapter_yields_beneath_a_request(self):
        assert not self.evicted_in_use

    @invariant()
    def every_request_waits_runs_or_has_its_answer(self):
        known = set(self.admission.waiting) | set(self.admission.granted)
        assert self.running.keys() <= set(self.admission.granted)
        assert not known & self.ended_keys

    @invariant()
    def nothing_waits_past_its_share_of_its_time(self):
        for ticket in self.admission.waiting.values():
            assert self.now < ticket.deadline


TestAdmission = AdmissionMachine.TestCase
TestAdmission.settings = settings(max_examples=150, stateful_step_count=40)
