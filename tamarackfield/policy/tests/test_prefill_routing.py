"""Routing replays in which prefill is the bottleneck."""

import random

from tamarackfield.policy import CostWeights, Ring, RoutingRequest, TargetView
from tamarackfield.policy.affine import choose_by_cost

#: Prefill time of a token on a normal and on a slow engine, and duration of an adapter load.
TOKEN_SECONDS = 0.00004
SLOW_TOKEN_SECONDS = 0.0002
LOAD_SECONDS = 0.25
PROMPT_TOKENS = 1000
#: Latency objective of the first event.
FIRST_EVENT_OBJECTIVE_SECONDS = 0.8
#: Interval between two reports of an engine.
REPORT_SECONDS = 0.6
ENGINES = 6


class SimulatedFleet:
    """Engines that prefill one prompt at a time, with the views that entries have of them."""

    def __init__(self, slow=()):
        names = [f't{index}' for index in range(ENGINES)]
        self.token_seconds = dict.fromkeys(names, TOKEN_SECONDS) | dict.fromkeys(slow, SLOW_TOKEN_SECONDS)
        self.views = {name: TargetView(name, 'z', batch=64, slots=30, load_seconds=LOAD_SECONDS) for name in names}
        self.ring = Ring(dict.fromkeys(names, 1.0))
        self.prefill_free_at = dict.fromkeys(names, 0.0)
        self.resident_at = {name: {} for name in names}

    def all(self):
        return list(self.views.values())

    def holders(self, adapter):
        return [view for view in self.views.values() if adapter in view.residents | view.loading]

    def ring_order(self, adapter):
        return (self.views[name] for name in self.ring.order(adapter))

    def report(self, now):
        for name, view in self.views.items():
            resident_at = self.resident_at[name]
            view.reported_at = now
            view.unreported = 0
            view.unreported_tokens = 0
            view.prompt_seconds = max(0.0, self.prefill_free_at[name] - now)
            view.token_seconds = self.token_seconds[name]
            view.residents = frozenset(adapter for adapter, at in resident_at.items() if at <= now)
            view.loading = frozenset(resident_at) - view.residents

    def run(self, name, adapter, now):
        """Run a request on an engine and return the time of its first event."""
        view = self.views[name]
        view.unreported += 1
        view.unreported_tokens += PROMPT_TOKENS
        ready_at = self.resident_at[name].setdefault(adapter, now + LOAD_SECONDS)
        prefill_started_at = max(now, ready_at, self.prefill_free_at[name])
        self.prefill_free_at[name] = prefill_started_at + PROMPT_TOKENS * self.token_seconds[name]
        return self.prefill_free_at[name]


def replay(fleet, draw_adapter, rate, seconds=20):
    """Return the percentage of requests whose first event was in time."""
    rng = random.Random(5)
    in_time = 0
    reported_at = -1.0
    for number in range(rate * seconds):
        now = number / rate
        if now - reported_at >= REPORT_SECONDS:
            fleet.report(now)
            reported_at = now
        adapter = draw_adapter(rng)
        request = RoutingRequest(adapter, 'z', now, now + 10, PROMPT_TOKENS)
        chosen = choose_by_cost(request, fleet, rng, CostWeights())
        in_time += fleet.run(chosen.name, adapter, now) <= now + FIRST_EVENT_OBJECTIVE_SECONDS
    return 100 * in_time // (rate * seconds)


def test_adapter_with_more_prompts_than_one_engine_prefills_does_not_stay_on_it():
    assert replay(SimulatedFleet(), lambda rng: 'm/hot', rate=60) > 90


def test_slow_engine_does_not_get_more_prompts_than_it_prefills():
    assert replay(SimulatedFleet(slow=('t0', 't1')), lambda rng: f'm/{rng.randrange(20)}', rate=60) > 90
