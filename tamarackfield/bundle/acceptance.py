"""Which bundle is in force in this process: it only ever goes forward."""

import dataclasses
from collections import ChainMap
from collections.abc import Mapping, Sequence

from tamarackfield.bundle.content import ContentChecker
from tamarackfield.bundle.delta import Release
from tamarackfield.bundle.model import Bundle
from tamarackfield.bundle.signing import Envelope, SignatureError, open_envelope
from tamarackfield.core import format_problems
from tamarackfield.core.errors import TamarackfieldError

#: Changes of the signing keys that are kept for peers that missed them.
MAX_ROTATIONS = 16


class BundleRefusedError(TamarackfieldError):
    """A bundle was not accepted; the one in force stays."""


class BundleConflictError(BundleRefusedError):
    """Two bundles, both with a good signature, have one number."""


class Acceptance:
    """Holds the bundle in force and the keys that may sign the next one.

    Parameters
    ----------
    trusted_keys : frozenset of str
        Public keys from the settings, in base64.
    """

    def __init__(self, trusted_keys: frozenset[str]) -> None:
        """Start without a bundle."""
        self.trusted_keys = trusted_keys
        self.checker = ContentChecker()
        self.rotations: list[bytes] = []

    @property
    def bundle(self) -> Bundle | None:
        """The bundle in force, None before the first."""
        return self.checker.bundle

    @property
    def release(self) -> Release | None:
        """Its envelope and shards, None before the first."""
        return self.checker.release

    @property
    def number(self) -> int:
        """Number of the bundle in force; 0 before the first."""
        return 0 if self.bundle is None else self.bundle.number

    def examine(self, encoded: bytes, rotations: Sequence[bytes] = ()) -> Envelope | None:
        """Check an envelope before its shards are fetched.

        Parameters
        ----------
        encoded : bytes
            Signed manifest, from anyone.
        rotations : sequence of bytes
            Envelopes of earlier bundles that changed the signing keys, oldest first, from anyone.

        Returns
        -------
        Envelope or None
            None if the bundle is in force already.

        Raises
        ------
        SignatureError
            If the signature is not good.
        BundleRefusedError
            If its number is not greater than the one in force.
        BundleConflictError
            If it has the number in force and other content.
        """
        trusted_keys, chain = self._keys_after(rotations)
        envelope = dataclasses.replace(open_envelope(encoded, trusted_keys), rotations=chain)
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
        """Put a bundle in force, whole or not at all.

        Parameters
        ----------
        envelope : Envelope
            As returned by `examine`.
        shards : dict
            Content of the shards that are not in force already, by SHA-256.

        Returns
        -------
        Bundle
            Now in force.

        Raises
        ------
        ShardError
            If a shard is missing or corrupted.
        BundleRefusedError
            If the content has problems or another bundle came first.
        """
        number = envelope.manifest['number']
        if number <= self.number:
            raise BundleRefusedError(f'bundle {number} is not newer than {self.number}', step='accept')
        problems = self.checker.check(envelope, ChainMap(shards, {} if self.release is None else self.release.shards))
        if problems:
            raise BundleRefusedError(format_problems(problems), step='validate')
        self._rotate(envelope)
        return self.bundle

    def _rotate(self, envelope: Envelope) -> None:
        self.rotations.extend(envelope.rotations)
        signing_keys = frozenset(envelope.manifest.get('signing_keys') or envelope.trusted_keys)
        if signing_keys != envelope.trusted_keys:
            self.rotations.append(envelope.encoded)
        self.trusted_keys = signing_keys
        self.rotations = self.rotations[-MAX_ROTATIONS:]

    def _keys_after(self, rotations: Sequence[bytes]) -> tuple[frozenset[str], tuple[bytes, ...]]:
        """Return the keys to which signed rotations lead from those trusted now, and those rotations."""
        trusted_keys = self.trusted_keys
        chain: list[bytes] = []
        for encoded in rotations[-MAX_ROTATIONS:]:
            try:
                manifest = open_envelope(encoded, trusted_keys).manifest
            except SignatureError:
                continue
            number = manifest.get('number')
            if isinstance(number, int) and number > self.number and manifest.get('signing_keys'):
                trusted_keys = frozenset(manifest['signing_keys'])
                chain.append(encoded)
        return trusted_keys, tuple(chain)
