"""Watches the configuration service while this process is one of its zone's watchers."""

import asyncio
import random
from collections.abc import Callable

from loguru import logger

from tamarackfield.bundle import MANIFEST_NAME, Envelope, shard_path
from tamarackfield.core import TamarackfieldError
from tamarackfield.discovery.configuration import ConfigurationClient
from tamarackfield.discovery.store import BundleStore

#: Shortest and longest pause after a call that failed or brought nothing usable, in seconds.
MIN_BACKOFF = 0.2
MAX_BACKOFF = 2.0
#: Name under which the service stands in the audit trail and on the status page.
SERVICE_SOURCE = 'configuration-service'


class ServiceWatcher:
    """Reads the manifest, the shards that are missing, and waits for the next one.

    Parameters
    ----------
    client : ConfigurationClient
        Reader of the service.
    store : BundleStore
        Takes what is newer.
    give_up : callable
        Called after each failed call with the number of failures in a row.
    """

    def __init__(self, client: ConfigurationClient, store: BundleStore, give_up: Callable[[int], None]) -> None:
        """Prepare; nothing is read yet."""
        self.client = client
        self.store = store
        self.give_up = give_up
        self.failures = 0
        self.asked_number = 0

    async def ask_once(self, *, with_shards: bool) -> None:
        """Read what the service has now; a failure is logged.

        Parameters
        ----------
        with_shards : bool
            Whether to read the shards too and put the bundle in force. Otherwise its number is kept
            in ``asked_number`` and the bundle is left to the watchers, so that a start of many
            processes costs the service one call each.
        """
        try:
            encoded, _ = await self.client.read(MANIFEST_NAME)
            if with_shards:
                await self._take(encoded)
        except TamarackfieldError as exc:
            logger.bind(error=exc.message, step=exc.step).warning('configuration_unavailable')
            return
        envelope = self.store.examine(encoded, self.store.acceptance.rotations, SERVICE_SOURCE)
        if envelope is not None:
            self.asked_number = envelope.manifest['number']

    async def run(self) -> None:
        """Watch until cancelled; back off with jitter while calls fail or bring old bundles."""
        revision = 0
        while True:
            try:
                answer = await self.client.watch(MANIFEST_NAME, revision)
                useful = answer is None or await self._take(answer[0])
            except TamarackfieldError as exc:
                logger.bind(error=exc.message, step=exc.step).warning('configuration_unavailable')
                await self._back_off()
                continue
            if answer is not None:
                revision = answer[1]
            if useful:
                self.failures = 0
            else:
                await self._back_off()

    async def _back_off(self) -> None:
        longest = min(MAX_BACKOFF, MIN_BACKOFF * 2 ** min(self.failures, 8))
        self.failures += 1
        self.give_up(self.failures)
        await asyncio.sleep(longest * random.uniform(0.5, 1))

    async def _take(self, encoded: bytes) -> bool:
        """Put a newer bundle in force and tell whether the service was not behind."""
        envelope = self.store.examine(encoded, self.store.acceptance.rotations, SERVICE_SOURCE)
        if envelope is None:
            release = self.store.acceptance.release
            return release is not None and release.envelope.encoded == encoded
        shards = await self._read_shards(envelope)
        return shards is not None and self.store.put(envelope, shards, SERVICE_SOURCE)

    async def _read_shards(self, envelope: Envelope) -> dict[str, bytes] | None:
        shards = {}
        for digest in self.store.missing(envelope):
            content, _ = await self.client.read(shard_path(digest))
            if not self.store.receive(envelope, digest, content, SERVICE_SOURCE):
                return None
            shards[digest] = content
        return shards
