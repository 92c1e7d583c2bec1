"""Calls that may not be repeated, as a caller of a test cluster makes them, and their witness."""

import functools
import itertools
import json
from dataclasses import dataclass
from typing import Any

from tamarackfield.core import SYSTEM_CLOCK
from tamarackfield.policy.placement import home_target
from tamarackfield.testing.cluster import Cluster
from tamarackfield.testing.processes import HOST, wait_until
from tamarackfield.web import fetch

#: Targets of the service ``booking`` in test clusters.
HOMES = ('booking-1', 'booking-2')
_MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class Reply:
    """What a caller was told."""

    status: int
    document: dict[str, Any]

    @property
    def outcome(self) -> str:
        """Outcome of the call, ``answered`` if it has its answer."""
        return self.document.get('error', {}).get('outcome', 'answered')

    @property
    def code(self) -> str:
        """Code of the error, empty if there is none."""
        return self.document.get('error', {}).get('code', '')


def key_for(home: str, prefix: str = 'pit') -> str:
    """Return a key chosen by the caller whose home is the given target."""
    keys = (f'{prefix}-{number}' for number in itertools.count())
    return next(key for key in keys if home_target(f'clinic|{key}', HOMES) == home)


def deadline_in(seconds: float) -> list[tuple[str, str]]:
    """Return the header of a deadline that many seconds from now."""
    return [('X-Deadline-Unix-Ms', str(SYSTEM_CLOCK.unix_ms() + round(seconds * _MS_PER_SECOND)))]


async def call(
    cluster: Cluster,
    path: str,
    body: bytes,
    *,
    entry: int = 0,
    headers: list[tuple[str, str]] | None = None,
) -> Reply:
    """Make one POST as the caller ``clinic`` and return what it was told."""
    all_headers = [('Authorization', 'Bearer key-clinic'), *(headers or [])]
    port = cluster.ports[cluster.entry_names[entry]]
    status, _, answer = await fetch((HOST, port), 'POST', path, body, all_headers)
    return Reply(status, json.loads(answer))


async def book(
    cluster: Cluster,
    key: str,
    *,
    entry: int = 0,
    body: bytes = b'{}',
    headers: list[tuple[str, str]] | None = None,
) -> Reply:
    """Make one booking with a key."""
    keyed = [('Idempotency-Key', key), *(headers or [])]
    return await call(cluster, '/services/booking/bookings', body, entry=entry, headers=keyed)


async def issue(cluster: Cluster) -> str:
    """Return a key issued by the first entry, empty while no home can be reached."""
    reply = await call(cluster, '/v1/idempotency-keys', b'{"service":"booking"}')
    return reply.document.get('key', '')


async def runs(cluster: Cluster, key: str) -> int:
    """Return how often a key ran over all targets."""
    witnesses = [await cluster.control(home) for home in HOMES if home in cluster.processes]
    return sum(witness['ran'].get(f'clinic|{key}', 0) for witness in witnesses)


async def wait_runs(cluster: Cluster, key: str) -> None:
    """Wait until a key's run has begun."""
    await wait_until(functools.partial(runs, cluster, key), f'{key} runs')
