"""Simulated peers for `benchmarks.slopes`: many sidecars or many entries in one process.

They use the real streams and the real reports; only targets and callers are absent.
"""

import asyncio
import json
from typing import Any

import click

from tamarackfield.core import SYSTEM_CLOCK, Application, new_incarnation
from tamarackfield.ledger import Coverage, Ledger
from tamarackfield.observe.audit import AuditTrail
from tamarackfield.observe.metrics import Metrics
from tamarackfield.policy.queueing import QUEUE_ORDERS
from tamarackfield.policy.eviction import EVICTION_POLICIES
from tamarackfield.sidecar.jobs import Slot, SlotState
from tamarackfield.sidecar.keyed_calls import KeyedCalls
from tamarackfield.sidecar.peer_server import PeerServer
from tamarackfield.sidecar.scheduler import Scheduler
from tamarackfield.sidecar.target import LocalTarget
from tamarackfield.sidecar.worker import TargetWorker
from tamarackfield.testing.processes import HOST
from tamarackfield.wire import Hello, PeerStream, connect

BATCH = 64


@click.group()
def main() -> None:
    """Run simulated peers until they are terminated."""


@main.command()
@click.argument('ports', type=int, nargs=-1)
@click.option('--slots', default=32, help='Number of adapters resident on each target.')
def sidecars(ports: tuple[int, ...], slots: int) -> None:
    """Run one sidecar without a target on each port, named fake-1, fake-2 and so on."""
    asyncio.run(_run_sidecars(ports, slots))


@main.command()
@click.argument('port', type=int)
@click.option('--count', default=10, help='Number of entries.')
@click.option('--seconds', default=5.0, help='Period in which bytes are counted.')
def entries(port: int, count: int, seconds: float) -> None:
    """Connect simulated entries to one sidecar and print the bytes per second in both directions."""
    click.echo(json.dumps(asyncio.run(_run_entries(port, count, seconds))))


async def _run_sidecars(ports: tuple[int, ...], slots: int) -> None:
    application = Application('fake')
    for index, port in enumerate(ports):
        server = _make_peer_server(application, f'fake-{index + 1}', slots)
        await asyncio.start_server(server.handle_connection, HOST, port)
    await asyncio.Event().wait()


def _make_peer_server(application: Application, name: str, slots: int) -> PeerServer:
    scheduler = Scheduler(slots, BATCH, EVICTION_POLICIES['lru'], QUEUE_ORDERS['fifo'])
    now = SYSTEM_CLOCK.monotonic()
    for index in range(slots):
        scheduler.slots_by_adapter[f'adapter-{name}-{index}@v1'] = Slot(SlotState.RESIDENT, now)
    worker = TargetWorker(application, scheduler, None, AuditTrail(), Metrics(name))
    worker.ready.set()
    incarnation = new_incarnation()
    keyed = KeyedCalls(name, Ledger(), Coverage(name, incarnation, now, 1), _reject_call, _reject_call)
    target = LocalTarget(name, (HOST, 0), worker, keyed, incarnation)
    return PeerServer(target, lambda: Hello('sidecar', name, incarnation, 'zone-1', SYSTEM_CLOCK.unix_ms(), name))


async def _reject_call(*arguments: object) -> Any:
    raise NotImplementedError(f'simulated peers do not run calls: {arguments}')


async def _run_entries(port: int, count: int, seconds: float) -> dict[str, float]:
    streams = [await _connect_entry(port, index) for index in range(count)]
    tasks = [asyncio.ensure_future(_receive_all(stream)) for stream in streams]
    tasks.extend(asyncio.ensure_future(stream.send_heartbeats()) for stream in streams)
    before = [(stream.bytes_sent, stream.bytes_received) for stream in streams]
    await asyncio.sleep(seconds)
    sent = sum(stream.bytes_sent - initial[0] for stream, initial in zip(streams, before, strict=True))
    received = sum(stream.bytes_received - initial[1] for stream, initial in zip(streams, before, strict=True))
    for task in tasks:
        task.cancel()
    return {'streams': count, 'to_sidecar_per_second': sent / seconds, 'from_sidecar_per_second': received / seconds}


async def _connect_entry(port: int, index: int) -> PeerStream:
    stream = await connect(HOST, port, None)
    name = f'fake-entry-{index + 1}'
    await stream.exchange_hellos(Hello('entry', name, new_incarnation(), 'zone-1', SYSTEM_CLOCK.unix_ms(), ''))
    return stream


async def _receive_all(stream: PeerStream) -> None:
    while True:
        await stream.receive()


if __name__ == '__main__':
    main()
