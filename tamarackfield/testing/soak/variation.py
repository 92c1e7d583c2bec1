"""Versions of the operator's configuration in a soak test: limits, time-outs, weights and routes vary."""

import random
from dataclasses import dataclass
from typing import Any

from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.testing.platform_site import PLAIN_SERVICE, make_config, make_route

#: Idle limits of callers' connections, in seconds.
IDLE_LIMITS_SECONDS = (2.0, 3.0, 4.0)
#: Time-outs of routes, in seconds.
TIMEOUTS_SECONDS = (9.0, 14.0, 20.0)


@dataclass(frozen=True, slots=True)
class Variation:
    """What differs between versions, besides their routes; times in seconds."""

    idle_limit_seconds: float = 15.0
    timeout_seconds: float = 20.0
    weight: float = 1.0


#: Variation from which a run with standstills begins.
FIRST_VARIATION = Variation(max(IDLE_LIMITS_SECONDS), max(TIMEOUTS_SECONDS))


def draw_variation(rng: random.Random) -> Variation:
    """Return a variation: each limit goes up or down."""
    return Variation(rng.choice(IDLE_LIMITS_SECONDS), rng.choice(TIMEOUTS_SECONDS), rng.uniform(1, 9))


def make_version(version: int, variation: Variation) -> dict[str, Any]:
    """Return a version of the configuration; each adds one route to the previous one."""
    document = make_config(version)
    document['limits']['idle_timeout_ms'] = round(variation.idle_limit_seconds * MS_PER_SECOND)
    document['routes'] += [
        make_route(f'/seen-{earlier}/', 'idempotent', PLAIN_SERVICE) for earlier in range(2, version + 1)
    ]
    for route in document['routes']:
        route['timeout_ms'] = round(variation.timeout_seconds * MS_PER_SECOND)
        route['traffic_split'] = [{'service': route['service'], 'weight': variation.weight}]
    return document
