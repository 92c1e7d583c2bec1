"""Application object of the entry: builds its components, starts them and shuts them down in order."""

import asyncio
import contextlib
from typing import Any

from tamarackfield.bundle import Bundle, TargetEntry
from tamarackfield.core import SYSTEM_CLOCK, Application, new_incarnation
from tamarackfield.core.settings import ADDRESS_SCHEMA
from tamarackfield.core.time_limits import time_limit
from tamarackfield.discovery import BundleFollower, InstanceReader
from tamarackfield.entry.explain import explain_request, explain_route
from tamarackfield.entry.fleet import Fleet
from tamarackfield.entry.handlers import CallerInterface
from tamarackfield.entry.links import Link
from tamarackfield.entry.relay import Relay
from tamarackfield.observe.audit import AuditTrail
from tamarackfield.observe.metrics import Metrics, send_gauges
from tamarackfield.observe.operations import Operations
from tamarackfield.observe.settings import build_program_schema
from tamarackfield.web import HTTP_SCHEMA, HttpLimits, HttpServer
from tamarackfield.wire import Hello, client_context

SETTINGS_SCHEMA = build_program_schema(
    ('listen',),
    {'listen': {**ADDRESS_SCHEMA, 'description': 'where callers connect'}, 'http': HTTP_SCHEMA},
)


#: Upper bound on the wait at start-up for the first load report of each target.
MAX_FIRST_REPORTS_WAIT_SECONDS = 3.0


class Entry:
    """One entry process: its components and their lifecycle.

    Parameters
    ----------
    settings : dict
        Validated settings of the process.
    """

    def __init__(self, settings: dict[str, Any]) -> None:
        """Create the components without starting a task or listening on a port."""
        self.settings = settings
        self.application = Application(settings['instance'])
        self.incarnation = new_incarnation()
        self.metrics = Metrics(settings['instance'], settings['statsd']['host'], settings['statsd']['port'])
        self.audit = AuditTrail()
        self.follower = BundleFollower(
            settings, self.application, self._make_hello, self.audit.record, self.metrics.count
        )
        self.tls_context = client_context(settings['peer_security'])
        self.fleet = Fleet(self.application, self._create_link)
        self.instances = InstanceReader(
            settings['instance_list'],
            self.fleet.observed_targets,
            self.fleet.exclude,
            self.audit.record,
        )
        relay = Relay(self.fleet, settings['zone'], self.metrics)
        self.interface = CallerInterface(lambda: self.follower.bundle, relay, self.is_ready, self.metrics)
        self.server = HttpServer(self.interface.handle, self.interface.on_error, HttpLimits(**settings['http']))
        self.operations = Operations(
            self.status,
            self.is_ready,
            self.audit,
            settings['operations'].get('token_sha256', ''),
        )
        self.operations.pages['/explain'] = self.explain
        self.draining = False
        self.first_reports_done = asyncio.Event()
        self.application.on_start(self.start)
        self.application.on_stop(self.stop)

    def is_ready(self) -> bool:
        """Return whether this entry accepts new requests."""
        return self.follower.ready.is_set() and self.first_reports_done.is_set() and not self.draining

    def explain(self, query: dict[str, str]) -> dict[str, Any]:
        """Answer the page ``/explain`` by the ID of a past request, or by model and caller for a new one."""
        request_id = query.get('request')
        if request_id is not None:
            return explain_request(self.interface.records, request_id)
        model_and_caller = (query.get('model', ''), query.get('caller', ''))
        return explain_route(self.follower.bundle, self.fleet, self.settings['zone'], model_and_caller)

    def status(self) -> dict[str, Any]:
        """Return the state of this process as a dictionary for JSON."""
        return {
            'role': 'entry',
            'instance': self.settings['instance'],
            'incarnation': self.incarnation,
            'ready': self.is_ready(),
            'draining': self.draining,
            **self.follower.status(),
            'port': self.server.port,
            'busy': len(self.server.busy),
            'connections': len(self.server.busy) + len(self.server.idle),
            'buffered_bytes': self.server.budget.reserved_bytes,
            'written_off': sorted(self.fleet.excluded),
            'listed_as_leaving': len(self.instances.leaving_targets.marked_incarnations),
            'targets': {
                name: {'usable': link.usable, 'draining': link.draining, 'outstanding': len(link.exchanges)}
                for name, link in self.fleet.links.items()
            },
        }

    async def start(self) -> None:
        """Listen, then subscribe to bundles; the entry can become ready only once a bundle is in force."""
        operations = self.settings['operations']['listen']
        await self.operations.server.listen(operations['host'], operations['port'])
        await self.server.listen(self.settings['listen']['host'], self.settings['listen']['port'])
        self.follower.on_bundle(self._apply_bundle)
        self.application.spawn(send_gauges(self.metrics, self._read_gauges), 'gauges')
        await self.follower.start()
        if self.settings['instance_list']:
            self.application.spawn(self.instances.run(), 'instance-list')

    def _read_gauges(self) -> dict[str, float]:
        connected = sum(link.stream is not None for link in self.fleet.links.values())
        return {'peer_streams': connected, 'bundle_watching': self.follower.watch_task is not None}

    def _apply_bundle(self, bundle: Bundle) -> None:
        self.metrics.gauge('bundle_number', bundle.number)
        self.fleet.apply_bundle(bundle)
        if not self.first_reports_done.is_set():
            self.application.spawn(self._wait_for_first_reports(), 'first-links')

    async def _wait_for_first_reports(self) -> None:
        """Accept requests once each target of the first bundle has reported or failed, or the wait times out."""
        attempts = [link.first_attempt_done.wait() for link in self.fleet.links.values()]
        with contextlib.suppress(TimeoutError):
            async with time_limit(MAX_FIRST_REPORTS_WAIT_SECONDS):
                await asyncio.gather(*attempts)
        self.first_reports_done.set()

    def _create_link(self, target: TargetEntry) -> Link:
        return Link(target, self._make_hello, self.tls_context, lambda: self.metrics.count('late_frames'))

    def _make_hello(self) -> Hello:
        settings = self.settings
        return Hello('entry', settings['instance'], self.incarnation, settings['zone'], SYSTEM_CLOCK.unix_ms(), '')

    async def stop(self) -> None:
        """Fail the readiness check, let the load balancer drain this entry, then finish the requests in flight."""
        self.draining = True
        self.server.disable_keep_alive()
        self.audit.record('drain', reason='shutdown')
        await asyncio.sleep(self.settings['drain_seconds'])
        await self.server.shutdown()
        await self.operations.server.shutdown()


def build(settings: dict[str, Any]) -> Application:
    """Build the application of an entry process."""
    return Entry(settings).application
