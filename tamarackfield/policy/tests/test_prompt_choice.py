"""Replays of load whose prompts are what an engine has no time for."""

import random

from tamarackfield.policy import Ring, RoutingRequest, TargetView, Weights
from tamarackfield.policy.affine import choose_by_cost

#: Seconds that an engine reads a token, that a slow one does, and that an adapter takes to arrive.
TOKEN_SECONDS = 0.00004
SLOW_TOKEN_SECONDS = 0.0002
LOAD_SECONDS = 0.25
TOKENS = 1000
#: Seconds in which callers hope for the first event.
AIM_SECONDS = 0.8
#: Seconds between two reports of an engine.
REPORT_SECONDS = 0.6
ENGINES = 6


class Engines:
    """Engines that read prompts one after another, as several entries see them."""

    def __init__(self, slow=()):
        names = [f't{index}' for index in range(ENGINES)]
        self.token_seconds = dict.fromkeys(names, TOKEN_SECONDS) | dict.fromkeys(slow, SLOW_TOKEN_SECONDS)
        self.views = {name: TargetView(name, 'z', batch=64, slots=30, load_seconds=LOAD_SECONDS) for name in names}
        self.ring = Ring(dict.fromkeys(names, 1.0))
        self.free_at = dict.fromkeys(names, 0.0)
        self.arrives_at = {name: {} for name in names}

    def all(self):
        return list(self.views.values())

    def holders(self, adapter):
        return [view for view in self.views.values() if adapter in view.residents | view.loading]

    def ring_order(self, adapter):
        return (self.views[name] for name in self.ring.order(adapter))

    def report(self, now):
        for name, view in self.views.items():
            arrivals = self.arrives_at[name]
            view.reported_at = now
            view.unreported = 0
            view.unreported_tokens = 0
            view.prompt_seconds = max(0.0, self.free_at[name] - now)
            view.token_seconds = self.token_seconds[name]
            view.residents = frozenset(adapter for adapter, at in arrivals.items() if at <= now)
            view.loading = frozenset(arrivals) - view.residents

    def run(self, name, adapter, now):
        """Let an engine run a request and return the time of its first event."""
        view = self.views[name]
        view.unreported += 1
        view.unreported_tokens += TOKENS
        ready_at = self.arrives_at[name].setdefault(adapter, now + LOAD_SECONDS)
        began_at = max(now, ready_at, self.free_at[name])
        self.free_at[name] = began_at + TOKENS * self.token_seconds[name]
        return self.free_at[name]


def replay(engines, draw_adapter, rate, seconds=20):
    """Return how many in a hundred requests had their first event in time."""
    rng = random.Random(5)
    in_time = 0
    reported_at = -1.0
    for number in range(rate * seconds):
        now = number / rate
        if now - reported_at >= REPORT_SECONDS:
            engines.report(now)
            reported_at = now
        adapter = draw_adapter(rng)
        request = RoutingRequest(adapter, 'z', now, now + 10, TOKENS)
        chosen = choose_by_cost(request, engines, rng, Weights())
        in_time += engines.run(chosen.name, adapter, now) <= now + AIM_SECONDS
    return 100 * in_time // (rate * seconds)


def test_adapter_whose_prompts_one_engine_cannot_read_is_spread():
    assert replay(Engines(), lambda rng: 'm/hot', rate=60) > 90


def test_slow_engine_gets_no_more_prompts_than_it_reads():
    assert replay(Engines(slow=('t0', 't1')), lambda rng: f'm/{rng.randrange(20)}', rate=60) > 90
