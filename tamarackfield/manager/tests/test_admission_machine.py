"""Admission as a state machine: whatever engine, entries and time do, some things always hold."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tamarackfield.manager.admission import Admission, ModelOrder, Ticket
from tamarackfield.policy.residency import MAX_INCOMING, LoadOrder, UnloadOrder

BATCH = 3
PLACES = 2
ADAPTERS = st.sampled_from(('m/a', 'm/b', 'm/c', 'm/d', 'm'))


class AdmissionMachine(RuleBasedStateMachine):
    """An engine that does what it is ordered, late; entries that ask and release."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.numbers = iter(range(1, 10_000))
        self.admission = Admission(BATCH, PLACES)
        self.held = {}
        self.incoming = {}
        self.models = {'m'}
        self.using = {}
        self.asked = set()
        self.ended = set()
        self.overrun = False
        self.evicted_in_use = False
        self.admission.observe(self.models, dict(self.held), (), self.now)

    @rule(adapter=ADAPTERS, stream=st.integers(1, 2), priority=st.integers(0, 2), left=st.floats(0.1, 5))
    def ask(self, adapter, stream, priority, left):
        key = (stream, next(self.numbers))
        self.asked.add(key)
        self.admission.ask(Ticket(key, adapter, 0, priority, self.now, self.now + left, self.now + left / 4))
        self.decide()

    @rule(data=st.data())
    def release(self, data):
        if self.using:
            key = data.draw(st.sampled_from(sorted(self.using)))
            self.using.pop(key)
            self.admission.release(key, self.now)
            self.decide()

    @rule(stream=st.integers(1, 2))
    def lose_stream(self, stream):
        self.admission.release_stream(stream, self.now)
        self.ended |= {key for key in self.asked if key[0] == stream}
        self.using = {key: adapter for key, adapter in self.using.items() if key[0] != stream}
        self.decide()

    @rule(seconds=st.floats(0.01, 2))
    def pass_time(self, seconds):
        self.now += seconds
        self.decide()

    @rule()
    def finish_loads(self):
        self.held |= self.incoming
        self.incoming.clear()
        self.observe()
        self.decide()

    @rule()
    def restart_engine(self):
        self.held.clear()
        self.incoming.clear()
        self.models.clear()
        self.using.clear()
        self.admission.restart()
        self.observe()
        self.decide()

    @rule()
    def load_model(self):
        self.models.add('m')
        self.observe()
        self.decide()

    def observe(self):
        self.admission.observe(self.models, dict(self.held), tuple(self.incoming), self.now)

    def decide(self):
        plan = self.admission.plan(self.now)
        for ticket in plan.grants:
            assert ticket.deadline > self.now
            assert ticket.adapter in self.models or ticket.adapter in self.held
            self.using[ticket.key] = ticket.adapter
        self.ended |= {decline.ticket.key for decline in plan.declines}
        for order in plan.orders:
            accepted = self.carry_out(order)
            self.admission.finish(order, accepted, self.now)
        if plan.orders:
            self.observe()

    def carry_out(self, order):
        if isinstance(order, ModelOrder):
            self.models.add(order.model)
        elif isinstance(order, UnloadOrder):
            self.evicted_in_use |= order.adapter in self.using.values()
            self.held.pop(order.adapter, None)
        elif isinstance(order, LoadOrder):
            self.incoming[order.adapter] = 1
            self.overrun |= len({*self.held, *self.incoming}) > PLACES or len(self.incoming) > MAX_INCOMING
        return True

    @invariant()
    def batch_is_never_overrun(self):
        assert len(self.using) <= BATCH

    @invariant()
    def places_are_never_overrun(self):
        assert not self.overrun

    @invariant()
    def no_adapter_yields_beneath_a_request(self):
        assert not self.evicted_in_use

    @invariant()
    def every_request_waits_runs_or_has_its_answer(self):
        known = set(self.admission.waiting) | set(self.admission.granted)
        assert self.using.keys() <= set(self.admission.granted)
        assert not known & self.ended

    @invariant()
    def nothing_waits_past_its_share_of_its_time(self):
        for ticket in self.admission.waiting.values():
            assert self.now < ticket.deadline


TestAdmission = AdmissionMachine.TestCase
TestAdmission.settings = settings(max_examples=150, stateful_step_count=40)
