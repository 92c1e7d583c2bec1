"""Targets that a fleet offers to a router: only allowed ones, none that was tried, and those with the adapter first."""

import random
from types import SimpleNamespace

import pytest

from tamarackfield.bundle import TargetEntry
from tamarackfield.core import Application, RequestError
from tamarackfield.entry.fleet import MAX_SAMPLED_HOLDERS, Fleet, ResidencyIndex
from tamarackfield.policy import Ring, RoutingRequest, TargetView

REQUEST = RoutingRequest('a@1', 'zone-1', 0.0, 10.0)


def make_fleet(count):
    """Return a fleet whose links return fixed views, and its targets."""
    fleet = Fleet(Application('test'), lambda target: None)
    entries = tuple(
        TargetEntry(f't{index}', 'engine', '127.0.0.1', 1, 'zone-1', f'region-{index % 2}', 'base', '', 1.0, 4, 8)
        for index in range(count)
    )
    fleet.speeds = {entry.name: 1.0 for entry in entries}
    fleet.ring = Ring(fleet.speeds)
    fleet.rng = random.Random(1)
    for entry in entries:
        view = TargetView(entry.name, entry.zone, batch=8, slots=4)
        fleet.links[entry.name] = SimpleNamespace(target=entry, usable=True, view=lambda view=view: view)
    return fleet, entries


def add_resident(fleet, *names):
    """Make the adapter resident on some targets."""
    for name in names:
        fleet.links[name].view().residents = frozenset(('a@1',))
        fleet.residency.update(name, frozenset(('a@1',)))


@pytest.mark.parametrize('count', [4, 40])
def test_target_that_is_not_allowed_is_not_chosen_though_it_has_the_adapter(count):
    fleet, entries = make_fleet(count)
    add_resident(fleet, 't0')
    allowed = tuple(entry for entry in entries if entry.region == 'region-1')
    assert all(fleet.choose_link(REQUEST, allowed, set()).target.region == 'region-1' for _ in range(20))


def test_a_tried_target_is_not_chosen_again():
    fleet, entries = make_fleet(10)
    add_resident(fleet, 't3')
    assert fleet.choose_link(REQUEST, entries, set()).target.name == 't3'
    assert fleet.choose_link(REQUEST, entries, {'t3'}).target.name != 't3'


def test_no_usable_target_is_an_error_with_retry_after():
    fleet, entries = make_fleet(10)
    for link in fleet.links.values():
        link.usable = False
    with pytest.raises(RequestError) as caught:
        fleet.choose_link(REQUEST, entries, set())
    assert (caught.value.code, caught.value.retry_after) == ('no_target', 1)


def test_requests_spread_over_more_holders_than_one_decision_samples():
    fleet, entries = make_fleet(40)
    add_resident(fleet, *(entry.name for entry in entries))
    chosen = {fleet.choose_link(REQUEST, entries, set()).target.name for _ in range(400)}
    assert len(chosen) > MAX_SAMPLED_HOLDERS


def test_index_drops_adapters_that_a_target_no_longer_reports():
    index = ResidencyIndex()
    index.update('t1', frozenset(('a@1', 'b@1')))
    index.update('t2', frozenset(('a@1',)))
    index.update('t1', frozenset(('b@1',)))
    assert index.targets_with('a@1') == ['t2']
    index.update('t2', frozenset())
    assert index.targets_with('a@1') == []
    assert set(index.targets_by_adapter) == {'b@1'}
