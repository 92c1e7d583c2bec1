"""A site whose links pass through relays, and the faults injected into it."""

import asyncio
import collections
import contextlib
import pathlib
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

from tamarackfield.core import SYSTEM_CLOCK
from tamarackfield.testing.incidents import Incident, format_violation
from tamarackfield.testing.platform_site import (
    MODEL_SERVICE,
    PlatformProcess,
    Site,
    allocate_address,
)
from tamarackfield.testing.platform_worker import PlatformWorker, WorkerFault
from tamarackfield.testing.ports import reserve_port
from tamarackfield.testing.processes import wait_until
from tamarackfield.testing.relay import Relay, no_faults
from tamarackfield.testing.soak.plan import PlannedFault
from tamarackfield.testing.soak.variation import Variation, make_version

#: Time between two events of a stand-in's stream.
EVENT_SECONDS = 0.01


@dataclass(slots=True)
class DrainWindow:
    """Period, in monotonic seconds, after the drain of a worker in which it must receive no requests."""

    worker: PlatformWorker
    begins_at: float
    ends_at: float = float('inf')


class SoakSite(Site):
    """Stand-ins, processes and relays of one soak test.

    Parameters
    ----------
    directory : pathlib.Path
        Directory for settings and logs.
    """

    def __init__(self, directory: pathlib.Path) -> None:
        """Create a site without workers and processes."""
        super().__init__(directory)
        self.relays: dict[str, Relay] = {}
        self.locks: dict[str, asyncio.Lock] = collections.defaultdict(asyncio.Lock)
        self.incidents: list[Incident] = []
        self.drain_windows: list[DrainWindow] = []
        self.stated_limits: list[Any] = []
        # Queries of requests on which workers crash now, by path.
        self.crashing_queries: dict[str, str] = {}
        self.violations: list[str] = []
        self.configuration_version = 1
        # Monotonic seconds at which the store had each version.
        self.changed_at: dict[int, float] = {}
        self.variation = Variation()
        self.shortest_timeout_seconds = self.variation.timeout_seconds
        # Monotonic seconds before which the store is not silenced.
        self.store_calm_until = 0.0
        # Monotonic seconds at which no further call is sent.
        self.ends_at = 0.0
        self.adapter_versions: dict[str, int] = collections.defaultdict(int)

    def worker_lock(self, worker: PlatformWorker) -> asyncio.Lock:
        """Return the lock of a worker's address: a worker that replaces another there has a new name."""
        return self.locks[f'{worker.host}:{worker.port}']

    async def build(self, entries: int, models: int, plain: int) -> None:
        """Start all workers and processes and wait until all entries are ready."""
        for number in range(plain):
            await self.add_worker(f'plain-{number}')
        for number in range(models):
            worker = await self.add_worker(f'model-{number}', MODEL_SERVICE, event_interval_seconds=EVENT_SECONDS)
            await self.add_sidecar(worker)
        for _ in range(entries):
            await self.add_entry(wait=False)
        for entry in self.entries:
            await entry.wait_ready()

    async def expose_address(self, kind: str, name: str, address: tuple[str, int], source: str = '') -> str:
        """Start a relay in front of an address and return the address of the relay."""
        host, port = address[0], reserve_port()
        relay = Relay(address, no_faults(), source=source)
        await relay.listen(host, port)
        self.relays[f'{kind} {name}'] = relay
        return f'{host}:{port}'

    async def add_sidecar(self, worker: PlatformWorker, host: str = '') -> PlatformProcess:
        """Start the sidecar of a worker behind a relay at the worker's address."""
        host = host or allocate_address()
        process = await super().add_sidecar(worker, host)
        relay = Relay((host, self.manager_port), no_faults())
        await relay.listen(worker.host, self.manager_port)
        self.relays[f'sidecar {worker.name}'] = relay
        return process

    async def stop(self) -> None:
        """Stop all workers, processes and relays."""
        await super().stop()
        for relay in self.relays.values():
            relay.close()

    def list_processes(self) -> list[PlatformProcess]:
        """Return every process of the system."""
        return [*self.entries, *self.sidecars.values()]

    def get_service_workers(self, service: str) -> list[PlatformWorker]:
        """Return the workers of one service."""
        return [worker for worker in self.workers.values() if worker.service == service]

    def change_configuration(self) -> int:
        """Publish the next version of the configuration, which adds one route to the previous one."""
        self.configuration_version += 1
        self.shortest_timeout_seconds = min(self.shortest_timeout_seconds, self.variation.timeout_seconds)
        self.store.put('op/config', make_version(self.configuration_version, self.variation))
        self.changed_at[self.configuration_version] = SYSTEM_CLOCK.monotonic()
        return self.configuration_version

    def record_violation(self, text: str, since: float = 0.0) -> None:
        """Record a broken promise with the faults that overlap it."""
        self.violations.append(format_violation(text, self.incidents, since))

    def overlaps_fault(self, kinds: tuple[str, ...], since: float, until: float, where: str = '') -> bool:
        """Return whether a fault of the given kinds, at the given place if any, overlapped a period."""
        return any(self.list_overlapping(kinds, since, until, where))

    def list_overlapping(self, kinds: tuple[str, ...], since: float, until: float, where: str = '') -> list[Incident]:
        """Return the faults of the given kinds, at the given place if any, that overlapped a period.

        Parameters
        ----------
        kinds : tuple of str
            Names of faults.
        since, until : float
            Bounds of the period in monotonic seconds.
        where : str
            Word that the description of the place of a fault contains; empty for any place.
        """
        return [
            incident
            for incident in self.incidents
            if incident.name in kinds
            and incident.started_at <= until
            and incident.ended_at >= since
            and (not where or where in incident.where.split())
        ]

    @contextlib.asynccontextmanager
    async def record_incident(self, step: PlannedFault) -> AsyncIterator[Incident]:
        """Record the start and the end of a fault."""
        incident = Incident(step.kind, SYSTEM_CLOCK.monotonic())
        self.incidents.append(incident)
        try:
            yield incident
        finally:
            incident.ended_at = SYSTEM_CLOCK.monotonic()

    def clear_faults(self) -> None:
        """Clear every fault that is set on stand-ins and relays."""
        self.store.fault = ''
        for relay in self.relays.values():
            relay.faults.update(no_faults())
        for worker in self.workers.values():
            worker.fault = WorkerFault()
            worker.cut_after_event = 0
            worker.crashing_parts = frozenset()
            worker.crashing_targets = frozenset()
            worker.sends_second_copies = False
            worker.event_interval_seconds = EVENT_SECONDS
            worker.silence_seconds = 0.0
            worker.request_limit = ''
            self.write_worker_entry(worker)

    async def wait_ready(self) -> None:
        """Wait until every process runs and every entry is ready.

        Raises
        ------
        ProcessFailedError
            If a process does not recover in time.
        """

        async def all_processes_run() -> bool:
            return all(process.has_started() for process in self.list_processes())

        await wait_until(all_processes_run, 'all processes run')
        for entry in self.entries:
            await entry.wait_ready()
