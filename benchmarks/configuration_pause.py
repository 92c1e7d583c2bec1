"""Measures the longest pause of the event loop of an entry while a large configuration comes into force.

The store, the sidecars and the other entries are in a child process. Phases: ``start`` reads everything, ``change``
puts a new configuration and a new version of each adapter in force, ``peers`` answers all other entries at once.
"""

import asyncio
import contextlib
import json
import sys
import time
from typing import Any

import click
from loguru import logger

from tamarackfield.core import SYSTEM_CLOCK, ConnectionServer, cancel_and_wait, split_address
from tamarackfield.platform.entry import build_program
from tamarackfield.testing.platform_site import MODEL_SERVICE, allocate_address, make_config, make_route
from tamarackfield.testing.platform_store import PlatformStore
from tamarackfield.testing.ports import reserve_port
from tamarackfield.wire.messages import Hello, Holdings
from tamarackfield.wire.reservations import AskBeliefs, AskItems, EngineReport
from tamarackfield.wire.stream import PeerStream, StreamClosedError, connect

HOST = '127.0.0.1'
#: Goal for the longest pause.
PAUSE_GOAL_MS = 50.0
TARGETS_PER_ENTRY = 6
ADAPTER_PLACES = 26
#: Time for which the entry is observed after each change.
PHASE_SECONDS = 6.0
STARTED_MS = 1
MS_PER_SECOND = 1000
_OCTET_VALUES = 250


def make_large_config(version: int, routes: int) -> dict[str, Any]:
    """Return a configuration with many routes."""
    return make_config(version, [make_route(f'/r{number}/', 'streaming', MODEL_SERVICE) for number in range(routes)])


class Surroundings:
    """Store, sidecars and peers of the entry, in their own process.

    Parameters
    ----------
    adapters, routes, entries : int
        Size of the configuration, and number of entries.
    """

    def __init__(self, adapters: int, routes: int, entries: int) -> None:
        """Fill the store."""
        self.adapters = adapters
        self.routes = routes
        self.entries = entries
        self.targets = entries * TARGETS_PER_ENTRY
        self.store = PlatformStore()
        self.sidecars = ConnectionServer(self.serve_link)
        self.put_configuration(1)
        for number in range(self.targets):
            self.store.put(f'servers/w{number}', self.make_target(number))

    def put_configuration(self, version: int) -> None:
        """Write a configuration and a version of each adapter."""
        self.store.put('op/config', make_large_config(version, self.routes))
        for number in range(self.adapters):
            document = {'model': 'base', 'adapter': f'a{number}', 'version': version}
            self.store.put(f'op/version/base/a{number}', document)

    def make_target(self, number: int) -> dict[str, Any]:
        """Return the entry of a target on its own machine."""
        held = [f'a{(number * ADAPTER_PLACES + place) % self.adapters}@1' for place in range(ADAPTER_PLACES)]
        return {
            'service': MODEL_SERVICE,
            'address': f'127.1.{number // _OCTET_VALUES}.{number % _OCTET_VALUES + 1}:{reserve_port()}',
            'zone': 'zone-a',
            'slots': 8,
            'state': 'ready',
            'born': STARTED_MS,
            'models': [{'name': 'base', 'version': 1, 'adapters': held}],
        }

    async def serve_link(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one link of the entry like a sidecar."""
        stream = PeerStream(reader, writer)
        report = EngineReport(1, STARTED_MS, True, 8, 0, 0, 26, 0, 250, 100, self.entries, 0, 0, False)
        residents = ['base', *(f'base/a{number}@1' for number in range(ADAPTER_PLACES))]
        tasks = []
        with contextlib.suppress(StreamClosedError):
            await stream.exchange_hellos(Hello('sidecar', 's', 1, 'zone-a', 1, ''))
            stream.send(report)
            stream.send(Holdings(residents, []))
            tasks.append(asyncio.create_task(stream.send_heartbeats()))
            while True:
                await stream.receive()
        stream.abort()
        await cancel_and_wait(tasks)

    async def ask(self, address: str, query: AskBeliefs | AskItems) -> None:
        """Ask the entry what it knows, as another entry."""
        stream = await connect(*split_address(address), None)
        await stream.exchange_hellos(Hello('entry', 'e', 1, 'zone-a', 1, ''))
        stream.send(query)
        with contextlib.suppress(StreamClosedError):
            await stream.receive()
        stream.abort()

    async def run(self) -> None:
        """Follow the commands of the measuring process."""
        await self.store.server.listen(HOST, 0)
        manager_port = await self.sidecars.listen('0.0.0.0', 0)  # noqa: S104 links come to many loopback addresses
        print(json.dumps({'store': self.store.server.port, 'manager': manager_port}), flush=True)
        loop = asyncio.get_running_loop()
        while True:
            command = (await loop.run_in_executor(None, sys.stdin.readline)).split()
            if not command:
                return
            if command[0] == 'change':
                self.put_configuration(2)
            else:
                queries = [AskBeliefs() if number % 2 else AskItems(0) for number in range(self.entries - 1)]
                await asyncio.gather(*(self.ask(command[1], query) for query in queries), return_exceptions=True)


class PauseMeter:
    """Longest time between two polls of the sockets by the running event loop, and longest processor time."""

    def __init__(self) -> None:
        """Measure from now on."""
        self.longest_seconds = (0.0, 0.0)
        self.polled_at = _read_clocks()
        selector = asyncio.get_running_loop()._selector
        self.poll = selector.select
        selector.select = self.select

    def select(self, timeout: float | None) -> Any:
        """Poll the sockets."""
        seconds = (now - before for now, before in zip(_read_clocks(), self.polled_at, strict=True))
        self.longest_seconds = tuple(map(max, self.longest_seconds, seconds))
        ready = self.poll(timeout)
        self.polled_at = _read_clocks()
        return ready

    def take_ms(self, phase: str) -> dict[str, float]:
        """Return the longest pause and the longest processor time in milliseconds, and measure anew."""
        names = (f'{phase}_ms', f'{phase}_cpu_ms')
        longest_ms = {
            name: round(seconds * MS_PER_SECOND, 1) for name, seconds in zip(names, self.longest_seconds, strict=True)
        }
        self.longest_seconds = (0.0, 0.0)
        return longest_ms


def _read_clocks() -> tuple[float, float]:
    return SYSTEM_CLOCK.monotonic(), time.thread_time()


def make_settings(ports: dict[str, int], peer_address: str) -> dict[str, Any]:
    """Return the settings of the entry."""
    host = peer_address.partition(':')[0]
    listen = {'front': f'{host}:{reserve_port()}', 'ready': f'{host}:{reserve_port()}'}
    return {
        'node': 'front-1',
        'zone': 'zone-a',
        'port_range': [ports['manager'], ports['manager'] + 10],
        'listen': {**listen, 'control': peer_address},
        'seeds': [],
        'limits': {'max_fds': 1000},
        'bounds': {
            'retry_budget_ratio': 0.2,
            'budget_extra': 50,
            'budget_window_s': 10.0,
            'drain_ms': 2000,
            'config_apply_ms': 2000,
            'grace_s': 8,
        },
        'provider': {'address': f'{HOST}:{ports["store"]}'},
    }


async def measure(adapters: int, routes: int, entries: int) -> dict[str, Any]:
    """Return the longest pause of each phase in milliseconds."""
    arguments = ['--serve', f'--adapters={adapters}', f'--routes={routes}', f'--entries={entries}']
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'benchmarks.configuration_pause',
        *arguments,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    ports = json.loads(await child.stdout.readline())
    peer_address = f'{allocate_address()}:{reserve_port()}'
    gateway = build_program(make_settings(ports, peer_address)).unwrap().gateway
    meter = PauseMeter()
    pauses = {}
    await gateway.application.start()
    for phase in ('start', 'change', 'peers'):
        if phase != 'start':
            child.stdin.write(f'{phase} {peer_address}\n'.encode())
        await asyncio.sleep(PHASE_SECONDS)
        pauses |= meter.take_ms(phase)
    links_up = sum(link.is_up() for link in gateway.fleet.links.values())
    version = gateway.configuration.catalog.version
    newest = gateway.configuration.versions.newest
    child.stdin.close()
    await child.wait()
    return {
        'entries': entries,
        'links_up': links_up,
        'version': version,
        'adapters': sum(number == version for number in newest.values()),
        **pauses,
    }


@click.command()
@click.option('--adapters', default=10_000, help='Number of adapters with a version.')
@click.option('--routes', default=400, help='Number of routes.')
@click.option('--entries', default=(27, 68), multiple=True, help='Numbers of entries to measure.')
@click.option('--serve', is_flag=True, hidden=True)
def main(adapters: int, routes: int, entries: tuple[int, ...], serve: bool) -> None:
    """Print the longest pauses in milliseconds, as JSON."""
    logger.remove()
    if serve:
        asyncio.run(Surroundings(adapters, routes, entries[0]).run())
        return
    logger.add(lambda _: None, level='INFO')
    started_at = time.monotonic()
    reports = [asyncio.run(measure(adapters, routes, number)) for number in entries]
    seconds = round(time.monotonic() - started_at, 1)
    click.echo(json.dumps({'goal_ms': PAUSE_GOAL_MS, 'seconds': seconds, 'reports': reports}, indent=2))


if __name__ == '__main__':
    main()
