"""Measures the availability cost of at-most-once calls on real processes.

Calls with keys issued by an entry and calls with keys chosen by the caller alternate under the same
fault. Caller-chosen keys wait until the horizon has passed after a restart of their home target. Run it with
``python -m benchmarks.at_most_once``; it prints JSON.
"""

import asyncio
import contextlib
import itertools
import json
import pathlib
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import click

from tamarackfield.testing.cluster import Cluster, TargetSpec, make_bundle
from tamarackfield.testing.processes import HOST
from tamarackfield.web import ClientError, fetch

HOMES = ('booking-1', 'booking-2', 'booking-3')
#: Time of steady calls before the fault.
SECONDS_BEFORE_FAULT = 2.0
#: Number of attempts with one key, one second apart.
MAX_ATTEMPTS = 3
_AUTHORIZATION = ('Authorization', 'Bearer key-clinic')
_MS_PER_SECOND = 1000

Fault = Callable[[Cluster], Awaitable[None]]


@dataclass
class CallStatistics:
    """Outcomes and durations of the calls with keys from one source."""

    first_outcomes: Counter[str] = field(default_factory=Counter)
    final_outcomes: Counter[str] = field(default_factory=Counter)
    not_run_keys: set[str] = field(default_factory=set)
    issue_ms: list[float] = field(default_factory=list)
    call_ms: list[float] = field(default_factory=list)

    def to_document(self) -> dict[str, Any]:
        """Return outcomes as shares of all calls, and median durations in milliseconds."""
        total = max(1, self.first_outcomes.total())
        return {
            'calls': self.first_outcomes.total(),
            'first_try': {outcome: round(count / total, 4) for outcome, count in sorted(self.first_outcomes.items())},
            'after_retries': {
                outcome: round(count / total, 4) for outcome, count in sorted(self.final_outcomes.items())
            },
            'issue_ms_p50': _compute_median(self.issue_ms),
            'call_ms_p50': _compute_median(self.call_ms),
        }


class Caller:
    """Caller that alternates between the entries and records the outcomes of its calls.

    Parameters
    ----------
    cluster : Cluster
        Running deployment.
    issued : bool
        Whether an entry issues the keys; otherwise the caller chooses them.
    """

    def __init__(self, cluster: Cluster, *, issued: bool) -> None:
        """Create a caller without recorded calls."""
        self.cluster = cluster
        self.issued = issued
        self.statistics = CallStatistics()
        self.key_numbers = itertools.count()
        self.entries = itertools.cycle(cluster.entry_names)

    async def send_request(self, path: str, body: bytes, key: str = '') -> tuple[int, dict[str, Any]]:
        """Send one request; the outcome is ``no_entry`` if the entry cannot be reached."""
        headers = [_AUTHORIZATION, ('Idempotency-Key', key)] if key else [_AUTHORIZATION]
        port = self.cluster.ports[next(self.entries)]
        try:
            status, _, answer = await fetch((HOST, port), 'POST', path, body, headers)
        except ClientError:
            return 0, {'error': {'outcome': 'no_entry'}}
        return status, json.loads(answer)

    async def get_key(self) -> str:
        """Return a key, or an empty string if no key was issued."""
        if not self.issued:
            return f'own-{next(self.key_numbers)}'
        started_at = time.monotonic()
        _, document = await self.send_request('/v1/idempotency-keys', b'{"service":"booking"}')
        self.statistics.issue_ms.append((time.monotonic() - started_at) * _MS_PER_SECOND)
        return document.get('key', '')

    async def call_until_answered(self) -> None:
        """Get a key and call with it until an answer arrives, at most `MAX_ATTEMPTS` times."""
        key = await self.get_key()
        outcomes = []
        for _ in range(MAX_ATTEMPTS):
            outcomes.append(await self.send_call(key) if key else 'not_issued')
            if outcomes[-1] == 'answered':
                break
            key = key or await self.get_key()
            await asyncio.sleep(1)
        self.statistics.first_outcomes[outcomes[0]] += 1
        self.statistics.final_outcomes[outcomes[-1]] += 1

    async def send_call(self, key: str) -> str:
        """Send one call and return its outcome."""
        started_at = time.monotonic()
        _, document = await self.send_request('/services/booking/bookings', b'{}', key)
        outcome = document.get('error', {}).get('outcome', 'answered')
        if outcome == 'answered':
            self.statistics.call_ms.append((time.monotonic() - started_at) * _MS_PER_SECOND)
        if outcome == 'not_run':
            self.statistics.not_run_keys.add(f'clinic|{key}')
        else:
            self.statistics.not_run_keys.discard(f'clinic|{key}')
        return outcome


async def inject_nothing(cluster: Cluster) -> None:
    """Inject no fault."""


async def restart_home(cluster: Cluster) -> None:
    """Kill the sidecar of one home target and start it again."""
    await cluster.restart(f'{HOMES[0]}-sidecar')


async def restart_all(cluster: Cluster) -> None:
    """Kill every entry and every sidecar and start them again."""
    names = [*cluster.entry_names, *(f'{home}-sidecar' for home in HOMES)]
    await asyncio.gather(*(cluster.restart(name) for name in names))


async def cut_streams(cluster: Cluster) -> None:
    """Cut the streams between the entries and one home target for one second."""
    await cluster.control(f'{HOMES[0]}-proxy', mode='cut')
    await asyncio.sleep(1)
    await cluster.control(f'{HOMES[0]}-proxy', mode='pass')


async def remove_home(cluster: Cluster) -> None:
    """Remove one home target by a bundle while its sidecar still runs."""
    cluster.document['targets'].pop(HOMES[0])
    await cluster.publish()


async def kill_and_remove_home(cluster: Cluster) -> None:
    """Kill the sidecar of one home target permanently and remove the target by a bundle."""
    await cluster.processes[f'{HOMES[0]}-sidecar'].kill()
    await remove_home(cluster)


FAULTS: dict[str, Fault] = {
    'none': inject_nothing,
    'home_restarted': restart_home,
    'all_restarted': restart_all,
    'streams_cut': cut_streams,
    'home_removed': remove_home,
    'home_lost': kill_and_remove_home,
}


async def measure_fault(fault: Fault, horizon: int, seconds: float, rate: float) -> dict[str, Any]:
    """Run callers with issued and with chosen keys under one fault.

    Parameters
    ----------
    fault : callable
        Function that injects the fault.
    horizon : int
        At-most-once horizon of the bundle in seconds.
    seconds : float
        Period in which calls start.
    rate : float
        Calls per second of each kind of caller.
    """
    targets = [TargetSpec(name, kind='service', proxied=True) for name in HOMES]
    bundle = make_bundle(('clinic',), (), at_most_once_horizon_seconds=horizon)
    with tempfile.TemporaryDirectory() as directory:
        async with Cluster(pathlib.Path(directory), targets, entries=2, bundle=bundle) as cluster:
            callers = {'issued': Caller(cluster, issued=True), 'chosen': Caller(cluster, issued=False)}
            calls = await _send_calls(callers, cluster, fault, (seconds, rate))
            await asyncio.gather(*calls)
            service_states = [await cluster.control(home) for home in HOMES]
    ran = Counter({key: count for state in service_states for key, count in state['ran'].items()})
    refused = set().union(*(caller.statistics.not_run_keys for caller in callers.values()))
    document: dict[str, Any] = {name: caller.statistics.to_document() for name, caller in callers.items()}
    document['most_runs_of_a_key'] = max(ran.values(), default=0)
    document['keys_that_ran_and_were_refused_as_not_run'] = sum(key in ran for key in refused)
    return document


async def _send_calls(
    callers: dict[str, Caller],
    cluster: Cluster,
    fault: Fault,
    duration_and_rate: tuple[float, float],
) -> list[asyncio.Task[None]]:
    seconds, rate = duration_and_rate
    started_at = time.monotonic()
    calls: list[asyncio.Task[None]] = []
    injected: asyncio.Task[None] | None = None
    for number in range(int(seconds * rate)):
        due_at = started_at + number / rate
        with contextlib.suppress(TimeoutError):
            await asyncio.sleep(max(0, due_at - time.monotonic()))
        if injected is None and due_at - started_at >= SECONDS_BEFORE_FAULT:
            injected = asyncio.ensure_future(fault(cluster))
        calls.extend(asyncio.ensure_future(caller.call_until_answered()) for caller in callers.values())
    if injected is not None:
        calls.append(injected)
    return calls


def _compute_median(samples: list[float]) -> float:
    return round(sorted(samples)[len(samples) // 2], 2) if samples else 0


@click.command()
@click.option('--horizon', default=10, help='At-most-once horizon in seconds.')
@click.option('--seconds', default=14.0, help='Period in which calls start, for each fault.')
@click.option('--rate', default=20.0, help='Calls per second of each kind of caller.')
@click.option(
    '--fault',
    'names',
    multiple=True,
    type=click.Choice(sorted(FAULTS)),
    help='Fault to inject; all faults if none is given.',
)
def main(horizon: int, seconds: float, rate: float, names: tuple[str, ...]) -> None:
    """Measure the share of keyed calls that each fault leaves without an answer."""
    document: dict[str, Any] = {'horizon_seconds': horizon, 'seconds': seconds, 'rate': rate, 'faults': {}}
    for name in names or FAULTS:
        document['faults'][name] = asyncio.run(measure_fault(FAULTS[name], horizon, seconds, rate))
    click.echo(json.dumps(document, indent=2))


if __name__ == '__main__':
    main()
