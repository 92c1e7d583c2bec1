"""Compares two policies on real processes with the same trace of requests.

Both run at the same time on separate clusters, so that other load of the machine affects both
equally.
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
from benchmarks.load_client import RequestResult, TimerCollector, send_request
from benchmarks.load_report import Measurement, compute_ratios, summarize_measurement
from benchmarks.traces import CALLERS, Arrival, list_adapter_names, count_clairvoyant_loads, make_trace
from tamarackfield.core import SYSTEM_CLOCK
from tamarackfield.testing.cluster import Cluster, TargetSpec, make_bundle
from tamarackfield.testing.processes import HOST
from tamarackfield.testing.scripts import script_processes

_BASELINE = {'eviction': 'lru', 'queue': 'fifo', 'admission': 'all'}
_FULL = {'routing': 'affine', 'eviction': 'lru', 'queue': 'fair', 'admission': 'deadline'}
#: Named sets of decision functions; ``NAME,queue=fair`` replaces one function of a set.
POLICIES: dict[str, dict[str, str]] = {
    'round-robin': {**_BASELINE, 'routing': 'round-robin'},
    'least-outstanding': {**_BASELINE, 'routing': 'least-outstanding'},
    'resident-first': {**_BASELINE, 'routing': 'resident-first'},
    'affine': {**_BASELINE, 'routing': 'affine'},
    'full': _FULL,
}
LOADS = ('steady', 'crowd', 'burst', 'restart', 'failing-loads', 'slow-store', 'slow-target')
_COUNTERS = ('steps', 'filled', 'loads', 'busy_ms')
_BYTES_PER_MEGABYTE = 1_000_000
_MS_PER_SECOND = 1000


@dataclass(slots=True)
class BenchmarkRun:
    """Parameters that both sides share; ``warm_up_seconds`` of the trace are not measured."""

    deployment: Deployment
    trace: list[Arrival]
    seconds: float
    warm_up_seconds: float
    load: str


def parse_policy(text: str) -> dict[str, str]:
    """Return the ``policy`` section of the bundle for the name of a set and changes to the set.

    Examples
    --------
    >>> parse_policy('round-robin,queue=fair')['routing'], parse_policy('round-robin,queue=fair')['queue']
    ('round-robin', 'fair')
    """
    name, *changes = text.split(',')
    return {**POLICIES[name], **dict(change.split('=') for change in changes)}


def build_cluster(directory: pathlib.Path, deployment: Deployment, policy: dict[str, str], statsd_port: int) -> Cluster:
    """Configure the cluster of one side without starting it."""
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
    weight_store = deployment.weight_store
    budget = {
        'loads_per_second': weight_store['loads_per_second'],
        'full_speed_loads': weight_store['burst'],
        'in_transit_limit': weight_store['in_transit_limit'],
        'load_seconds': weight_store['load_seconds'],
    }
    bundle = make_bundle(CALLERS, tuple(list_adapter_names(deployment)), policy=policy, weight_store=budget)
    cluster = Cluster(directory, targets, deployment.zones, bundle, weights=dict(weight_store))
    for process in cluster.processes.values():
        if 'configuration_service' in process.settings:
            process.settings['statsd'] = {'host': HOST, 'port': statsd_port}
            process.settings['log_level'] = 'WARNING'
    for index, name in enumerate(cluster.entry_names):
        cluster.processes[name].settings['zone'] = f'zone-{index + 1}'
    return cluster


class PolicySide:
    """One policy and its cluster."""

    def __init__(
        self, benchmark_run: BenchmarkRun, policy: dict[str, str], directory: pathlib.Path, collector: TimerCollector
    ) -> None:
        """Configure the cluster without starting it."""
        self.benchmark_run = benchmark_run
        self.collector = collector
        self.cluster = build_cluster(directory, benchmark_run.deployment, policy, collector.port)
        self.engines = [name for name in self.cluster.processes if name.endswith('-sidecar')]
        self.engines = [name.removesuffix('-sidecar') for name in self.engines]

    async def measure_policy(self) -> Measurement:
        """Send the trace and return the measurements after the warm-up."""
        start = SYSTEM_CLOCK.monotonic()
        send_task = asyncio.ensure_future(self._send_all(start))
        fault_task = asyncio.ensure_future(self._inject_load_fault())
        await asyncio.sleep(self.benchmark_run.warm_up_seconds)
        before = await self._read_engine_counters()
        cpu_before = self._read_cpu_seconds()
        request_results = await send_task
        await fault_task
        cpu_after = self._read_cpu_seconds()
        after = await self._read_engine_counters()
        weights = await self.cluster.control('weights')
        adapters = [arrival.adapter for arrival in self.benchmark_run.trace]
        return Measurement(
            request_results=[
                result
                for result in request_results
                if result.arrival.start_seconds >= self.benchmark_run.warm_up_seconds
            ],
            in_time_answers=self._count_in_time_answers(request_results, start),
            stalls_ms=self.collector.get_timer_values('load_stall', start + self.benchmark_run.warm_up_seconds),
            engines=[_compute_counter_growth(old, new) for old, new in zip(before, after, strict=True)],
            weights_served=weights['served'],
            cpu_seconds={name: cpu_after[name] - cpu_before.get(name, 0) for name in cpu_after},
            megabytes=self._read_megabytes(),
            seconds=SYSTEM_CLOCK.monotonic() - start - self.benchmark_run.warm_up_seconds,
            trace_seconds=self.benchmark_run.seconds - self.benchmark_run.warm_up_seconds,
            clairvoyant_loads=count_clairvoyant_loads(
                adapters, self.benchmark_run.deployment.slots * len(self.engines)
            ),
            trace_requests=len(adapters),
        )

    async def _send_all(self, start: float) -> list[RequestResult]:
        tasks = []
        for arrival in self.benchmark_run.trace:
            await asyncio.sleep(max(0, start + arrival.start_seconds - SYSTEM_CLOCK.monotonic()))
            port = self.cluster.ports[self.cluster.entry_names[arrival.entry]]
            tasks.append(asyncio.ensure_future(send_request(arrival, port)))
        return await asyncio.gather(*tasks)

    def _count_in_time_answers(self, request_results: list[RequestResult], start: float) -> int:
        first = start + self.benchmark_run.warm_up_seconds
        last = start + self.benchmark_run.seconds
        answered = [result for result in request_results if result.outcome == 'answered' and result.in_time]
        return sum(first <= result.ended_at <= last for result in answered)

    async def _inject_load_fault(self) -> None:
        await asyncio.sleep(self.benchmark_run.seconds / 2)
        match self.benchmark_run.load:
            case 'restart':
                await self.cluster.restart(self.engines[0])
            case 'failing-loads':
                await self.cluster.control('weights', fail_every=2)
            case 'slow-store':
                await self.cluster.control('weights', slowdown=3)
            case 'slow-target':
                await self.cluster.control(self.engines[0], slowdown=10)

    async def _read_engine_counters(self) -> list[dict[str, Any]]:
        return await asyncio.gather(*(self.cluster.control(name) for name in self.engines))

    def _find_processes(self) -> dict[str, psutil.Process]:
        running = {name: process.process for name, process in self.cluster.processes.items()}
        return {name: psutil.Process(process.pid) for name, process in running.items()}

    def _read_cpu_seconds(self) -> dict[str, float]:
        return {name: sum(process.cpu_times()[:2]) for name, process in self._find_processes().items()}

    def _read_megabytes(self) -> dict[str, float]:
        return {
            name: process.memory_info().rss / _BYTES_PER_MEGABYTE for name, process in self._find_processes().items()
        }


def _compute_counter_growth(before: dict[str, Any], after: dict[str, Any]) -> dict[str, float]:
    if before['incarnation'] != after['incarnation']:
        before = dict.fromkeys(_COUNTERS, 0)
    return {'batch': after['batch'], **{name: after[name] - before[name] for name in _COUNTERS}}


async def compare_policies(benchmark_run: BenchmarkRun, policies: tuple[str, str]) -> dict[str, Any]:
    """Run both policies at the same time and return their metrics."""
    async with contextlib.AsyncExitStack() as stack:
        sides = []
        for name in policies:
            collector = TimerCollector()
            await collector.listen()
            directory = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
            sides.append(PolicySide(benchmark_run, parse_policy(name), directory, collector))
        for side in sides:
            await stack.enter_async_context(side.cluster)
        psutil.cpu_percent()
        measurements = await asyncio.gather(*(side.measure_policy() for side in sides))
    metrics = [summarize_measurement(item) for item in measurements]
    return {
        'policy': {'name': policies[0], **metrics[0]},
        'baseline': {'name': policies[1], **metrics[1]},
        'ratio': compute_ratios(metrics[0], metrics[1]),
        'machine_cpu_percent': psutil.cpu_percent(),
    }


def bench(**options: Any) -> None:
    """Compare a policy with a baseline at the sizes of one deployment."""
    deployment = DEPLOYMENTS[options['deployment']]
    if options['share']:
        deployment = deployment.scale_to_capacity_share(options['share'])
    trace = make_trace(deployment, options['seed'], options['seconds'], options['load'])
    benchmark_run = BenchmarkRun(deployment, trace, options['seconds'], options['seconds'] / 3, options['load'])
    with script_processes():
        metrics = asyncio.run(compare_policies(benchmark_run, (options['policy'], options['baseline'])))
    metrics = {
        'deployment': deployment.name,
        'seed': options['seed'],
        'load': options['load'],
        'rate': round(deployment.requests_per_second, 2),
        'capacity': round(deployment.capacity, 2),
        **metrics,
    }
    click.echo(json.dumps(metrics, indent=2) if options['json'] else _format_table(metrics))


main = click.Command(
    'bench',
    callback=bench,
    help='Compare a policy with a baseline on real processes; the first third of the trace is the warm-up.',
    params=[
        click.Option(['--deployment'], type=click.Choice(sorted(DEPLOYMENTS)), required=True),
        click.Option(['--policy'], default='full', help='Name of a policy, or NAME,queue=fair.'),
        click.Option(['--baseline'], default='least-outstanding', help='As --policy.'),
        click.Option(['--seed'], type=int, default=1),
        click.Option(['--seconds'], type=float, default=30, help='Length of the trace.'),
        click.Option(['--load'], type=click.Choice(LOADS), default='steady'),
        click.Option(
            ['--share'],
            type=float,
            default=0,
            help='Request rate as a share of capacity; 0 for the rate of the deployment.',
        ),
        click.Option(['--json'], is_flag=True, help='Print everything as one JSON document.'),
    ],
)


def _format_table(metrics: dict[str, Any]) -> str:
    lines = [f'{name}={metrics[name]}' for name in ('deployment', 'seed', 'load', 'rate', 'capacity')]
    for name, number in metrics['policy'].items():
        if not name.endswith('_mb') and name != 'cpu_cores':
            lines.append(f'{name:32} {number!s:56} {metrics["baseline"][name]}')
    lines.extend(f'ratio {name:32} {number}' for name, number in metrics['ratio'].items())
    return '\n'.join([*lines, f'machine_cpu_percent={metrics["machine_cpu_percent"]}'])


if __name__ == '__main__':
    main()
