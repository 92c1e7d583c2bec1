"""Orders: who is meant, under which conditions, how often, and never more than the engine holds."""

import pytest

from tamarackfield.manager.admission import ModelOrder, Plan, Ticket
from tamarackfield.manager.engine import EngineKeeper
from tamarackfield.manager.model import EngineState, OrderResult
from tamarackfield.policy.residency import LoadOrder
from tamarackfield.web.client import ClientError
from tamarackfield.wire.grants import Facts


class FakeEngine:
    """An engine that answers what it is told to answer."""

    def __init__(self):
        self.started_ms = 1
        self.sequence = 0
        self.models = frozenset()
        self.held = {}
        self.answers = []
        self.orders = []
        self.reads = 0
        self.away = False

    async def read_state(self):
        """Return the engine's state."""
        self.reads += 1
        if self.away:
            raise ClientError('refused', 'connect', 'engine', sent=False)
        return EngineState(self.started_ms, self.sequence, self.models, dict(self.held), (), 0, 0, False, False)

    async def give_order(self, order, terms):
        """Keep the order."""
        self.orders.append((order, terms))
        result = self.answers.pop(0) if self.answers else OrderResult.ACCEPTED
        self.sequence += result is OrderResult.ACCEPTED
        return result

    def restart(self):
        """Begin another life."""
        self.started_ms += 1
        self.sequence = 0
        self.held.clear()


def make_facts(started_ms=1, **changes):
    """Return what entries tell of an engine with room for two adapters."""
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
async def keeper(engine):
    """Return a keeper that has read its engine and knows its name."""
    made = EngineKeeper(engine)
    await made.read()
    made.learn(make_facts())
    return made


async def test_empty_engine_gets_its_base_model(keeper, engine):
    await keeper.carry_out(keeper.order_missing_model())
    order, terms = engine.orders[0]
    assert order == ModelOrder('m')
    assert (terms.target, terms.sequence, terms.fencing) == ('t-1', 0, 1)


async def test_engine_that_keeps_restarting_does_not_use_up_the_weight_store(keeper, engine):
    for _ in range(5):
        await keeper.carry_out(keeper.order_missing_model())
        engine.restart()
        await keeper.read()
        keeper.learn(make_facts(engine.started_ms))
    assert len(engine.orders) == 1


async def test_nothing_is_ordered_of_an_engine_that_no_entry_has_named(engine):
    keeper = EngineKeeper(engine)
    await keeper.read()
    assert keeper.order_missing_model().orders == []
    keeper.learn(make_facts(started_ms=9))
    await keeper.carry_out(Plan(orders=[LoadOrder('m/a', 0)]))
    assert engine.orders == []


async def test_no_order_overfills_the_memory_or_the_places(keeper, engine):
    engine.models = frozenset(('m',))
    engine.held = {'m/a': 1, 'm/b': 1}
    await keeper.read()
    await keeper.carry_out(Plan(orders=[LoadOrder('m/c', 0)]))
    assert engine.orders == []
    keeper.learn(make_facts(revision=2, memory_kb=2000, places=2))
    await keeper.carry_out(Plan(orders=[LoadOrder('m/c', 0)]))
    assert engine.orders == []


async def test_replacing_a_version_needs_no_further_place(keeper, engine):
    engine.models = frozenset(('m',))
    engine.held = {'m/a': 1, 'm/b': 1}
    await keeper.read()
    await keeper.carry_out(Plan(orders=[LoadOrder('m/a', 2)]))
    assert len(engine.orders) == 1


async def test_fencing_number_goes_up_after_it_was_refused(keeper, engine):
    engine.models = frozenset(('m',))
    engine.answers = [OrderResult.FENCED]
    await keeper.read()
    await keeper.carry_out(Plan(orders=[LoadOrder('m/a', 0)]))
    await keeper.carry_out(Plan(orders=[LoadOrder('m/a', 0)]))
    first, second = (terms.fencing for _, terms in engine.orders)
    assert second > first


async def test_old_state_is_read_again_before_an_order(keeper, engine):
    engine.models = frozenset(('m',))
    await keeper.read()
    engine.restart()
    keeper.read_at -= 5
    await keeper.carry_out(Plan(orders=[LoadOrder('m/a', 0)]))
    assert engine.orders == []


async def test_another_life_forgets_grants_and_pins(keeper, engine):
    engine.models = frozenset(('m',))
    engine.held = {'m/a': 1}
    await keeper.read()
    keeper.admission.ask(Ticket((1, 1), 'm/a', 0, 0, 100.0, 200.0, 101.0))
    assert len(keeper.admission.plan(100.0).grants) == 1
    engine.restart()
    await keeper.read()
    assert keeper.admission.granted == {}
    assert keeper.admission.residency.residents == {}


async def test_engine_that_cannot_be_read_twice_counts_as_away(keeper, engine):
    engine.away = True
    await keeper.read()
    assert keeper.is_ready()
    await keeper.read()
    assert not keeper.is_ready()


async def test_order_that_fails_unexpectedly_does_not_bar_later_orders(keeper, engine):
    engine.models = frozenset(('m',))
    await keeper.read()
    order = LoadOrder('m/a1', 1)
    keeper.admission.ordered.append(order)

    async def fail(*_):
        raise RuntimeError('fault in the client')

    engine.give_order = fail
    with pytest.raises(RuntimeError):
        await keeper.carry_out(Plan(orders=[order]))
    assert not keeper.admission.ordered
