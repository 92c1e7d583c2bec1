"""Application of the sidecar: construction, start and ordered shutdown."""

import asyncio
from typing import Any

from loguru import logger

from tamarackfield.bundle import Bundle
from tamarackfield.core import SYSTEM_CLOCK, Application, ConnectionServer, new_incarnation
from tamarackfield.core.problems import split_address
from tamarackfield.core.settings import ADDRESS_SCHEMA, PEER_SCHEMA
from tamarackfield.discovery import BundleFollower
from tamarackfield.observe.audit import AuditTrail
from tamarackfield.observe.metrics import Metrics, send_gauges
from tamarackfield.observe.operations import Operations
from tamarackfield.observe.settings import build_program_schema
from tamarackfield.sidecar.bundle_policy import apply_bundle_policy, make_scheduler
from tamarackfield.sidecar.engine import EngineClient
from tamarackfield.sidecar.engine_tasks import poll_status
from tamarackfield.sidecar.home_tracker import HomeTracker
from tamarackfield.sidecar.keyed_dispatch import make_run_call
from tamarackfield.sidecar.peer_server import DEFAULT_MAX_STREAMS, PeerServer
from tamarackfield.sidecar.target import LocalTarget
from tamarackfield.sidecar.worker import TargetWorker
from tamarackfield.wire import Hello, client_context, server_context

#: Time after the drain at shutdown in which requests that entries sent before they were notified are still refused.
DRAIN_LINGER_SECONDS = 0.5
#: Reason of a drain that ends when a bundle contains the target again.
REMOVED_DRAIN_REASON = 'removed from the bundle'

SETTINGS_SCHEMA = build_program_schema(
    ('target', 'target_address', 'listen'),
    {
        'target': {'type': 'string', 'minLength': 1, 'description': 'name of the target in the bundle'},
        'target_address': {**PEER_SCHEMA, 'description': 'where the target listens'},
        'listen': {**ADDRESS_SCHEMA, 'description': 'where entries connect'},
        'max_peer_streams': {
            'type': 'integer',
            'minimum': 1,
            'default': DEFAULT_MAX_STREAMS,
            'description': 'streams from entries that are open at once',
        },
    },
)


class Sidecar:
    """Constructs and connects the components of one sidecar.

    Parameters
    ----------
    settings : dict
        Validated settings.
    """

    def __init__(self, settings: dict[str, Any]) -> None:
        """Construct the components; nothing runs yet."""
        self.settings = settings
        self.application = Application(settings['instance'])
        self.incarnation = new_incarnation()
        self.metrics = Metrics(settings['instance'], settings['statsd']['host'], settings['statsd']['port'])
        self.audit = AuditTrail()
        self.follower = BundleFollower(settings, self.application, self._hello, self.audit.record, self.metrics.count)
        self.home_tracker = HomeTracker(
            settings['target'],
            self.incarnation,
            self._hello,
            client_context(settings['peer_security']),
        )
        self.peers: PeerServer | None = None
        self.server: ConnectionServer | None = None
        self.operations = Operations(
            self.status,
            self.is_ready,
            self.audit,
            settings['operations'].get('token_sha256', ''),
        )
        self.operations.commands['/drain'] = self.drain
        self.operations.commands['/first-start'] = self.declare_first_start
        self.application.on_start(self.start)
        self.application.on_stop(self.stop)

    def is_ready(self) -> bool:
        """Return whether the target accepts new requests through this sidecar."""
        return self.peers is not None and self.server is not None and self.peers.report().ready

    def status(self) -> dict[str, Any]:
        """Return the state of this process, ready for JSON."""
        document: dict[str, Any] = {
            'role': 'sidecar',
            'instance': self.settings['instance'],
            'target': self.settings['target'],
            'incarnation': self.incarnation,
            'ready': self.is_ready(),
            **self.follower.status(),
        }
        if self.peers is not None:
            report = self.peers.report()
            holdings = self.peers.holdings()
            document |= {name: getattr(report, name) for name in ('batch', 'running', 'queued')}
            document |= {'residents': holdings.residents, 'loading': holdings.loading}
            document['draining'] = self.peers.draining
            document['streams'] = len(self.peers.streams)
        return document

    async def drain(self) -> dict[str, Any]:
        """Refuse new requests, on command of an operator."""
        if self.peers is not None:
            self.peers.drain('operator')
        self.audit.record('drain', reason='operator')
        return {'draining': True}

    async def declare_first_start(self) -> dict[str, Any]:
        """Run keys without a record from now on: an operator declares that no key ran before this process started."""
        if self.home_tracker.coverage is not None:
            self.home_tracker.coverage.first_start_declared = True
        self.audit.record('first_start_declared', incarnation=self.incarnation)
        return {'declared': self.home_tracker.coverage is not None}

    async def start(self) -> None:
        """Start the operations server, wait for a bundle, then serve entries."""
        listen = self.settings['operations']['listen']
        await self.operations.server.listen(listen['host'], listen['port'])
        self.follower.on_bundle(self._apply_bundle)
        self.application.spawn(send_gauges(self.metrics, self._gauges), 'gauges')
        await self.follower.start()

    def _gauges(self) -> dict[str, float]:
        gauges: dict[str, float] = {'bundle_watching': self.follower.watch_task is not None}
        if self.peers is not None:
            report = self.peers.report()
            gauges['peer_streams'] = len(self.peers.streams)
            gauges['queue_length'] = report.queued
            gauges['batch_fill'] = report.running / report.batch
        return gauges

    def _apply_bundle(self, bundle: Bundle) -> None:
        self.metrics.gauge('bundle_number', bundle.number)
        self.home_tracker.apply_bundle(bundle)
        if self.peers is None:
            self._build_target(bundle)
            self.application.spawn(self._listen(), 'serve')
            return
        target_entry = bundle.targets.get(self.settings['target'])
        if target_entry is None:
            self.peers.drain(REMOVED_DRAIN_REASON)
            self.audit.record('drain', reason=REMOVED_DRAIN_REASON)
            return
        if self.peers.resume(REMOVED_DRAIN_REASON):
            self.audit.record('resume', reason='in the bundle again')
        scheduler = self.peers.target.worker.scheduler
        apply_bundle_policy(scheduler, bundle, target_entry)

    def _build_target(self, bundle: Bundle) -> None:
        name = self.settings['target']
        target_entry = bundle.targets.get(name)
        if target_entry is None:
            self.audit.record('target_unknown', target=name)
            return
        address = split_address(self.settings['target_address'])
        scheduler = make_scheduler(bundle, target_entry)
        engine = EngineClient(address) if target_entry.kind == 'engine' else None
        worker = TargetWorker(self.application, scheduler, engine, self.audit, self.metrics)
        worker.name = name
        keyed = self.home_tracker.make_keyed_calls(make_run_call(name, address, worker))
        target = LocalTarget(name, address, worker, keyed, self.incarnation)
        self.peers = PeerServer(target, self._hello, self.settings['max_peer_streams'])
        self.application.spawn(worker.run(), 'worker')
        self.application.spawn(poll_status(worker), 'poll')

    async def _listen(self) -> None:
        if self.peers is None:
            return
        listen = self.settings['listen']
        context = server_context(self.settings['peer_security'])
        host, port = listen['host'], listen['port']
        server = ConnectionServer(self.peers.handle_connection)
        try:
            await server.listen(host, port, ssl=context)
        except OSError as exc:
            logger.bind(step='listen', peer=f'{host}:{port}', error=repr(exc)).error('cannot_listen')
            self.application.request_stop()
            return
        self.server = server

    def _hello(self) -> Hello:
        return Hello(
            'sidecar',
            self.settings['instance'],
            self.incarnation,
            self.settings['zone'],
            SYSTEM_CLOCK.unix_ms(),
            self.settings['target'],
        )

    async def stop(self) -> None:
        """Drain, wait for the running requests to end, then close."""
        if self.peers is not None:
            self.peers.drain('shutdown')
            self.audit.record('drain', reason='shutdown')
            await asyncio.sleep(DRAIN_LINGER_SECONDS)
            await self.peers.wait_idle()
            for stream in list(self.peers.streams):
                await stream.finish()
        if self.server is not None:
            await self.server.close()
        await self.operations.server.shutdown()


def build(settings: dict[str, Any]) -> Application:
    """Return the application of a sidecar."""
    return Sidecar(settings).application
