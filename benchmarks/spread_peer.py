"""A light process that runs only the real following and spreading of bundles.

Its settings come as one JSON argument. It prints a line when it is ready and a report at its end.
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
    """One process of the fleet and the times at which bundles came in force in it."""

    def __init__(self, settings: dict[str, Any]) -> None:
        """Wire the follower; nothing runs yet."""
        self.settings = settings
        self.application = Application(settings['instance'])
        self.incarnation = new_incarnation()
        self.accepted: dict[int, float] = {}
        self.follower = BundleFollower(
            settings,
            self.application,
            self.hello,
            AuditTrail().record,
            lambda name: None,
        )
        self.ready_cpu = 0.0
        self.ready_at = 0.0
        self.streams = 0
        self.ready_traffic = (0, 0)
        self.follower.on_bundle(self.note)
        self.application.on_start(self.follower.start)
        self.application.on_stop(self.report)

    def hello(self) -> Hello:
        """Return this process's hello."""
        settings = self.settings
        return Hello('peer', settings['instance'], self.incarnation, settings['zone'], SYSTEM_CLOCK.unix_ms(), '')

    def note(self, bundle: Bundle) -> None:
        """Note when a bundle came in force."""
        self.accepted[bundle.number] = time.time()
        if not self.ready_at:
            click.echo('ready')
            self.application.spawn(self.settle(), 'settle')

    async def settle(self) -> None:
        """Start counting some seconds after the start, when streams are up."""
        self.ready_at = time.time()
        await asyncio.sleep(self.settings['settle_seconds'])
        self.ready_at = time.time()
        self.ready_cpu = time.process_time()
        self.ready_traffic = self.follower.mesh.count_stream_bytes()
        self.streams = len(self.follower.mesh.neighbours)

    async def report(self) -> None:
        """Print what this process did since it settled."""
        elapsed = time.time() - self.ready_at
        sent, received = self.follower.mesh.count_stream_bytes()
        document = {
            'accepted': self.accepted,
            'number': self.follower.store.number,
            'calls': self.follower.client.calls,
            'streams': self.streams,
            'sent_per_second': (sent - self.ready_traffic[0]) / elapsed,
            'received_per_second': (received - self.ready_traffic[1]) / elapsed,
            'cpu_share': (time.process_time() - self.ready_cpu) / elapsed,
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
