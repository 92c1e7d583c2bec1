"""Measures the cost of a bundle by its number of adapters: bytes and CPU of one change, memory of a process.

Each size is measured in a separate process, which reads a publication that its parent process wrote.
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

BYTES_PER_MIB = 1024 * 1024
#: Largest number of adapters for which the whole document is also validated against the schema.
MAX_VALIDATED_ADAPTERS = 12_000
LOOKUP_COUNT = 20


def make_bundle_document(adapters: int, targets: int, number: int) -> dict[str, Any]:
    """Return a bundle document that grants each adapter to three of 200 callers."""
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


def measure_cpu_ms(function: Callable[[], Any]) -> tuple[float, Any]:
    """Call a function and return its CPU time in milliseconds and its result."""
    started = time.process_time()
    result = function()
    return (time.process_time() - started) * 1000, result


class StoredShards(Mapping[str, bytes]):
    """Shards that are read from files on demand, so that they do not count as memory of the process."""

    def __init__(self, directory: pathlib.Path) -> None:
        """List the shards of a directory whose file names are SHA-256 digests."""
        self.directory = directory
        self.digests = [path.name for path in directory.iterdir()]

    def __getitem__(self, digest: str) -> bytes:
        """Return the content of one shard."""
        return (self.directory / digest).read_bytes()

    def __iter__(self) -> Iterator[str]:
        """Iterate over the SHA-256 digests of all shards."""
        return iter(self.digests)

    def __len__(self) -> int:
        """Return the number of shards."""
        return len(self.digests)


def write_publications(path: pathlib.Path, adapters: int, targets: int) -> None:
    """Write two bundles that differ in one grant."""
    private_key, public_key = generate_key()
    document = make_bundle_document(adapters, targets, 1)
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


def measure_size(path: pathlib.Path, adapters: int, mode: str) -> dict[str, Any]:
    """Measure one size in this process, with adapters decoded on demand (``table``) or at once (``decoded``)."""
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
        return {
            'rss_mib': round((process.memory_info().rss - before) / BYTES_PER_MIB, 1),
            'adapters': len(bundle.adapters),
        }
    first_ms, _ = measure_cpu_ms(lambda: acceptance.accept(acceptance.examine(envelope), shards))
    gc.collect()
    shard_bytes = sum(len(content) for content in shards.values())
    after = process.memory_info().rss
    names = _sample_adapter_names(acceptance, LOOKUP_COUNT)
    lookup_ms, _ = measure_cpu_ms(lambda: [acceptance.bundle.adapters[name] for name in names])
    old_release = acceptance.release
    publisher = Acceptance(frozenset((public_key,)))
    publisher.accept(publisher.examine(envelope), shards)
    publisher.accept(publisher.examine(next_envelope), next_shards)
    make_ms, delta = measure_cpu_ms(lambda: make_delta(old_release, publisher.release))
    apply_ms, applied = measure_cpu_ms(lambda: apply_delta(old_release, delta))
    examine_ms, checked = measure_cpu_ms(lambda: acceptance.examine(applied[0]))
    accept_ms, _ = measure_cpu_ms(lambda: acceptance.accept(checked, applied[1]))
    report = {
        'adapters': adapters,
        'shards': len(shards),
        'bundle_bytes': shard_bytes,
        'manifest_bytes': len(envelope),
        'rss_added_mib': round((after - before) / BYTES_PER_MIB, 1),
        'rss_total_mib': round(after / BYTES_PER_MIB, 1),
        'first_accept_ms': round(first_ms, 1),
        'lookup_ms': round(lookup_ms / len(names), 3),
        'change_as_delta_bytes': len(delta),
        'change_as_shards_bytes': len(next_envelope) + sum(len(content) for content in next_shards.values()),
        'make_delta_ms': round(make_ms, 2),
        'apply_delta_ms': round(apply_ms, 2),
        'examine_ms': round(examine_ms, 2),
        'accept_ms': round(accept_ms, 2),
    }
    if adapters <= MAX_VALIDATED_ADAPTERS:
        document = join_shards(old_release.envelope.manifest, shards)
        report['whole_validation_ms'] = round(measure_cpu_ms(lambda: find_bundle_problems(document))[0], 1)
    return report


def _sample_adapter_names(acceptance: Acceptance, count: int) -> list[str]:
    names = list(acceptance.bundle.adapters)
    return names[:: max(1, len(names) // count)]


def measure_in_child(path: pathlib.Path, adapters: int, mode: str) -> dict[str, Any]:
    """Measure one size in a new process."""
    command = [sys.executable, '-m', 'benchmarks.bundle_cost', '--child', str(path), '--mode', mode, str(adapters)]
    return json.loads(subprocess.run(command, check=True, capture_output=True).stdout)


@click.command()
@click.argument('sizes', type=int, nargs=-1)
@click.option('--targets', default=0, help='Number of targets; 0 for one per twelve adapters, at least ten.')
@click.option('--child', default='', hidden=True)
@click.option('--mode', default='table', hidden=True)
def main(sizes: tuple[int, ...], targets: int, child: str, mode: str) -> None:
    """Print the cost at each number of adapters, as JSON."""
    if child:
        click.echo(json.dumps(measure_size(pathlib.Path(child), sizes[0], mode)))
        return
    reports = []
    for size in sizes:
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory)
            write_publications(path, size, targets or max(10, size // 12))
            report = measure_in_child(path, size, 'table')
            report['rss_added_if_decoded_mib'] = measure_in_child(path, size, 'decoded')['rss_mib']
            reports.append(report)
    click.echo(json.dumps(reports, indent=2))


if __name__ == '__main__':
    main()
