"""Faults of the chaos run; the function that injects a fault also reverts it."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

from tamarackfield.testing.cluster import OPERATOR_TOKEN, Cluster
from tamarackfield.testing.frames import NO_FRAME_FAULTS
from tamarackfield.testing.incidents import Incident
from tamarackfield.testing.outcome_checker import OutcomeChecker
from tamarackfield.testing.processes import HOST
from tamarackfield.testing.relay import FAULTY_MODES
from tamarackfield.web import fetch
from tamarackfield.wire.request_relay import Chunk, End, Fail, Head

ENGINES = ('engine-1', 'engine-2')
SIDECARS = ('engine-1-sidecar', 'engine-2-sidecar', 'booking-1-sidecar')
PEER_PROXIES = ('engine-1-proxy', 'engine-2-proxy', 'booking-1-proxy')
ENGINE_PROXIES = ('engine-1-engine-proxy', 'engine-2-engine-proxy')
_ANSWER_KINDS = tuple(message.kind for message in (Head, Chunk, End, Fail))


Fault = Callable[[Cluster, random.Random, Incident, OutcomeChecker], Awaitable[None]]


def kill_one_of(names: tuple[str, ...]) -> Fault:
    """Return a fault that kills one of the processes and restarts it."""

    async def inject(cluster: Cluster, rng: random.Random, incident: Incident, checker: OutcomeChecker) -> None:
        name = rng.choice(names)
        incident.where = name
        async with checker.process_lock(name):
            if name in ENGINES:
                await checker.collect_counts(name)
            await cluster.processes[name].kill()
            await asyncio.sleep(rng.uniform(0, 0.5))
            await cluster.start_process(name)

    return inject


def freeze_one_of(names: tuple[str, ...]) -> Fault:
    """Return a fault that pauses one of the processes for up to 3 s."""

    async def inject(cluster: Cluster, rng: random.Random, incident: Incident, checker: OutcomeChecker) -> None:
        name = rng.choice(names)
        incident.where = name
        async with checker.process_lock(name):
            cluster.processes[name].freeze()
            await asyncio.sleep(rng.uniform(0.2, 3))
            cluster.processes[name].thaw()

    return inject


async def drain_sidecar(cluster: Cluster, rng: random.Random, incident: Incident, checker: OutcomeChecker) -> None:
    """Drain a sidecar by an operator's command, terminate it gracefully and restart it."""
    name = rng.choice(SIDECARS)
    incident.where = name
    async with checker.process_lock(name):
        headers = [('Authorization', f'Bearer {OPERATOR_TOKEN}')]
        await fetch((HOST, cluster.ports[f'{name}-operations']), 'POST', '/drain', b'', headers)
        await cluster.processes[name].terminate()
        await cluster.start_process(name)


def set_one_of(
    names: tuple[str, ...], draw_values: Callable[[random.Random], dict[str, Any]], normal_values: dict[str, Any]
) -> Fault:
    """Return a fault that sets a drawn fault on a control page for up to 2.5 s, then restores the normal values."""

    async def inject(cluster: Cluster, rng: random.Random, incident: Incident, checker: OutcomeChecker) -> None:
        name = rng.choice(names)
        fault_values = draw_values(rng)
        incident.where = f'{name} {fault_values}'
        async with checker.process_lock(name):
            await cluster.control(name, **fault_values)
            await cluster.control(name)
            await asyncio.sleep(rng.uniform(0.05, 2.5))
            await cluster.control(name, **normal_values)

    return inject


def _draw_frame_fault(rng: random.Random) -> dict[str, Any]:
    fault = rng.choice(sorted(NO_FRAME_FAULTS))
    kind = rng.choice(_ANSWER_KINDS)
    return {fault: kind if fault == 'cut_before_frame' else [kind]}


def _draw_engine_fault(rng: random.Random) -> dict[str, Any]:
    fault_values = rng.choice(
        (
            {'load_delay': rng.uniform(0.1, 2)},
            {'unload_delay': rng.uniform(0.1, 2)},
            {'fail_loads': rng.randint(1, 3)},
            {'cut_stream_after': rng.randint(0, 20)},
            {'slowdown': rng.uniform(2, 10)},
        ),
    )
    return dict(fault_values)


_NO_ENGINE_FAULTS = {'load_delay': 0, 'unload_delay': 0, 'fail_loads': 0, 'cut_stream_after': -1, 'slowdown': 1}

#: Injecting functions by fault name.
FAULTS: dict[str, Fault] = {
    'kill_entry': kill_one_of(('entry-1', 'entry-2')),
    'kill_sidecar': kill_one_of(SIDECARS),
    'kill_engine': kill_one_of(ENGINES),
    'freeze_entry': freeze_one_of(('entry-1', 'entry-2')),
    'freeze_sidecar': freeze_one_of(SIDECARS),
    'freeze_engine': freeze_one_of(ENGINES),
    'drain_sidecar': drain_sidecar,
    'peer_network': set_one_of(PEER_PROXIES, lambda rng: {'mode': rng.choice(FAULTY_MODES)}, {'mode': 'pass'}),
    'peer_delay': set_one_of(PEER_PROXIES, lambda rng: {'delay': rng.uniform(0.01, 0.3)}, {'delay': 0}),
    'peer_frames': set_one_of(PEER_PROXIES, _draw_frame_fault, NO_FRAME_FAULTS),
    'engine_network': set_one_of(ENGINE_PROXIES, lambda rng: {'mode': rng.choice(FAULTY_MODES)}, {'mode': 'pass'}),
    'engine_orders': set_one_of(ENGINES, _draw_engine_fault, _NO_ENGINE_FAULTS),
    'configuration_down': set_one_of(('configuration',), lambda rng: {'down': True}, {'down': False}),
}
