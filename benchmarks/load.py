"""Measures two policies on real processes, side by side, with the same trace of requests.

Both run at the same time on clusters of their own, so that whatever else the machine does
disturbs both alike.
"""

import asyncio
import contextlib
import json
import pathlib
import tempfile
from dataclasses import dataclass
from typing import Any

import click
import psutil

from benchmarks.deployments import DEPLOYMENTS, Deployment
from benchmarks.load_client import Result, TimerCollector, send
from benchmarks.load_report import Measured, ratios, summarize
from benchmarks.traces import CALLERS, Arrival, adapter_names, clairvoyant_loads, make_trace
from tamarackfield.core import SYSTEM_CLOCK
from tamarackfield.testing.cluster import Cluster, TargetSpec, make_bundle
from tamarackfield.testing.processes import HOST

_BASELINE = {'eviction': 'lru', 'queue': 'fifo', 'admission': 'all', 'loading': 'unpaced'}
_FULL = {'routing': 'affine', 'eviction': 'lru', 'queue': 'fair', 'admission': 'deadline', 'loading': 'unpaced'}
#: Named sets of decision functions; ``NAME,queue=fair`` changes one of a set.
POLICIES: dict[str, dict[str, str]] = {
    'round-robin': {**_BASELINE, 'routing': 'round-robin'},
    'least-outstanding': {**_BASELINE, 'routing': 'least-outstanding'},
    'resident-first': {**_BASELINE, 'routing': 'resident-first'},
    'affine': {**_BASELINE, 'routing': 'affine'},
    'full': _FULL,
}
LOADS = ('steady', 'crowd', 'burst', 'restart', 'failing-loads', 'slow-store', 'slow-target')
_COUNTERS = ('steps', 'filled', 'loads', 'busy_ms')
_MEGABYTE = 1_000_000
_MS_PER_SECOND = 1000


@dataclass(slots=True)
class Run:
    """What both sides share: the deployment, its trace and when measuring begins."""

    deployment: Deployment
    trace: list[Arrival]
    seconds: float
    warm_up: float
    load: str


def parse_policy(text: str) -> dict[str, str]:
    """Return the bundle's ``policy`` section for a name and changes to it.

    Examples
    --------
    >>> parse_policy('round-robin,queue=fair')['routing'], parse_policy('round-robin,queue=fair')['queue']
    ('round-robin', 'fair')
    """
    name, *changes = text.split(',')
    return {**POLICIES[name], **dict(change.split('=') for change in changes)}


def build_cluster(directory: pathlib.Path, deployment: Deployment, policy: dict[str, str], statsd: int) -> Cluster:
    """Describe the processes of one side."""
    options = {
        'slots': deployment.slots,
        'batch': deployment.batch,
        'step_ms': deployment.step_ms,
        'sequence_ms': deployment.sequence_ms,
    }
    targets = [
        TargetSpec(
            f'engine-{index + 1}',
            zone=f'zone-{index % deployment.zones + 1}',
            speed=speed,
            options=dict(options),
        )
        for index, speed in enumerate(deployment.speeds)
    ]
    store = deployment.weight_store
    budget = {
        'loads_per_second': store['loads_per_second'],
        'full_speed_loads': store['burst'],
        'in_transit_limit': store['in_transit_limit'],
        'load_seconds': store['load_seconds'],
    }
    bundle = make_bundle(CALLERS, tuple(adapter_names(deployment)), policy=policy, weight_store=budget)
    cluster = Cluster(directory, targets, deployment.zones, bundle, weights=dict(store))
    for process in cluster.processes.values():
        if 'configuration_service' in process.settings:
            process.settings['statsd'] = {'host': HOST, 'port': statsd}
            process.settings['log_level'] = 'WARNING'
    for index, name in enumerate(cluster.entry_names):
        cluster.processes[name].settings['zone'] = f'zone-{index + 1}'
    return cluster


class Side:
    """One policy on its own cluster."""

    def __init__(self, run: Run, policy: dict[str, str], directory: pathlib.Path, collector: TimerCollector) -> None:
        """Describe the cluster; nothing runs yet."""
        self.run = run
        self.collector = collector
        self.cluster = build_cluster(directory, run.deployment, policy, collector.port)
        self.engines = [name for name in self.cluster.processes if name.endswith('-sidecar')]
        self.engines = [name.removesuffix('-sidecar') for name in self.engines]

    async def measure(self) -> Measured:
        """Send the trace and return what was seen after the warm-up."""
        start = SYSTEM_CLOCK.monotonic()
        sending = asyncio.ensure_future(self._send_all(start))
        trouble = asyncio.ensure_future(self._make_trouble())
        await asyncio.sleep(self.run.warm_up)
        before = await self._witness()
        cpu_before = self._cpu_seconds()
        exchanges = await sending
        await trouble
        cpu_after = self._cpu_seconds()
        after = await self._witness()
        weights = await self.cluster.control('weights')
        adapters = [arrival.adapter for arrival in self.run.trace]
        return Measured(
            exchanges=[result for result in exchanges if result.arrival.at >= self.run.warm_up],
            finished=self._finished(exchanges, start),
            stalls_ms=self.collector.since('load_stall', start + self.run.warm_up),
            engines=[_growth(old, new) for old, new in zip(before, after, strict=True)],
            weights_served=weights['served'],
            cpu_seconds={name: cpu_after[name] - cpu_before.get(name, 0) for name in cpu_after},
            megabytes=self._megabytes(),
            seconds=SYSTEM_CLOCK.monotonic() - start - self.run.warm_up,
            trace_seconds=self.run.seconds - self.run.warm_up,
            clairvoyant=clairvoyant_loads(adapters, self.run.deployment.slots * len(self.engines)),
            requests=len(adapters),
        )

    async def _send_all(self, start: float) -> list[Result]:
        tasks = []
        for arrival in self.run.trace:
            await asyncio.sleep(max(0, start + arrival.at - SYSTEM_CLOCK.monotonic()))
            port = self.cluster.ports[self.cluster.entry_names[arrival.entry]]
            tasks.append(asyncio.ensure_future(send(arrival, port)))
        return await asyncio.gather(*tasks)

    def _finished(self, exchanges: list[Result], start: float) -> int:
        first = start + self.run.warm_up
        last = start + self.run.seconds
        good = [result for result in exchanges if result.outcome == 'answered' and result.in_time]
        return sum(first <= result.ended_at <= last for result in good)

    async def _make_trouble(self) -> None:
        await asyncio.sleep(self.run.seconds / 2)
        match self.run.load:
            case 'restart':
                await self.cluster.restart(self.engines[0])
            case 'failing-loads':
                await self.cluster.control('weights', fail_every=2)
            case 'slow-store':
                await self.cluster.control('weights', slowdown=3)
            case 'slow-target':
                await self.cluster.control(self.engines[0], slowdown=10)

    async def _witness(self) -> list[dict[str, Any]]:
        return await asyncio.gather(*(self.cluster.control(name) for name in self.engines))

    def _processes(self) -> dict[str, psutil.Process]:
        running = {name: process.process for name, process in self.cluster.processes.items()}
        return {name: psutil.Process(process.pid) for name, process in running.items()}

    def _cpu_seconds(self) -> dict[str, float]:
        return {name: sum(process.cpu_times()[:2]) for name, process in self._processes().items()}

    def _megabytes(self) -> dict[str, float]:
        return {name: process.memory_info().rss / _MEGABYTE for name, process in self._processes().items()}


def _growth(before: dict[str, Any], after: dict[str, Any]) -> dict[str, float]:
    if before['incarnation'] != after['incarnation']:
        before = dict.fromkeys(_COUNTERS, 0)
    return {'batch': after['batch'], **{name: after[name] - before[name] for name in _COUNTERS}}


async def compare(run: Run, policies: tuple[str, str]) -> dict[str, Any]:
    """Run both policies side by side and return their figures."""
    async with contextlib.AsyncExitStack() as stack:
        sides = []
        for name in policies:
            collector = TimerCollector()
            await collector.listen()
            directory = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
            sides.append(Side(run, parse_policy(name), directory, collector))
        for side in sides:
            await stack.enter_async_context(side.cluster)
        psutil.cpu_percent()
        measured = await asyncio.gather(*(side.measure() for side in sides))
    figures = [summarize(item) for item in measured]
    return {
        'policy': {'name': policies[0], **figures[0]},
        'baseline': {'name': policies[1], **figures[1]},
        'ratio': ratios(figures[0], figures[1]),
        'machine_cpu_percent': psutil.cpu_percent(),
    }


def bench(**options: Any) -> None:
    """Measure a policy against a baseline at one deployment's sizes."""
    deployment = DEPLOYMENTS[options['deployment']]
    if options['share']:
        deployment = deployment.at_share_of_capacity(options['share'])
    trace = make_trace(deployment, options['seed'], options['seconds'], options['load'])
    run = Run(deployment, trace, options['seconds'], options['seconds'] / 3, options['load'])
    figures = asyncio.run(compare(run, (options['policy'], options['baseline'])))
    figures = {
        'deployment': deployment.name,
        'seed': options['seed'],
        'load': options['load'],
        'rate': round(deployment.rate, 2),
        'capacity': round(deployment.capacity, 2),
        **figures,
    }
    click.echo(json.dumps(figures, indent=2) if options['json'] else _table(figures))


main = click.Command(
    'bench',
    callback=bench,
    help='Measure a policy against a baseline on real processes; the first third of the trace is the warm-up.',
    params=[
        click.Option(['--deployment'], type=click.Choice(sorted(DEPLOYMENTS)), required=True),
        click.Option(['--policy'], default='full', help='Name, or NAME,queue=fair.'),
        click.Option(['--baseline'], default='least-outstanding', help='As --policy.'),
        click.Option(['--seed'], type=int, default=1),
        click.Option(['--seconds'], type=float, default=30, help='Length of the trace.'),
        click.Option(['--load'], type=click.Choice(LOADS), default='steady'),
        click.Option(['--share'], type=float, default=0, help='Rate as a share of capacity; 0 for the usual.'),
        click.Option(['--json'], is_flag=True, help='Print everything as one JSON document.'),
    ],
)


def _table(figures: dict[str, Any]) -> str:
    lines = [f'{name}={figures[name]}' for name in ('deployment', 'seed', 'load', 'rate', 'capacity')]
    for name, number in figures['policy'].items():
        if not name.endswith('_mb') and name != 'cpu_cores':
            lines.append(f'{name:32} {number!s:56} {figures["baseline"][name]}')
    lines.extend(f'ratio {name:32} {number}' for name, number in figures['ratio'].items())
    return '\n'.join([*lines, f'machine_cpu_percent={figures["machine_cpu_percent"]}'])


if __name__ == '__main__':
    main()
