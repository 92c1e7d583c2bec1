"""Follows which target is the home of a caller's key, and asks earlier homes after a change."""

import asyncio
import ssl
from collections.abc import Callable

from loguru import logger

from tamarackfield.bundle import Bundle, TargetEntry
from tamarackfield.core import SYSTEM_CLOCK, TamarackfieldError
from tamarackfield.ledger import Coverage, Ledger
from tamarackfield.sidecar.keyed import KeyedCalls, RunCall
from tamarackfield.wire import Hello, connect
from tamarackfield.wire.runs import AskKey, KeyGiven

#: Seconds allowed for asking an earlier home.
ASK_TIMEOUT = 2.0


class Homes:
    """Keeps this home's coverage in line with the bundle.

    Parameters
    ----------
    target : str
        The home.
    incarnation : int
        Of this sidecar.
    hello : callable
        Returns this process's hello.
    context : ssl.SSLContext or None
        Mutual TLS towards other homes, None for plaintext.
    """

    def __init__(
        self,
        target: str,
        incarnation: int,
        hello: Callable[[], Hello],
        context: ssl.SSLContext | None,
    ) -> None:
        """Start without a bundle."""
        self.target = target
        self.incarnation = incarnation
        self.hello = hello
        self.context = context
        self.service = ''
        self.coverages: dict[str, Coverage] = {}
        self.followed_at = 0.0
        self.known: dict[str, TargetEntry] = {}

    @property
    def coverage(self) -> Coverage | None:
        """Coverage of the service that this home serves, None before it serves one."""
        return self.coverages.get(self.service)

    def follow(self, bundle: Bundle) -> None:
        """Take in a bundle that came into force.

        The targets of every service are followed, so that a home that joins a service later
        knows the earlier homes of its keys.
        """
        now = SYSTEM_CLOCK.monotonic()
        self.followed_at = self.followed_at or now
        entry = bundle.targets.get(self.target)
        if entry is not None:
            self.service = entry.service
        services = {'', *bundle.services, *self.coverages}
        for service in services:
            targets = {target.name: target for target in bundle.find_service_targets(service) if service}
            self._cover(service, bundle).follow(frozenset(targets), bundle.number, now)
            self.known |= targets

    def _cover(self, service: str, bundle: Bundle) -> Coverage:
        if service not in self.coverages:
            self.coverages[service] = Coverage(
                self.target,
                self.incarnation,
                self.followed_at,
                bundle.horizon_seconds,
            )
        return self.coverages[service]

    def make_calls(self, run_call: RunCall) -> KeyedCalls:
        """Return the keyed calls of this home.

        Parameters
        ----------
        run_call : callable
            Runs a call at the target.
        """
        return KeyedCalls(self.target, Ledger(), self.coverage, run_call, self.ask)

    async def ask(self, home: str, key: str) -> bool:
        """Ask an earlier home for the right to run a key.

        Parameters
        ----------
        home : str
            Name of the earlier home.
        key : str
            Caller and idempotency key.

        Returns
        -------
        bool
            False if it refuses or does not answer.
        """
        entry = self.known.get(home)
        if entry is None:
            return False
        try:
            async with asyncio.timeout(ASK_TIMEOUT):
                return await self._ask(entry, key)
        except (TamarackfieldError, TimeoutError) as exc:
            logger.bind(peer=home, error=repr(exc)).warning('earlier_home_unreachable')
            return False

    async def _ask(self, entry: TargetEntry, key: str) -> bool:
        stream = await connect(entry.host, entry.port, self.context)
        try:
            hello = await stream.greet(self.hello())
            stream.send(AskKey(key, f'{self.target}:{self.incarnation}'))
            message = await stream.receive()
            while not isinstance(message, KeyGiven):
                message = await stream.receive()
        finally:
            stream.abort()
        return hello.target == entry.name and message.key == key and message.given
