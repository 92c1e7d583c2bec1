"""State machine of the fair queue: a burst of one caller does not starve another."""

from collections import Counter

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tamarackfield.policy.queueing import QUEUE_ORDERS, QueuedRequest

CALLERS = ('north', 'south', 'east')
BATCH = 3


class FairQueueMachine(RuleBasedStateMachine):
    """Queue of requests of one priority in front of a small batch."""

    def __init__(self):
        super().__init__()
        self.next_id = 0
        self.waiting = {}
        self.running = []

    def dispatch(self):
        while self.waiting and len(self.running) < BATCH:
            counts = Counter(item.caller for item in self.running)
            first = QUEUE_ORDERS['fair'](self.waiting.values(), counts)[0]
            least = min(counts[item.caller] for item in self.waiting.values())
            assert counts[first.caller] == least
            oldest = min(item.job_id for item in self.waiting.values() if item.caller == first.caller)
            assert first.job_id == oldest
            self.running.append(self.waiting.pop(first.job_id))

    @rule(caller=st.sampled_from(CALLERS), count=st.integers(1, 10))
    def burst(self, caller, count):
        for _ in range(count):
            self.next_id += 1
            self.waiting[self.next_id] = QueuedRequest(self.next_id, caller, 5)
        self.dispatch()

    @rule(data=st.data())
    def finish_request(self, data):
        if self.running:
            self.running.pop(data.draw(st.integers(0, len(self.running) - 1)))
            self.dispatch()

    @invariant()
    def order_neither_drops_nor_adds_requests(self):
        ordered = QUEUE_ORDERS['fair'](self.waiting.values(), {})
        assert sorted(item.job_id for item in ordered) == sorted(self.waiting)


TestFairQueue = FairQueueMachine.TestCase


def test_burst_of_one_caller_does_not_delay_another():
    burst = [QueuedRequest(index, 'north', 5) for index in range(50)]
    ordered = QUEUE_ORDERS['fair']([*burst, QueuedRequest(99, 'south', 5)], {'north': 3})
    assert ordered[0].job_id == 99


def test_urgent_request_is_not_delayed_by_fairness():
    ordered = QUEUE_ORDERS['fair']([QueuedRequest(1, 'south', 5), QueuedRequest(2, 'north', 1)], {'north': 9})
    assert ordered[0].job_id == 2
