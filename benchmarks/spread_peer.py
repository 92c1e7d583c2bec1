"""A minimal process that only follows and distributes bundles, with the production code.

Its settings are one JSON argument. It prints a line when it is ready and a report when it stops.
"""

import asyncio
import json
import time
from typing import Any

import click
import psutil

from tamarackfield.bundle import Bundle
from tamarackfield.core import SYSTEM_CLOCK, Application, new_incarnation
from tamarackfield.discovery import BundleFollower
from tamarackfield.observe.audit import AuditTrail
from tamarackfield.observe.logs import configure_logs
from tamarackfield.wire import Hello


class SpreadPeer:
    """One process of the fleet and the times at which bundles came into force in it."""

    def __init__(self, settings: dict[str, Any]) -> None:
        """Create the bundle follower without starting it."""
        self.settings = settings
        self.application = Application(settings['instance'])
        self.incarnation = new_incarnation()
        self.accepted: dict[int, float] = {}
        self.follower = BundleFollower(
            settings,
            self.application,
            self.make_hello,
            AuditTrail().record,
            lambda name: None,
        )
        self.cpu_seconds_at_start = 0.0
        self.started_at = 0.0
        self.streams = 0
        self.traffic_at_start = (0, 0)
        self.follower.on_bundle(self.record_bundle)
        self.application.on_start(self.follower.start)
        self.application.on_stop(self.print_report)

    def make_hello(self) -> Hello:
        """Return the Hello message of this process."""
        settings = self.settings
        return Hello('peer', settings['instance'], self.incarnation, settings['zone'], SYSTEM_CLOCK.unix_ms(), '')

    def record_bundle(self, bundle: Bundle) -> None:
        """Record the time at which a bundle came into force."""
        self.accepted[bundle.number] = time.time()
        if not self.started_at:
            click.echo('ready')
            self.application.spawn(self.begin_measurement(), 'settle')

    async def begin_measurement(self) -> None:
        """Start the measurement after the settling time, when streams are connected."""
        self.started_at = time.time()
        await asyncio.sleep(self.settings['settle_seconds'])
        self.started_at = time.time()
        self.cpu_seconds_at_start = time.process_time()
        self.traffic_at_start = self.follower.mesh.count_stream_bytes()
        self.streams = len(self.follower.mesh.neighbours)

    async def print_report(self) -> None:
        """Print the activity of this process since the settling time."""
        elapsed = time.time() - self.started_at
        sent, received = self.follower.mesh.count_stream_bytes()
        document = {
            'accepted': self.accepted,
            'number': self.follower.store.number,
            'calls': self.follower.client.calls,
            'streams': self.streams,
            'sent_per_second': (sent - self.traffic_at_start[0]) / elapsed,
            'received_per_second': (received - self.traffic_at_start[1]) / elapsed,
            'cpu_share': (time.process_time() - self.cpu_seconds_at_start) / elapsed,
            'rss_mib': psutil.Process().memory_info().rss / 1024 / 1024,
        }
        click.echo(json.dumps(document))


@click.command()
@click.argument('settings')
def main(settings: str) -> None:
    """Run one process of the fleet until it is terminated."""
    configure_logs('peer', 'ERROR')
    peer = SpreadPeer(json.loads(settings))
    asyncio.run(peer.application.run())


if __name__ == '__main__':
    main()
