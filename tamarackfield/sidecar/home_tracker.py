"""Tracks the targets from which home targets are selected, and requests handovers of keys from earlier ones."""

import ssl
from collections.abc import Callable

from loguru import logger

from tamarackfield.bundle import Bundle, TargetEntry
from tamarackfield.core import SYSTEM_CLOCK, TamarackfieldError
from tamarackfield.core.time_limits import time_limit
from tamarackfield.ledger import Coverage, Ledger
from tamarackfield.sidecar.keyed_calls import KeyedCalls, RunCall
from tamarackfield.wire import Hello, connect
from tamarackfield.wire.request_relay import AskKey, KeyGiven

#: Time-out of a handover request to an earlier home target.
HANDOVER_TIMEOUT_SECONDS = 2.0


class HomeTracker:
    """Applies each bundle to the coverage of this home target.

    Parameters
    ----------
    target : str
        Name of the home target.
    incarnation : int
        Incarnation of this sidecar.
    hello : callable
        Returns the `Hello` message of this process.
    context : ssl.SSLContext or None
        Context for mutual TLS with other home targets; None for plaintext.
    """

    def __init__(
        self,
        target: str,
        incarnation: int,
        hello: Callable[[], Hello],
        context: ssl.SSLContext | None,
    ) -> None:
        """Create a tracker that has no bundle yet."""
        self.target = target
        self.incarnation = incarnation
        self.hello = hello
        self.context = context
        self.service = ''
        self.coverages: dict[str, Coverage] = {}
        self.first_bundle_at = 0.0
        self.targets_by_name: dict[str, TargetEntry] = {}

    @property
    def coverage(self) -> Coverage | None:
        """Coverage for the service of this target, or for service ``''`` before it has one; None before any bundle."""
        return self.coverages.get(self.service)

    def apply_bundle(self, bundle: Bundle) -> None:
        """Apply a bundle that came into force.

        The targets of every service are tracked, so that a target that joins a service later
        knows the earlier home targets of its keys.
        """
        now = SYSTEM_CLOCK.monotonic()
        self.first_bundle_at = self.first_bundle_at or now
        target_entry = bundle.targets.get(self.target)
        if target_entry is not None:
            self.service = target_entry.service
        services = {'', *bundle.services, *self.coverages}
        for service in services:
            targets = {target.name: target for target in bundle.find_service_targets(service) if service}
            self._ensure_coverage(service, bundle).apply_targets(frozenset(targets), bundle.number, now)
            self.targets_by_name |= targets

    def _ensure_coverage(self, service: str, bundle: Bundle) -> Coverage:
        if service not in self.coverages:
            self.coverages[service] = Coverage(
                self.target,
                self.incarnation,
                self.first_bundle_at,
                bundle.horizon_seconds,
            )
        return self.coverages[service]

    def make_keyed_calls(self, run_call: RunCall) -> KeyedCalls:
        """Return the keyed calls of this home target.

        Parameters
        ----------
        run_call : callable
            Runs a call at the target.
        """
        return KeyedCalls(self.target, Ledger(), self.coverage, run_call, self.request_handover)

    async def request_handover(self, home: str, scoped_key: str) -> bool:
        """Request the exclusive right to run a key from an earlier home target.

        Parameters
        ----------
        home : str
            Name of the earlier home target.
        scoped_key : str
            Caller and idempotency key.

        Returns
        -------
        bool
            False if the earlier home target refuses, is unknown or does not answer.
        """
        target_entry = self.targets_by_name.get(home)
        if target_entry is None:
            return False
        try:
            async with time_limit(HANDOVER_TIMEOUT_SECONDS):
                return await self._exchange_handover(target_entry, scoped_key)
        except (TamarackfieldError, TimeoutError) as exc:
            logger.bind(peer=home, error=repr(exc)).warning('earlier_home_unreachable')
            return False

    async def _exchange_handover(self, target_entry: TargetEntry, scoped_key: str) -> bool:
        stream = await connect(target_entry.host, target_entry.port, self.context)
        try:
            hello = await stream.exchange_hellos(self.hello())
            stream.send(AskKey(scoped_key, f'{self.target}:{self.incarnation}'))
            message = await stream.receive()
            while not isinstance(message, KeyGiven):
                message = await stream.receive()
        finally:
            stream.abort()
        return hello.target == target_entry.name and message.key == scoped_key and message.given
