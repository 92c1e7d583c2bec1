"""Time from publication to in force over fleets of real processes, and what it costs.

``--mode spread`` gives each process a few seeds; ``--mode every`` gives none, so that each process
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

from benchmarks.bundle_cost import make_document
from tamarackfield.bundle import generate_key, publish
from tamarackfield.testing.ports import reserve_port
from tamarackfield.testing.processes import HOST, ManagedProcess, request_page

SETTLE_SECONDS = 4.0
#: Longest wait until a process has a bundle, in seconds.
START_SECONDS = 90
SEEDS = 3
ZONES = 4
MS = 1000


class SpreadFleet:
    """The configuration service stand-in and the processes that follow it."""

    def __init__(self, directory: pathlib.Path, size: int, zones: int, mode: str) -> None:
        """Reserve ports; nothing runs yet."""
        self.directory = directory
        self.mode = mode
        private_key, public_key = generate_key()
        self.private_key = private_key
        self.public_key = public_key
        self.service_port = reserve_port()
        self.ports = [reserve_port() for _ in range(size)]
        self.zones = zones
        self.rng = random.Random(size)
        self.published: dict[int, float] = {}
        settings = {'listen': {'host': HOST, 'port': self.service_port}}
        self.service = ManagedProcess(
            'configuration',
            'tamarackfield.testing.main',
            settings,
            directory,
            arguments=('configuration',),
            health=(self.service_port, '/control'),
        )
        self.processes: list[asyncio.subprocess.Process] = []

    def settings(self, index: int) -> dict[str, Any]:
        """Return the settings of one process."""
        others = [port for port in self.ports if port != self.ports[index]]
        seeds = self.rng.sample(others, min(SEEDS, len(others))) if self.mode == 'spread' else []
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
        """Publish the document and note when."""
        items = publish(document, self.private_key).items()
        encoded = {name: base64.b64encode(content).decode() for name, content in items.items()}
        self.published[document['number']] = time.time()
        await request_page(self.service_port, 'POST', '/control/publish', {'values': encoded, 'keep_stale': False})

    async def start(self) -> None:
        """Start every process and wait until it has a bundle."""
        for index, _ in enumerate(self.ports):
            command = (sys.executable, '-m', 'benchmarks.spread_peer', json.dumps(self.settings(index)))
            process = await asyncio.create_subprocess_exec(*command, stdout=asyncio.subprocess.PIPE)
            self.processes.append(process)
        for index, process in enumerate(self.processes):
            try:
                await asyncio.wait_for(process.stdout.readline(), START_SECONDS)
            except TimeoutError:
                reports = await self.finish()
                raise click.ClickException(f'process {index} is not ready: {json.dumps(reports)}') from None

    async def finish(self) -> list[dict[str, Any]]:
        """End every process and return its report."""
        for process in self.processes:
            process.terminate()
        outputs = [await process.communicate() for process in self.processes]
        return [json.loads(output.splitlines()[-1]) for output, _ in outputs]

    async def kill(self) -> None:
        """End whatever still runs."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
        await self.service.kill()


async def measure(size: int, zones: int, mode: str, changes: int, adapters: int) -> dict[str, Any]:
    """Run one fleet through some changes of one adapter each."""
    with tempfile.TemporaryDirectory() as directory:
        fleet = SpreadFleet(pathlib.Path(directory), size, zones, mode)
        await fleet.service.start()
        await fleet.service.wait_ready()
        try:
            report = await drive(fleet, changes, make_document(adapters, 10, 1))
        finally:
            await fleet.kill()
    return {'mode': mode, 'processes': size, 'zones': zones, 'adapters': adapters, **report}


async def drive(fleet: SpreadFleet, changes: int, document: dict[str, Any]) -> dict[str, Any]:
    """Publish a bundle, start the fleet, publish one change a second and gather the reports."""
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
    return {'service_calls_per_second': round(calls, 2), **summarize(fleet, await fleet.finish(), changes)}


def summarize(fleet: SpreadFleet, reports: list[dict[str, Any]], changes: int) -> dict[str, Any]:
    """Return times in milliseconds and costs per process."""
    numbers = range(2, changes + 2)
    skipped = sum(str(number) not in report['accepted'] for report in reports for number in numbers)
    times = sorted(
        (_in_force_at(report, number) - fleet.published[number]) * MS for report in reports for number in numbers
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


def _in_force_at(report: dict[str, Any], number: int) -> float:
    """Return when a bundle, or a newer one in its place, came in force."""
    return min(at for accepted, at in report['accepted'].items() if int(accepted) >= number)


@click.command()
@click.argument('sizes', type=int, nargs=-1)
@click.option('--mode', type=click.Choice(['spread', 'every']), default='spread')
@click.option('--changes', default=10, help='Changes of one adapter, one a second.')
@click.option('--adapters', default=3000, help='Adapters in the bundle.')
def main(sizes: tuple[int, ...], mode: str, changes: int, adapters: int) -> None:
    """Measure fleets of the sizes given and print JSON."""
    reports = [asyncio.run(measure(size, ZONES, mode, changes, adapters)) for size in sizes]
    click.echo(json.dumps(reports, indent=2))


if __name__ == '__main__':
    main()
