"""Rig of the second review: programs by the commands of the deploy file, stand-ins, records and exit codes.

The stand-ins are the project's own store and workers, with what a case adds to them. Everything listens on loopback
addresses, and settings and logs are kept in a temporary folder.
"""

import asyncio
import itertools
import json
import os
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEPS = ROOT / 'target' / 'deps'
sys.path[:0] = [str(DEPS), str(ROOT)]

from tamarackfield.testing.platform_store import PlatformStore  # noqa: E402
from tamarackfield.testing.platform_worker import PlatformWorker  # noqa: E402
from tamarackfield.testing.ports import reserve_port  # noqa: E402

#: Exit codes of a script.
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST_NAME = 'site.example'
#: Time limit of a whole script, below the 120 seconds that are allowed.
MAX_SECONDS = 115
#: Bounds of the site plac-audit.
BOUNDS = {
    'seed_lag_s': 3,
    'reuse_after_s': 2,
    'contact_ms': 3000,
    'ack_ms': 4000,
    'catch_up_s': 4,
    'drain_ms': 2000,
    'grace_s': 8,
    'loss_slack_ms': 200,
    'config_apply_ms': 2000,
    'downgrade_slack_ms': 250,
    'max_skew_ms': 5000,
    'retry_budget_ratio': 0.2,
    'budget_window_s': 10,
    'budget_extra': 54,
    'recovery_s': 12,
    'pass_ms': 120,
    'retry_after_s': 0,
    'require_fence': True,
    'lease_ms': 3000,
    'thaw_slack_ms': 300,
    'version_ms': 5000,
}
_octets = itertools.count(2)


def is_troubled() -> bool:
    """Return whether the disruption of the case is carried out."""
    return os.environ.get('TROUBLE', '1') != '0'


def next_host() -> str:
    """Return a loopback address of this script alone."""
    pid = os.getpid()
    return f'127.{pid % 240 + 10}.{pid // 240 % 250}.{next(_octets)}'


def make_route(prefix: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    route = {
        'name': prefix.strip('/'),
        'hostname': HOST_NAME,
        'path_prefix': prefix,
        'kind': kind,
        'timeout_ms': 20_000,
        'target_latency_ms': 1000,
        'priority': 0,
        'service': service,
        'max_attempts': 1,
    }
    return route | changes


def make_config(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a configuration with a plain service and one of model workers."""
    model = {'name': 'base', 'weights_mb': 65_100.0, 'load_time_s': 1.9, 'adapters': 3000, 'adapter_size_mb': 12.0}
    engine = {
        'slots': 64,
        'kv_capacity': 157_544,
        'models': [model],
        'weights_mb': 66_700.0,
        'adapter_slots': 26,
        'loads_per_s': 4.2,
    }
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': 'ledger', 'health_path': '/healthz', 'max_conns': 100},
            {'name': 'drafts', 'health_path': '/healthz', 'max_conns': 360, 'engine': engine},
        ],
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 4_194_304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15_000,
        },
    }


class Store(PlatformStore):
    """Store of the platform whose waiting watches can be cut."""

    def __init__(self) -> None:
        super().__init__()
        # The pages name no header of the store.
        self.era = 0
        self.watching: set[Any] = set()

    async def _answer_watch(self, query: dict[str, str], responder: Any, number: int) -> None:
        self.watching.add(responder.writer)
        try:
            await super()._answer_watch(query, responder, number)
        finally:
            self.watching.discard(responder.writer)

    def cut_watches(self) -> int:
        """Close the connections of the watches that wait; return their number."""
        cut = list(self.watching)
        for writer in cut:
            writer.transport.abort()
        return len(cut)


class Record:
    """Lines of ``record.txt``: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.path = folder / 'record.txt'
        self.began_at = time.monotonic()
        self.lines: list[str] = []

    def add(self, text: str) -> None:
        """Add a line."""
        line = f'{time.monotonic() - self.began_at:8.3f} {text}'
        self.lines.append(line)
        print(line, flush=True)

    def write(self) -> None:
        """Write all lines."""
        self.path.write_text('\n'.join(self.lines) + '\n')


class Program:
    """Process of one role, started by the command of the deploy file."""

    def __init__(self, role: str, settings: dict[str, Any], folder: pathlib.Path) -> None:
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        self.command = deploy['roles'][role]['run'].split()
        self.settings = settings
        self.name = settings['node']
        self.settings_path = folder / f'{self.name}.json'
        self.log_path = folder / f'{self.name}.log'
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        self.settings_path.write_text(json.dumps(self.settings))
        kept = {name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ}
        environment = kept | {'PYTHONPATH': str(DEPS), 'TAMARACKFIELD_SETTINGS': str(self.settings_path)}
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(self.command, cwd=ROOT, env=environment, stdout=log, stderr=log)

    def signal(self, number: int) -> None:
        """Send a signal."""
        self.process.send_signal(number)

    def has_ended(self) -> bool:
        """Return whether the process has ended."""
        return self.process is None or self.process.poll() is not None

    def log(self) -> str:
        """Return its log."""
        return self.log_path.read_text(errors='replace') if self.log_path.exists() else ''

    def kill(self) -> None:
        """End the process."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()


class WorkerProcess:
    """Model worker in a process of its own, see ``worker2.py``."""

    def __init__(self, name: str, events: int, interval: float, every: int, folder: pathlib.Path) -> None:
        self.name = name
        self.host, self.port = next_host(), reserve_port()
        self.options = (str(events), str(interval), str(every))
        self.log_path = folder / f'worker-{name}.log'
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the worker as a new incarnation."""
        born = str(int(time.time() * 1000))
        script = str(pathlib.Path(__file__).resolve().parent / 'worker2.py')
        command = [sys.executable, '-S', script, self.name, self.host, str(self.port), born, *self.options]
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(command, stdout=log, stderr=log)

    def lines(self) -> list[dict[str, Any]]:
        """Return what it has printed."""
        text = self.log_path.read_text() if self.log_path.exists() else ''
        return [json.loads(line) for line in text.splitlines() if line.startswith('{')]

    def runs(self) -> list[str]:
        """Return the ids of the requests that it ran, those whose answers had no framing with a star."""
        return [line['run'] + '*' * line['unframed'] for line in self.lines() if 'run' in line]

    async def make_store_entry(self) -> dict[str, Any]:
        """Return its entry once it listens."""
        for _ in range(400):
            entries = [line['entry'] for line in self.lines() if 'entry' in line]
            if entries:
                return entries[-1]
            await asyncio.sleep(0.02)
        raise RuntimeError(f'worker {self.name} does not start: {self.log_path.read_text()}')

    def signal(self, number: int) -> None:
        """Send a signal."""
        self.process.send_signal(number)

    async def stop(self) -> None:
        """End the process."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()


class Site:
    """Store, workers, sidecars and entries of one case."""

    def __init__(self, config: dict[str, Any], record: Record) -> None:
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.config = config
        self.store = Store()
        self.store_address = ''
        self.side_port = reserve_port()
        self.workers: list[Any] = []
        self.programs: list[Program] = []
        self.seeds: list[str] = []

    async def start(self) -> None:
        """Start the store."""
        host = next_host()
        await self.store.server.listen(host, 0)
        self.store_address = f'{host}:{self.store.server.port}'
        self.store.put('op/config', self.config)

    async def stop(self) -> None:
        """End everything."""
        for program in self.programs:
            program.kill()
        for worker in self.workers:
            await worker.stop()
        await self.store.server.close()
        if os.environ.get('KEEP'):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def add_worker(self, name: str, service: str, make: Any = PlatformWorker, **fields: Any) -> PlatformWorker:
        """Start a worker and list it in the store."""
        model = 'base' if service == 'drafts' else ''
        worker = make(name, service, next_host(), reserve_port(), model=model)
        for field, setting in fields.items():
            setattr(worker, field, setting)
        await worker.start()
        self.workers.append(worker)
        self.list_worker(worker)
        return worker

    def list_worker(self, worker: PlatformWorker) -> None:
        """Write the entry of a worker to the store."""
        self.store.put(f'servers/{worker.name}', worker.make_store_entry())

    def make_settings(self, node: str, host: str) -> dict[str, Any]:
        """Return the settings that all roles have."""
        return {
            'node': node,
            'zone': 'regina-a',
            'region': 'prairie-west',
            'ip': host,
            'listen': {},
            'port_range': [self.side_port, self.side_port + 10],
            'seeds': [],
            'limits': {'cpu_share': 0.817, 'cores': 1, 'memory_mb': 300, 'max_fds': 4100},
            'bounds': BOUNDS,
            'provider': {'address': self.store_address, 'form': 'read'},
        }

    def make_entry(self) -> Program:
        """Return an entry that is not started."""
        host = next_host()
        settings = self.make_settings(f'front-{len(self.programs) + 1}', host)
        settings['listen'] = {name: f'{host}:{reserve_port()}' for name in ('front', 'ready', 'control')}
        self.seeds.append(settings['listen']['control'])
        settings['seeds'] = list(self.seeds[:3])
        program = Program('entry', settings, self.folder)
        self.programs.append(program)
        return program

    async def add_worker_process(self, name: str, events: int, interval: float, every: int) -> WorkerProcess:
        """Start a model worker in a process of its own and list it in the store."""
        worker = WorkerProcess(name, events, interval, every, self.folder)
        self.workers.append(worker)
        worker.start()
        self.store.put(f'servers/{name}', await worker.make_store_entry())
        return worker

    def make_sidecar(self, worker: Any) -> Program:
        """Return the sidecar of a worker that is not started."""
        settings = self.make_settings(f'side-{worker.name}', worker.host)
        settings['app'] = f'{worker.host}:{worker.port}'
        program = Program('sidecar', settings, self.folder)
        self.programs.append(program)
        return program

    async def wait_ready(self, entry: Program, sidecars: int = 0) -> None:
        """Wait until an entry is ready and so many sidecars have reported to it."""
        address = entry.settings['listen']['ready']
        for _ in range(600):
            status, _ = await ask(address, 'GET', '/v1/ready')
            reports = [line for line in entry.log().splitlines() if 'sidecar_reports' in line and 'ready=True' in line]
            if status == 200 and len(reports) >= sidecars:
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f'{entry.name} is not ready:\n{entry.log()[-2000:]}')


async def ask(address: str, method: str, path: str, headers: tuple[str, ...] | list[str] = ()) -> tuple[int, bytes]:
    """Return status and body of a request on a new connection; status 0 without an answer."""
    host, port = address.rsplit(':', 1)
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
    except (OSError, TimeoutError):
        return 0, b''
    try:
        lines = [f'{method} {path} HTTP/1.1', *(headers or [f'Host: {address}']), 'Connection: close', '', '']
        writer.write('\r\n'.join(lines).encode())
        answer = await asyncio.wait_for(reader.read(), 5)
    except (OSError, TimeoutError):
        return 0, b''
    finally:
        writer.transport.abort()
    head, _, body = answer.partition(b'\r\n\r\n')
    return (int(head.split()[1]) if head else 0), body


class Stream:
    """One client that reads a stream, and how its answer ended: ``complete``, ``cut`` or ``open``."""

    def __init__(self, address: str, request_id: str, path: str, adapter: str) -> None:
        self.address = address
        self.request_id = request_id
        self.path = path
        self.adapter = adapter
        self.received = bytearray()
        self.end = 'open'
        self.task = asyncio.create_task(self._read())

    def count_events(self) -> int:
        """Return the number of whole events that were received."""
        return len(re.findall(rb'data: event \d+\n\n', bytes(self.received)))

    def status(self) -> int:
        """Return the status of the answer, 0 before it."""
        return int(self.received[9:12]) if len(self.received) > 12 else 0

    def describe(self) -> str:
        """Return what the client saw."""
        return f'{self.request_id}: status {self.status()}, {self.count_events()} events, answer {self.end}'

    async def _read(self) -> None:
        host, port = self.address.rsplit(':', 1)
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write('\r\n'.join((
                f'POST {self.path} HTTP/1.1', f'Host: {HOST_NAME}',
                f'Tamarackfield-Request-Id: {self.request_id}', 'Tamarackfield-Deadline-Ms: 12000',
                f'Tamarackfield-Model: {self.adapter}', 'Tamarackfield-Token-Usage: 826,300',
                f'Tamarackfield-Prompt-Prefix: 5c1e:119,91bd:79,{self.request_id.encode().hex()}:628',
                'Content-Type: text/plain', 'Content-Length: 6', '', 'prompt',
            )).encode())
            while chunk := await reader.read(65_536):
                self.received += chunk
                # The last chunk of a chunked body ends a complete answer.
                if self.received.endswith(b'\r\n0\r\n\r\n'):
                    self.end = 'complete'
                    return
            self.end = 'cut'
        except OSError:
            self.end = 'cut'


def run(folder: pathlib.Path, case: Any) -> None:
    """Run a case within the time limit, write its record, and exit with its code."""
    record = Record(folder)

    async def limited() -> int:
        return await asyncio.wait_for(case(record), MAX_SECONDS)

    try:
        code = asyncio.run(limited())
    except Exception as exc:  # noqa: BLE001 whatever kept the case from running
        record.add(f'could not run: {exc!r}')
        code = NOT_RUN
    record.add(('the rule held', 'the rule was broken', 'not run')[code])
    record.write()
    sys.exit(code)
