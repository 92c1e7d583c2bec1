"""The bundle in force in this process, with the deltas that led to it."""

from collections.abc import Callable, Mapping
from typing import Any

from loguru import logger

from tamarackfield.bundle import Acceptance, Bundle, Envelope, Release, apply_delta, make_delta
from tamarackfield.bundle.acceptance import BundleConflictError
from tamarackfield.bundle.shards import manifest_digests
from tamarackfield.core import SYSTEM_CLOCK, TamarackfieldError
from tamarackfield.wire.spreading import BundleDelta

#: Deltas kept for peers that are some numbers behind.
MAX_DELTAS = 64
#: A delta larger than this is not kept; peers fetch the shards, in bytes.
MAX_DELTA_BYTES = 32_768
#: Refusals whose repetition is counted but not recorded again.
MAX_REPORTED = 256

Record = Callable[..., None]


class BundleStore:
    """Owner of the bundle in force.

    Parameters
    ----------
    trusted_keys : frozenset of str
        Public keys from the settings.
    record : callable
        Takes the action and details of each change, for the audit trail.
    count : callable
        Adds one to a metric.
    """

    def __init__(self, trusted_keys: frozenset[str], record: Record, count: Callable[[str], None]) -> None:
        """Start without a bundle."""
        self.acceptance = Acceptance(trusted_keys)
        self.record = record
        self.count = count
        self.since_unix_ms = 0
        self.source = ''
        self.deltas: dict[bytes, BundleDelta] = {}
        self.successors: dict[bytes, bytes] = {}
        self.listeners: list[Callable[[Bundle, str], None]] = []
        self.reported: set[str] = set()

    @property
    def number(self) -> int:
        """Number in force; 0 before the first."""
        return self.acceptance.number

    @property
    def digest(self) -> bytes:
        """Digest of the manifest in force; empty before the first."""
        release = self.acceptance.release
        return b'' if release is None else bytes.fromhex(release.envelope.digest)

    @property
    def shards(self) -> Mapping[str, bytes]:
        """Shards in force by SHA-256 in hex."""
        release = self.acceptance.release
        return {} if release is None else release.shards

    def examine(self, encoded: bytes, rotations: list[bytes], source: str) -> Envelope | None:
        """Return the envelope of a newer bundle; None if it is old, in force already or refused."""
        try:
            return self.acceptance.examine(encoded, rotations)
        except TamarackfieldError as exc:
            self._refuse(exc, source)
            return None

    def missing(self, envelope: Envelope) -> list[str]:
        """Return the SHA-256 of the shards that this process lacks.

        Raises
        ------
        ShardError
            If the manifest is malformed.
        """
        digests = dict.fromkeys(manifest_digests(envelope.manifest))
        return [digest for digest in digests if digest not in self.shards]

    def receive(self, envelope: Envelope, digest: str, content: bytes, source: str) -> bool:
        """Check a shard of a newer bundle and tell whether it is good."""
        try:
            self.acceptance.checker.check_received_shard(envelope, digest, content)
        except TamarackfieldError as exc:
            self.count('bundles_refused')
            self.record('shard_refused', digest=digest, error=exc.message, source=source)
            return False
        return True

    def put(self, envelope: Envelope, shards: dict[str, bytes], source: str, delta: bytes | None = None) -> bool:
        """Put a bundle in force, whole or not at all, and tell whether it is.

        Parameters
        ----------
        envelope : Envelope
            From `examine`.
        shards : dict
            The shards that this process lacked, by SHA-256.
        source : str
            From whom it came.
        delta : bytes or None
            The changes from the bundle in force, if that is how it came.
        """
        before = self.acceptance.release
        if envelope.manifest['number'] <= self.number:
            return before is not None and envelope.digest == before.envelope.digest
        try:
            bundle = self.acceptance.accept(envelope, shards)
        except TamarackfieldError as exc:
            self._refuse(exc, source)
            return False
        self._remember(before, delta)
        self.since_unix_ms = SYSTEM_CLOCK.unix_ms()
        self.source = source
        self.record('bundle_accepted', number=bundle.number, digest=bundle.digest, source=source)
        for listener in self.listeners:
            listener(bundle, source)
        return True

    def put_delta(self, delta: BundleDelta, source: str) -> bool:
        """Apply a delta to the bundle in force and tell whether its result is in force."""
        release = self.acceptance.release
        if release is None or delta.base != self.digest:
            return False
        try:
            encoded, shards = apply_delta(release, delta.encoded)
        except TamarackfieldError as exc:
            self._refuse(exc, source)
            return False
        envelope = self.examine(encoded, [], source)
        return envelope is not None and self.put(envelope, shards, source, delta.encoded)

    def deltas_from(self, base: bytes) -> list[BundleDelta]:
        """Return the deltas from an earlier bundle to the one in force; empty if they are not kept."""
        chain = []
        while base != self.digest:
            if base not in self.deltas:
                return []
            chain.append(self.deltas[base])
            base = self.successors[base]
        return chain

    def _remember(self, before: Release | None, delta: bytes | None) -> None:
        after = self.acceptance.release
        if before is None or after is None:
            return
        encoded = delta or make_delta(before, after)
        if encoded is None or len(encoded) > MAX_DELTA_BYTES:
            return
        base = bytes.fromhex(before.envelope.digest)
        self.deltas[base] = BundleDelta(self.number, base, encoded)
        self.successors[base] = self.digest
        if len(self.deltas) > MAX_DELTAS:
            oldest = next(iter(self.deltas))
            self.deltas.pop(oldest)
            self.successors.pop(oldest)

    def _refuse(self, exc: TamarackfieldError, source: str) -> None:
        details: dict[str, Any] = {'error': exc.message, 'step': exc.step, 'source': source, 'in_force': self.number}
        is_conflict = isinstance(exc, BundleConflictError)
        self.count('bundle_conflicts' if is_conflict else 'bundles_refused')
        if exc.message in self.reported:
            return
        if len(self.reported) >= MAX_REPORTED:
            self.reported.clear()
        self.reported.add(exc.message)
        self.record('bundle_conflict' if is_conflict else 'bundle_refused', **details)
        if is_conflict:
            logger.bind(**details).error('bundle_conflict')
