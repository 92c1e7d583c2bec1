"""Counts function calls and microseconds of an entry and of a sidecar by the number of entries.

Measures the choice of a target for a request, and a load report on its way to all entries, without sockets. Run with
``python -m benchmarks.fleet_costs``; prints one JSON document. With ``--profile`` it also prints the functions that
take the most time.
"""

import asyncio
import cProfile
import json
import pstats
import random
import time
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import click
from loguru import logger

from tamarackfield.core import BOOT_CLOCK, Application, new_incarnation
from tamarackfield.gateway.directory import Directory, Target
from tamarackfield.gateway.fleet import Fleet, PlacementRequest
from tamarackfield.gateway.links import ManagerLink
from tamarackfield.gateway.model import BaseModel, Catalog, Engine, Limits, Service, TargetRecord, Versions
from tamarackfield.manager.engine import EngineController
from tamarackfield.manager.server import ManagerServer
from tamarackfield.wire import Hello, encode
from tamarackfield.wire.codec import FrameDecoder
from tamarackfield.wire.messages import Holdings
from tamarackfield.wire.reporting import SentState, send_changed_reports
from tamarackfield.wire.reservations import EngineReport, Facts

ENTRY_COUNTS = (20, 68, 200)
MODEL_TARGETS = 45
PLAIN_TARGETS = 20
ADAPTERS = 400
RESIDENTS = 24
BATCH = 16
REPEATS = 300
REPORTS = 30
_MICROSECONDS_PER_SECOND = 1_000_000
PROFILE_ROWS = 18
#: Profile of each measurement by its name.
PROFILES: dict[str, pstats.Stats] = {}


def make_fleet(rng: random.Random, model_targets: int = MODEL_TARGETS) -> Fleet:
    """Return a fleet whose sidecars have all reported."""
    fleet = Fleet(Application('benchmark'), Directory(), Versions(), make_hello, 1, 'zone-1')
    engine = Engine(BATCH, RESIDENTS, 1000.0, 4.0, (BaseModel('base', 900.0, 10.0),))
    services = {'models': Service('models', 100, engine), 'plain': Service('plain', 100)}
    fleet.catalog = Catalog(1, (), services, Limits(1_000_000, 3.0, 15.0))
    for number in range(model_targets + PLAIN_TARGETS):
        service = 'models' if number < model_targets else 'plain'
        address = (f'10.0.0.{number}', 1)
        fleet.directory.upsert(TargetRecord(f't{number}', service, f'zone-{number % 3}', address, BATCH, False, 1))
        if service == 'models':
            fleet.links[address[0]] = _make_link(fleet, address, rng)
    fleet.refresh_views()
    return fleet


def _make_link(fleet: Fleet, address: tuple[str, int], rng: random.Random) -> ManagerLink:
    link = ManagerLink(address, make_hello, make_no_facts, lambda: fleet._refresh_host(address[0]))
    # Never silent.
    link.stream = SimpleNamespace(last_received_at=BOOT_CLOCK.monotonic() + 1e6, send=len)
    link.holdings = make_holdings(rng)
    link.report = make_report(rng.randrange(BATCH))
    link.reported_at = BOOT_CLOCK.monotonic()
    return link


def make_report(running: int, entries: int = 68) -> EngineReport:
    """Return a load report."""
    return EngineReport(1_800_000_000_000, 1, True, BATCH, running, 2, 24, 4, 250, 900, entries, 120, 40_000, False)


def make_holdings(rng: random.Random) -> Holdings:
    """Return the holdings of a target."""
    return Holdings(['base', *(f'base/a{rng.randrange(ADAPTERS)}@1' for _ in range(RESIDENTS))], ['base/a1'])


def measure_choice(model_targets: int) -> dict[str, float]:
    """Return the costs of the choice of a target for one request."""
    rng = random.Random(1)
    fleet = make_fleet(rng, model_targets)
    requests = [PlacementRequest('models', f'base/a{rng.randrange(ADAPTERS)}', 1e9, 400) for _ in range(REPEATS)]

    def choose_all() -> None:
        for request in requests:
            fleet.choose_target(request, _allow)

    return measure_calls(f'choice, {model_targets} targets', choose_all, REPEATS)


def measure_report_sent(entries: int) -> dict[str, float]:
    """Return the costs of one changed report, from its construction to the write buffers of all entries' streams."""
    controller = EngineController(None)
    server = ManagerServer(controller, make_hello())
    controller.admission.models = frozenset(('base',))
    streams = [server.make_stream(None, MemoryWriter()) for _ in range(entries)]
    server.streams.update(streams)
    sent_states = [SentState() for _ in streams]

    async def send_to_all() -> None:
        for _ in range(REPORTS):
            controller.admission.batch += 1
            server.report_cache_expires_at = 0.0
            for stream, sent in zip(streams, sent_states, strict=True):
                send_changed_reports(stream, sent, server.holdings(), server.report())

    return measure_calls(f'report to {entries}', lambda: asyncio.run(send_to_all()), REPORTS)


def measure_message_received(name: str, messages: list[Any]) -> dict[str, float]:
    """Return the costs of decoding and handling one of some messages of a sidecar at an entry."""
    fleet = make_fleet(random.Random(1))
    link = fleet.links['10.0.0.3']
    frames = [encode(message) for message in messages]

    def receive_all() -> None:
        decoder = FrameDecoder()
        for _ in range(REPEATS):
            for frame in frames:
                for message in decoder.feed(frame):
                    link.handle_message(message)

    return measure_calls(name, receive_all, REPEATS * len(frames))


class MemoryWriter:
    """Writer that drops what it is given."""

    def __init__(self) -> None:
        """Have a transport that is never full."""
        self.transport = SimpleNamespace(get_write_buffer_size=int)

    def get_extra_info(self, name: str) -> None:
        """Return that nothing is known."""

    def is_closing(self) -> bool:
        """Return that the stream is open."""
        return False

    def write(self, content: bytes) -> None:
        """Drop the content."""


def measure_calls(name: str, work: Callable[[], None], count: int) -> dict[str, float]:
    """Return the function calls and the processor time of one of ``count`` operations.

    Parameters
    ----------
    name : str
        Name under which the profile is kept.
    work : callable
        Performs the operations; run three times, the last time under the profiler.
    count : int
        Number of operations in one run.
    """
    work()
    started_at = time.process_time()
    work()
    seconds = time.process_time() - started_at
    profile = cProfile.Profile()
    profile.runcall(work)
    stats = pstats.Stats(profile)
    PROFILES[name] = stats
    figures = {'calls': round(stats.total_calls / count, 1)}
    figures['us'] = round(seconds / count * _MICROSECONDS_PER_SECOND, 1)
    return figures


def print_profile(stats: pstats.Stats) -> None:
    """Print the functions that take the most time."""
    stats.strip_dirs().sort_stats('tottime').print_stats(PROFILE_ROWS)


def make_hello() -> Hello:
    """Return the greeting of a process."""
    return Hello('sidecar', 's1', new_incarnation(), 'zone-1', 1, '')


def make_no_facts() -> Facts | None:
    """Return that nothing is known of a target."""


def _allow(target: Target) -> bool:
    return True


@click.command()
@click.option('--profile', is_flag=True, help='Print the functions that take the most time.')
def main(profile: bool) -> None:
    """Print the costs as JSON."""
    logger.remove()
    rng = random.Random(2)
    reports = [make_report(number) for number in range(8)]
    holdings = [make_holdings(rng) for _ in range(8)]
    figures: dict[str, Any] = {
        f'choice, {MODEL_TARGETS} targets': measure_choice(MODEL_TARGETS),
        f'choice, {MODEL_TARGETS * 3} targets': measure_choice(MODEL_TARGETS * 3),
        'report received': measure_message_received('report received', reports),
        'holdings received': measure_message_received('holdings received', holdings),
    }
    for entries in ENTRY_COUNTS:
        figures[f'report sent to {entries} entries'] = measure_report_sent(entries)
    click.echo(json.dumps(figures, indent=2))
    if profile:
        for name, stats in PROFILES.items():
            click.echo(f'--- {name}')
            print_profile(stats)


if __name__ == '__main__':
    main()
