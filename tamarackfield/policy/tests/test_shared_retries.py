"""All entries together stay below the allowance in any window, whatever they are asked."""

from hypothesis import given
from hypothesis import strategies as st

from tamarackfield.policy.shared_retries import SharedRetries

WINDOW = 10.0
ALLOWANCE = 40.0
SHARE = 0.2
STEPS = st.lists(
    st.tuples(st.floats(0, 3), st.integers(0, 3), st.integers(0, 30), st.integers(0, 30), st.booleans()),
    max_size=40,
)


@given(steps=STEPS)
def test_no_window_holds_more_attempts_than_are_allowed(steps):
    entries = [SharedRetries(SHARE, ALLOWANCE, WINDOW, entries=4) for _ in range(4)]
    now = 100.0
    requests, spent = [], []
    for pause, index, asked, wanted, restarted in steps:
        now += pause
        if restarted:
            entries[index] = SharedRetries(SHARE, ALLOWANCE, WINDOW, entries=4)
        for _ in range(asked):
            entries[index].earn(now)
            requests.append(now)
        for _ in range(wanted):
            if entries[index].may_spend(now):
                entries[index].spend(now)
                spent.append(now)
    for start in spent:
        in_window = sum(start <= at < start + WINDOW for at in spent)
        earned = sum(start - WINDOW <= at < start + WINDOW for at in requests)
        assert in_window <= ALLOWANCE + SHARE * earned + 1e-6


def test_entry_that_knows_no_other_takes_little():
    retries = SharedRetries(SHARE, ALLOWANCE, WINDOW)
    retries.earn(1.0)
    assert not retries.may_spend(2.0)
    assert not retries.may_spend(6.0)
