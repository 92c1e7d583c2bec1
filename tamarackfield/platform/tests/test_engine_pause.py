"""The client of a worker reports that the worker wants no request for a while."""

import pytest

from tamarackfield.manager.engine_client import EnginePausedError, OrderTerms
from tamarackfield.platform.engine import WorkerEngine
from tamarackfield.policy.residency import LoadOrder
from tamarackfield.web import HttpServer
from tamarackfield.web.text_answers import answer_error

HOST = '127.0.0.1'


async def turn_away(_, responder):
    """Turn a call away for 30 seconds."""
    await responder.send_json(503, {}, (('Retry-After', '30'),))


async def test_call_that_a_worker_turns_away_for_a_while_raises_with_the_time():
    server = HttpServer(turn_away, answer_error)
    await server.listen(HOST, 0)
    engine = WorkerEngine((HOST, server.port), 'side-1')
    try:
        with pytest.raises(EnginePausedError) as of_report:
            await engine.read_state()
        with pytest.raises(EnginePausedError) as of_order:
            await engine.send_order(LoadOrder('base/a1', 1), OrderTerms('w1', 0, 1))
    finally:
        engine.pool.close()
        await server.close()
    assert (of_report.value.seconds, of_order.value.seconds) == (30.0, 30.0)
