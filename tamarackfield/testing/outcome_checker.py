"""Checks that compare the run counts of stand-ins with the outcomes that callers of a chaos run received."""

import asyncio
import collections
from typing import Any

from tamarackfield.testing.cluster import Cluster

ENGINES = ('engine-1', 'engine-2')
SERVICE = 'booking-1'


class OutcomeChecker:
    """Collects run counts of the stand-ins and outcomes of the callers, and finds contradictions.

    The counts of an engine are also collected before it is killed, because a restart resets them.

    Parameters
    ----------
    cluster : Cluster
        Deployment whose stand-ins are read.
    """

    def __init__(self, cluster: Cluster) -> None:
        """Create a checker without counts."""
        self.cluster = cluster
        self.locks: dict[str, asyncio.Lock] = collections.defaultdict(asyncio.Lock)
        self.prompts: set[str] = set()
        self.broken_pins: dict[int, int] = {}
        self.refused_as_not_run: dict[str, str] = {}
        self.bookings: dict[str, list[str]] = collections.defaultdict(list)

    def process_lock(self, name: str) -> asyncio.Lock:
        """Return the lock that serializes the faults of a process."""
        return self.locks[name]

    async def collect_counts(self, engine: str) -> None:
        """Add the counts of one engine."""
        counts: dict[str, Any] = await self.cluster.control(engine)
        self.prompts.update(counts['prompts'])
        self.broken_pins[counts['incarnation']] = counts['broken_pins']

    async def find_violations(self) -> list[str]:
        """Return a description of every violation that the counts show."""
        for engine in ENGINES:
            await self.collect_counts(engine)
        violations = [f'incarnation {number}: {pins} broken pins' for number, pins in self.broken_pins.items() if pins]
        run_after_refusal = self.prompts.intersection(self.refused_as_not_run)
        violations.extend(
            f'refused as not_run, but ran: {self.refused_as_not_run[prompt]}' for prompt in run_after_refusal
        )
        ran = (await self.cluster.control(SERVICE))['ran']
        for key, outcomes in self.bookings.items():
            violations.extend(_check_booking(key, outcomes, ran.get(f'clinic|{key}', 0)))
        return violations


def _check_booking(key: str, outcomes: list[str], ran: int) -> list[str]:
    violations = []
    if ran > 1:
        violations.append(f'{key} ran {ran} times: {outcomes}')
    if ran and set(outcomes) == {'not_run'}:
        violations.append(f'{key} was refused as not_run and ran')
    if not ran and 'whole' in outcomes:
        violations.append(f'{key} was answered and never ran')
    return violations
