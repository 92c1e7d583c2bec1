"""Orders: recipient, preconditions, rate, and the limits of the engine's memory and slots."""

import pytest

from tamarackfield.manager.tickets import ModelOrder, Plan, Ticket
from tamarackfield.manager.engine import EngineController
from tamarackfield.manager.engine_client import EnginePausedError, EngineState, OrderResult
from tamarackfield.policy.residency import LoadOrder
from tamarackfield.web.client import ClientError
from tamarackfield.wire.reservations import Facts


class FakeEngine:
    """Engine that answers orders with prepared results."""

    def __init__(self):
        self.started_ms = 1
        self.sequence = 0
        self.models = frozenset()
        self.resident_versions = {}
        self.answers = []
        self.orders = []
        self.reads = 0
        self.unreachable = False
        self.pause_seconds = 0.0

    async def read_state(self):
        """Return the engine's state, or fail if unreachable."""
        self.reads += 1
        if self.unreachable:
            raise ClientError('refused', 'connect', 'engine', sent=False)
        if self.pause_seconds:
            raise EnginePausedError('paused', 'call', 'engine', self.pause_seconds)
        return EngineState(
            self.started_ms, self.sequence, self.models, dict(self.resident_versions), (), 0, 0, False, False
        )

    async def send_order(self, order, terms):
        """Record an order and return the next prepared result."""
        if self.pause_seconds:
            raise EnginePausedError('paused', 'call', 'engine', self.pause_seconds)
        self.orders.append((order, terms))
        result = self.answers.pop(0) if self.answers else OrderResult.ACCEPTED
        self.sequence += result is OrderResult.ACCEPTED
        return result

    def restart(self):
        """Start a new incarnation."""
        self.started_ms += 1
        self.sequence = 0
        self.resident_versions.clear()


def make_facts(started_ms=1, **changes):
    """Return the facts of an engine whose memory fits two adapters."""
    fields = {
        'revision': 1,
        'target': f't-{started_ms}',
        'started_ms': started_ms,
        'batch': 4,
        'places': 5,
        'memory_kb': 1020,
        'models': ['m'],
        'model_kb': [1000],
        'adapter_kb': [10],
        'load_gap_ms': 60_000,
    }
    return Facts(**(fields | changes))


@pytest.fixture
def engine():
    """Return an engine without models."""
    return FakeEngine()


@pytest.fixture
async def controller(engine):
    """Return a controller that has read its engine's state and has its current facts."""
    controller = EngineController(engine)
    await controller.refresh_state()
    controller.update_facts(make_facts())
    return controller


async def test_engine_does_not_stay_without_a_base_model(controller, engine):
    await controller.execute_plan(controller.plan_model_load())
    order, terms = engine.orders[0]
    assert order == ModelOrder('m')
    assert (terms.target, terms.sequence, terms.fencing) == ('t-1', 0, 1)


async def test_repeated_engine_restarts_do_not_overload_the_weight_store(controller, engine):
    for _ in range(5):
        await controller.execute_plan(controller.plan_model_load())
        engine.restart()
        await controller.refresh_state()
        controller.update_facts(make_facts(engine.started_ms))
    assert len(engine.orders) == 1


async def test_no_order_is_sent_to_an_engine_without_current_facts(engine):
    controller = EngineController(engine)
    await controller.refresh_state()
    assert controller.plan_model_load().orders == []
    controller.update_facts(make_facts(started_ms=9))
    await controller.execute_plan(Plan(orders=[LoadOrder('m/a', 0)]))
    assert engine.orders == []


async def test_no_order_exceeds_memory_or_slots(controller, engine):
    engine.models = frozenset(('m',))
    engine.resident_versions = {'m/a': 1, 'm/b': 1}
    await controller.refresh_state()
    await controller.execute_plan(Plan(orders=[LoadOrder('m/c', 0)]))
    assert engine.orders == []
    controller.update_facts(make_facts(revision=2, memory_kb=2000, places=2))
    await controller.execute_plan(Plan(orders=[LoadOrder('m/c', 0)]))
    assert engine.orders == []


async def test_new_version_of_a_resident_adapter_needs_no_free_slot(controller, engine):
    engine.models = frozenset(('m',))
    engine.resident_versions = {'m/a': 1, 'm/b': 1}
    await controller.refresh_state()
    await controller.execute_plan(Plan(orders=[LoadOrder('m/a', 2)]))
    assert len(engine.orders) == 1


async def test_fencing_token_increases_after_a_fenced_order(controller, engine):
    engine.models = frozenset(('m',))
    engine.answers = [OrderResult.FENCED]
    await controller.refresh_state()
    await controller.execute_plan(Plan(orders=[LoadOrder('m/a', 0)]))
    await controller.execute_plan(Plan(orders=[LoadOrder('m/a', 0)]))
    first, second = (terms.fencing for _, terms in engine.orders)
    assert second > first


async def test_no_order_is_sent_on_a_stale_state(controller, engine):
    engine.models = frozenset(('m',))
    await controller.refresh_state()
    engine.restart()
    controller.state_read_at -= 5
    await controller.execute_plan(Plan(orders=[LoadOrder('m/a', 0)]))
    assert engine.orders == []


async def test_grants_and_pins_do_not_survive_an_engine_restart(controller, engine):
    engine.models = frozenset(('m',))
    engine.resident_versions = {'m/a': 1}
    await controller.refresh_state()
    controller.admission.enqueue(Ticket((1, 1), 'm/a', 0, 0, 100.0, 200.0, 101.0))
    assert len(controller.admission.make_plan(100.0).grants) == 1
    engine.restart()
    await controller.refresh_state()
    assert controller.admission.granted == {}
    assert controller.admission.residency.residents == {}


async def test_single_read_failure_does_not_make_the_engine_unreachable(controller, engine):
    engine.unreachable = True
    await controller.refresh_state()
    assert controller.is_ready()
    await controller.refresh_state()
    assert not controller.is_ready()


async def test_unexpected_failure_of_an_order_does_not_block_later_orders(controller, engine):
    engine.models = frozenset(('m',))
    await controller.refresh_state()
    order = LoadOrder('m/a1', 1)
    controller.admission.pending_orders.append(order)

    async def fail(*_):
        raise RuntimeError('fault in the client')

    engine.send_order = fail
    with pytest.raises(RuntimeError):
        await controller.execute_plan(Plan(orders=[order]))
    assert not controller.admission.pending_orders


async def test_engine_gets_no_call_until_its_pause_ends(controller, engine):
    engine.pause_seconds = 30.0
    await controller.execute_plan(Plan(orders=[LoadOrder('m/a1', 1)]))
    reads = engine.reads
    engine.pause_seconds = 0.0
    assert not await controller.refresh_state()
    await controller.execute_plan(Plan(orders=[LoadOrder('m/a1', 1)]))
    assert (engine.reads, engine.orders) == (reads, [])
    assert controller.admission.reachable


async def test_pause_ends_with_the_incarnation_of_the_engine(controller, engine):
    engine.pause_seconds = 3600.0
    assert not await controller.refresh_state()
    engine.pause_seconds = 0.0
    engine.restart()
    controller.update_facts(make_facts(engine.started_ms))
    assert await controller.refresh_state()
