"""A silent run is not ended before its successor is sure, and two runs of a stream do not overlap for long."""

import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from tamarackfield.policy.handover import Succession

#: Longest time in seconds for which a stream may still run at its first target once it goes on at another one.
ALLOWED_OVERLAP_SECONDS = 0.4


def test_first_run_is_kept_while_its_successor_has_not_gone_on():
    succession = Succession()
    assert not succession.must_end_first(1.0)
    succession.record_sent(1.0, resumes=False)
    assert not succession.must_end_first(100.0)
    succession.record_went_on()
    assert succession.must_end_first(100.0)


def test_successor_answers_only_after_the_first_run_has_ended():
    succession = Succession()
    succession.record_sent(1.0, resumes=False)
    succession.record_went_on()
    assert not succession.may_answer()
    succession.record_first_ended()
    assert succession.may_answer()


@pytest.mark.parametrize('refused_after', [0.0, 0.1])
def test_refused_successor_lets_the_first_run_go_on(refused_after):
    succession = Succession()
    succession.record_sent(1.0, resumes=True)
    assert not succession.must_end_first(1.0 + refused_after)
    succession.record_refused()
    assert not succession.must_end_first(100.0)


class TwoRuns(RuleBasedStateMachine):
    """A silent stream and its successors, with a model of what their workers see."""

    def __init__(self):
        super().__init__()
        self.succession = Succession()
        self.now = 1.0
        self.sent_at = None
        self.went_on = False
        self.first_ended = False

    def is_open(self):
        return not self.went_on and not self.first_ended

    def is_sent(self):
        return self.sent_at is not None and self.is_open()

    @precondition(is_open)
    @rule()
    def send_successor(self):
        if self.sent_at is None:
            self.sent_at = self.now
            self.succession.record_sent(self.now, resumes=True)

    @precondition(is_sent)
    @rule()
    def refuse_successor(self):
        self.sent_at = None
        self.succession.record_refused()

    @precondition(is_sent)
    @rule()
    def successor_goes_on(self):
        self.went_on = True
        self.succession.record_went_on()

    @rule(seconds=st.floats(0, 0.5))
    def wait(self, seconds):
        ends_at = self.succession.overlap_ends_at
        self.now = min(self.now + seconds, ends_at) if ends_at > self.now else self.now + seconds
        if self.succession.must_end_first(self.now):
            self.first_ended = True
            self.succession.record_first_ended()

    @invariant()
    def first_run_ends_for_a_successor_only(self):
        if self.succession.must_end_first(self.now):
            assert self.sent_at is not None

    @invariant()
    def runs_do_not_overlap_for_long(self):
        if self.sent_at is not None and not self.first_ended:
            assert self.now - self.sent_at < ALLOWED_OVERLAP_SECONDS

    @invariant()
    def one_run_answers(self):
        assert self.succession.may_answer() == self.first_ended


TestTwoRuns = TwoRuns.TestCase
TestTwoRuns.settings = settings(max_examples=100, stateful_step_count=20)
