"""Keeps the newest bundle in force, received from the configuration service or from peers.

A starting process reads from both. The store owns the bundle and the mesh owns the streams to peers;
the disseminator exchanges bundles over these streams. The election decides whether this process
watches the configuration service, and the watcher performs the watch.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from tamarackfield.bundle import Bundle
from tamarackfield.core import SYSTEM_CLOCK, Application
from tamarackfield.discovery.addresses import AddressBook
from tamarackfield.discovery.configuration import ConfigurationClient
from tamarackfield.discovery.dissemination import OFFER_INTERVAL_SECONDS, BundleDisseminator
from tamarackfield.discovery.election import WatchElection
from tamarackfield.discovery.mesh import Mesh, MeshHandlers, MeshIdentity, Neighbour
from tamarackfield.discovery.store import AuditRecorder, BundleStore
from tamarackfield.discovery.watcher import ServiceWatcher
from tamarackfield.wire import Hello, Message, client_context, server_context
from tamarackfield.wire.dissemination import WatchBeat

#: Peers whose bundle must be known, and not newer, before a starting process is ready; fewer suffice once
#: all seeds were tried.
MIN_START_PEERS = 3
#: Time from the start after which a process that has a bundle no longer waits for peers.
START_WAIT_SECONDS = 5.0
#: Interval between two steps of the election.
ELECTION_STEP_SECONDS = 0.1
#: Randomly chosen neighbours that get an offer in each `OFFER_INTERVAL_SECONDS`.
OFFERED_NEIGHBOURS = 2
#: Consecutive failures after which a watcher resigns.
FAILURES_BEFORE_RESIGNATION = 4
#: Bounds of the time after a resignation during which the process may not become a candidate.
SUSPENSION_SECONDS = (2.5, 4.0)
_START_POLL_SECONDS = 0.02


class BundleFollower:
    """Keeps the newest bundle in force for one process.

    Parameters
    ----------
    settings : dict
        Validated settings of the program.
    application : Application
        Application that owns the tasks.
    hello : callable
        Returns the hello message of this process.
    record : callable
        Records the action and details of each change in the audit trail.
    count : callable
        Increments the metric of a given name.
    """

    def __init__(
        self,
        settings: dict[str, Any],
        application: Application,
        hello: Callable[[], Hello],
        record: AuditRecorder,
        count: Callable[[str], None],
    ) -> None:
        """Create all components without starting a task."""
        self.settings = settings
        self.application = application
        self.record = record
        self.hello = hello
        self.rng = random.Random()
        self.ready = asyncio.Event()
        self.listeners: list[Callable[[Bundle], None]] = []
        self.store = BundleStore(frozenset(settings['trusted_keys']), record, count)
        self.client = ConfigurationClient(settings['configuration_service'])
        self.watcher = ServiceWatcher(self.client, self.store, self._handle_watch_failure)
        self.watch_task: asyncio.Task[None] | None = None
        self.address_book = AddressBook(_get_own_address(settings), settings.get('peers', ()), self.rng)
        self.mesh = Mesh(
            application,
            MeshIdentity(
                hello,
                settings['zone'],
                client_context(settings['peer_security']),
                server_context(settings['peer_security']),
            ),
            self.address_book,
            MeshHandlers(self._on_opened, self._on_received, self._on_closed),
        )
        self.disseminator = BundleDisseminator(self.store, lambda: self.mesh.neighbours)
        self.election: WatchElection | None = None
        self.store.listeners.append(self._notify_if_ready)
        application.on_stop(self.mesh.stop)

    @property
    def bundle(self) -> Bundle | None:
        """The bundle in force; None until this process is ready."""
        return self.store.acceptance.bundle if self.ready.is_set() else None

    def on_bundle(self, listener: Callable[[Bundle], None]) -> None:
        """Register a function that is called with each bundle put in force once this process is ready."""
        self.listeners.append(listener)

    def status(self) -> dict[str, Any]:
        """Return the bundle's part of the status page, ready for JSON."""
        sent, received = self.mesh.count_stream_bytes()
        return {
            'bundle': self.store.number,
            'bundle_digest': self.store.digest.hex(),
            'bundle_since_unix_ms': self.store.in_force_since_unix_ms,
            'bundle_source': self.store.source,
            'bundle_watching': self.watch_task is not None,
            'bundle_peers': len(self.mesh.neighbours),
            'configuration_calls': self.client.calls,
            'bundle_bytes_sent': sent,
            'bundle_bytes_received': received,
        }

    async def start(self) -> None:
        """Listen for peers and start all tasks."""
        hello = self.hello()
        self.election = WatchElection(self.settings['zone'], f'{hello.instance}/{hello.incarnation}')
        listen = self.settings.get('peer_listen')
        if listen is not None:
            await self.mesh.listen(listen['host'], listen['port'])
        self.application.spawn(self.mesh.run(), 'mesh')
        self.application.spawn(self._run_election(), 'bundle-election')
        self.application.spawn(self._send_offers(), 'bundle-offers')
        self.application.spawn(self._wait_until_ready(), 'bundle-start')

    async def _wait_until_ready(self) -> None:
        """Read from the service and from peers; become ready with the highest number that either has."""
        expires_at = SYSTEM_CLOCK.monotonic() + START_WAIT_SECONDS
        await self.watcher.read_once(with_shards=not self.address_book.seeds)
        while self.store.number == 0 or not self._is_start_complete(expires_at):
            await asyncio.sleep(_START_POLL_SECONDS)
        self.ready.set()
        self._notify_listeners(self.store.acceptance.bundle)

    def _is_start_complete(self, expires_at: float) -> bool:
        if not self.address_book.seeds:
            return True
        if SYSTEM_CLOCK.monotonic() >= expires_at:
            self.record(
                'bundle_start_wait_over', peers=self.disseminator.count_neighbours_not_ahead(), number=self.store.number
            )
            return True
        if self.store.number < self.watcher.service_number:
            return False
        neighbours_not_ahead = self.disseminator.count_neighbours_not_ahead()
        return neighbours_not_ahead >= MIN_START_PEERS or bool(
            neighbours_not_ahead and self.address_book.all_seeds_tried()
        )

    def _notify_if_ready(self, bundle: Bundle, source: str) -> None:
        if self.ready.is_set():
            self._notify_listeners(bundle)

    def _notify_listeners(self, bundle: Bundle) -> None:
        for listener in self.listeners:
            listener(bundle)

    async def _run_election(self) -> None:
        while True:
            now = SYSTEM_CLOCK.monotonic()
            heartbeat = self.election.run_step(now)
            if heartbeat is not None:
                self.mesh.broadcast(heartbeat, zone=self.election.zone)
            self._apply_election(now)
            await asyncio.sleep(ELECTION_STEP_SECONDS)

    def _apply_election(self, now: float) -> None:
        may_call = self.election.may_call(now)
        if may_call and self.watch_task is None:
            self.watch_task = self.application.spawn(self.watcher.run(), 'bundle-watch')
        elif not may_call and self.watch_task is not None:
            self.watch_task.cancel()
            self.watch_task = None

    def _handle_watch_failure(self, failures: int) -> None:
        if failures % FAILURES_BEFORE_RESIGNATION == 0:
            self.election.suspend(SYSTEM_CLOCK.monotonic() + self.rng.uniform(*SUSPENSION_SECONDS))

    async def _send_offers(self) -> None:
        while True:
            neighbours = list(self.mesh.neighbours)
            for neighbour in self.rng.sample(neighbours, min(OFFERED_NEIGHBOURS, len(neighbours))):
                neighbour.send(self.disseminator.make_offer())
            await asyncio.sleep(OFFER_INTERVAL_SECONDS * self.rng.uniform(0.5, 1))

    def _on_opened(self, neighbour: Neighbour) -> None:
        self.disseminator.add_neighbour(neighbour)

    def _on_closed(self, neighbour: Neighbour) -> None:
        self.disseminator.remove_neighbour(neighbour)

    def _on_received(self, neighbour: Neighbour, message: Message) -> None:
        if not isinstance(message, WatchBeat):
            self.disseminator.handle_message(neighbour, message)
        elif self.election.receive_heartbeat(message, SYSTEM_CLOCK.monotonic()):
            self.mesh.broadcast(message, zone=self.election.zone, skip=neighbour)


def _get_own_address(settings: dict[str, Any]) -> str:
    listen = settings.get('peer_listen')
    if 'peer_advertise' in settings or listen is None:
        return settings.get('peer_advertise', '')
    host = listen['host']
    return f'[{host}]:{listen["port"]}' if ':' in host else f'{host}:{listen["port"]}'
