"""A site whose links run through relays, and what was done to it."""

import asyncio
import collections
import contextlib
import pathlib
from collections.abc import AsyncIterator
from dataclasses import dataclass

from tamarackfield.core import SYSTEM_CLOCK
from tamarackfield.testing.incidents import Incident, format_violation
from tamarackfield.testing.platform_site import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    PlatformProcess,
    Site,
    allocate_address,
    make_config,
    make_route,
)
from tamarackfield.testing.platform_worker import PlatformWorker, WorkerFault
from tamarackfield.testing.ports import reserve_port
from tamarackfield.testing.processes import wait_until
from tamarackfield.testing.relay import Relay, no_faults
from tamarackfield.testing.soak.plan import Step

#: Seconds between an event of a stand-in's stream and the next.
EVENT_SECONDS = 0.01


@dataclass(slots=True)
class Absence:
    """A worker that left for good; it is not to get anything from ``begins_at`` to ``ends_at``."""

    worker: PlatformWorker
    begins_at: float
    ends_at: float = float('inf')


class SoakSite(Site):
    """Stand-ins, programs and relays of one soak.

    Parameters
    ----------
    directory : pathlib.Path
        For settings and logs.
    """

    def __init__(self, directory: pathlib.Path) -> None:
        """Start without machines."""
        super().__init__(directory)
        self.relays: dict[str, Relay] = {}
        self.locks: dict[str, asyncio.Lock] = collections.defaultdict(asyncio.Lock)
        self.incidents: list[Incident] = []
        self.absences: list[Absence] = []
        self.violations: list[str] = []
        self.version = 1
        self.adapter_versions: dict[str, int] = collections.defaultdict(int)

    async def build(self, entries: int, models: int, plain: int) -> None:
        """Start everything and wait until all entries are ready."""
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
        """Put a relay before an address and return where it listens."""
        host, port = address[0], reserve_port()
        relay = Relay(address, no_faults(), source=source)
        await relay.listen(host, port)
        self.relays[f'{kind} {name}'] = relay
        return f'{host}:{port}'

    async def add_sidecar(self, worker: PlatformWorker, host: str = '') -> PlatformProcess:
        """Start the program beside a worker, reached through a relay on the worker's address."""
        host = host or allocate_address()
        process = await super().add_sidecar(worker, host)
        relay = Relay((host, self.manager_port), no_faults())
        await relay.listen(worker.host, self.manager_port)
        self.relays[f'sidecar {worker.name}'] = relay
        return process

    async def stop(self) -> None:
        """End everything."""
        await super().stop()
        for relay in self.relays.values():
            relay.close()

    def processes(self) -> list[PlatformProcess]:
        """Return every program of the system."""
        return [*self.entries, *self.sidecars.values()]

    def workers_of(self, service: str) -> list[PlatformWorker]:
        """Return the workers of a service."""
        return [worker for worker in self.workers.values() if worker.service == service]

    def change_configuration(self) -> int:
        """Put the next version of the configuration in force; each one has a route more."""
        self.version += 1
        seen = [make_route(f'/seen-{version}/', 'idempotent', PLAIN_SERVICE) for version in range(2, self.version + 1)]
        document = make_config(self.version)
        document['routes'] += seen
        self.store.put('op/config', document)
        return self.version

    def violate(self, text: str, since: float = 0.0) -> None:
        """Note a broken promise with the faults around it."""
        self.violations.append(format_violation(text, self.incidents, since))

    def struck(self, kinds: tuple[str, ...], since: float, until: float) -> bool:
        """Tell whether a fault of some kinds lasted within a time."""
        return any(
            incident.name in kinds and incident.started_at <= until and incident.ended_at >= since
            for incident in self.incidents
        )

    @contextlib.asynccontextmanager
    async def incident(self, step: Step) -> AsyncIterator[Incident]:
        """Note how long a fault lasts."""
        incident = Incident(step.kind, SYSTEM_CLOCK.monotonic())
        self.incidents.append(incident)
        try:
            yield incident
        finally:
            incident.ended_at = SYSTEM_CLOCK.monotonic()

    def heal(self) -> None:
        """End every fault that was set on stand-ins and relays."""
        self.store.fault = ''
        for relay in self.relays.values():
            relay.faults.update(no_faults())
        for worker in self.workers.values():
            worker.fault = WorkerFault()
            worker.cut_after_event = 0
            worker.event_interval_seconds = EVENT_SECONDS
            self.write_worker_entry(worker)

    async def wait_ready(self) -> None:
        """Wait until every entry is ready and every program runs.

        Raises
        ------
        ProcessFailedError
            If one of them does not come back.
        """

        async def all_run() -> bool:
            return all(process.has_started() for process in self.processes())

        await wait_until(all_run, 'all programs run')
        for entry in self.entries:
            await entry.wait_ready()
