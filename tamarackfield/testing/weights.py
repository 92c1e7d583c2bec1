"""Weight store stand-in with a rate limit, and slower transfers above a concurrency limit."""

import asyncio
from typing import Any

from tamarackfield.core import SYSTEM_CLOCK, Application
from tamarackfield.testing.standin import Standin, standin_schema
from tamarackfield.web import HttpRequest, Responder

SETTINGS_SCHEMA = standin_schema(
    {
        'loads_per_second': {'type': 'number', 'default': 4},
        'burst': {'type': 'integer', 'default': 2},
        'in_transit_limit': {'type': 'integer', 'default': 16},
        'load_seconds': {'type': 'number', 'default': 0.25},
    }
)


class WeightStore:
    """Serves weights at no more than the configured rate.

    Parameters
    ----------
    settings : dict
        Validated settings of the process.
    """

    def __init__(self, settings: dict[str, Any]) -> None:
        """Create a store without transfers."""
        self.settings = settings
        self.next_start_at = 0.0
        self.in_transit = 0
        self.served = 0
        self.most_in_transit = 0
        self.faults: dict[str, Any] = {'slowdown': 1, 'fail_every': 0}
        self.standin = Standin(settings, self.route, self.faults, self.read_counts)

    def read_counts(self) -> dict[str, Any]:
        """Return transfer counts."""
        return {'served': self.served, 'in_transit': self.in_transit, 'most_in_transit': self.most_in_transit}

    async def route(self, request: HttpRequest, responder: Responder) -> None:
        """Serve the weights of one adapter."""
        self.in_transit += 1
        self.most_in_transit = max(self.most_in_transit, self.in_transit)
        try:
            await self._wait_for_rate_limit()
            overload_factor = max(1, self.in_transit / self.settings['in_transit_limit'])
            await asyncio.sleep(self.settings['load_seconds'] * overload_factor * self.faults['slowdown'])
        finally:
            self.in_transit -= 1
        self.served += 1
        failing = self.faults['fail_every'] and not self.served % self.faults['fail_every']
        await responder.send_json(500 if failing else 200, {'weights': request.path})

    async def _wait_for_rate_limit(self) -> None:
        interval = self.faults['slowdown'] / self.settings['loads_per_second']
        now = SYSTEM_CLOCK.monotonic()
        earliest_start_at = now - interval * (self.settings['burst'] - 1)
        start_at = max(self.next_start_at, earliest_start_at)
        self.next_start_at = start_at + interval
        await asyncio.sleep(max(0, start_at - now))


def build(settings: dict[str, Any]) -> Application:
    """Return the application of a weight store stand-in."""
    return WeightStore(settings).standin.application
