"""Placement when few adapter slots turn over many adapters: an adapter returns to the target that had it lately."""

import random

import pytest

from tamarackfield.gateway.directory import RECENT_PLACES
from tamarackfield.gateway.tests.samples import make_target_state
from tamarackfield.policy import CostWeights, Ring, RoutingRequest, TargetView
from tamarackfield.policy.affine import choose_by_cost, expected_load_stall

SLOTS = 5
TARGETS = 6
REQUESTS = 1500
#: Skew of the popularity of adapters.
ZIPF_EXPONENT = 1.2
ADAPTERS = 1000


class SmallFleet:
    """Targets with few slots that evict their least recently used adapter, and the fetches that this causes."""

    def __init__(self, remembers):
        self.remembers = remembers
        self.states = [make_target_state(f't{index}') for index in range(TARGETS)]
        self.views = {state.view.name: state.view for state in self.states}
        self.ring = Ring(dict.fromkeys(self.views, 1.0))
        self.used = {name: {} for name in self.views}
        self.held_before = {name: {} for name in self.views}
        self.fetches = 0

    def all(self):
        return list(self.views.values())

    def holders(self, adapter):
        return [
            view
            for view in self.views.values()
            if adapter in view.residents or (self.remembers and adapter in view.recent)
        ]

    def ring_order(self, adapter):
        return (self.views[name] for name in self.ring.order(adapter))

    def serve(self, adapter, rng):
        view = choose_by_cost(RoutingRequest(adapter, 'zone-a', 1.0, 9.0), self, rng, CostWeights())
        self._load(view, adapter)

    def _load(self, view, adapter):
        state = next(state for state in self.states if state.view is view)
        used = self.used[view.name]
        if adapter not in used:
            lately = list(self.held_before[view.name])[-RECENT_PLACES * SLOTS :]
            self.fetches += adapter not in lately
        used.pop(adapter, None)
        used[adapter] = None
        self.held_before[view.name].pop(adapter, None)
        self.held_before[view.name][adapter] = None
        while len(used) > SLOTS:
            used.pop(next(iter(used)))
        state.replace_residents(frozenset(used))
        if not self.remembers:
            view.recent = frozenset()


def count_fetches(remembers, seed=1):
    """Return the fetches for a trace in which the queues of the targets change at random."""
    fleet = SmallFleet(remembers)
    for view in fleet.views.values():
        view.slots = SLOTS
        view.batch = 8
        view.reported_at = 1.0
    rng = random.Random(seed)
    weights = [1 / (rank + 1) ** ZIPF_EXPONENT for rank in range(ADAPTERS)]
    for adapter in rng.choices([f'm/a{rank}' for rank in range(ADAPTERS)], weights, k=REQUESTS):
        for view in fleet.views.values():
            view.prompt_seconds = rng.expovariate(1 / 0.2)
        fleet.serve(adapter, rng)
    return fleet.fetches


def test_adapters_evicted_lately_save_fetches_from_the_weight_store():
    remembering, forgetting = (sum(count_fetches(remembers, seed) for seed in (1, 2, 3)) for remembers in (True, False))
    assert remembering < 0.85 * forgetting


def test_reload_of_an_adapter_that_was_evicted_lately_is_expected_to_be_short():
    view = TargetView('t', 'zone-a', slots=4, load_seconds=0.25, recent={'m/a'})
    assert expected_load_stall('m/a', view) == pytest.approx(0.025)
    assert expected_load_stall('m/b', view) == pytest.approx(0.25)


def test_eviction_list_is_bounded_and_has_no_resident_adapter():
    state = make_target_state('t1')
    state.view.slots = SLOTS
    for number in range(10 * RECENT_PLACES * SLOTS):
        state.replace_residents(frozenset((f'm/a{number}',)))
    assert len(state.view.recent) == RECENT_PLACES * SLOTS
    latest = list(state.evicted)[-1]
    state.replace_residents(frozenset((latest,)))
    assert latest not in state.view.recent
