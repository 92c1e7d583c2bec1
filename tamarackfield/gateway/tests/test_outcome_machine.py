"""What a journey says of its run is never more than what is known, whatever its attempts meet."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from tamarackfield.core import Outcome
from tamarackfield.gateway.journey import Journey
from tamarackfield.gateway.tests.samples import make_call, make_route, make_target_state

TARGETS = [make_target_state(f't{number}') for number in range(4)]


class JourneyMachine(RuleBasedStateMachine):
    """Attempts of a call that may not be repeated, and what really happened at the targets."""

    def __init__(self):
        super().__init__()
        self.begin()

    @rule()
    def begin(self):
        route = make_route(repeatable=False, max_targets=2)
        self.journey = Journey(make_call(), route, 'plain', 1)
        self.may_have_run = 0
        self.reached = set()

    def may_send(self):
        return self.journey.in_flight is None and not self.journey.in_doubt

    def is_under_way(self):
        return self.journey.in_flight is not None

    @precondition(may_send)
    @rule(chosen=st.sampled_from(TARGETS))
    def send(self, chosen):
        if self.journey.allows(chosen):
            self.journey.note_sent(chosen)
            self.reached.add(chosen.record.name)

    @precondition(is_under_way)
    @rule(again=st.booleans())
    def target_states_that_it_did_not_run(self, again):
        self.journey.note_not_run(self.journey.in_flight, again)

    @precondition(is_under_way)
    @rule()
    def connection_breaks(self):
        self.may_have_run += 1
        self.journey.note_in_doubt(self.journey.in_flight)

    @invariant()
    def not_run_is_true(self):
        if self.journey.outcome() is Outcome.NOT_RUN:
            assert self.may_have_run == 0
            assert self.journey.in_flight is None

    @invariant()
    def runs_at_most_once(self):
        assert self.may_have_run <= 1

    @invariant()
    def reaches_no_more_targets_than_its_route_allows(self):
        assert len(self.reached) <= self.journey.route.max_targets


TestJourney = JourneyMachine.TestCase
TestJourney.settings = settings(max_examples=150, stateful_step_count=20)
