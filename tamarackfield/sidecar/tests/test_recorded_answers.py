"""Answers from the ledger: what is said of a call whose answer was not kept."""

import pytest

from tamarackfield.core import RequestError
from tamarackfield.ledger import Answer, Ledger
from tamarackfield.sidecar.keyed_calls import KeyedCalls


@pytest.mark.parametrize('kept_bytes', [0, 900])
def test_reason_is_true_of_a_large_answer_and_of_a_small_one_in_a_full_ledger(kept_bytes):
    ledger = Ledger(max_answer_bytes=1000)
    for key, size in (('first', kept_bytes), ('second', 1000 - kept_bytes + 1)):
        ledger.admit(key, b'', 1e9, 0)
        ledger.mark_dispatched(key)
        ledger.store_answer(key, Answer(200, [], b'x' * size))
    keyed_calls = KeyedCalls('home', ledger, None, None, None)
    with pytest.raises(RequestError) as caught:
        keyed_calls._recorded_answer(ledger.records['second'])
    assert caught.value.code == 'answer_not_kept'
    assert 'too large' not in caught.value.message
    assert 'limit on stored answers' in caught.value.message
