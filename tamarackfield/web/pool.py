"""Kept connections to targets, a few for each address."""

import asyncio
import contextlib
from collections import deque

from loguru import logger

from tamarackfield.core.clock import BOOT_CLOCK, MS_PER_SECOND
from tamarackfield.core.problems import Address
from tamarackfield.policy.idle_limits import IdleLimit
from tamarackfield.web.client import ClientError
from tamarackfield.web.connection import TargetConnection

#: Seconds allowed for connecting; a new connection to a sound target takes a few milliseconds.
CONNECT_SECONDS = 0.5
#: Seconds that an idle connection is kept if the target does not say how long it keeps it.
KEEP_SECONDS = 8.0
#: Seconds before the target's own limit at which an idle connection is no longer used.
KEEP_MARGIN_SECONDS = 1.0
#: Most idle connections that are kept to one address.
MAX_IDLE = 32


class ConnectionPool:
    """Connections by address; the one that was used last is handed out first.

    Idle times count suspensions of the machine: a target may have closed its side meanwhile.
    """

    def __init__(self) -> None:
        """Start with no connection."""
        self.idle: dict[Address, deque[TargetConnection]] = {}
        self.rests: dict[Address, IdleLimit] = {}
        self.opened = 0
        self.reused = 0

    async def acquire(self, address: Address, max_idle_seconds: float) -> TargetConnection:
        """Hand out a connection.

        Parameters
        ----------
        address : tuple of str and int
            IP number and port.
        max_idle_seconds : float
            Longest time without use of a connection that is handed out again.

        Returns
        -------
        TargetConnection
            Not known to have ended.

        Raises
        ------
        ClientError
            If no connection can be made; nothing was sent.
        """
        kept = self._take_idle(address, max_idle_seconds)
        if kept is not None:
            self.reused += 1
            return kept
        self.opened += 1
        return await open_connection(address)

    def record_reset(self, address: Address, connection: TargetConnection) -> None:
        """Note that a connection ended before any byte of an answer; its rest is taken for the reason."""
        now = BOOT_CLOCK.monotonic()
        rest = self.rests.setdefault(address, IdleLimit())
        if rest.record_reset(connection.rested_seconds, now):
            rested_ms = round(connection.rested_seconds * MS_PER_SECOND)
            trusted_ms = round(rest.current_seconds(now) * MS_PER_SECOND)
            logger.bind(peer=connection.peer, rested_ms=rested_ms, trusted_ms=trusted_ms).info('rests_shortened')

    def release(self, address: Address, connection: TargetConnection, max_idle: int = MAX_IDLE) -> None:
        """Take a connection back; it is closed unless it can serve another exchange and few are idle."""
        if not connection.release():
            return
        waiting = self.idle.setdefault(address, deque())
        waiting.append(connection)
        if len(waiting) > max_idle:
            waiting.popleft().fail('too many idle connections')

    def prune(self) -> None:
        """Close what has been idle for too long or has ended."""
        now = BOOT_CLOCK.monotonic()
        self.rests = {address: rest for address, rest in self.rests.items() if rest.current_seconds(now) < KEEP_SECONDS}
        for address, waiting in list(self.idle.items()):
            kept = deque(connection for connection in waiting if _is_usable(connection, now, KEEP_SECONDS))
            for connection in waiting:
                if connection not in kept:
                    connection.fail('idle for too long')
            self.idle[address] = kept
            if not kept:
                self.idle.pop(address)

    def close(self) -> None:
        """Close every idle connection."""
        for waiting in self.idle.values():
            for connection in waiting:
                connection.fail('pool is closed')
        self.idle.clear()

    def _take_idle(self, address: Address, max_idle_seconds: float) -> TargetConnection | None:
        waiting = self.idle.get(address, ())
        now = BOOT_CLOCK.monotonic()
        rest = self.rests.get(address)
        longest = max_idle_seconds if rest is None else min(max_idle_seconds, rest.current_seconds(now))
        while waiting:
            connection = waiting.pop()
            if _is_usable(connection, now, longest):
                connection.rested_seconds = now - connection.released_at
                return connection
            connection.fail('idle for too long')
        return None


async def open_connection(address: Address) -> TargetConnection:
    """Connect to an address.

    Raises
    ------
    ClientError
        If it cannot be reached in time; nothing was sent.
    """
    peer = f'{address[0]}:{address[1]}'
    loop = asyncio.get_running_loop()
    connection = TargetConnection(peer)
    with contextlib.ExitStack() as clean_up:
        clean_up.callback(connection.fail, 'cancelled while connecting')
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                await loop.create_connection(lambda: connection, *address)
        except (OSError, TimeoutError) as exc:
            raise ClientError(f'cannot connect: {exc!r}', 'connect', peer, sent=False) from exc
        clean_up.pop_all()
    return connection


def _is_usable(connection: TargetConnection, now: float, max_idle_seconds: float) -> bool:
    keep = (connection.keep_seconds or KEEP_SECONDS) - KEEP_MARGIN_SECONDS
    return not connection.ended and now - connection.released_at < min(keep, max_idle_seconds)
