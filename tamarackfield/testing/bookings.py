"""Non-idempotent calls of a test caller, and the run counts of the targets."""

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
SERVICE_TARGETS = ('booking-1', 'booking-2')
_MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class Reply:
    """Status and JSON document of an answer."""

    status: int
    document: dict[str, Any]

    @property
    def outcome(self) -> str:
        """Outcome of the call, ``answered`` if there is no error."""
        return self.document.get('error', {}).get('outcome', 'answered')

    @property
    def code(self) -> str:
        """Error code, empty if there is none."""
        return self.document.get('error', {}).get('code', '')


def make_key_owned_by(target: str, prefix: str = 'pit') -> str:
    """Return a key that is owned by the given target, as a caller may choose one."""
    keys = (f'{prefix}-{number}' for number in itertools.count())
    return next(key for key in keys if home_target(f'clinic|{key}', SERVICE_TARGETS) == target)


def make_deadline_header(seconds: float) -> list[tuple[str, str]]:
    """Return the header of a deadline this many seconds from now."""
    return [('X-Deadline-Unix-Ms', str(SYSTEM_CLOCK.unix_ms() + round(seconds * _MS_PER_SECOND)))]


async def post_request(
    cluster: Cluster,
    path: str,
    body: bytes,
    *,
    entry: int = 0,
    headers: list[tuple[str, str]] | None = None,
) -> Reply:
    """Send one POST request as the caller ``clinic`` and return the answer."""
    all_headers = [('Authorization', 'Bearer key-clinic'), *(headers or [])]
    port = cluster.ports[cluster.entry_names[entry]]
    status, _, answer = await fetch((HOST, port), 'POST', path, body, all_headers)
    return Reply(status, json.loads(answer))


async def make_booking(
    cluster: Cluster,
    key: str,
    *,
    entry: int = 0,
    body: bytes = b'{}',
    headers: list[tuple[str, str]] | None = None,
) -> Reply:
    """Make one booking with an idempotency key."""
    keyed = [('Idempotency-Key', key), *(headers or [])]
    return await post_request(cluster, '/services/booking/bookings', body, entry=entry, headers=keyed)


async def request_key(cluster: Cluster) -> str:
    """Return a key issued by the first entry, empty while no target can be reached."""
    reply = await post_request(cluster, '/v1/idempotency-keys', b'{"service":"booking"}')
    return reply.document.get('key', '')


async def count_runs(cluster: Cluster, key: str) -> int:
    """Return the number of runs of a key on all targets."""
    counts = [await cluster.control(target) for target in SERVICE_TARGETS if target in cluster.processes]
    return sum(target_counts['ran'].get(f'clinic|{key}', 0) for target_counts in counts)


async def wait_for_run(cluster: Cluster, key: str) -> None:
    """Wait until a run of a key has started."""
    await wait_until(functools.partial(count_runs, cluster, key), f'run of {key}')
