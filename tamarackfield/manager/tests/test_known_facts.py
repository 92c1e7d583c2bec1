"""Facts of several targets that are listed on one machine: those of its engine are used."""

from dataclasses import replace

from tamarackfield.manager.engine import EngineController
from tamarackfield.manager.engine_client import OrderResult
from tamarackfield.manager.known_facts import MAX_KNOWN_TARGETS, KnownFacts
from tamarackfield.manager.tests.test_engine import FakeEngine, make_facts
from tamarackfield.manager.tickets import Plan
from tamarackfield.policy.residency import UnloadOrder


async def make_controller(engine):
    controller = EngineController(engine)
    await controller.refresh_state()
    controller.update_facts(make_facts())
    return controller


async def test_facts_of_a_later_start_do_not_replace_those_of_the_engine():
    controller = await make_controller(FakeEngine())
    controller.update_facts(make_facts(9))
    assert controller.facts.target == 't-1'
    assert controller.is_ready()


async def test_facts_of_the_engine_replace_those_of_a_later_start():
    engine = FakeEngine()
    controller = EngineController(engine)
    controller.update_facts(make_facts(9))
    controller.update_facts(make_facts())
    await controller.refresh_state()
    assert controller.facts.target == 't-1'


async def test_name_that_the_engine_refuses_makes_way_for_another_with_the_same_start():
    engine = FakeEngine()
    controller = await make_controller(engine)
    controller.update_facts(replace(make_facts(), target='other'))
    engine.answers.append(OrderResult.MISDIRECTED)
    for _ in range(2):
        await controller.execute_plan(Plan(orders=[UnloadOrder('m/a')]))
    assert [terms.target for _, terms in engine.orders] == ['t-1', 'other']


def test_facts_of_any_number_of_targets_are_bounded_and_keep_those_of_the_engine():
    known = KnownFacts()
    known.add(make_facts())
    for started_ms in range(2, 3 * MAX_KNOWN_TARGETS):
        known.add(make_facts(started_ms))
        assert known.choose(1, 't-1').target == 't-1'
    assert len(known.by_target) == MAX_KNOWN_TARGETS
