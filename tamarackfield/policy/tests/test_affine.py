"""Cost of a target by residency, queue and report age, and the number of targets that a choice examines."""

import random

from tamarackfield.policy import CostWeights, Ring, RoutingRequest, TargetView
from tamarackfield.policy.affine import MAX_CANDIDATES, choose_by_cost, estimate_cost, expected_requests

REQUEST = RoutingRequest('a@1', 'zone-1', now=100.0, deadline=110.0)


class CountingFleet:
    """Fleet that counts how many targets of the ring are examined."""

    def __init__(self, views):
        self.views = {view.name: view for view in views}
        self.ring = Ring({view.name: view.speed for view in views})
        self.examined = 0

    def all(self):
        return list(self.views.values())

    def holders(self, adapter):
        return [view for view in self.views.values() if adapter in view.residents | view.loading]

    def ring_order(self, adapter):
        for name in self.ring.order(adapter):
            self.examined += 1
            yield self.views[name]


def make_views(count, **fields):
    """Return targets that differ only in name."""
    return [TargetView(f't{index}', 'zone-1', batch=8, slots=4, reported_at=100.0, **fields) for index in range(count)]


def choose_target_name(views, seed=1):
    """Return the name of the chosen target."""
    return choose_by_cost(REQUEST, CountingFleet(views), random.Random(seed), CostWeights()).name


def test_target_with_resident_adapter_and_free_capacity_is_chosen():
    for holder in range(6):
        views = make_views(6)
        views[holder].residents = frozenset(('a@1',))
        assert choose_target_name(views) == f't{holder}'


def test_requests_for_a_cold_adapter_do_not_load_it_on_several_targets():
    assert len({choose_target_name(make_views(6), seed) for seed in range(20)}) == 1


def test_adapter_is_not_loaded_twice_while_a_load_is_in_progress():
    views = make_views(6)
    loading_target = next(view for view in views if view.name != choose_target_name(make_views(6)))
    loading_target.loading = frozenset(('a@1',))
    assert choose_target_name(views) == loading_target.name


def test_adapter_is_not_loaded_at_a_target_that_limits_its_requests():
    views = make_views(6)
    first_choice = choose_target_name(views)
    next(view for view in views if view.name == first_choice).request_seconds = 0.5
    assert choose_target_name(views) != first_choice


def test_holder_at_its_limit_is_left_for_a_target_that_has_to_load_the_adapter():
    views = make_views(6)
    views[2].residents = frozenset(('a@1',))
    views[2].request_seconds = 0.8
    assert choose_target_name(views) == 't2'
    views[2].unreported = 2
    assert choose_target_name(views) != 't2'


def test_overloaded_holder_is_not_chosen():
    views = make_views(6)
    views[0].residents = frozenset(('a@1',))
    views[0].queued = 80
    assert choose_target_name(views) != 't0'


def test_full_batch_that_was_reported_a_second_ago_is_not_taken_for_half_empty():
    views = make_views(2, residents=frozenset(('a@1',)))
    full, free = views
    full.running = 8
    full.queued = 4
    full.reported_at = 98.5
    free.running = 7
    assert {choose_target_name(views, seed) for seed in range(20)} == {'t1'}


def test_partly_filled_batch_is_preferred_to_an_idle_engine():
    views = make_views(2, residents=frozenset(('a@1',)))
    views[1].running = 4
    assert choose_target_name(views) == 't1'


def test_full_batch_is_not_preferred_to_an_idle_engine():
    views = make_views(2, residents=frozenset(('a@1',)))
    views[1].running = 8
    assert choose_target_name(views) == 't0'


def test_equal_holders_all_receive_requests():
    chosen = {choose_target_name(make_views(3, residents=frozenset(('a@1',))), seed) for seed in range(40)}
    assert chosen == {'t0', 't1', 't2'}


def test_overdue_report_decays_and_unreported_requests_count_fully():
    view = make_views(1, running=4, queued=4)[0]
    assert expected_requests(view, 100.0) == 8
    assert expected_requests(view, 102.0) == 8
    assert expected_requests(view, 106.0) == 2
    view.unreported = 3
    assert expected_requests(view, 100.0) == 11


def test_higher_load_stall_weight_raises_the_cost():
    view = make_views(1)[0]
    costs = [estimate_cost(REQUEST, view, 0, CostWeights(load_stalls=weight)).cost for weight in (0.0, 1.0, 2.0)]
    assert costs == sorted(set(costs))


def test_choice_among_many_targets_examines_few():
    idle_fleet = CountingFleet(make_views(1000))
    choose_by_cost(REQUEST, idle_fleet, random.Random(1), CostWeights())
    busy_fleet = CountingFleet(make_views(1000, queued=500))
    choose_by_cost(REQUEST, busy_fleet, random.Random(1), CostWeights())
    assert idle_fleet.examined <= 2
    assert busy_fleet.examined <= MAX_CANDIDATES
