"""What the cost of a target makes of residents, queues and age, and how few targets are looked at."""

import random

from tamarackfield.policy import Ring, RoutingRequest, TargetView, Weights
from tamarackfield.policy.affine import MAX_CANDIDATES, choose_by_cost, estimate, expected_requests

REQUEST = RoutingRequest('a@1', 'zone-1', now=100.0, deadline=110.0)


class Views:
    """A fleet of views that counts how many were looked at."""

    def __init__(self, views):
        self.views = {view.name: view for view in views}
        self.ring = Ring({view.name: view.speed for view in views})
        self.looked_at = 0

    def all(self):
        return list(self.views.values())

    def holders(self, adapter):
        return [view for view in self.views.values() if adapter in view.residents | view.loading]

    def ring_order(self, adapter):
        for name in self.ring.order(adapter):
            self.looked_at += 1
            yield self.views[name]


def make_views(count, **fields):
    """Return targets that differ in name only."""
    return [TargetView(f't{index}', 'zone-1', batch=8, slots=4, reported_at=100.0, **fields) for index in range(count)]


def choose(views, seed=1):
    """Choose once among views."""
    return choose_by_cost(REQUEST, Views(views), random.Random(seed), Weights()).name


def test_a_holder_with_room_is_chosen():
    for holder in range(6):
        views = make_views(6)
        views[holder].residents = frozenset(('a@1',))
        assert choose(views) == f't{holder}'


def test_requests_for_a_cold_adapter_meet_at_one_target():
    assert len({choose(make_views(6), seed) for seed in range(20)}) == 1


def test_a_load_under_way_is_joined():
    views = make_views(6)
    elsewhere = next(view for view in views if view.name != choose(make_views(6)))
    elsewhere.loading = frozenset(('a@1',))
    assert choose(views) == elsewhere.name


def test_an_overloaded_holder_is_left():
    views = make_views(6)
    views[0].residents = frozenset(('a@1',))
    views[0].queued = 80
    assert choose(views) != 't0'


def test_a_partly_filled_batch_goes_before_an_idle_engine():
    views = make_views(2, residents=frozenset(('a@1',)))
    views[1].running = 4
    assert choose(views) == 't1'


def test_a_full_batch_does_not_go_before_an_idle_engine():
    views = make_views(2, residents=frozenset(('a@1',)))
    views[1].running = 8
    assert choose(views) == 't0'


def test_equal_holders_share_the_requests():
    chosen = {choose(make_views(3, residents=frozenset(('a@1',))), seed) for seed in range(40)}
    assert chosen == {'t0', 't1', 't2'}


def test_an_old_report_counts_less_and_own_requests_count_at_once():
    view = make_views(1, running=4, queued=4)[0]
    assert expected_requests(view, 100.0) == 8
    assert expected_requests(view, 104.0) == 2
    view.unreported = 3
    assert expected_requests(view, 100.0) == 11


def test_the_weight_of_load_stalls_raises_their_cost():
    view = make_views(1)[0]
    costs = [estimate(REQUEST, view, 0, Weights(load_stalls=weight)).cost for weight in (0.0, 1.0, 2.0)]
    assert costs == sorted(set(costs))


def test_few_of_many_targets_are_looked_at():
    quiet = Views(make_views(1000))
    choose_by_cost(REQUEST, quiet, random.Random(1), Weights())
    busy = Views(make_views(1000, queued=500))
    choose_by_cost(REQUEST, busy, random.Random(1), Weights())
    assert quiet.looked_at <= 2
    assert busy.looked_at <= MAX_CANDIDATES
