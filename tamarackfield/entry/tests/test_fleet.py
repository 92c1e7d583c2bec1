"""Which targets a fleet offers to a router: holders by the last reports, only those allowed, not those tried."""

import random
from types import SimpleNamespace

import pytest

from tamarackfield.bundle import TargetEntry
from tamarackfield.core import Application, RequestError
from tamarackfield.entry.fleet import MAX_HOLDERS, Fleet, HolderIndex
from tamarackfield.policy import Ring, RoutingRequest, TargetView

REQUEST = RoutingRequest('a@1', 'zone-1', 0.0, 10.0)


def make_fleet(count):
    """Return a fleet whose links answer with fixed views, and its targets."""
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


def hold(fleet, *names):
    """Let some targets hold the adapter."""
    for name in names:
        fleet.links[name].view().residents = frozenset(('a@1',))
        fleet.index.update(name, frozenset(('a@1',)))


@pytest.mark.parametrize('count', [4, 40])
def test_only_allowed_targets_are_chosen_even_if_another_holds_the_adapter(count):
    fleet, entries = make_fleet(count)
    hold(fleet, 't0')
    allowed = tuple(entry for entry in entries if entry.region == 'region-1')
    assert all(fleet.choose(REQUEST, allowed, set()).target.region == 'region-1' for _ in range(20))


def test_a_tried_target_is_not_chosen_again():
    fleet, entries = make_fleet(10)
    hold(fleet, 't3')
    assert fleet.choose(REQUEST, entries, set()).target.name == 't3'
    assert fleet.choose(REQUEST, entries, {'t3'}).target.name != 't3'


def test_no_usable_target_is_an_error_with_a_time_to_come_back():
    fleet, entries = make_fleet(10)
    for link in fleet.links.values():
        link.usable = False
    with pytest.raises(RequestError) as caught:
        fleet.choose(REQUEST, entries, set())
    assert (caught.value.code, caught.value.retry_after) == ('no_target', 1)


def test_many_holders_share_the_requests_though_each_choice_looks_at_few():
    fleet, entries = make_fleet(40)
    hold(fleet, *(entry.name for entry in entries))
    chosen = {fleet.choose(REQUEST, entries, set()).target.name for _ in range(400)}
    assert len(chosen) > MAX_HOLDERS


def test_the_index_forgets_what_a_target_no_longer_holds():
    index = HolderIndex()
    index.update('t1', frozenset(('a@1', 'b@1')))
    index.update('t2', frozenset(('a@1',)))
    index.update('t1', frozenset(('b@1',)))
    assert index.of('a@1') == ['t2']
    index.update('t2', frozenset())
    assert index.of('a@1') == []
    assert set(index.holders) == {'b@1'}
