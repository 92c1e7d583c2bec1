"""Measures the time from the publication of a bundle until it is in force in a fleet of real processes, and its cost.

``--mode spread`` gives each process a few seed peers; ``--mode every`` gives none, so that each process
watches the configuration service itself.
"""

import asyncio
import base64
import json
import pathlib
import random
import statistics
import sys
import tempfile
import time
from typing import Any

import click

from benchmarks.bundle_cost import make_bundle_document
from tamarackfield.bundle import generate_key, publish
from tamarackfield.testing.ports import reserve_port
from tamarackfield.testing.processes import HOST, ManagedProcess, request_page

SETTLE_SECONDS = 4.0
#: Time-out for the first bundle of a process.
START_TIMEOUT_SECONDS = 90
SEEDS_PER_PROCESS = 3
ZONE_COUNT = 4
MS_PER_SECOND = 1000


class SpreadFleet:
    """The configuration service stand-in and the processes that receive its bundles."""

    def __init__(self, directory: pathlib.Path, size: int, zones: int, mode: str) -> None:
        """Reserve ports without starting a process."""
        self.directory = directory
        self.mode = mode
        private_key, public_key = generate_key()
        self.private_key = private_key
        self.public_key = public_key
        self.service_port = reserve_port()
        self.ports = [reserve_port() for _ in range(size)]
        self.zones = zones
        self.rng = random.Random(size)
        self.published_at: dict[int, float] = {}
        settings = {'listen': {'host': HOST, 'port': self.service_port}}
        self.service = ManagedProcess(
            'configuration',
            'tamarackfield.programs',
            settings,
            directory,
            arguments=('standin', 'configuration'),
            health=(self.service_port, '/control'),
        )
        self.processes: list[asyncio.subprocess.Process] = []

    def make_settings(self, index: int) -> dict[str, Any]:
        """Return the settings of one process."""
        others = [port for port in self.ports if port != self.ports[index]]
        seeds = self.rng.sample(others, min(SEEDS_PER_PROCESS, len(others))) if self.mode == 'spread' else []
        return {
            'instance': f'peer-{index}',
            'zone': f'zone-{index % self.zones}',
            'configuration_service': [f'{HOST}:{self.service_port}'],
            'trusted_keys': [self.public_key],
            'peer_security': {'mode': 'plaintext-without-authentication'},
            'peer_listen': {'host': HOST, 'port': self.ports[index]},
            'peers': [f'{HOST}:{port}' for port in seeds],
            'settle_seconds': SETTLE_SECONDS,
        }

    async def publish(self, document: dict[str, Any]) -> None:
        """Publish the document and record the time of its publication."""
        items = publish(document, self.private_key).items()
        encoded = {name: base64.b64encode(content).decode() for name, content in items.items()}
        self.published_at[document['number']] = time.time()
        await request_page(self.service_port, 'POST', '/control/publish', {'values': encoded, 'keep_stale': False})

    async def start(self) -> None:
        """Start every process and wait until it has a bundle."""
        for index, _ in enumerate(self.ports):
            command = (sys.executable, '-m', 'benchmarks.spread_peer', json.dumps(self.make_settings(index)))
            process = await asyncio.create_subprocess_exec(*command, stdout=asyncio.subprocess.PIPE)
            self.processes.append(process)
        for index, process in enumerate(self.processes):
            try:
                await asyncio.wait_for(process.stdout.readline(), START_TIMEOUT_SECONDS)
            except TimeoutError:
                reports = await self.stop_and_collect_reports()
                raise click.ClickException(f'process {index} had no bundle in time: {json.dumps(reports)}') from None

    async def stop_and_collect_reports(self) -> list[dict[str, Any]]:
        """Terminate every process and return its report."""
        for process in self.processes:
            process.terminate()
        outputs = [await process.communicate() for process in self.processes]
        return [json.loads(output.splitlines()[-1]) for output, _ in outputs]

    async def kill(self) -> None:
        """Kill every process that still runs."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
        await self.service.kill()


async def measure_fleet(size: int, zones: int, mode: str, changes: int, adapters: int) -> dict[str, Any]:
    """Run one fleet through a number of changes of one adapter each."""
    with tempfile.TemporaryDirectory() as directory:
        fleet = SpreadFleet(pathlib.Path(directory), size, zones, mode)
        await fleet.service.start()
        await fleet.service.wait_ready()
        try:
            report = await measure_changes(fleet, changes, make_bundle_document(adapters, 10, 1))
        finally:
            await fleet.kill()
    return {'mode': mode, 'processes': size, 'zones': zones, 'adapters': adapters, **report}


async def measure_changes(fleet: SpreadFleet, changes: int, document: dict[str, Any]) -> dict[str, Any]:
    """Publish a bundle, start the fleet, publish one change per second and summarize the reports."""
    await fleet.publish(document)
    await fleet.start()
    await asyncio.sleep(SETTLE_SECONDS + 1)
    started = time.time()
    before = await request_page(fleet.service_port, 'GET', '/control')
    adapters = list(document['adapters'].values())
    for number in range(2, changes + 2):
        document['number'] = number
        adapters[number]['grants'] = {'caller-1': number % 10}
        await fleet.publish(document)
        await asyncio.sleep(1)
    await asyncio.sleep(3)
    after = await request_page(fleet.service_port, 'GET', '/control')
    calls = (after['calls'] - before['calls']) / (time.time() - started)
    return {
        'service_calls_per_second': round(calls, 2),
        **summarize_reports(fleet, await fleet.stop_and_collect_reports(), changes),
    }


def summarize_reports(fleet: SpreadFleet, reports: list[dict[str, Any]], changes: int) -> dict[str, Any]:
    """Return times in milliseconds and the cost per process."""
    numbers = range(2, changes + 2)
    skipped = sum(str(number) not in report['accepted'] for report in reports for number in numbers)
    times = sorted(
        (_find_in_force_time(report, number) - fleet.published_at[number]) * MS_PER_SECOND
        for report in reports
        for number in numbers
    )
    return {
        'changes': changes,
        'skipped_for_a_newer_one': skipped,
        'in_force_ms': {
            'p50': round(statistics.median(times), 1),
            'p99': round(times[int(len(times) * 0.99)], 1),
            'max': round(times[-1], 1),
        },
        **{
            name: {
                'mean': round(statistics.fmean(report[name] for report in reports), 4),
                'max': round(max(report[name] for report in reports), 4),
            }
            for name in ('sent_per_second', 'received_per_second', 'cpu_share', 'rss_mib', 'streams', 'calls')
        },
    }


def _find_in_force_time(report: dict[str, Any], number: int) -> float:
    """Return the Unix time in seconds at which a bundle, or a newer one instead, came into force."""
    return min(at for accepted, at in report['accepted'].items() if int(accepted) >= number)


@click.command()
@click.argument('sizes', type=int, nargs=-1)
@click.option('--mode', type=click.Choice(['spread', 'every']), default='spread')
@click.option('--changes', default=10, help='Number of changes of one adapter, one per second.')
@click.option('--adapters', default=3000, help='Number of adapters in the bundle.')
def main(sizes: tuple[int, ...], mode: str, changes: int, adapters: int) -> None:
    """Measure fleets of the given sizes and print JSON."""
    reports = [asyncio.run(measure_fleet(size, ZONE_COUNT, mode, changes, adapters)) for size in sizes]
    click.echo(json.dumps(reports, indent=2))


if __name__ == '__main__':
    main()
