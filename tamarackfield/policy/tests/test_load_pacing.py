"""Recovery after a loss of power: every engine is empty, and requests for many adapters wait at each."""

import pytest

from tamarackfield.policy.load_pacing import FULL_SPEED_SECONDS, MIN_CONCURRENT_LOADS, LoadPacer
from tamarackfield.policy.residency import MAX_CONCURRENT_LOADS

#: Time in which a request must begin to be in time, and time in which an engine prefills a prompt.
OBJECTIVE_SECONDS = 0.8
PREFILL_SECONDS = 0.1
STEP_SECONDS = 0.005
WAITING_ADAPTERS = 16


class FixedLimit:
    """Limit that does not adapt."""

    def __init__(self, limit):
        self.limit = limit

    def record_load(self, seconds):
        """Ignore the duration."""


class Engine:
    """Engine with waiting requests for different adapters; prompts are prefilled one after the other."""

    def __init__(self, pacer):
        self.pacer = pacer
        self.waiting = WAITING_ADAPTERS
        self.loads = []
        self.prefilled_at = 0.0
        self.started_at = []

    def begin_loads(self, now):
        while self.waiting and len(self.loads) < self.pacer.limit:
            self.waiting -= 1
            self.loads.append([now, 0.0])

    def progress(self, work, now):
        for load in self.loads:
            load[1] += work
        finished = [load for load in self.loads if load[1] >= FULL_SPEED_SECONDS]
        for load in finished:
            self.loads.remove(load)
            self.pacer.record_load(now - load[0])
            self.prefilled_at = max(now, self.prefilled_at) + PREFILL_SECONDS
            self.started_at.append(self.prefilled_at)


def recover(make_pacer, engine_count, full_speed_loads, seconds=8.0):
    """Return the share of requests that start in time, and the time at which the last one starts."""
    engines = [Engine(make_pacer()) for _ in range(engine_count)]
    for step in range(round(seconds / STEP_SECONDS)):
        now = step * STEP_SECONDS
        for engine in engines:
            engine.begin_loads(now)
        in_progress = sum(len(engine.loads) for engine in engines)
        speed = min(1.0, full_speed_loads / max(1, in_progress))
        for engine in engines:
            engine.progress(STEP_SECONDS * speed, now + STEP_SECONDS)
    started = [moment for engine in engines for moment in engine.started_at]
    assert len(started) == engine_count * WAITING_ADAPTERS
    in_time = sum(moment <= OBJECTIVE_SECONDS for moment in started)
    return in_time / len(started), max(started)


@pytest.mark.parametrize(('engine_count', 'full_speed_loads'), [(6, 8), (20, 24), (39, 56), (5, 8)])
def test_more_requests_start_in_time_than_with_all_loads_at_once(engine_count, full_speed_loads):
    paced, paced_end = recover(LoadPacer, engine_count, full_speed_loads)
    unpaced, unpaced_end = recover(lambda: FixedLimit(MAX_CONCURRENT_LOADS), engine_count, full_speed_loads)
    assert paced >= 2 * unpaced
    assert paced_end < 1.1 * unpaced_end


def test_store_with_spare_capacity_is_used_in_full():
    paced, _ = recover(LoadPacer, 4, 16)
    unpaced, _ = recover(lambda: FixedLimit(MAX_CONCURRENT_LOADS), 4, 16)
    assert paced >= unpaced


def test_reloads_from_memory_do_not_raise_the_limit():
    pacer = LoadPacer()
    for _ in range(10):
        pacer.record_load(0.03)
    assert pacer.limit == MIN_CONCURRENT_LOADS
