"""Memory of answers over all exchanges: beyond the budget, the newest answer ends."""

import pytest

from tamarackfield.web import ClientError
from tamarackfield.web.answer_budget import MAX_HELD_BYTES, AnswerBudget

HALF = MAX_HELD_BYTES // 2


class Holder:
    """Connection whose exchange holds a part of an answer."""

    peer = 'peer'

    def __init__(self):
        """Start without a failure."""
        self.failure = ''

    def fail(self, reason):
        """Record why the exchange ends."""
        self.failure = reason


def test_newest_answer_ends_when_an_earlier_one_needs_its_room():
    budget = AnswerBudget()
    earlier, newest = Holder(), Holder()
    for holder in (earlier, newest):
        budget.reserve(holder, HALF)
    budget.reserve(earlier, 1)
    assert (bool(earlier.failure), bool(newest.failure)) == (False, True)
    assert budget.reserved_bytes == HALF + 1


def test_newest_answer_ends_when_it_has_no_room_itself():
    budget = AnswerBudget()
    earlier, newest = Holder(), Holder()
    budget.reserve(earlier, HALF)
    budget.reserve(newest, HALF)
    with pytest.raises(ClientError):
        budget.reserve(newest, 1)
    assert not earlier.failure
    for holder in (earlier, newest):
        budget.release(holder)
        budget.release(holder)
    assert budget.reserved_bytes == 0
