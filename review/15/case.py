"""A configuration moves a route to another service, and no longer lists the old one, while streams of that one run."""

import json
import os
import pathlib
import socket
import subprocess
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig3  # noqa: E402

OLD, NEW, MODEL, ADAPTER = 'draft-engine', 'draft-engine-b', 'daka510000', 'a1'
#: Model workers of the two services.
WORKERS = {OLD: 3, NEW: 3}
#: Events of a stream, and milliseconds between two of them, as on the sheet.
EVENTS, INTERVAL_MS = 49, 20
#: Streams a second, and seconds for which they are sent.
RATE, SENDING_SECONDS = 8, 12
#: Seconds from the first stream to the second configuration.
CHANGE_SECONDS = 5
#: Whether the second configuration still lists the old service, which then serves no route.
KEEPS_OLD = os.environ.get('KEEP_SERVICE') == '1'


def start_worker(deployment, record, name, service):
    """Start a model worker and its sidecar, and write its entry to the store."""
    host = deployment.new_host()
    listener = socket.socket()
    listener.bind((host, 0))
    listener.listen(64)
    address = f'{host}:{listener.getsockname()[1]}'
    born = int(time.time() * 1000)
    options = [str(listener.fileno()), name, str(born), MODEL, ADAPTER, str(EVENTS), str(INTERVAL_MS), '0', 'after']
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
        'bounds': rig3.BOUNDS, 'app': address, 'service': service,
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
        'service': service, 'address': address, 'zone': 'regina-a', 'version': 'v1', 'slots': 64, 'state': 'ready',
        'cold_ms': 0, 'seq': 0, 'born': born, 'stage': 'colocated', 'models': models,
    }  # fmt: skip
    deployment.store.put(f'servers/{name}', entry)


def make_config(version, service, services):
    """Return a configuration with the route of the finding drafts."""
    route = rig3.make_route(
        '/draft/', service, kind='streaming', timeout_ms=12_000, target_latency_ms=800, gap_target_ms=300,
        sticky=True, max_attempts=1,
    )  # fmt: skip
    config = rig3.make_config(version, [route], services)
    model = {'name': MODEL, 'weights_mb': 65_100.0, 'load_time_s': 1.9, 'adapters': 3000, 'adapter_size_mb': 12.0}
    engine = {
        'slots': 64, 'kv_capacity': 157_544, 'models': [model], 'weights_mb': 66_700.0, 'adapter_slots': 26,
        'loads_per_s': 4.2,
    }  # fmt: skip
    for item in config['services']:
        item |= {'max_conns': 360, 'engine': engine}
    return config


def read_stream(deployment, request_id):
    """Send a request; return its status, the numbers of its events, and whether the stream is complete."""
    head = (
        f'POST /draft/1 HTTP/1.1\r\nHost: {rig3.HOST}\r\nTamarackfield-Request-Id: {request_id}\r\n'
        f'Tamarackfield-Model: {MODEL}/{ADAPTER}\r\nTamarackfield-Token-Usage: 826,294\r\n'
        f'Tamarackfield-Prompt-Prefix: 5c1e07a2:198,{request_id}:628\r\nTamarackfield-Deadline-Ms: 12000\r\n'
        'Content-Length: 6\r\n\r\nprompt'
    )
    # Clients leave a stream after a gap of four times the objective.
    with socket.create_connection(deployment.front('front-1'), timeout=3.2) as connection:
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
    """Send streams at a steady rate, and move their route meanwhile; judge the streams that are answered."""
    deployment.store.put('op/config', make_config(7, OLD, [OLD, NEW]))
    for number, service in enumerate(service for service, count in WORKERS.items() for _ in range(count)):
        start_worker(deployment, record, f'i-{number:08x}', service)
    deployment.plan_entry('front-1')
    deployment.start_entry('front-1', [deployment.entries['front-1']['listen']['control']])
    deployment.wait_ready('front-1')
    time.sleep(rig3.BOUNDS['contact_ms'] / 1000 + 1)
    outcomes = []

    def call():
        request_id = deployment.new_id()
        sent_at = record.now()
        record.add(f'client sends {request_id} POST /draft/1')
        try:
            status, numbers, complete = read_stream(deployment, request_id)
        except OSError as exc:
            status, numbers, complete = 0, [], False
            record.add(f'{request_id}: {exc!r}')
        outcomes.append((sent_at, record.now(), status, complete))
        record.add(f'client got {status} for {request_id}: {len(numbers)} events, complete: {complete}')

    threads = []
    began_at = record.now()
    window = None
    for count in range(RATE * SENDING_SECONDS):
        time.sleep(max(0.0, began_at + count / RATE - record.now()))
        if window is None and rig3.TROUBLE and record.now() >= began_at + CHANGE_SECONDS:
            sent_at = record.now()
            deployment.store.put('op/config', make_config(9, NEW, [OLD, NEW] if KEEPS_OLD else [NEW]))
            # From the sending of the configuration until config_apply_ms + 1 s after its acknowledgement.
            window = (sent_at, record.now() + rig3.BOUNDS['config_apply_ms'] / 1000 + 1)
            record.add(f'operator has moved /draft/ to {NEW}; {OLD} is {"still" if KEEPS_OLD else "no longer"} listed')
        threads.append(threading.Thread(target=call, daemon=True))
        threads[-1].start()
    for thread in threads:
        thread.join()
    served = [row for row in outcomes if row[2] == 200]
    window = window or (began_at + CHANGE_SECONDS, began_at + CHANGE_SECONDS + 3)
    inside = [row for row in served if window[0] <= row[1] <= window[1]]
    outside = [row for row in served if row not in inside]
    cut_inside, cut_outside = (sum(not row[3] for row in rows) for rows in (inside, outside))
    record.add(f'{len(served)} of {len(outcomes)} streams were answered')
    record.add(f'beside the configuration {cut_inside} of {len(inside)} end without the end of the answer')
    record.add(f'at other times {cut_outside} of {len(outside)} do')
    if len(served) < len(outcomes) / 2 or not inside or not outside:
        return rig3.NOT_RUN
    is_broken = cut_inside / len(inside) > 3 * cut_outside / len(outside)
    return rig3.BROKEN if is_broken else rig3.HELD


rig3.run_case(FOLDER, play)
