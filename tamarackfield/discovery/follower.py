"""Keeps the newest bundle in force: from the configuration service, from peers, from both at start.

Parts: the store owns the bundle, the mesh the streams to peers, the spreader talks about bundles
over them, the election says whether this process watches the service, the watcher does so.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from tamarackfield.bundle import Bundle
from tamarackfield.core import SYSTEM_CLOCK, Application
from tamarackfield.discovery.addresses import AddressBook
from tamarackfield.discovery.configuration import ConfigurationClient
from tamarackfield.discovery.election import WatchElection
from tamarackfield.discovery.mesh import Mesh, MeshHandlers, MeshIdentity, Neighbour
from tamarackfield.discovery.spreading import OFFER_INTERVAL, Spreader
from tamarackfield.discovery.store import BundleStore, Record
from tamarackfield.discovery.watcher import ServiceWatcher
from tamarackfield.wire import Hello, Message, client_context, server_context
from tamarackfield.wire.spreading import WatchBeat

#: Peers that are asked before a starting process is ready.
START_PEERS = 3
#: Longest time that a starting process waits for peers, in seconds.
START_WAIT = 5.0
#: Seconds between two steps of the election.
STEP_INTERVAL = 0.1
#: Neighbours that get an offer in each interval.
OFFERED_NEIGHBOURS = 2
#: Failures in a row after which a watcher resigns, and how long it rests, in seconds.
MAX_FAILURES = 4
REST_SECONDS = (2.5, 4.0)
_START_POLL = 0.02


class BundleFollower:
    """Keeps a bundle in force for one process.

    Parameters
    ----------
    settings : dict
        Checked settings of the program.
    application : Application
        Owner of the tasks.
    hello : callable
        Returns this process's hello.
    record : callable
        Takes the action and details of each change, for the audit trail.
    count : callable
        Adds one to a metric.
    """

    def __init__(
        self,
        settings: dict[str, Any],
        application: Application,
        hello: Callable[[], Hello],
        record: Record,
        count: Callable[[str], None],
    ) -> None:
        """Build every part; nothing runs yet."""
        self.settings = settings
        self.application = application
        self.record = record
        self.hello = hello
        self.rng = random.Random()
        self.ready = asyncio.Event()
        self.listeners: list[Callable[[Bundle], None]] = []
        self.store = BundleStore(frozenset(settings['trusted_keys']), record, count)
        self.client = ConfigurationClient(settings['configuration_service'])
        self.watcher = ServiceWatcher(self.client, self.store, self._after_failure)
        self.watching: asyncio.Task[None] | None = None
        self.book = AddressBook(_own_address(settings), settings.get('peers', ()), self.rng)
        self.mesh = Mesh(
            application,
            MeshIdentity(
                hello,
                settings['zone'],
                client_context(settings['peer_security']),
                server_context(settings['peer_security']),
            ),
            self.book,
            MeshHandlers(self._opened, self._received, self._closed),
        )
        self.spreader = Spreader(self.store, lambda: self.mesh.neighbours)
        self.election: WatchElection | None = None
        self.store.listeners.append(self._announce)
        application.on_stop(self.mesh.stop)

    @property
    def bundle(self) -> Bundle | None:
        """The bundle in force, None before the first."""
        return self.store.acceptance.bundle if self.ready.is_set() else None

    def on_bundle(self, listener: Callable[[Bundle], None]) -> None:
        """Call a function with each bundle that comes in force."""
        self.listeners.append(listener)

    def status(self) -> dict[str, Any]:
        """Return what operators see of the bundle, ready for JSON."""
        sent, received = self.mesh.traffic()
        return {
            'bundle': self.store.number,
            'bundle_digest': self.store.digest.hex(),
            'bundle_since_unix_ms': self.store.since_unix_ms,
            'bundle_source': self.store.source,
            'bundle_watching': self.watching is not None,
            'bundle_peers': len(self.mesh.neighbours),
            'configuration_calls': self.client.calls,
            'bundle_bytes_sent': sent,
            'bundle_bytes_received': received,
        }

    async def start(self) -> None:
        """Listen for peers and start every task."""
        hello = self.hello()
        self.election = WatchElection(self.settings['zone'], f'{hello.instance}/{hello.incarnation}')
        listen = self.settings.get('peer_listen')
        if listen is not None:
            await self.mesh.listen(listen['host'], listen['port'])
        self.application.spawn(self.mesh.run(), 'mesh')
        self.application.spawn(self._step(), 'bundle-election')
        self.application.spawn(self._offer(), 'bundle-offers')
        self.application.spawn(self._become_ready(), 'bundle-start')

    async def _become_ready(self) -> None:
        """Ask the service and the peers, and be ready with the highest number that either gave."""
        expires_at = SYSTEM_CLOCK.monotonic() + START_WAIT
        await self.watcher.ask_once(with_shards=not self.book.seeds)
        while self.store.number == 0 or not self._peers_asked(expires_at):
            await asyncio.sleep(_START_POLL)
        self.ready.set()
        self._tell_listeners(self.store.acceptance.bundle)

    def _peers_asked(self, expires_at: float) -> bool:
        if not self.book.seeds:
            return True
        if SYSTEM_CLOCK.monotonic() >= expires_at:
            self.record('bundle_start_wait_over', peers=self.spreader.resolved(), number=self.store.number)
            return True
        if self.store.number < self.watcher.asked_number:
            return False
        resolved = self.spreader.resolved()
        return resolved >= START_PEERS or bool(resolved and self.book.all_tried())

    def _announce(self, bundle: Bundle, source: str) -> None:
        if self.ready.is_set():
            self._tell_listeners(bundle)

    def _tell_listeners(self, bundle: Bundle) -> None:
        for listener in self.listeners:
            listener(bundle)

    async def _step(self) -> None:
        while True:
            now = SYSTEM_CLOCK.monotonic()
            beat = self.election.step(now)
            if beat is not None:
                self.mesh.send_all(beat, zone=self.election.zone)
            self._follow_election(now)
            await asyncio.sleep(STEP_INTERVAL)

    def _follow_election(self, now: float) -> None:
        may_call = self.election.may_call(now)
        if may_call and self.watching is None:
            self.watching = self.application.spawn(self.watcher.run(), 'bundle-watch')
        elif not may_call and self.watching is not None:
            self.watching.cancel()
            self.watching = None

    def _after_failure(self, failures: int) -> None:
        if failures % MAX_FAILURES == 0:
            self.election.rest(SYSTEM_CLOCK.monotonic() + self.rng.uniform(*REST_SECONDS))

    async def _offer(self) -> None:
        while True:
            neighbours = list(self.mesh.neighbours)
            for neighbour in self.rng.sample(neighbours, min(OFFERED_NEIGHBOURS, len(neighbours))):
                neighbour.send(self.spreader.offer())
            await asyncio.sleep(OFFER_INTERVAL * self.rng.uniform(0.5, 1))

    def _opened(self, neighbour: Neighbour) -> None:
        self.spreader.open(neighbour)

    def _closed(self, neighbour: Neighbour) -> None:
        self.spreader.close(neighbour)

    def _received(self, neighbour: Neighbour, message: Message) -> None:
        if not isinstance(message, WatchBeat):
            self.spreader.take(neighbour, message)
        elif self.election.hear(message, SYSTEM_CLOCK.monotonic()):
            self.mesh.send_all(message, zone=self.election.zone, skip=neighbour)


def _own_address(settings: dict[str, Any]) -> str:
    listen = settings.get('peer_listen')
    if 'peer_advertise' in settings or listen is None:
        return settings.get('peer_advertise', '')
    host = listen['host']
    return f'[{host}]:{listen["port"]}' if ':' in host else f'{host}:{listen["port"]}'
