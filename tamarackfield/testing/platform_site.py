"""Small site of the platform: stand-ins in this process, programs of the system as child processes.

Each site uses its own loopback addresses, so that concurrent tests do not interfere.
"""

import asyncio
import itertools
import os
import pathlib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from tamarackfield.core.problems import split_address
from tamarackfield.testing.platform_store import PlatformStore
from tamarackfield.testing.platform_worker import HEALTH_PATH, PlatformWorker
from tamarackfield.testing.ports import reserve_port
from tamarackfield.testing.processes import ManagedProcess, wait_until
from tamarackfield.web.client import Headers, fetch, open_request

HOST_NAME = 'site.example'
PLAIN_SERVICE = 'ledger'
MODEL_SERVICE = 'drafts'
MODEL = 'base'
#: Time after which a worker that is known to drain receives no new requests.
DRAIN_SECONDS = 2.0
#: Time after which a changed configuration is in force.
CHANGE_SECONDS = 2.0
#: Time after the end of a disruption from which an instance counts as undisturbed again.
CONTACT_SECONDS = 3.0
#: Retry budget of a service: ratio to its requests, additional number of retries, and window.
RETRY_RATIO, RETRY_ALLOWANCE, RETRY_WINDOW_SECONDS = 0.2, 50, 10.0
#: Maximum number of workers that a call may run on, unless its route sets a lower limit.
MAX_TARGETS_PER_CALL = 2
_MS_PER_SECOND = 1000
_OCTET_VALUES = 250
#: Distance between address blocks of one process, a large prime so that processes with close ids do not overlap.
_ADDRESS_BLOCK_STRIDE = 7919
_address_numbers = itertools.count(1)


def allocate_address() -> str:
    """Return a loopback address that no other test process allocates."""
    number = next(_address_numbers)
    process = os.getpid() + _ADDRESS_BLOCK_STRIDE * (number // _OCTET_VALUES)
    return f'127.{process % _OCTET_VALUES + 1}.{process // _OCTET_VALUES % _OCTET_VALUES}.{number % _OCTET_VALUES + 1}'


def make_route(prefix: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route in the format of the operator's configuration."""
    route = {
        'name': prefix.strip('/'),
        'hostname': HOST_NAME,
        'path_prefix': prefix,
        'kind': kind,
        'timeout_ms': 20_000,
        'target_latency_ms': 400,
        'priority': 0,
        'service': service,
        'max_attempts': MAX_TARGETS_PER_CALL,
    }
    return route | changes


def make_config(version: int = 1, routes: list[dict[str, Any]] | None = None) -> dict[str, Any]:
    """Return a configuration with plain calls and streams, or with the given routes."""
    engine = {
        'slots': 8,
        'kv_capacity': 100_000,
        'models': [{'name': MODEL, 'weights_mb': 900.0, 'load_time_s': 1, 'adapters': 100, 'adapter_size_mb': 10.0}],
        'weights_mb': 1000.0,
        'adapter_slots': 3,
        'loads_per_s': 4,
    }
    standard = [
        make_route('/look/', 'idempotent', PLAIN_SERVICE),
        make_route('/file/', 'non_idempotent', PLAIN_SERVICE, max_attempts=1),
        make_route('/draft/', 'streaming', MODEL_SERVICE, max_attempts=1),
        make_route('/summary/', 'streaming', MODEL_SERVICE, resumable=True),
    ]
    return {
        'version': version,
        'routes': standard if routes is None else routes,
        'services': [
            {'name': PLAIN_SERVICE, 'health_path': HEALTH_PATH, 'max_conns': 100},
            {'name': MODEL_SERVICE, 'health_path': HEALTH_PATH, 'max_conns': 100, 'engine': engine},
        ],
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 1_000_000,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15_000,
        },
    }


class PlatformProcess(ManagedProcess):
    """Process of one program of the system at an address of the site."""

    def __init__(
        self, role: str, settings: dict[str, Any], directory: pathlib.Path, health: tuple[str, int, str]
    ) -> None:
        """Create a process that is not started."""
        host, port, path = health
        super().__init__(
            settings['node'],
            'tamarackfield.platform',
            settings,
            directory,
            arguments=(role,),
            health=(port, path),
            host=host,
            settings_variable='TAMARACKFIELD_SETTINGS',
        )


class Site:
    """Stand-ins and programs of the system for one test.

    Parameters
    ----------
    directory : pathlib.Path
        Directory of the settings and log files.
    """

    def __init__(self, directory: pathlib.Path) -> None:
        """Create a site without workers, sidecars and entries."""
        self.directory = directory
        self.store = PlatformStore()
        self.store_host = allocate_address()
        self.store_port = 0
        self.manager_port = reserve_port()
        self.workers: dict[str, PlatformWorker] = {}
        self.entries: list[PlatformProcess] = []
        self.sidecars: dict[str, PlatformProcess] = {}
        self.exposed_addresses: dict[tuple[str, int], str] = {}
        self.seeds: list[str] = []
        self.request_ids = itertools.count(1)
        self.limits: dict[str, int] = {'max_fds': 1000}
        #: Bounds in the settings of further processes, beside the standard ones.
        self.bounds: dict[str, Any] = {}

    async def start(self, config: dict[str, Any] | None = None) -> None:
        """Start the store with a configuration, `make_config` by default."""
        await self.store.server.listen(self.store_host, 0)
        self.store_port = self.store.server.port
        self.store.put('op/config', make_config() if config is None else config)

    async def stop(self) -> None:
        """Stop all processes and stand-ins."""
        for process in (*self.entries, *self.sidecars.values()):
            await process.kill()
        for worker in self.workers.values():
            await worker.stop()
        await self.store.server.close()

    async def add_worker(self, name: str, service: str = PLAIN_SERVICE, **changes: Any) -> PlatformWorker:
        """Start a worker, with attributes changed as given, and write its entry to the store."""
        model = MODEL if service == MODEL_SERVICE else ''
        worker = PlatformWorker(name, service, allocate_address(), reserve_port(), model=model)
        for field, setting in changes.items():
            setattr(worker, field, setting)
        await worker.start()
        self.workers[name] = worker
        address = (worker.host, worker.port)
        self.exposed_addresses[address] = await self.expose_address('worker', name, address)
        self.write_worker_entry(worker)
        return worker

    def write_worker_entry(self, worker: PlatformWorker) -> None:
        """Write the entry of a worker to the store."""
        address = self.exposed_addresses[worker.host, worker.port]
        self.store.put(f'servers/{worker.name}', worker.make_store_entry() | {'address': address})

    async def add_sidecar(self, worker: PlatformWorker, host: str = '') -> PlatformProcess:
        """Start the sidecar of a worker, on the host of the worker unless another is given."""
        host = host or worker.host
        settings = self._settings(f'side-{worker.name}', host)
        settings |= {'listen': {}, 'app': f'{worker.host}:{worker.port}', 'service': worker.service}
        process = PlatformProcess('sidecar', settings, self.directory, (host, 9464, '/metrics'))
        self.sidecars[worker.name] = process
        await process.start()
        await process.wait_ready()
        return process

    async def add_entry(self, wait: bool = True) -> PlatformProcess:
        """Start an entry, and wait until it is ready unless ``wait`` is false."""
        host = allocate_address()
        node = f'front-{len(self.entries) + 1}'
        settings = self._settings(node, host)
        store = await self.expose_address('store', node, (self.store_host, self.store_port), host)
        settings['provider'] = {'address': store}
        ports = {name: f'{host}:{reserve_port()}' for name in ('front', 'ready', 'control')}
        settings['listen'] = ports
        self.seeds.append(await self.expose_address('peer', node, split_address(ports['control'])))
        settings['seeds'] = list(self.seeds[:3])
        process = PlatformProcess(
            'entry', settings, self.directory, (host, int(ports['ready'].split(':')[1]), '/v1/ready')
        )
        self.entries.append(process)
        await process.start()
        if wait:
            await process.wait_ready()
        return process

    async def expose_address(self, kind: str, name: str, address: tuple[str, int], source: str = '') -> str:
        """Return the address at which all hosts, or only ``source``, can connect; subclasses may insert a relay."""
        host, port = address
        return f'{host}:{port}'

    async def wait_for_sidecars(self, entry: PlatformProcess) -> None:
        """Wait until every sidecar has reported to an entry that it is ready."""

        async def is_linked() -> bool:
            ready = [
                line
                for line in entry.read_log().splitlines()
                if 'event=sidecar_reports' in line and 'ready=True' in line
            ]
            return len(ready) >= len(self.sidecars)

        await wait_until(is_linked, 'all sidecars report to the entry that they are ready')

    async def call(
        self,
        path: str,
        method: str = 'GET',
        body: bytes = b'',
        headers: Headers | None = None,
        entry: int = 0,
    ) -> tuple[int, dict[str, str], bytes]:
        """Send one request of a client and return status, headers and body."""
        return await fetch(self.entry_address(entry), method, path, body, self.make_headers(headers))

    def stream(self, path: str, headers: Headers | None = None, entry: int = 0):
        """Open one request of a client whose answer is read in chunks."""
        return open_request(self.entry_address(entry), 'POST', path, b'prompt', self.make_headers(headers))

    def make_headers(self, headers: Headers | None) -> Headers:
        """Return the headers of a client request, with defaults for request id and deadline."""
        given_headers = headers or []
        header_names = {name.lower() for name, _ in given_headers}
        given_headers = [('Host', HOST_NAME), *given_headers]
        if 'tamarackfield-request-id' not in header_names:
            given_headers = [('Tamarackfield-Request-Id', f'r{next(self.request_ids)}'), *given_headers]
        if 'tamarackfield-deadline-ms' not in header_names:
            given_headers = [('Tamarackfield-Deadline-Ms', '20000'), *given_headers]
        return given_headers

    def entry_address(self, entry: int) -> tuple[str, int]:
        """Return the address of an entry for clients."""
        listen = self.entries[entry].settings['listen']
        return split_address(listen['front'])

    def count_runs(self, request_id: str) -> int:
        """Return how often workers started a request."""
        started_ids = [run.request_id for worker in self.workers.values() for run in worker.runs]
        return started_ids.count(request_id)

    def _settings(self, node: str, host: str) -> dict[str, Any]:
        return {
            'node': node,
            'zone': 'zone-a',
            'region': 'region-a',
            'ip': host,
            'port_range': [self.manager_port, self.manager_port + 10],
            'seeds': [],
            'limits': self.limits,
            'bounds': {
                'retry_budget_ratio': RETRY_RATIO,
                'budget_extra': RETRY_ALLOWANCE,
                'budget_window_s': RETRY_WINDOW_SECONDS,
                'drain_ms': DRAIN_SECONDS * _MS_PER_SECOND,
                'config_apply_ms': CHANGE_SECONDS * _MS_PER_SECOND,
                'contact_ms': CONTACT_SECONDS * _MS_PER_SECOND,
                'grace_s': 8,
            }
            | self.bounds,
            'provider': {'address': f'{self.store_host}:{self.store_port}'},
            'a_field_of_a_later_version': True,
        }


@asynccontextmanager
async def running_site(directory: pathlib.Path, config: dict[str, Any] | None = None) -> AsyncIterator[Site]:
    """Run a site with a store, and stop it with everything that was added to it."""
    site = Site(directory)
    await site.start(config)
    try:
        yield site
    finally:
        await site.stop()


async def read_events(response: Any) -> list[bytes]:
    """Return the events of a stream.

    Raises
    ------
    ClientError
        If the stream ends without its end marker.
    """
    body = b''.join([chunk async for chunk in response.chunks()])
    await asyncio.sleep(0)
    return [event for event in body.split(b'\n\n') if event]
