"""Periodic maintenance of an entry: idle connections, vanished targets, load shedding, suspensions of the machine."""

import asyncio
import math

from loguru import logger

from tamarackfield.core import BOOT_CLOCK, SYSTEM_CLOCK
from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.core.turns import count_cut_turns
from tamarackfield.gateway.directory import Directory
from tamarackfield.gateway.dispatch import Dispatcher
from tamarackfield.policy.overload import OverloadDetector
from tamarackfield.web import HttpServer
from tamarackfield.web.pool import ConnectionPool

#: Seconds between two maintenance passes.
MAINTENANCE_INTERVAL_SECONDS = 0.25
#: Shortest suspension of the machine, in seconds, after which connections are closed and time-outs rescheduled.
MIN_SUSPENSION_SECONDS = 0.2
#: Seconds between failing the readiness check and closing connections or the listener: a load balancer
#: that checks once a second removes an entry after two failures.
BALANCER_DETECTION_SECONDS = 2.6


class MaintenanceLoop:
    """Maintenance loop of an entry.

    Parameters
    ----------
    pool : ConnectionPool
        Pool whose idle connections are closed.
    directory : Directory
        Directory whose vanished targets are removed.
    dispatcher : Dispatcher
        Dispatcher whose time-outs are rescheduled after a suspension, which they do not count.
    server : HttpServer
        Server whose callers are shed while this process is overloaded.
    """

    def __init__(self, pool: ConnectionPool, directory: Directory, dispatcher: Dispatcher, server: HttpServer) -> None:
        """Create a loop for a process that is not overloaded."""
        self.pool = pool
        self.directory = directory
        self.dispatcher = dispatcher
        self.server = server
        self.overload = OverloadDetector()
        self.close_connections_at = math.inf
        # How late the latest pass was.
        self.lag_seconds = 0.0

    def is_shedding(self) -> bool:
        """Return whether callers are directed to other entries by load shedding."""
        return self.overload.is_shedding()

    def count_cut_turns(self) -> int:
        """Return how many turns of connections were cut short because their peers send without pause."""
        return count_cut_turns()

    async def run(self) -> None:
        """Run a maintenance pass periodically; never return."""
        suspended = _suspended_seconds()
        while True:
            due_at = SYSTEM_CLOCK.monotonic() + MAINTENANCE_INTERVAL_SECONDS
            await asyncio.sleep(MAINTENANCE_INTERVAL_SECONDS)
            self.handle_lag(SYSTEM_CLOCK.monotonic() - due_at)
            self.pool.prune()
            self.directory.remove_expired()
            previous, suspended = suspended, _suspended_seconds()
            if suspended - previous > MIN_SUSPENSION_SECONDS:
                logger.bind(seconds=round(suspended - previous, 3)).warning('resumed_after_suspension')
                self.pool.close()
                self.dispatcher.reschedule_deadlines()

    def handle_lag(self, seconds: float) -> None:
        """Shed load while this process lags: first fail the readiness check, later also close connections.

        A caller whose connection is closed before the load balancer has reacted would reconnect to this entry.
        """
        self.lag_seconds = max(0.0, seconds)
        now = SYSTEM_CLOCK.monotonic()
        if self.overload.record_lag(seconds, now):
            shedding = self.is_shedding()
            self.close_connections_at = now + BALANCER_DETECTION_SECONDS if shedding else math.inf
            lag_ms = round(seconds * MS_PER_SECOND)
            logger.bind(lag_ms=lag_ms, busy=len(self.server.busy), shedding=shedding).warning('overload')
        self.server.shedding = now > self.close_connections_at


def _suspended_seconds() -> float:
    """Return the seconds for which the machine was suspended since its boot, up to a constant offset."""
    return BOOT_CLOCK.monotonic() - SYSTEM_CLOCK.monotonic()
