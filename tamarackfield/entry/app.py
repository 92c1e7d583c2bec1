"""The entry's application object: what it starts and in which order it stops."""

import asyncio
import contextlib
from typing import Any

from tamarackfield.bundle import Bundle, TargetEntry
from tamarackfield.core import SYSTEM_CLOCK, Application, new_incarnation
from tamarackfield.core.settings import ADDRESS_SCHEMA
from tamarackfield.discovery import BundleFollower, InstanceReader
from tamarackfield.entry.explain import explain_request, explain_route
from tamarackfield.entry.fleet import Fleet
from tamarackfield.entry.handlers import CallerInterface
from tamarackfield.entry.links import Link
from tamarackfield.entry.relay import Relay
from tamarackfield.observe.audit import AuditTrail
from tamarackfield.observe.metrics import Metrics, send_gauges
from tamarackfield.observe.operations import Operations
from tamarackfield.observe.settings import program_schema
from tamarackfield.web import HTTP_SCHEMA, HttpLimits, HttpServer
from tamarackfield.wire import Hello, client_context

SETTINGS_SCHEMA = program_schema(
    ('listen',),
    {'listen': {**ADDRESS_SCHEMA, 'description': 'where callers connect'}, 'http': HTTP_SCHEMA},
)


#: Longest time that an entry waits at its start for the first report of each target, in seconds.
FIRST_LINKS_SECONDS = 3.0


class Entry:
    """Wires one entry together.

    Parameters
    ----------
    settings : dict
        Checked settings.
    """

    def __init__(self, settings: dict[str, Any]) -> None:
        """Build every part; nothing runs yet."""
        self.settings = settings
        self.application = Application(settings['instance'])
        self.incarnation = new_incarnation()
        self.metrics = Metrics(settings['instance'], settings['statsd']['host'], settings['statsd']['port'])
        self.audit = AuditTrail()
        self.follower = BundleFollower(settings, self.application, self._hello, self.audit.record, self.metrics.count)
        self.context = client_context(settings['peer_security'])
        self.fleet = Fleet(self.application, self._make_link)
        self.instances = InstanceReader(
            settings['instance_list'],
            self.fleet.observed_targets,
            self.fleet.write_off,
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
        self.linked = asyncio.Event()
        self.application.on_start(self.start)
        self.application.on_stop(self.stop)

    def is_ready(self) -> bool:
        """Tell whether this entry takes new work."""
        return self.follower.ready.is_set() and self.linked.is_set() and not self.draining

    def explain(self, asked: dict[str, str]) -> dict[str, Any]:
        """Answer the page ``/explain``: by the id of a request, or by model and caller."""
        request_id = asked.get('request')
        if request_id is not None:
            return explain_request(self.interface.records, request_id)
        named = (asked.get('model', ''), asked.get('caller', ''))
        return explain_route(self.follower.bundle, self.fleet, self.settings['zone'], named)

    def status(self) -> dict[str, Any]:
        """Return the state of this process, ready for JSON."""
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
            'buffered_bytes': self.server.budget.held,
            'written_off': sorted(self.fleet.written_off),
            'listed_as_leaving': len(self.instances.leaving_targets.marked_incarnations),
            'targets': {
                name: {'usable': link.usable, 'draining': link.draining, 'outstanding': len(link.exchanges)}
                for name, link in self.fleet.links.items()
            },
        }

    async def start(self) -> None:
        """Listen, then follow the bundle; the entry is ready once one is in force."""
        operations = self.settings['operations']['listen']
        await self.operations.server.listen(operations['host'], operations['port'])
        await self.server.listen(self.settings['listen']['host'], self.settings['listen']['port'])
        self.follower.on_bundle(self._apply)
        self.application.spawn(send_gauges(self.metrics, self._gauges), 'gauges')
        await self.follower.start()
        if self.settings['instance_list']:
            self.application.spawn(self.instances.run(), 'instance-list')

    def _gauges(self) -> dict[str, float]:
        connected = sum(link.stream is not None for link in self.fleet.links.values())
        return {'peer_streams': connected, 'bundle_watching': self.follower.watching is not None}

    def _apply(self, bundle: Bundle) -> None:
        self.metrics.gauge('bundle_number', bundle.number)
        self.fleet.apply(bundle)
        if not self.linked.is_set():
            self.application.spawn(self._wait_links(), 'first-links')

    async def _wait_links(self) -> None:
        """Take work once each target of the first bundle was reached or failed, or after a bounded wait."""
        attempts = [link.attempted.wait() for link in self.fleet.links.values()]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_LINKS_SECONDS):
                await asyncio.gather(*attempts)
        self.linked.set()

    def _make_link(self, target: TargetEntry) -> Link:
        return Link(target, self._hello, self.context, lambda: self.metrics.count('late_frames'))

    def _hello(self) -> Hello:
        settings = self.settings
        return Hello('entry', settings['instance'], self.incarnation, settings['zone'], SYSTEM_CLOCK.unix_ms(), '')

    async def stop(self) -> None:
        """Fail readiness, wait for the balancer, then finish what runs."""
        self.draining = True
        self.server.retire()
        self.audit.record('drain', reason='shutdown')
        await asyncio.sleep(self.settings['drain_seconds'])
        await self.server.shutdown()
        await self.operations.server.shutdown()


def build(settings: dict[str, Any]) -> Application:
    """Build the application of an entry."""
    return Entry(settings).application
