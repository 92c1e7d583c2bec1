"""Costs of a bundle by its number of adapters: bytes and CPU of one change, memory in a process.

Each size is measured in a process of its own, which reads a publication that another one wrote.
"""

import gc
import json
import pathlib
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator, Mapping
from typing import Any

import click
import psutil

from tamarackfield.bundle import (
    Acceptance,
    apply_delta,
    build_bundle,
    generate_key,
    join_shards,
    make_delta,
    publish,
)
from tamarackfield.bundle.validation import find_bundle_problems

MIB = 1024 * 1024
#: Largest document that is also validated whole by the schema.
MAX_WHOLE_VALIDATION = 12_000
REPEATS = 20


def make_document(adapters: int, targets: int, number: int) -> dict[str, Any]:
    """Return a bundle in which each adapter is granted to three of 200 callers."""
    entries = {
        f'member-{index % 200}/adapter-{index:06d}': {
            'versions': {'v1': {'model': 'base'}, 'v2': {'model': 'base'}},
            'grants': {f'caller-{(index + step) % 200}': 5 for step in range(3)},
        }
        for index in range(adapters)
    }
    return {
        'number': number,
        'callers': {f'caller-{index}': {'key_sha256': [f'{index:064x}']} for index in range(200)},
        'adapters': entries,
        'targets': {f'engine-{index}': _make_target(index) for index in range(targets)},
    }


def _make_target(index: int) -> dict[str, Any]:
    host = f'10.{index // 62500}.{index // 250 % 250}.{index % 250}'
    return {
        'kind': 'engine',
        'model': 'base',
        'address': f'{host}:7000',
        'zone': f'zone-{index % 23}',
        'region': 'west',
    }


def timed(work: Callable[[], Any]) -> tuple[float, Any]:
    """Return CPU milliseconds of a call and what it returned."""
    started = time.process_time()
    outcome = work()
    return (time.process_time() - started) * 1000, outcome


class StoredShards(Mapping[str, bytes]):
    """Shards read from files when they are asked for, so that they take no memory of the process."""

    def __init__(self, directory: pathlib.Path) -> None:
        """Look into a directory whose files are named by SHA-256."""
        self.directory = directory
        self.digests = [path.name for path in directory.iterdir()]

    def __getitem__(self, digest: str) -> bytes:
        """Return the content of one shard."""
        return (self.directory / digest).read_bytes()

    def __iter__(self) -> Iterator[str]:
        """Iterate over the SHA-256 of all shards."""
        return iter(self.digests)

    def __len__(self) -> int:
        """Return the number of shards."""
        return len(self.digests)


def write_publications(path: pathlib.Path, adapters: int, targets: int) -> None:
    """Write two bundles that differ in one grant."""
    private_key, public_key = generate_key()
    document = make_document(adapters, targets, 1)
    first = publish(document, private_key)
    changed = next(iter(document['adapters'].values()))
    changed['grants'] = {**changed['grants'], 'caller-9': 1}
    second = publish({**document, 'number': 2}, private_key)
    (path / 'key').write_text(public_key)
    for name, publication in (('first', first), ('second', second)):
        (path / f'{name}-envelope').write_bytes(publication.envelope)
        (path / name).mkdir()
        for digest, content in publication.shards.items():
            if name == 'first' or digest not in first.shards:
                (path / name / digest).write_bytes(content)


def measure(path: pathlib.Path, adapters: int, mode: str) -> dict[str, Any]:
    """Measure one size in this process, with adapters decoded on demand or all at once."""
    public_key = (path / 'key').read_text()
    envelope = (path / 'first-envelope').read_bytes()
    next_envelope = (path / 'second-envelope').read_bytes()
    shards = StoredShards(path / 'first')
    next_shards = StoredShards(path / 'second')
    gc.collect()
    process = psutil.Process()
    before = process.memory_info().rss
    acceptance = Acceptance(frozenset((public_key,)))
    if mode == 'decoded':
        bundle = build_bundle(join_shards(acceptance.examine(envelope).manifest, shards))
        gc.collect()
        return {'rss_mib': round((process.memory_info().rss - before) / MIB, 1), 'adapters': len(bundle.adapters)}
    first_ms, _ = timed(lambda: acceptance.accept(acceptance.examine(envelope), shards))
    gc.collect()
    shard_bytes = sum(len(content) for content in shards.values())
    after = process.memory_info().rss
    names = _names(acceptance, REPEATS)
    lookup_ms, _ = timed(lambda: [acceptance.bundle.adapters[name] for name in names])
    old = acceptance.release
    leader = Acceptance(frozenset((public_key,)))
    leader.accept(leader.examine(envelope), shards)
    leader.accept(leader.examine(next_envelope), next_shards)
    make_ms, delta = timed(lambda: make_delta(old, leader.release))
    apply_ms, applied = timed(lambda: apply_delta(old, delta))
    examine_ms, checked = timed(lambda: acceptance.examine(applied[0]))
    accept_ms, _ = timed(lambda: acceptance.accept(checked, applied[1]))
    report = {
        'adapters': adapters,
        'shards': len(shards),
        'bundle_bytes': shard_bytes,
        'manifest_bytes': len(envelope),
        'rss_added_mib': round((after - before) / MIB, 1),
        'rss_total_mib': round(after / MIB, 1),
        'first_accept_ms': round(first_ms, 1),
        'lookup_ms': round(lookup_ms / len(names), 3),
        'change_as_delta_bytes': len(delta),
        'change_as_shards_bytes': len(next_envelope) + sum(len(content) for content in next_shards.values()),
        'make_delta_ms': round(make_ms, 2),
        'apply_delta_ms': round(apply_ms, 2),
        'examine_ms': round(examine_ms, 2),
        'accept_ms': round(accept_ms, 2),
    }
    if adapters <= MAX_WHOLE_VALIDATION:
        document = join_shards(old.envelope.manifest, shards)
        report['whole_validation_ms'] = round(timed(lambda: find_bundle_problems(document))[0], 1)
    return report


def _names(acceptance: Acceptance, count: int) -> list[str]:
    names = list(acceptance.bundle.adapters)
    return names[:: max(1, len(names) // count)]


def run_child(path: pathlib.Path, adapters: int, mode: str) -> dict[str, Any]:
    """Measure one size in a fresh process."""
    command = [sys.executable, '-m', 'benchmarks.bundle_cost', '--child', str(path), '--mode', mode, str(adapters)]
    return json.loads(subprocess.run(command, check=True, capture_output=True).stdout)


@click.command()
@click.argument('sizes', type=int, nargs=-1)
@click.option('--targets', default=0, help='Number of targets; 0 for one to twelve adapters.')
@click.option('--child', default='', hidden=True)
@click.option('--mode', default='table', hidden=True)
def main(sizes: tuple[int, ...], targets: int, child: str, mode: str) -> None:
    """Print the costs at each number of adapters, as JSON."""
    if child:
        click.echo(json.dumps(measure(pathlib.Path(child), sizes[0], mode)))
        return
    reports = []
    for size in sizes:
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory)
            write_publications(path, size, targets or max(10, size // 12))
            report = run_child(path, size, 'table')
            report['rss_added_if_decoded_mib'] = run_child(path, size, 'decoded')['rss_mib']
            reports.append(report)
    click.echo(json.dumps(reports, indent=2))


if __name__ == '__main__':
    main()
