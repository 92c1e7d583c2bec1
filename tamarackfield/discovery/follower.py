"""Follows the bundle in the configuration service and puts each newer one in force."""

import asyncio
import random
from collections.abc import Callable

from loguru import logger

from tamarackfield.bundle import MANIFEST_NAME, Acceptance, Bundle, Envelope, shard_path
from tamarackfield.bundle.shards import manifest_digests
from tamarackfield.core import SYSTEM_CLOCK, TamarackfieldError
from tamarackfield.discovery.configuration import ConfigurationClient, ConfigurationError

#: Shortest and longest pause after a failed call, in seconds.
MIN_BACKOFF = 0.2
MAX_BACKOFF = 10.0


class BundleFollower:
    """Task that owns the bundle in force.

    Parameters
    ----------
    client : ConfigurationClient
        Reader of the service.
    trusted_keys : frozenset of str
        Public keys from the settings.
    record : callable
        Takes the action and details of each change, for the audit trail.
    """

    def __init__(
        self,
        client: ConfigurationClient,
        trusted_keys: frozenset[str],
        record: Callable[..., None],
    ) -> None:
        """Prepare to follow."""
        self.client = client
        self.acceptance = Acceptance(trusted_keys)
        self.record = record
        self.ready = asyncio.Event()
        self.accepted_at = 0.0
        self.source = ''
        self.listeners: list[Callable[[Bundle], None]] = []
        self.shards: dict[str, bytes] = {}

    @property
    def bundle(self) -> Bundle | None:
        """The bundle in force, None before the first."""
        return self.acceptance.bundle

    def on_bundle(self, listener: Callable[[Bundle], None]) -> None:
        """Call a function with each bundle that comes in force."""
        self.listeners.append(listener)

    async def run(self) -> None:
        """Read, then watch, for ever; back off with jitter while the service fails."""
        revision = 0
        backoff = MIN_BACKOFF
        while True:
            try:
                answer = await self._next(revision)
            except ConfigurationError as exc:
                logger.bind(error=exc.message, step=exc.step).warning('configuration_unavailable')
                await asyncio.sleep(backoff * random.uniform(0.5, 1))
                backoff = min(MAX_BACKOFF, backoff * 2)
                continue
            backoff = MIN_BACKOFF
            if answer is not None:
                revision = answer[1]
                await self._take(answer[0])

    async def _next(self, revision: int) -> tuple[bytes, int] | None:
        if self.bundle is None:
            return await self.client.read(MANIFEST_NAME)
        return await self.client.watch(MANIFEST_NAME, revision)

    async def _take(self, encoded: bytes) -> None:
        try:
            envelope = self.acceptance.examine(encoded)
            if envelope is None:
                return
            shards = await self._collect(envelope)
            bundle = self.acceptance.accept(envelope, shards)
        except TamarackfieldError as exc:
            self.record('bundle_refused', error=exc.message, step=exc.step, in_force=self.acceptance.number)
            await asyncio.sleep(MIN_BACKOFF)
            return
        self.shards = shards
        self._announce(bundle)

    def _announce(self, bundle: Bundle) -> None:
        self.accepted_at = SYSTEM_CLOCK.monotonic()
        self.source = 'configuration-service'
        self.record('bundle_accepted', number=bundle.number, digest=bundle.digest, source=self.source)
        for listener in self.listeners:
            listener(bundle)
        self.ready.set()

    async def _collect(self, envelope: Envelope) -> dict[str, bytes]:
        shards = {}
        for digest in manifest_digests(envelope.manifest):
            content = self.shards.get(digest)
            if content is None:
                content, _ = await self.client.read(shard_path(digest))
            shards[digest] = content
        return shards
