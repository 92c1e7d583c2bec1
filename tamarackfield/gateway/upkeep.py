"""What an entry looks at again and again: its connections and targets, its own lag, suspensions of its machine."""

import asyncio
import math

from loguru import logger

from tamarackfield.core import BOOT_CLOCK, SYSTEM_CLOCK
from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.gateway.directory import Directory
from tamarackfield.gateway.dispatch import Dispatcher
from tamarackfield.policy.overload import OverloadDetector
from tamarackfield.web import HttpServer
from tamarackfield.web.pool import ConnectionPool

#: Seconds between two looks.
UPKEEP_SECONDS = 0.25
#: Suspension in seconds that is acted upon.
SUSPENSION_SECONDS = 0.2
#: Seconds between failing readiness and closing connections or the listener: a balancer that asks once
#: a second takes an entry out after two failures.
BALANCER_SECONDS = 2.6


class Upkeep:
    """Keeps an entry in order.

    Parameters
    ----------
    pool : ConnectionPool
        Whose old connections are closed.
    directory : Directory
        Whose vanished targets are dropped.
    dispatcher : Dispatcher
        Told to set its timers anew after a suspension, which they do not count.
    server : HttpServer
        Of the callers, who are shed while this process does not keep up.
    """

    def __init__(self, pool: ConnectionPool, directory: Directory, dispatcher: Dispatcher, server: HttpServer) -> None:
        """Start with a process that keeps up."""
        self.pool = pool
        self.directory = directory
        self.dispatcher = dispatcher
        self.server = server
        self.overload = OverloadDetector()
        self.close_from = math.inf

    def is_shedding(self) -> bool:
        """Tell whether callers should go to other entries."""
        return self.overload.is_shedding()

    async def run(self) -> None:
        """Look at everything for ever."""
        suspended = _suspended_seconds()
        while True:
            due_at = SYSTEM_CLOCK.monotonic() + UPKEEP_SECONDS
            await asyncio.sleep(UPKEEP_SECONDS)
            self.record_lag(SYSTEM_CLOCK.monotonic() - due_at)
            self.pool.prune()
            self.directory.expire()
            before, suspended = suspended, _suspended_seconds()
            if suspended - before > SUSPENSION_SECONDS:
                logger.bind(seconds=round(suspended - before, 3)).warning('resumed_after_suspension')
                self.pool.close()
                self.dispatcher.recheck_deadlines()

    def record_lag(self, seconds: float) -> None:
        """Shed callers while this process lags: at first new ones, then those of open connections too.

        A caller whose connection closes before the balancer has noticed would come back to this entry.
        """
        now = SYSTEM_CLOCK.monotonic()
        if self.overload.record_lag(seconds, now):
            shedding = self.is_shedding()
            self.close_from = now + BALANCER_SECONDS if shedding else math.inf
            lag_ms = round(seconds * MS_PER_SECOND)
            logger.bind(lag_ms=lag_ms, busy=len(self.server.busy), shedding=shedding).warning('overload')
        self.server.shedding = now > self.close_from


def _suspended_seconds() -> float:
    """Return the time that the machine was suspended since its start, up to a constant."""
    return BOOT_CLOCK.monotonic() - SYSTEM_CLOCK.monotonic()
