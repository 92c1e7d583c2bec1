"""Which bundle is in force in this process: it only ever goes forward."""

from tamarackfield.bundle.content import ContentChecker
from tamarackfield.bundle.delta import Release
from tamarackfield.bundle.model import Bundle
from tamarackfield.bundle.shards import manifest_digests
from tamarackfield.bundle.signing import Envelope, open_envelope
from tamarackfield.core.errors import TamarackfieldError
from tamarackfield.core.settings import format_problems


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
        self.bundle: Bundle | None = None
        self.release: Release | None = None
        self.checker = ContentChecker()

    @property
    def number(self) -> int:
        """Number of the bundle in force; 0 before the first."""
        return 0 if self.bundle is None else self.bundle.number

    def examine(self, encoded: bytes) -> Envelope | None:
        """Check an envelope before its shards are fetched.

        Parameters
        ----------
        encoded : bytes
            Signed manifest, from anyone.

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
        envelope = open_envelope(encoded, self.trusted_keys)
        number = envelope.manifest.get('number')
        if not isinstance(number, int):
            raise BundleRefusedError('manifest has no number', step='examine')
        if self.bundle is None or number > self.bundle.number:
            return envelope
        if number < self.bundle.number:
            raise BundleRefusedError(f'bundle {number} is older than {self.number} in force', step='examine')
        if envelope.digest != self.bundle.digest:
            raise BundleConflictError(f'two bundles have the number {number}', step='examine')
        return None

    def accept(self, envelope: Envelope, shards: dict[str, bytes]) -> Bundle:
        """Put a bundle in force, whole or not at all.

        Parameters
        ----------
        envelope : Envelope
            As returned by `examine`.
        shards : dict
            Content of each shard by SHA-256.

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
        bundle, problems = self.checker.check(envelope, shards)
        if bundle is None:
            raise BundleRefusedError(format_problems(problems), step='validate')
        self.bundle = bundle
        self.release = Release(envelope, {digest: shards[digest] for digest in manifest_digests(envelope.manifest)})
        signing_keys = envelope.manifest.get('signing_keys')
        if signing_keys:
            self.trusted_keys = frozenset(signing_keys)
        return bundle
