"""Measures the cost of a routing and of an eviction decision by the number of adapters and targets.

Run with ``python -m benchmarks.decisions``; prints one JSON document.
"""

import json
import random
import time
import tracemalloc
from types import SimpleNamespace
from typing import Any

from tamarackfield.bundle import TargetEntry
from tamarackfield.core import Application
from tamarackfield.entry.fleet import Fleet
from tamarackfield.policy import Ring, RoutingRequest, TargetView
from tamarackfield.policy.queueing import QUEUE_ORDERS
from tamarackfield.policy.eviction import EVICTION_POLICIES
from tamarackfield.sidecar.jobs import Job, Load, Unload
from tamarackfield.sidecar.scheduler import Scheduler

SLOTS = 8
BATCH = 8
DECISION_COUNT = 2000
_MICROSECONDS_PER_SECOND = 1_000_000


def make_fleet(rng: random.Random, adapters: int, targets: int) -> tuple[Fleet, tuple[TargetEntry, ...]]:
    """Return a fleet of unconnected links, each with random resident adapters."""
    fleet = Fleet(Application('benchmark'), lambda target: None)
    entries = tuple(
        TargetEntry(f'engine-{index}', 'engine', '127.0.0.1', 1, 'zone-1', 'west', 'base', '', 1.0, SLOTS, BATCH)
        for index in range(targets)
    )
    fleet.speeds = {entry.name: rng.choice((0.5, 1.0, 1.5)) for entry in entries}
    fleet.ring = Ring(fleet.speeds)
    for entry in entries:
        residents = frozenset(f'member-{rng.randrange(adapters)}@v1' for _ in range(SLOTS))
        view = TargetView(
            entry.name, entry.zone, batch=BATCH, slots=SLOTS, residents=residents, running=rng.randrange(BATCH)
        )
        fleet.links[entry.name] = SimpleNamespace(target=entry, usable=True, view=_make_view_getter(view))
        fleet.residency.update(entry.name, residents)
    return fleet, entries


def _make_view_getter(view: TargetView) -> Any:
    return lambda: view


def measure_routing_costs(adapters: int, targets: int) -> dict[str, float]:
    """Return the mean cost of a routing decision, the cost of building the ring and the memory of the fleet."""
    rng = random.Random(1)
    tracemalloc.start()
    fleet, entries = make_fleet(rng, adapters, targets)
    megabytes = tracemalloc.get_traced_memory()[0] / 1_000_000
    tracemalloc.stop()
    started_at = time.perf_counter()
    Ring(fleet.speeds)
    ring_seconds = time.perf_counter() - started_at
    requests = [
        RoutingRequest(f'member-{rng.randrange(adapters)}@v1', 'zone-1', 0.0, 10.0) for _ in range(DECISION_COUNT)
    ]
    fleet.choose_link(requests[0], entries, set())
    started_at = time.perf_counter()
    for request in requests:
        fleet.choose_link(request, entries, set())
    seconds = time.perf_counter() - started_at
    return {
        'routing_us': round(seconds / DECISION_COUNT * _MICROSECONDS_PER_SECOND, 1),
        'ring_ms': round(ring_seconds * 1000, 1),
        'state_mb': round(megabytes, 2),
    }


def measure_eviction_microseconds(adapters: int, waiting: int) -> float:
    """Return the mean cost of adding a job for a cold adapter and deciding which adapter to evict for it."""
    rng = random.Random(1)
    scheduler = Scheduler(SLOTS, BATCH, EVICTION_POLICIES['lru'], QUEUE_ORDERS['fair'])
    scheduler.reset_residents([f'held-{index}@v1' for index in range(SLOTS)], 0.0)
    for job_id in range(waiting):
        scheduler.add_job(Job(job_id, f'member-{rng.randrange(adapters)}@v1', f'caller-{job_id % 7}', 5, 1.0, 9e9))
    decision_count = 0
    started_at = time.perf_counter()
    for job_id in range(waiting, waiting + DECISION_COUNT // 10):
        scheduler.add_job(Job(job_id, f'member-{rng.randrange(adapters)}@v1', 'caller-1', 5, 1.0, 9e9))
        actions = scheduler.next_actions(1.0)
        decision_count += 1
        _fail_actions(scheduler, actions)
        scheduler.remove_job(job_id, 1.0)
    return round((time.perf_counter() - started_at) / decision_count * _MICROSECONDS_PER_SECOND, 1)


def _fail_actions(scheduler: Scheduler, actions: list[Any]) -> None:
    for action in actions:
        match action:
            case Load(adapter):
                scheduler.record_load_failure(adapter, 1.0)
            case Unload(adapter):
                scheduler.record_unload_failure(adapter)


def main() -> None:
    """Print the costs of the decisions as JSON."""
    figures: dict[str, Any] = {'routing': {}, 'eviction_us': {}}
    for adapters in (3000, 120_000):
        for targets in (10, 100, 10_000):
            figures['routing'][f'{adapters} adapters, {targets} targets'] = measure_routing_costs(adapters, targets)
        for waiting in (0, 100, 1000):
            figures['eviction_us'][f'{adapters} adapters, {waiting} waiting'] = measure_eviction_microseconds(
                adapters, waiting
            )
    print(json.dumps(figures, indent=2))


if __name__ == '__main__':
    main()
