"""Outcome of a call over arbitrary sequences of attempts: ``not_run`` is reported only if proven."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from tamarackfield.core import Outcome
from tamarackfield.gateway.call_state import CallState
from tamarackfield.gateway.tests.samples import make_call, make_route, make_target_state

TARGETS = [make_target_state(f't{number}') for number in range(4)]


class CallStateMachine(RuleBasedStateMachine):
    """Attempts of a call that may not be repeated, with a model of what happened at the targets."""

    def __init__(self):
        super().__init__()
        self.begin()

    @rule()
    def begin(self):
        route = make_route(repeatable=False, max_targets=2)
        self.call_state = CallState(make_call(), route, 'plain', 1)
        self.unknown_outcomes = 0
        self.reached = set()

    def may_send(self):
        return self.call_state.in_flight is None and not self.call_state.may_have_run

    def is_in_flight(self):
        return self.call_state.in_flight is not None

    @precondition(may_send)
    @rule(chosen=st.sampled_from(TARGETS))
    def send(self, chosen):
        if self.call_state.allows(chosen):
            self.call_state.record_sent(chosen)
            self.reached.add(chosen.record.name)

    @precondition(is_in_flight)
    @rule(retry_allowed=st.booleans())
    def target_states_that_it_did_not_run(self, retry_allowed):
        self.call_state.record_not_run(self.call_state.in_flight, retry_allowed)

    @precondition(is_in_flight)
    @rule()
    def connection_breaks(self):
        self.unknown_outcomes += 1
        self.call_state.record_maybe_ran(self.call_state.in_flight)

    @invariant()
    def not_run_is_never_reported_for_a_possible_run(self):
        if self.call_state.outcome() is Outcome.NOT_RUN:
            assert self.unknown_outcomes == 0
            assert self.call_state.in_flight is None

    @invariant()
    def runs_at_most_once(self):
        assert self.unknown_outcomes <= 1

    @invariant()
    def target_limit_of_route_is_not_exceeded(self):
        assert len(self.reached) <= self.call_state.route.max_targets


TestCallState = CallStateMachine.TestCase
TestCallState.settings = settings(max_examples=150, stateful_step_count=20)
