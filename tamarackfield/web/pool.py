"""Pool of persistent HTTP connections to targets, bounded for each address."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Collection

from loguru import logger

from tamarackfield.core.clock import BOOT_CLOCK, MS_PER_SECOND
from tamarackfield.core.problems import Address
from tamarackfield.core.time_limits import time_limit
from tamarackfield.policy.idle_limits import IdleLimit
from tamarackfield.web.answer_budget import AnswerBudget
from tamarackfield.web.client import ClientError
from tamarackfield.web.connection import TargetConnection

#: Time limit for connecting; connecting to a healthy target takes a few milliseconds.
CONNECT_TIMEOUT_SECONDS = 0.5
#: Idle time-out of a connection whose target announces none.
DEFAULT_IDLE_TIMEOUT_SECONDS = 8.0
#: Time before the target's own idle time-out from which a connection is no longer reused.
IDLE_TIMEOUT_MARGIN_SECONDS = 1.0
#: Limit on the idle connections to one address.
MAX_IDLE_CONNECTIONS = 32


class ConnectionPool:
    """Idle connections by address; the most recently used one is reused first.

    Parameters
    ----------
    answers : AnswerBudget, optional
        Memory for the bodies of answers; one of its own by default.

    Idle times include suspensions of the machine, because the target may have closed its side in that time.

    Attributes
    ----------
    idle : dict
        Idle connections by address, the most recently used last.
    idle_limits : dict
        Idle limits by address, lowered when a target resets idle connections.
    opened, reused : int
        Number of connections opened and number of reuses.
    """

    def __init__(self, answers: AnswerBudget | None = None) -> None:
        """Create an empty pool."""
        self.idle: dict[Address, deque[TargetConnection]] = {}
        self.idle_limits: dict[Address, IdleLimit] = {}
        self.answers = AnswerBudget() if answers is None else answers
        self.opened = 0
        self.reused = 0

    async def acquire(
        self, address: Address, max_idle_seconds: float, avoided: Collection[TargetConnection] = ()
    ) -> TargetConnection:
        """Return an idle connection, or open a new one.

        Parameters
        ----------
        address : tuple of str and int
            IP number and port.
        max_idle_seconds : float
            Limit on the idle time of a reused connection.
        avoided : collection of TargetConnection
            Connections that are not returned.

        Returns
        -------
        TargetConnection
            A connection that is not known to have ended.

        Raises
        ------
        ClientError
            If no connection can be opened; nothing was sent.
        """
        connection = self._pop_idle(address, max_idle_seconds, avoided)
        if connection is not None:
            self.reused += 1
            return connection
        self.opened += 1
        return await open_connection(address)

    def record_reset(self, address: Address, connection: TargetConnection) -> None:
        """Lower the idle limit of an address whose connection ended before any byte of an answer.

        The idle time before the exchange is assumed to be the cause.
        """
        now = BOOT_CLOCK.monotonic()
        idle_limit = self.idle_limits.setdefault(address, IdleLimit())
        if idle_limit.record_reset(connection.idle_seconds, now):
            idle_ms = round(connection.idle_seconds * MS_PER_SECOND)
            limit_ms = round(idle_limit.current_seconds(now) * MS_PER_SECOND)
            logger.bind(peer=connection.peer, rested_ms=idle_ms, trusted_ms=limit_ms).info('rests_shortened')

    def release(
        self, address: Address, connection: TargetConnection, max_idle_connections: int = MAX_IDLE_CONNECTIONS
    ) -> None:
        """Return a connection to the pool.

        It is closed if it cannot serve another exchange. The least recently used idle connection to the address
        is closed if the limit is exceeded.
        """
        if not connection.release():
            return
        idle_connections = self.idle.setdefault(address, deque())
        idle_connections.append(connection)
        if len(idle_connections) > max_idle_connections:
            idle_connections.popleft().fail('too many idle connections')

    def prune(self) -> None:
        """Close connections that ended or exceeded the idle time-out; drop idle limits above that time-out."""
        now = BOOT_CLOCK.monotonic()
        self.idle_limits = {
            address: idle_limit
            for address, idle_limit in self.idle_limits.items()
            if idle_limit.current_seconds(now) < DEFAULT_IDLE_TIMEOUT_SECONDS
        }
        for address, idle_connections in list(self.idle.items()):
            usable_connections = deque(
                connection
                for connection in idle_connections
                if _is_usable(connection, now, DEFAULT_IDLE_TIMEOUT_SECONDS)
            )
            for connection in idle_connections:
                if connection not in usable_connections:
                    connection.fail('idle for too long')
            self.idle[address] = usable_connections
            if not usable_connections:
                self.idle.pop(address)

    def close(self) -> None:
        """Close every idle connection."""
        for idle_connections in self.idle.values():
            for connection in idle_connections:
                connection.fail('pool is closed')
        self.idle.clear()

    def _pop_idle(
        self, address: Address, max_idle_seconds: float, avoided: Collection[TargetConnection]
    ) -> TargetConnection | None:
        idle_connections = self.idle.get(address)
        if idle_connections is None:
            return None
        kept = [connection for connection in idle_connections if connection in avoided]
        for avoided_connection in kept:
            idle_connections.remove(avoided_connection)
        connection = self._pop_usable(address, max_idle_seconds)
        idle_connections.extendleft(kept)
        return connection

    def _pop_usable(self, address: Address, max_idle_seconds: float) -> TargetConnection | None:
        idle_connections = self.idle.get(address, ())
        now = BOOT_CLOCK.monotonic()
        idle_limit = self.idle_limits.get(address)
        limit_seconds = (
            max_idle_seconds if idle_limit is None else min(max_idle_seconds, idle_limit.current_seconds(now))
        )
        while idle_connections:
            connection = idle_connections.pop()
            if _is_usable(connection, now, limit_seconds):
                connection.idle_seconds = now - connection.released_at
                return connection
            connection.fail('idle for too long')
        return None


async def open_connection(address: Address) -> TargetConnection:
    """Open a connection to an address.

    Raises
    ------
    ClientError
        If the address cannot be reached within `CONNECT_TIMEOUT_SECONDS`; nothing was sent.
    """
    peer = f'{address[0]}:{address[1]}'
    loop = asyncio.get_running_loop()
    connection = TargetConnection(peer)
    with contextlib.ExitStack() as clean_up:
        clean_up.callback(connection.fail, 'cancelled while connecting')
        try:
            async with time_limit(CONNECT_TIMEOUT_SECONDS):
                await loop.create_connection(lambda: connection, *address)
        except (OSError, TimeoutError) as exc:
            raise ClientError(f'cannot connect: {exc!r}', 'connect', peer, sent=False) from exc
        clean_up.pop_all()
    return connection


def _is_usable(connection: TargetConnection, now: float, max_idle_seconds: float) -> bool:
    reuse_limit_seconds = (
        connection.idle_timeout_seconds or DEFAULT_IDLE_TIMEOUT_SECONDS
    ) - IDLE_TIMEOUT_MARGIN_SECONDS
    return not connection.ended and now - connection.released_at < min(reuse_limit_seconds, max_idle_seconds)
