"""Requests to a target with a limit stay below it in every window, whoever asks and whichever gates respond."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tamarackfield.policy.request_limits import (
    BACKUP_GATE_SHARE,
    MAX_PERMIT_WAIT_SECONDS,
    PermitRequest,
    RequestGate,
    RequestPacer,
)

WINDOW_SECONDS = 4.0
ENTRIES = 8


def allowed_in_window(limit):
    """Return how many requests may reach a target with a limit in some window, over all entries."""
    return 1.5 * limit * WINDOW_SECONDS + 5


def count_densest_window(sent_at):
    return max((sum(begin <= at < begin + WINDOW_SECONDS for at in sent_at) for begin in sent_at), default=0)


class LimitMachine(RuleBasedStateMachine):
    """Entries that join, restart and lose touch with the two gates of one target, which restart and stand still."""

    @initialize(limit=st.floats(0.2, 40))
    def begin(self, limit):
        self.now = 100.0
        self.limit = limit
        self.gates = [None, None]
        self.reachable = [[True, True] for _ in range(ENTRIES)]
        self.standing_still = [False, False]
        self.sent_at = []

    @rule(seconds=st.floats(0.001, 3))
    def advance(self, seconds):
        self.now += seconds

    @rule(entry=st.integers(0, ENTRIES - 1), rank=st.integers(0, 1), reachable=st.booleans())
    def cut_or_heal(self, entry, rank, reachable):
        self.reachable[entry][rank] = reachable

    @rule(rank=st.integers(0, 1))
    def restart_gate(self, rank):
        self.gates[rank] = None

    @rule(rank=st.integers(0, 1), still=st.booleans())
    def freeze_or_thaw_gate(self, rank, still):
        self.standing_still[rank] = still

    @rule(entries=st.lists(st.integers(0, ENTRIES - 1), min_size=1, max_size=40), pause=st.floats(0, 0.2))
    def send(self, entries, pause):
        for entry in entries:
            self.now += pause
            self.send_one(entry)

    def send_one(self, entry):
        for rank in range(2):
            if not self.reachable[entry][rank] or self.standing_still[rank]:
                continue
            if self.gates[rank] is None:
                limit = self.limit * BACKUP_GATE_SHARE if rank else self.limit
                self.gates[rank] = RequestGate(RequestPacer(limit, self.now))
            gate = self.gates[rank]
            gate.ask(PermitRequest(entry, 0, self.now, self.now))
            self.sent_at += [self.now for decision in gate.decide(self.now) if decision.granted]
            return

    @invariant()
    def no_window_has_more_than_is_allowed(self):
        assert count_densest_window(self.sent_at[-200:]) <= allowed_in_window(self.limit)


LimitMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=30)
test_entries_together_stay_below_the_limit = LimitMachine.TestCase


def replay(limit, entries, requests_per_second, seconds=20, share_per_entry=False):
    """Return when the requests of many entries were admitted: through one gate, or by an equal share in each entry."""
    pacers = [RequestPacer(limit / entries if share_per_entry else limit, 0.0) for _ in range(entries)]
    sent_at = []
    for number in range(int(requests_per_second * seconds)):
        now = 2 * entries / limit + number / requests_per_second
        pacer = pacers[number % entries if share_per_entry else 0]
        if pacer.due_at(now) <= now:
            pacer.record_sent(now)
            sent_at.append(now)
    return sent_at


@pytest.mark.parametrize('entries', [5, 27, 68])
@pytest.mark.parametrize('limit', [0.5, 1.2, 4.8, 30.0])
def test_one_gate_keeps_a_low_limit_for_many_entries_and_uses_most_of_it(entries, limit):
    sent_at = replay(limit, entries, requests_per_second=200)
    assert count_densest_window(sent_at) <= allowed_in_window(limit)
    assert len(sent_at) >= 0.7 * limit * 20


@pytest.mark.parametrize('limit', [1.2, 4.8, 30.0])
def test_entries_that_disagree_about_the_gate_stay_below_the_limit(limit):
    gates = [RequestPacer(limit, 0.0), RequestPacer(limit * BACKUP_GATE_SHARE, 0.0)]
    sent_at = []
    for number in range(2000):
        now = 20 + number / 100
        pacer = gates[number % 2]
        if pacer.due_at(now) <= now:
            pacer.record_sent(now)
            sent_at.append(now)
    assert count_densest_window(sent_at) <= allowed_in_window(limit)


def test_equal_shares_break_a_low_limit():
    # Each entry has one request saved up when callers come: why entries do not divide the rate.
    sent_at = replay(1.2, 68, requests_per_second=200, share_per_entry=True)
    assert count_densest_window(sent_at) > allowed_in_window(1.2)


def test_most_urgent_request_is_admitted_first_while_all_wait():
    gate = RequestGate(RequestPacer(1.0, 0.0))
    for priority in (2, 0, 1):
        gate.ask(PermitRequest(priority, priority, 0.9, 0.9 + MAX_PERMIT_WAIT_SECONDS))
    refused = gate.decide(0.9)
    assert [decision.request.key for decision in refused] == [1, 2]
    assert [round(decision.retry_seconds, 3) for decision in refused] == [1.1, 1.1]
    assert [(decision.request.key, decision.granted) for decision in gate.decide(1.0)] == [(0, True)]


def test_limit_that_falls_holds_at_once_and_one_that_rises_is_used_at_once():
    pacer = RequestPacer(100.0, 0.0)
    pacer.record_sent(1.0)
    pacer.change_limit(0.2, 1.0)
    pacer.record_sent(pacer.due_at(1.0))
    assert pacer.due_at(1.1) - 1.1 > 4
    pacer.change_limit(50.0, 1.1)
    assert pacer.due_at(1.1) - 1.1 <= 1 / 10
