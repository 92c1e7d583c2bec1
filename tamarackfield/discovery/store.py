"""Store of the bundle in force in this process and of the most recent deltas that led to it."""

from collections.abc import Callable, Mapping
from typing import Any

from loguru import logger

from tamarackfield.bundle import Acceptance, Bundle, Envelope, Release, apply_delta, make_delta
from tamarackfield.bundle.acceptance import BundleConflictError
from tamarackfield.bundle.shards import manifest_digests
from tamarackfield.core import SYSTEM_CLOCK, TamarackfieldError
from tamarackfield.wire.dissemination import BundleDelta

#: Maximum number of deltas kept for peers that have an earlier bundle.
MAX_DELTAS = 64
#: Largest delta that is kept; peers fetch the shards instead of a larger one.
MAX_DELTA_BYTES = 32_768
#: Maximum number of distinct refusals remembered; a repeated one is counted but not recorded again, until the full
#: set is cleared.
MAX_REPORTED_REFUSALS = 256

AuditRecorder = Callable[..., None]


class BundleStore:
    """Stores the bundle in force and notifies listeners of each new one.

    Deltas and the digests of their results (``successors``) are kept by the digest of the bundle to which they apply.

    Parameters
    ----------
    trusted_keys : frozenset of str
        Public keys from the settings.
    record : callable
        Records the action and details of each change in the audit trail.
    count : callable
        Increments the metric of a given name.
    """

    def __init__(self, trusted_keys: frozenset[str], record: AuditRecorder, count: Callable[[str], None]) -> None:
        """Initialize without a bundle."""
        self.acceptance = Acceptance(trusted_keys)
        self.record = record
        self.count = count
        self.in_force_since_unix_ms = 0
        self.source = ''
        self.deltas: dict[bytes, BundleDelta] = {}
        self.successors: dict[bytes, bytes] = {}
        self.listeners: list[Callable[[Bundle, str], None]] = []
        self.reported_refusals: set[str] = set()

    @property
    def number(self) -> int:
        """Number of the bundle in force; 0 before the first is accepted."""
        return self.acceptance.number

    @property
    def digest(self) -> bytes:
        """SHA-256 of the signed manifest in force; empty before the first is accepted."""
        release = self.acceptance.release
        return b'' if release is None else bytes.fromhex(release.envelope.digest)

    @property
    def shards(self) -> Mapping[str, bytes]:
        """Content of the shards in force by SHA-256 in hex."""
        release = self.acceptance.release
        return {} if release is None else release.shards

    def examine(self, encoded: bytes, rotations: list[bytes], source: str) -> Envelope | None:
        """Verify an envelope and return it if its bundle is newer; None if it is in force already or refused."""
        try:
            return self.acceptance.examine(encoded, rotations)
        except TamarackfieldError as exc:
            self._report_refusal(exc, source)
            return None

    def find_missing_shards(self, envelope: Envelope) -> list[str]:
        """Return the SHA-256 of the shards that this process lacks.

        Raises
        ------
        ShardError
            If the manifest is malformed.
        """
        digests = dict.fromkeys(manifest_digests(envelope.manifest))
        return [digest for digest in digests if digest not in self.shards]

    def check_shard(self, envelope: Envelope, digest: str, content: bytes, source: str) -> bool:
        """Check a shard of a newer bundle and return whether it is valid."""
        try:
            self.acceptance.checker.check_received_shard(envelope, digest, content)
        except TamarackfieldError as exc:
            self.count('bundles_refused')
            self.record('shard_refused', digest=digest, error=exc.message, source=source)
            return False
        return True

    def put(self, envelope: Envelope, shards: dict[str, bytes], source: str, delta: bytes | None = None) -> bool:
        """Put a bundle in force atomically and return whether it is in force.

        Parameters
        ----------
        envelope : Envelope
            Verified envelope from `examine`.
        shards : dict
            Content of the shards that this process lacked, by SHA-256 in hex.
        source : str
            Peer or service that sent the bundle.
        delta : bytes or None
            Encoded delta from the bundle in force, if the bundle was received as one.
        """
        previous = self.acceptance.release
        if envelope.manifest['number'] <= self.number:
            return previous is not None and envelope.digest == previous.envelope.digest
        try:
            bundle = self.acceptance.accept(envelope, shards)
        except TamarackfieldError as exc:
            self._report_refusal(exc, source)
            return False
        self._keep_delta(previous, delta)
        self.in_force_since_unix_ms = SYSTEM_CLOCK.unix_ms()
        self.source = source
        self.record('bundle_accepted', number=bundle.number, digest=bundle.digest, source=source)
        for listener in self.listeners:
            listener(bundle, source)
        return True

    def put_delta(self, delta: BundleDelta, source: str) -> bool:
        """Apply a delta to the bundle in force and return whether the result is in force."""
        release = self.acceptance.release
        if release is None or delta.base != self.digest:
            return False
        try:
            encoded, shards = apply_delta(release, delta.encoded)
        except TamarackfieldError as exc:
            self._report_refusal(exc, source)
            return False
        envelope = self.examine(encoded, [], source)
        return envelope is not None and self.put(envelope, shards, source, delta.encoded)

    def find_deltas(self, base: bytes) -> list[BundleDelta]:
        """Return the chain of deltas from a bundle's digest to the one in force; empty if it is not kept."""
        chain = []
        while base != self.digest:
            if base not in self.deltas:
                return []
            chain.append(self.deltas[base])
            base = self.successors[base]
        return chain

    def _keep_delta(self, previous: Release | None, delta: bytes | None) -> None:
        current = self.acceptance.release
        if previous is None or current is None:
            return
        encoded = delta or make_delta(previous, current)
        if encoded is None or len(encoded) > MAX_DELTA_BYTES:
            return
        base = bytes.fromhex(previous.envelope.digest)
        self.deltas[base] = BundleDelta(self.number, base, encoded)
        self.successors[base] = self.digest
        if len(self.deltas) > MAX_DELTAS:
            oldest = next(iter(self.deltas))
            self.deltas.pop(oldest)
            self.successors.pop(oldest)

    def _report_refusal(self, exc: TamarackfieldError, source: str) -> None:
        details: dict[str, Any] = {'error': exc.message, 'step': exc.step, 'source': source, 'in_force': self.number}
        is_conflict = isinstance(exc, BundleConflictError)
        self.count('bundle_conflicts' if is_conflict else 'bundles_refused')
        if exc.message in self.reported_refusals:
            return
        if len(self.reported_refusals) >= MAX_REPORTED_REFUSALS:
            self.reported_refusals.clear()
        self.reported_refusals.add(exc.message)
        self.record('bundle_conflict' if is_conflict else 'bundle_refused', **details)
        if is_conflict:
            logger.bind(**details).error('bundle_conflict')
