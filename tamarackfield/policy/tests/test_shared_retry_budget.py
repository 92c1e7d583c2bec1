"""The retries of all entries together stay within the allowance in any window."""

from hypothesis import given
from hypothesis import strategies as st

from tamarackfield.policy.shared_retry_budget import SharedRetryBudget

WINDOW_SECONDS = 10.0
ALLOWANCE = 40.0
RETRY_RATIO = 0.2
STEPS = st.lists(
    st.tuples(st.floats(0, 3), st.integers(0, 3), st.integers(0, 30), st.integers(0, 30), st.booleans()),
    max_size=40,
)


@given(steps=STEPS)
def test_no_window_exceeds_the_allowed_retries(steps):
    entries = [SharedRetryBudget(RETRY_RATIO, ALLOWANCE, WINDOW_SECONDS, entries=4) for _ in range(4)]
    now = 100.0
    requested_at, retried_at = [], []
    for pause, index, request_count, retry_count, restarted in steps:
        now += pause
        if restarted:
            entries[index] = SharedRetryBudget(RETRY_RATIO, ALLOWANCE, WINDOW_SECONDS, entries=4)
        for _ in range(request_count):
            entries[index].earn(now)
            requested_at.append(now)
        for _ in range(retry_count):
            if entries[index].can_spend(now):
                entries[index].spend(now)
                retried_at.append(now)
    for start in retried_at:
        in_window = sum(start <= at < start + WINDOW_SECONDS for at in retried_at)
        earned = sum(start - WINDOW_SECONDS <= at < start + WINDOW_SECONDS for at in requested_at)
        assert in_window <= ALLOWANCE + RETRY_RATIO * earned + 1e-6


def test_entry_without_a_count_of_entries_does_not_use_the_whole_allowance():
    retries = SharedRetryBudget(RETRY_RATIO, ALLOWANCE, WINDOW_SECONDS)
    retries.earn(1.0)
    assert not retries.can_spend(2.0)
    assert not retries.can_spend(6.0)
