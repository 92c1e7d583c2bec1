"""Deployment for the scripts of the third review: the project's own programs, a store, plain workers and clients.

Only the standard library is used. All addresses are loopback addresses on free ports.
"""

import base64
import itertools
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = 'site.example'
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2
#: Bounds of plac-audit, from SYSTEM.md.
BOUNDS = {
    'seed_lag_s': 3, 'reuse_after_s': 2, 'contact_ms': 3000, 'ack_ms': 4000, 'catch_up_s': 4, 'drain_ms': 2000,
    'grace_s': 8, 'loss_slack_ms': 200, 'config_apply_ms': 2000, 'downgrade_slack_ms': 250, 'max_skew_ms': 5000,
    'retry_budget_ratio': 0.2, 'budget_window_s': 10, 'budget_extra': 54, 'recovery_s': 12, 'pass_ms': 120,
    'retry_after_s': 0, 'require_fence': True, 'lease_ms': 3000, 'thaw_slack_ms': 300, 'ceiling_window_s': 5,
    'ceiling_overage': 1.1, 'version_ms': 5000,
}  # fmt: skip


class Record:
    """Lines of record.txt, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, 'w', encoding='utf-8')
        self.began_at = time.monotonic()
        self.lock = threading.Lock()

    def add(self, text):
        """Write a line."""
        with self.lock:
            self.file.write(f'{time.monotonic() - self.began_at:8.3f} {text}\n')
            self.file.flush()

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.began_at


class QuietServer(ThreadingHTTPServer):
    """Server that says nothing of callers that leave."""

    daemon_threads = True

    def handle_error(self, request, client_address):
        pass


class Store:
    """The platform's store, as PROTOCOL.md tells it: ranges and watches; machines in `refused` get 503.

    All connections come from one loopback address, so the store has a listener of its own for each machine.
    """

    def __init__(self):
        self.items, self.history, self.revision = {}, [], 100
        self.changed = threading.Condition()
        self.refused = set()
        self.servers = []

    def open(self, host, machine):
        """Listen for the calls of a machine; return the address."""
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = 'HTTP/1.1'
            disable_nagle_algorithm = True

            def log_message(self, *args):
                pass

            def do_GET(self):
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                status, document = store.answer(url.path, query, machine)
                body = json.dumps(document).encode()
                self.send_response(status)
                self.send_header('Content-Type', 'application/json')
                self.send_header('Content-Length', str(len(body)))
                self.end_headers()
                self.wfile.write(body)

        server = QuietServer((host, 0), Handler)
        self.servers.append(server)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return f'{host}:{server.server_address[1]}'

    def answer(self, path, query, caller):
        """Return status and document of a reading call."""
        prefix = query.get('path_prefix', '')
        with self.changed:
            if caller in self.refused:
                return 503, {}
            if path == '/v1/kv-range':
                keys = sorted(key for key in self.items if key.startswith(prefix) and key > query.get('after', ''))
                return 200, {'items': [self.items[key] for key in keys], 'has_more': False, 'at': self.revision}
            if path != '/v1/kv-watch':
                return 404, {}
            ends_at = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
            after = int(query['after'])
            while True:
                if caller in self.refused:
                    return 503, {}
                events = [event for event in self.history if event['revision'] > after]
                left = ends_at - time.monotonic()
                if events or left <= 0:
                    return 200, {
                        'events': [event for event in events if event['key'].startswith(prefix)],
                        'at': self.revision,
                    }
                self.changed.wait(left)

    def put(self, key, document):
        """Write an item; return its revision."""
        with self.changed:
            self.revision += 1
            value = base64.b64encode(json.dumps(document).encode()).decode()
            created = self.items.get(key, {}).get('created', self.revision)
            item = {'key': key, 'value': value, 'revision': self.revision, 'created': created, 'lease': 0}
            self.items[key] = item
            self.history.append(item)
            self.changed.notify_all()
            return self.revision

    def refuse(self, machines):
        """Turn some machines away from now on, also those whose watches wait."""
        with self.changed:
            self.refused = set(machines)
            self.changed.notify_all()


class Deployment:
    """Programs of the system with their settings, and stand-in processes; everything ends in `close`."""

    def __init__(self, record):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review3-'))
        self.block = f'127.{os.getpid() % 200 + 20}.{os.getpid() // 200 % 250 + 1}'
        self.numbers = itertools.count(10)
        self.store = Store()
        self.processes = []
        self.entries = {}
        self.request_numbers = itertools.count(1)

    def new_host(self):
        """Return a loopback address that no other machine of this deployment has."""
        return f'{self.block}.{next(self.numbers)}'

    def plan_entry(self, node, zone='regina-a'):
        """Choose the addresses of an entry."""
        host = self.new_host()
        ports = {name: f'{host}:{free_port(host)}' for name in ('front', 'ready', 'control')}
        self.entries[node] = {'host': host, 'zone': zone, 'listen': ports}

    def start_entry(self, node, seeds):
        """Start an entry with the command of the deploy file; return its process."""
        place = self.entries[node]
        settings = {
            'node': node, 'role': 'entry', 'machine_class': 'front', 'serves': ['front', 'control'],
            'ip': place['host'], 'zone': place['zone'], 'region': 'prairie-west',
            'zones': {place['zone']: 'prairie-west'}, 'listen': place['listen'],
            'port_range': [17380, 17395], 'seeds': seeds, 'bootstrap': True, 'counts_as_loss': False,
            'limits': {'cpu_share': 0.817, 'cores': 1, 'memory_mb': 300, 'max_fds': 4100, 'link_mbps': 1000.0,
                       'disk_mb': 0},
            'data_dir': None, 'discovery': 'platform', 'entry': 'vip', 'heartbeat_ms': 1200,
            'contracts': ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'fleet', 'stream', 'engine',
                          'platform'],
            'fault_tolerance': {'machines': 2, 'zones': 0, 'regions': 0}, 'bounds': BOUNDS,
            'provider': {'address': self.store.open(self.new_host(), node), 'form': 'read', 'writes_per_s': 400, 'reads_per_s': 2000,
                         'history_s': 20, 'value_bytes': 1048576, 'min_ttl_ms': 1000},
        }  # fmt: skip
        path = self.folder / f'{node}.json'
        path.write_text(json.dumps(settings))
        return self.start_process(
            node, ['python3', '-S', '-m', 'tamarackfield.platform', 'entry'], {'TAMARACKFIELD_SETTINGS': str(path)}
        )

    def start_process(self, name, command, variables=None, **options):
        """Start a process in the root of the repository, with its output in the temporary folder."""
        kept = {key: os.environ[key] for key in ('PATH', 'HOME', 'LANG') if key in os.environ}
        variables = {**kept, 'PYTHONPATH': str(ROOT / 'target' / 'deps'), **(variables or {})}
        with open(self.folder / f'{name}.log', 'ab') as log:
            options = {'stdout': log, 'stderr': log, **options}
            process = subprocess.Popen(command, cwd=ROOT, env=variables, **options)  # noqa: S603
        self.processes.append(process)
        return process

    def wait_ready(self, node, seconds=20):
        """Wait until an entry is ready; raise `TimeoutError` if it isn't."""
        host, port = self.entries[node]['listen']['ready'].split(':')
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            try:
                if exchange((host, int(port)), b'GET /v1/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n', 1)[0] == 200:
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise TimeoutError(f'{node} is not ready')

    def front(self, node):
        """Return the address of an entry for clients."""
        host, port = self.entries[node]['listen']['front'].split(':')
        return host, int(port)

    def new_id(self):
        """Return the id of a request, 16 hexadecimal digits as in PROTOCOL.md."""
        return f'{os.getpid() & 0xFFFFFF:06x}{next(self.request_numbers):010x}'

    def call(self, node, path, request_id, deadline_ms=1000, method='GET', body=b''):
        """Send a request on a new connection; return status, headers and body."""
        length = f'Content-Length: {len(body)}\r\n' if body else ''
        head = (
            f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nTamarackfield-Request-Id: {request_id}\r\n'
            f'Tamarackfield-Deadline-Ms: {deadline_ms}\r\n{length}Connection: close\r\n\r\n'
        )
        return exchange(self.front(node), head.encode() + body, deadline_ms / 1000 + 1)

    def close(self):
        """End all processes that were started here, and remove the temporary folder."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.wait()
        for server in self.store.servers:
            server.shutdown()
        if os.environ.get('KEEP_LOGS') != '1':
            shutil.rmtree(self.folder, ignore_errors=True)


class Worker:
    """Supervisor of one worker: it keeps the listening socket, and starts the process anew."""

    def __init__(self, deployment, record, name, service, work_ms, framed=True, on_line=None, clock_ahead_seconds=0.0):
        self.deployment, self.record, self.name, self.service = deployment, record, name, service
        self.options = [str(work_ms), 'framed' if framed else 'unframed']
        self.on_line = on_line or (lambda worker, words: None)
        self.clock_ahead_seconds, self.state = clock_ahead_seconds, 'ready'
        host = deployment.new_host()
        self.listener = socket.socket()
        self.listener.bind((host, 0))
        self.listener.listen(64)
        self.address = f'{host}:{self.listener.getsockname()[1]}'
        self.start()

    def start(self):
        """Start the process, and write its entry to the store."""
        number = self.listener.fileno()
        command = ['python3', '-S', str(ROOT / 'review' / 'plain3.py'), str(number), self.name, *self.options]
        self.process = self.deployment.start_process(
            self.name, command, stdout=subprocess.PIPE, pass_fds=(number,), text=True
        )
        self.born = int((time.time() + self.clock_ahead_seconds) * 1000)
        threading.Thread(target=self.follow, args=(self.process,), daemon=True).start()
        self.write_entry()

    def write_entry(self):
        """Write the entry of the worker."""
        entry = {
            'service': self.service, 'address': self.address, 'zone': 'regina-a', 'version': 'v1', 'slots': 6,
            'state': self.state, 'cold_ms': 0, 'seq': 0, 'born': self.born,
        }  # fmt: skip
        self.deployment.store.put(f'servers/{self.name}', entry)

    def follow(self, process):
        """Record what the process says."""
        for line in process.stdout:
            self.record.add(f'{self.name} {line.strip()}')
            self.on_line(self, line.split())

    def crash(self, restart_seconds):
        """Kill the process, and start it again."""
        self.process.kill()
        self.record.add(f'{self.name} is killed')
        time.sleep(restart_seconds)
        self.start()
        self.record.add(f'{self.name} has started again under its id')


def free_port(host):
    """Return a port that is free at an address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class BrokenAnswerError(OSError):
    """The connection ended before the answer did."""


def exchange(address, request, seconds):
    """Send one request; return status, headers by lower-case name, and the body if the answer is whole.

    Raises
    ------
    OSError
        If there is no whole answer.
    """
    with socket.create_connection(address, timeout=seconds) as connection:
        connection.settimeout(seconds)
        connection.sendall(request)
        stream = connection.makefile('rb')
        status_line = stream.readline()
        if not status_line.startswith(b'HTTP/1.1 '):
            raise BrokenAnswerError(f'no answer: {status_line!r}')
        headers = {}
        while (line := stream.readline()) not in {b'\r\n', b''}:
            name, _, text = line.decode('latin-1').partition(':')
            headers[name.strip().lower()] = text.strip()
        if headers.get('transfer-encoding') == 'chunked':
            body = b''
            while size := int(stream.readline() or b'x', 16):
                body += _read(stream, size)
                stream.readline()
        elif 'content-length' in headers:
            body = _read(stream, int(headers['content-length']))
        else:
            body = stream.read()
        return int(status_line.split()[1]), headers, body


def _read(stream, size):
    body = stream.read(size)
    if len(body) < size:
        raise BrokenAnswerError(f'{len(body)} of {size} bytes')
    return body


def make_route(prefix, service, **changes):
    """Return a route for lookups as in plac-audit."""
    return {
        'name': 'r' + prefix.replace('/', '-'), 'hostname': HOST, 'path_prefix': prefix, 'kind': 'idempotent',
        'timeout_ms': 1000, 'target_latency_ms': 200, 'priority': 0, 'service': service, 'max_attempts': 2,
    } | changes  # fmt: skip


def make_config(version, routes, services):
    """Return a configuration."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': name, 'health_path': '/healthz', 'max_conns': 100, 'protocol': 'h1', 'tls': False}
            for name in services
        ],
        'limits': {'max_header_bytes': 16384, 'max_body_bytes': 4194304, 'header_timeout_ms': 3000,
                   'idle_timeout_ms': 15000},
    }  # fmt: skip


def run_case(folder, play):
    """Run `play`, a function of a deployment and the record that returns an exit code, and exit with it."""
    record = Record(pathlib.Path(folder) / 'record.txt')
    record.add(f'TROUBLE={int(TROUBLE)}')
    code = NOT_RUN
    deployment = Deployment(record)
    try:
        code = play(deployment, record)
    except Exception as exc:  # whatever fails, the case didn't run
        record.add(f'case could not run: {exc!r}')
    finally:
        deployment.close()
    record.add({HELD: 'the rule held', BROKEN: 'the rule was broken', NOT_RUN: 'the case did not run'}[code])
    sys.exit(code)
