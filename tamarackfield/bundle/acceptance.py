"""Acceptance of bundles: the number of the bundle in force in a process only increases."""

import dataclasses
from collections import ChainMap
from collections.abc import Mapping, Sequence

from tamarackfield.bundle.content import ContentChecker
from tamarackfield.bundle.delta import Release
from tamarackfield.bundle.model import Bundle
from tamarackfield.bundle.signing import Envelope, SignatureError, verify_envelope
from tamarackfield.core import format_problems
from tamarackfield.core.errors import TamarackfieldError

#: Most recent envelopes that rotated the signing keys, kept for peers that missed them.
MAX_KEY_ROTATIONS = 16


class BundleRefusedError(TamarackfieldError):
    """A bundle was refused; the one in force does not change."""


class BundleConflictError(BundleRefusedError):
    """Two different bundles, both with a valid signature, have the same number."""


class Acceptance:
    """The bundle in force and the public keys that may sign the next one.

    Parameters
    ----------
    trusted_keys : frozenset of str
        Initial public keys, from the settings, in base64.
    """

    def __init__(self, trusted_keys: frozenset[str]) -> None:
        """Initialize without a bundle."""
        self.trusted_keys = trusted_keys
        self.checker = ContentChecker()
        self.rotations: list[bytes] = []

    @property
    def bundle(self) -> Bundle | None:
        """The bundle in force; None before the first is accepted."""
        return self.checker.bundle

    @property
    def release(self) -> Release | None:
        """Envelope and shards of the bundle in force; None before the first is accepted."""
        return self.checker.release

    @property
    def number(self) -> int:
        """Number of the bundle in force; 0 before the first is accepted."""
        return 0 if self.bundle is None else self.bundle.number

    def examine(self, encoded: bytes, rotations: Sequence[bytes] = ()) -> Envelope | None:
        """Check an envelope before its shards are fetched.

        Parameters
        ----------
        encoded : bytes
            Signed manifest from an untrusted source.
        rotations : sequence of bytes
            Envelopes of earlier bundles that rotated the signing keys, oldest first, from an untrusted source.

        Returns
        -------
        Envelope or None
            The verified envelope; None if the bundle is in force already.

        Raises
        ------
        SignatureError
            If the envelope is malformed, its key is not trusted or its signature is wrong.
        BundleRefusedError
            If the manifest has no number or its number is less than the one in force.
        BundleConflictError
            If the number is the one in force but the content differs.
        """
        trusted_keys, chain = self._resolve_trusted_keys(rotations)
        envelope = dataclasses.replace(verify_envelope(encoded, trusted_keys), rotations=chain)
        number = envelope.manifest.get('number')
        if not isinstance(number, int):
            raise BundleRefusedError('manifest has no number', step='examine')
        if number > self.number or self.bundle is None:
            return envelope
        if number < self.bundle.number:
            raise BundleRefusedError(f'bundle {number} is older than {self.number} in force', step='examine')
        if envelope.digest != self.bundle.digest:
            raise BundleConflictError(f'two bundles have the number {number}', step='examine')
        return None

    def accept(self, envelope: Envelope, shards: Mapping[str, bytes]) -> Bundle:
        """Put a bundle in force atomically: either all of it or none.

        Parameters
        ----------
        envelope : Envelope
            Verified envelope from `examine`.
        shards : dict
            Content of the shards that the bundle in force lacks, by SHA-256 in hex.

        Returns
        -------
        Bundle
            The bundle that is now in force.

        Raises
        ------
        ShardError
            If a shard is missing or corrupted.
        BundleRefusedError
            If the content has problems or a bundle with this or a later number was accepted meanwhile.
        """
        number = envelope.manifest['number']
        if number <= self.number:
            raise BundleRefusedError(f'bundle {number} is not newer than {self.number} in force', step='accept')
        problems = self.checker.check_and_commit(
            envelope, ChainMap(shards, {} if self.release is None else self.release.shards)
        )
        if problems:
            raise BundleRefusedError(format_problems(problems), step='validate')
        self._apply_key_rotation(envelope)
        return self.bundle

    def _apply_key_rotation(self, envelope: Envelope) -> None:
        self.rotations.extend(envelope.rotations)
        signing_keys = frozenset(envelope.manifest.get('signing_keys') or envelope.trusted_keys)
        if signing_keys != envelope.trusted_keys:
            self.rotations.append(envelope.encoded)
        self.trusted_keys = signing_keys
        self.rotations = self.rotations[-MAX_KEY_ROTATIONS:]

    def _resolve_trusted_keys(self, rotations: Sequence[bytes]) -> tuple[frozenset[str], tuple[bytes, ...]]:
        """Follow signed key rotations from the keys trusted now; return the final keys and the rotations applied.

        Rotations that are not signed by the keys reached so far, that are not newer than the bundle
        in force or that state no signing keys are skipped.
        """
        trusted_keys = self.trusted_keys
        chain: list[bytes] = []
        for encoded in rotations[-MAX_KEY_ROTATIONS:]:
            try:
                manifest = verify_envelope(encoded, trusted_keys).manifest
            except SignatureError:
                continue
            number = manifest.get('number')
            if isinstance(number, int) and number > self.number and manifest.get('signing_keys'):
                trusted_keys = frozenset(manifest['signing_keys'])
                chain.append(encoded)
        return trusted_keys, tuple(chain)
