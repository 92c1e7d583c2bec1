"""Availability that at-most-once costs, on real processes.

Calls with keys issued by an entry and calls with keys chosen by the caller, which wait out the
horizon after a restart of their home, are sent in turn under the same fault. Run it with
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
#: Seconds of steady calls before the fault.
LEAD_SECONDS = 2.0
#: Tries of one key, one second apart.
MAX_TRIES = 3
_AUTHORIZATION = ('Authorization', 'Bearer key-clinic')
_MS_PER_SECOND = 1000

Fault = Callable[[Cluster], Awaitable[None]]


@dataclass
class Tally:
    """Outcomes of the calls of one way to get keys."""

    first: Counter[str] = field(default_factory=Counter)
    last: Counter[str] = field(default_factory=Counter)
    not_run_keys: set[str] = field(default_factory=set)
    issue_ms: list[float] = field(default_factory=list)
    call_ms: list[float] = field(default_factory=list)

    def document(self) -> dict[str, Any]:
        """Return shares of all calls, and median times in milliseconds."""
        total = max(1, self.first.total())
        return {
            'calls': self.first.total(),
            'first_try': {outcome: round(count / total, 4) for outcome, count in sorted(self.first.items())},
            'after_retries': {outcome: round(count / total, 4) for outcome, count in sorted(self.last.items())},
            'issue_ms_p50': _median(self.issue_ms),
            'call_ms_p50': _median(self.call_ms),
        }


class Caller:
    """Sends calls at a fixed rate through both entries in turn.

    Parameters
    ----------
    cluster : Cluster
        Running deployment.
    issued : bool
        Whether keys are issued by an entry; otherwise the caller chooses them.
    """

    def __init__(self, cluster: Cluster, *, issued: bool) -> None:
        """Start with nothing sent."""
        self.cluster = cluster
        self.issued = issued
        self.tally = Tally()
        self.numbers = itertools.count()
        self.entries = itertools.cycle(cluster.entry_names)

    async def send(self, path: str, body: bytes, key: str = '') -> tuple[int, dict[str, Any]]:
        """Make one exchange; a caller that reaches no entry learns nothing."""
        headers = [_AUTHORIZATION, ('Idempotency-Key', key)] if key else [_AUTHORIZATION]
        port = self.cluster.ports[next(self.entries)]
        try:
            status, _, answer = await fetch((HOST, port), 'POST', path, body, headers)
        except ClientError:
            return 0, {'error': {'outcome': 'no_entry'}}
        return status, json.loads(answer)

    async def make_key(self) -> str:
        """Return a key, empty if none is issued."""
        if not self.issued:
            return f'own-{next(self.numbers)}'
        started_at = time.monotonic()
        _, document = await self.send('/v1/idempotency-keys', b'{"service":"booking"}')
        self.tally.issue_ms.append((time.monotonic() - started_at) * _MS_PER_SECOND)
        return document.get('key', '')

    async def operate(self) -> None:
        """Get a key and use it until it is answered, at most `MAX_TRIES` times."""
        key = await self.make_key()
        outcomes = []
        for _ in range(MAX_TRIES):
            outcomes.append(await self.try_once(key) if key else 'not_issued')
            if outcomes[-1] == 'answered':
                break
            key = key or await self.make_key()
            await asyncio.sleep(1)
        self.tally.first[outcomes[0]] += 1
        self.tally.last[outcomes[-1]] += 1

    async def try_once(self, key: str) -> str:
        """Make one call and return its outcome."""
        started_at = time.monotonic()
        _, document = await self.send('/services/booking/bookings', b'{}', key)
        outcome = document.get('error', {}).get('outcome', 'answered')
        if outcome == 'answered':
            self.tally.call_ms.append((time.monotonic() - started_at) * _MS_PER_SECOND)
        if outcome == 'not_run':
            self.tally.not_run_keys.add(f'clinic|{key}')
        else:
            self.tally.not_run_keys.discard(f'clinic|{key}')
        return outcome


async def no_fault(cluster: Cluster) -> None:
    """Change nothing."""


async def restart_home(cluster: Cluster) -> None:
    """Kill one home's sidecar and start it again."""
    await cluster.restart(f'{HOMES[0]}-sidecar')


async def restart_all(cluster: Cluster) -> None:
    """Kill every entry and every sidecar and start them again."""
    names = [*cluster.entry_names, *(f'{home}-sidecar' for home in HOMES)]
    await asyncio.gather(*(cluster.restart(name) for name in names))


async def cut_streams(cluster: Cluster) -> None:
    """Cut the streams between the entries and one home for a second."""
    await cluster.control(f'{HOMES[0]}-proxy', mode='cut')
    await asyncio.sleep(1)
    await cluster.control(f'{HOMES[0]}-proxy', mode='pass')


async def remove_home(cluster: Cluster) -> None:
    """Remove one home by a bundle while its sidecar still runs."""
    cluster.document['targets'].pop(HOMES[0])
    await cluster.publish()


async def lose_home(cluster: Cluster) -> None:
    """Kill one home's sidecar for good and remove it by a bundle."""
    await cluster.processes[f'{HOMES[0]}-sidecar'].kill()
    await remove_home(cluster)


FAULTS: dict[str, Fault] = {
    'none': no_fault,
    'home_restarted': restart_home,
    'all_restarted': restart_all,
    'streams_cut': cut_streams,
    'home_removed': remove_home,
    'home_lost': lose_home,
}


async def measure(fault: Fault, horizon: int, seconds: float, rate: float) -> dict[str, Any]:
    """Run both kinds of callers under one fault.

    Parameters
    ----------
    fault : callable
        Brings the fault about.
    horizon : int
        Of the bundle, in seconds.
    seconds : float
        Time for which calls begin.
    rate : float
        Calls per second of each kind.
    """
    targets = [TargetSpec(name, kind='service', proxied=True) for name in HOMES]
    bundle = make_bundle(('clinic',), (), at_most_once_horizon_seconds=horizon)
    with tempfile.TemporaryDirectory() as directory:
        async with Cluster(pathlib.Path(directory), targets, entries=2, bundle=bundle) as cluster:
            callers = {'issued': Caller(cluster, issued=True), 'chosen': Caller(cluster, issued=False)}
            calls = await _drive(callers, cluster, fault, (seconds, rate))
            await asyncio.gather(*calls)
            witness = [await cluster.control(home) for home in HOMES]
    ran = Counter({key: count for one in witness for key, count in one['ran'].items()})
    refused = set().union(*(caller.tally.not_run_keys for caller in callers.values()))
    document: dict[str, Any] = {name: caller.tally.document() for name, caller in callers.items()}
    document['most_runs_of_a_key'] = max(ran.values(), default=0)
    document['keys_that_ran_and_were_refused_as_not_run'] = sum(key in ran for key in refused)
    return document


async def _drive(
    callers: dict[str, Caller],
    cluster: Cluster,
    fault: Fault,
    pace: tuple[float, float],
) -> list[asyncio.Task[None]]:
    seconds, rate = pace
    started_at = time.monotonic()
    calls: list[asyncio.Task[None]] = []
    injected: asyncio.Task[None] | None = None
    for number in range(int(seconds * rate)):
        due_at = started_at + number / rate
        with contextlib.suppress(TimeoutError):
            await asyncio.sleep(max(0, due_at - time.monotonic()))
        if injected is None and due_at - started_at >= LEAD_SECONDS:
            injected = asyncio.ensure_future(fault(cluster))
        calls.extend(asyncio.ensure_future(caller.operate()) for caller in callers.values())
    if injected is not None:
        calls.append(injected)
    return calls


def _median(samples: list[float]) -> float:
    return round(sorted(samples)[len(samples) // 2], 2) if samples else 0


@click.command()
@click.option('--horizon', default=10, help='Horizon in seconds.')
@click.option('--seconds', default=14.0, help='Seconds of calls for each fault.')
@click.option('--rate', default=20.0, help='Calls per second of each kind.')
@click.option('--fault', 'names', multiple=True, type=click.Choice(sorted(FAULTS)), help='All if none is named.')
def main(horizon: int, seconds: float, rate: float, names: tuple[str, ...]) -> None:
    """Measure the share of keyed calls that each fault leaves without an answer."""
    document: dict[str, Any] = {'horizon_seconds': horizon, 'seconds': seconds, 'rate': rate, 'faults': {}}
    for name in names or FAULTS:
        document['faults'][name] = asyncio.run(measure(FAULTS[name], horizon, seconds, rate))
    click.echo(json.dumps(document, indent=2))


if __name__ == '__main__':
    main()
