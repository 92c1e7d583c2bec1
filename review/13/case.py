"""An entry stops while model workers are silent for a moment before the end of their streams."""

import json
import pathlib
import signal
import socket
import subprocess
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig3  # noqa: E402

SERVICE, MODEL, ADAPTER = 'draft-engine', 'daka510000', 'a1'
WORKERS = 4
STREAMS = 12
#: Events of a stream, and milliseconds between two of them, as on the sheet.
EVENTS, INTERVAL_MS = 49, 20
SILENCE_MS = 1500 if rig3.TROUBLE else 0
#: Seconds from the first stream to SIGTERM.
TERM_SECONDS = 0.5


def start_worker(deployment, record, name):
    """Start a model worker and its sidecar, and write its entry to the store."""
    host = deployment.new_host()
    listener = socket.socket()
    listener.bind((host, 0))
    listener.listen(64)
    address = f'{host}:{listener.getsockname()[1]}'
    born = int(time.time() * 1000)
    number = str(listener.fileno())
    options = [number, name, str(born), MODEL, ADAPTER, str(EVENTS), str(INTERVAL_MS), str(SILENCE_MS), 'before']
    process = deployment.start_process(
        name,
        ['python3', '-S', str(FOLDER.parent / 'model3.py'), *options],
        stdout=subprocess.PIPE,
        pass_fds=(listener.fileno(),),
        text=True,
    )
    listener.close()

    def follow():
        for line in process.stdout:
            record.add(f'{name} {line.strip()}')

    threading.Thread(target=follow, daemon=True).start()
    settings = {
        'node': f'side-{name}', 'role': 'sidecar', 'machine_class': 'side', 'serves': ['side'], 'ip': host,
        'zone': 'regina-a', 'region': 'prairie-west', 'listen': {}, 'port_range': [17380, 17395], 'seeds': [],
        'limits': {'cpu_share': 0.86, 'cores': 1, 'memory_mb': 232, 'max_fds': 4096, 'link_mbps': 2000.0},
        'bounds': rig3.BOUNDS, 'app': address, 'service': SERVICE,
        'provider': {'address': deployment.store.open(deployment.new_host(), f'side-{name}')},
    }  # fmt: skip
    path = deployment.folder / f'side-{name}.json'
    path.write_text(json.dumps(settings))
    deployment.start_process(
        f'side-{name}',
        ['python3', '-S', '-m', 'tamarackfield.platform', 'sidecar'],
        {'TAMARACKFIELD_SETTINGS': str(path)},
    )
    models = [{'name': MODEL, 'version': 1, 'adapters': [f'{ADAPTER}@1']}]
    entry = {
        'service': SERVICE, 'address': address, 'zone': 'regina-a', 'version': 'v1', 'slots': 64, 'state': 'ready',
        'cold_ms': 0, 'seq': 0, 'born': born, 'stage': 'colocated', 'models': models,
    }  # fmt: skip
    deployment.store.put(f'servers/{name}', entry)


def make_config():
    """Return a configuration with the route of the interview summaries."""
    route = rig3.make_route(
        '/summary/', SERVICE, kind='streaming', timeout_ms=20_000, target_latency_ms=1000, gap_target_ms=300,
        resumable=True, sticky=True,
    )  # fmt: skip
    config = rig3.make_config(7, [route], [SERVICE])
    model = {'name': MODEL, 'weights_mb': 65_100.0, 'load_time_s': 1.9, 'adapters': 3000, 'adapter_size_mb': 12.0}
    config['services'][0] |= {
        'max_conns': 360,
        'engine': {'slots': 64, 'kv_capacity': 157_544, 'models': [model], 'weights_mb': 66_700.0, 'adapter_slots': 26,
                   'loads_per_s': 4.2},
    }  # fmt: skip
    return config


def read_stream(deployment, request_id):
    """Send a request; return its status, the numbers of its events, and whether the stream is complete."""
    head = (
        f'POST /summary/1 HTTP/1.1\r\nHost: {rig3.HOST}\r\nTamarackfield-Request-Id: {request_id}\r\n'
        f'Tamarackfield-Model: {MODEL}/{ADAPTER}\r\nTamarackfield-Token-Usage: 826,294\r\n'
        f'Tamarackfield-Prompt-Prefix: 5c1e07a2:198,{request_id}:628\r\nTamarackfield-Deadline-Ms: 20000\r\n'
        'Content-Length: 6\r\n\r\nprompt'
    )
    # Clients leave a stream after a gap of four times the objective.
    with socket.create_connection(deployment.front('front-1'), timeout=4) as connection:
        connection.sendall(head.encode())
        stream = connection.makefile('rb')
        status = int((stream.readline() or b'- 0').split()[1])
        chunked = False
        while (line := stream.readline()) not in {b'\r\n', b''}:
            chunked = chunked or line.lower().startswith(b'transfer-encoding: chunked')
        body, complete = b'', False
        try:
            while chunked and not complete:
                size = int(stream.readline() or b'x', 16)
                body += stream.read(size)
                stream.readline()
                complete = not size
        except (OSError, ValueError):
            complete = False
        numbers = [int(line.partition(b': ')[2]) for line in body.splitlines() if line.startswith(b'id: ')]
        return status, numbers, complete


def play(deployment, record):
    """Stop front-1 with SIGTERM while streams run; judge the streams that it had read before."""
    deployment.store.put('op/config', make_config())
    for number in range(1, WORKERS + 1):
        start_worker(deployment, record, f'i-{number:08x}')
    deployment.plan_entry('front-1')
    entry = deployment.start_entry('front-1', [deployment.entries['front-1']['listen']['control']])
    deployment.wait_ready('front-1')
    time.sleep(rig3.BOUNDS['contact_ms'] / 1000 + 1)
    outcomes = {}

    def call():
        request_id = deployment.new_id()
        record.add(f'client sends {request_id} POST /summary/1')
        try:
            outcomes[request_id] = read_stream(deployment, request_id)
        except OSError as exc:
            outcomes[request_id] = (0, [], False)
            record.add(f'{request_id}: {exc!r}')
        status, numbers, complete = outcomes[request_id]
        record.add(f'client got {status} for {request_id}: {len(numbers)} events, complete: {complete}')

    threads = [threading.Thread(target=call, daemon=True) for _ in range(STREAMS)]
    for thread in threads:
        thread.start()
    time.sleep(TERM_SECONDS)
    entry.send_signal(signal.SIGTERM)
    record.add('SIGTERM to front-1')
    for thread in threads:
        thread.join()
    entry.wait(timeout=10)
    record.add(f'front-1 has exited with {entry.returncode}')
    served = [row for row in outcomes.values() if row[0] == 200]
    cut = [row for row in served if not row[2]]
    record.add(f'{len(served)} streams were answered, {len(cut)} of them end without the end of the answer')
    if len(served) < STREAMS / 2 or entry.returncode:
        return rig3.NOT_RUN
    return rig3.BROKEN if cut else rig3.HELD


rig3.run_case(FOLDER, play)
