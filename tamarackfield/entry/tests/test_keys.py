"""Outcome that an entry reports for an idempotency key on which its home target has not decided."""

from types import SimpleNamespace

import pytest

from tamarackfield.core import SYSTEM_CLOCK, Outcome, RequestError
from tamarackfield.entry.home_targets import mark_unknown_if_key_may_have_run
from tamarackfield.entry.keyed_calls import run_keyed_call
from tamarackfield.web import HttpRequest

HOME_TARGET = SimpleNamespace(name='booking-1')


def make_call(*targets):
    """Return a keyed call with a deadline in one second."""
    return SimpleNamespace(targets=targets, deadline=SYSTEM_CLOCK.monotonic() + 1)


@pytest.mark.parametrize('targets', [(), (HOME_TARGET,)])
async def test_key_without_a_reachable_home_target_is_unknown(targets):
    fleet = SimpleNamespace(links={})
    with pytest.raises(RequestError) as caught:
        await run_keyed_call(fleet, make_call(*targets), SimpleNamespace(head_sent=False), None)
    assert (caught.value.outcome, caught.value.code, caught.value.retry_after) == (Outcome.UNKNOWN, 'home_away', 1)


async def test_key_whose_frame_was_not_sent_is_unknown():
    async def send(link):
        raise RequestError('not sent', step='submit')

    fleet = SimpleNamespace(links={HOME_TARGET.name: SimpleNamespace(stream=True)})
    with pytest.raises(RequestError) as caught:
        await run_keyed_call(fleet, make_call(HOME_TARGET), SimpleNamespace(head_sent=False), send)
    assert caught.value.outcome is Outcome.UNKNOWN


async def test_refusal_by_the_home_target_keeps_outcome_not_run():
    async def send(link):
        raise RequestError('queue is full', step='admission')

    fleet = SimpleNamespace(links={HOME_TARGET.name: SimpleNamespace(stream=True)})
    with pytest.raises(RequestError) as caught:
        await run_keyed_call(fleet, make_call(HOME_TARGET), SimpleNamespace(head_sent=False), send)
    assert caught.value.outcome is Outcome.NOT_RUN


@pytest.mark.parametrize(
    ('headers', 'status', 'outcome'),
    [
        ({'idempotency-key': 'pit-1'}, 503, Outcome.UNKNOWN),
        ({'idempotency-key': 'pit-1'}, 401, Outcome.NOT_RUN),
        ({}, 503, Outcome.NOT_RUN),
    ],
)
def test_server_error_before_the_home_target_is_reached_is_unknown_only_with_a_key(headers, status, outcome):
    request = HttpRequest('POST', '/services/booking/bookings', '', headers, b'', 0.0)
    error = RequestError('no bundle is in force yet', step='resolve', status=status)
    assert mark_unknown_if_key_may_have_run(error, request).outcome is outcome
