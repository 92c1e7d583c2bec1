"""State of a target after an attempt, on which later choices of targets are based."""

import asyncio

from tamarackfield.gateway.attempts import AttemptRunner
from tamarackfield.gateway.call_state import CallState
from tamarackfield.gateway.exchange import NotRun
from tamarackfield.gateway.tests.samples import make_call, make_route, make_target_record
from tamarackfield.gateway.tests.test_fleet import make_fleet, target_of
from tamarackfield.policy.shared_retry_budget import SharedRetryBudget
from tamarackfield.web.client import ClientError


class UnreachablePool:
    """Connection pool that cannot open a connection."""

    async def acquire(self, address, max_idle_seconds):
        """Fail to connect."""
        raise ClientError('cannot connect', 'connect', str(address), sent=False)


def test_attempts_without_a_sidecar_do_not_count_as_unreported():
    record = make_target_record('t1', 'models', address=('127.0.0.1', 1), holdings=('base', 'base/a1@1'))
    fleet = make_fleet(record)
    target = target_of(fleet)
    attempt_runner = AttemptRunner(fleet, UnreachablePool(), None, lambda service: SharedRetryBudget(0.2, 40.0, 10.0))
    call = make_call(model='base', adapter='a1', prompt_tokens=500)
    call_state = CallState(call, make_route('/m/', 'models'), 'models', 1)
    result = asyncio.run(attempt_runner.run_attempt(call_state, target, None))
    assert isinstance(result, NotRun)
    assert (target.view.unreported, target.view.unreported_tokens, target.view.outstanding) == (0, 0, 0)
