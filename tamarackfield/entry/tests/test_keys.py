"""What an entry says of a key that its home has not decided on."""

from types import SimpleNamespace

import pytest

from tamarackfield.core import SYSTEM_CLOCK, Outcome, RequestError
from tamarackfield.entry.homes import qualify
from tamarackfield.entry.keys import run_keyed
from tamarackfield.web import HttpRequest

HOME = SimpleNamespace(name='booking-1')


def make_call(*targets):
    """Return a keyed call with a deadline one second away."""
    return SimpleNamespace(targets=targets, deadline=SYSTEM_CLOCK.monotonic() + 1)


@pytest.mark.parametrize('targets', [(), (HOME,)])
async def test_key_without_a_reachable_home_is_unknown(targets):
    fleet = SimpleNamespace(links={})
    with pytest.raises(RequestError) as caught:
        await run_keyed(fleet, make_call(*targets), SimpleNamespace(started=False), None)
    assert (caught.value.outcome, caught.value.code, caught.value.retry_after) == (Outcome.UNKNOWN, 'home_away', 1)


async def test_key_whose_frame_was_not_sent_is_unknown():
    async def send(link):
        raise RequestError('not sent', step='submit')

    fleet = SimpleNamespace(links={HOME.name: SimpleNamespace(stream=True)})
    with pytest.raises(RequestError) as caught:
        await run_keyed(fleet, make_call(HOME), SimpleNamespace(started=False), send)
    assert caught.value.outcome is Outcome.UNKNOWN


async def test_word_of_the_home_is_passed_on():
    async def send(link):
        raise RequestError('queue is full', step='admission')

    fleet = SimpleNamespace(links={HOME.name: SimpleNamespace(stream=True)})
    with pytest.raises(RequestError) as caught:
        await run_keyed(fleet, make_call(HOME), SimpleNamespace(started=False), send)
    assert caught.value.outcome is Outcome.NOT_RUN


@pytest.mark.parametrize(
    ('headers', 'status', 'outcome'),
    [
        ({'idempotency-key': 'pit-1'}, 503, Outcome.UNKNOWN),
        ({'idempotency-key': 'pit-1'}, 401, Outcome.NOT_RUN),
        ({}, 503, Outcome.NOT_RUN),
    ],
)
def test_refusal_before_the_home_was_asked(headers, status, outcome):
    request = HttpRequest('POST', '/services/booking/bookings', '', headers, b'', 0.0)
    error = RequestError('no bundle is in force yet', step='resolve', status=status)
    assert qualify(error, request).outcome is outcome
