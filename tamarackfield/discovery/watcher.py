"""Watches the configuration service while this process is an elected watcher of its zone."""

import asyncio
import random
from collections.abc import Callable

from loguru import logger

from tamarackfield.bundle import MANIFEST_NAME, Envelope, shard_path
from tamarackfield.core import TamarackfieldError
from tamarackfield.discovery.configuration import ConfigurationClient
from tamarackfield.discovery.store import BundleStore

#: Bounds of the exponential back-off, before jitter, after a call that failed or returned an outdated bundle.
MIN_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 2.0
#: Source of bundles from the service in the audit trail and on the status page.
SERVICE_SOURCE = 'configuration-service'


class ServiceWatcher:
    """Reads the manifest and the missing shards, and watches for the next manifest.

    Parameters
    ----------
    client : ConfigurationClient
        Client of the configuration service.
    store : BundleStore
        Store in which newer bundles are put in force.
    on_failure : callable
        Called after each failed call with the number of consecutive failures.
    """

    def __init__(self, client: ConfigurationClient, store: BundleStore, on_failure: Callable[[int], None]) -> None:
        """Initialize without reading."""
        self.client = client
        self.store = store
        self.on_failure = on_failure
        self.failures = 0
        self.service_number = 0

    async def read_once(self, *, with_shards: bool) -> None:
        """Read the current manifest of the service; a failure is logged.

        Parameters
        ----------
        with_shards : bool
            Whether to read the shards too and put the bundle in force. Otherwise only its number is
            stored in ``service_number`` and the watchers distribute the bundle, so that each process
            of a large start costs the service one call.
        """
        try:
            encoded, _ = await self.client.read(MANIFEST_NAME)
            if with_shards:
                await self._accept_manifest(encoded)
        except TamarackfieldError as exc:
            logger.bind(error=exc.message, step=exc.step).warning('configuration_unavailable')
            return
        envelope = self.store.examine(encoded, self.store.acceptance.rotations, SERVICE_SOURCE)
        if envelope is not None:
            self.service_number = envelope.manifest['number']

    async def run(self) -> None:
        """Watch until cancelled; back off with jitter while calls fail or return outdated or refused bundles."""
        revision = 0
        while True:
            try:
                answer = await self.client.watch(MANIFEST_NAME, revision)
                is_current = answer is None or await self._accept_manifest(answer[0])
            except TamarackfieldError as exc:
                logger.bind(error=exc.message, step=exc.step).warning('configuration_unavailable')
                await self._back_off()
                continue
            if answer is not None:
                revision = answer[1]
            if is_current:
                self.failures = 0
            else:
                await self._back_off()

    async def _back_off(self) -> None:
        backoff_limit_seconds = min(MAX_BACKOFF_SECONDS, MIN_BACKOFF_SECONDS * 2 ** min(self.failures, 8))
        self.failures += 1
        self.on_failure(self.failures)
        await asyncio.sleep(backoff_limit_seconds * random.uniform(0.5, 1))

    async def _accept_manifest(self, encoded: bytes) -> bool:
        """Put a newer bundle in force and return whether the bundle of the service is in force now."""
        envelope = self.store.examine(encoded, self.store.acceptance.rotations, SERVICE_SOURCE)
        if envelope is None:
            release = self.store.acceptance.release
            return release is not None and release.envelope.encoded == encoded
        shards = await self._read_shards(envelope)
        return shards is not None and self.store.put(envelope, shards, SERVICE_SOURCE)

    async def _read_shards(self, envelope: Envelope) -> dict[str, bytes] | None:
        shards = {}
        for digest in self.store.find_missing_shards(envelope):
            content, _ = await self.client.read(shard_path(digest))
            if not self.store.check_shard(envelope, digest, content, SERVICE_SOURCE):
                return None
            shards[digest] = content
        return shards
