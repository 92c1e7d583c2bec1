"""Ed25519 signatures of a bundle's manifest."""

import base64
import binascii
import hashlib
import json
from dataclasses import dataclass
from typing import Any

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric import ed25519

from tamarackfield.core.errors import TamarackfieldError

#: Members of an envelope in JSON; each is a string.
ENVELOPE_MEMBERS = ('payload', 'signature', 'public_key')


class SignatureError(TamarackfieldError):
    """An envelope is malformed or not signed by a trusted key."""


@dataclass(frozen=True, slots=True)
class Envelope:
    """A manifest whose signature was verified.

    Parameters
    ----------
    manifest : dict
        Decoded manifest.
    digest : str
        SHA-256 of the signed payload, in hex.
    public_key : str
        Public key of the signer, in base64.
    signature : str
        Signature of the payload, in base64.
    encoded : bytes
        Envelope in JSON as received.
    trusted_keys : frozenset of str
        Public keys that were trusted when the envelope was verified.
    rotations : tuple of bytes
        Envelopes of the earlier bundles that rotated the signing keys to ``trusted_keys``.
    """

    manifest: dict[str, Any]
    digest: str
    public_key: str
    signature: str = ''
    encoded: bytes = b''
    trusted_keys: frozenset[str] = frozenset()
    rotations: tuple[bytes, ...] = ()


def generate_key() -> tuple[str, str]:
    """Generate a signing key pair.

    Returns
    -------
    tuple of str
        Private and public key, each 32 raw bytes in base64.
    """
    private_key = ed25519.Ed25519PrivateKey.generate()
    public_bytes = private_key.public_key().public_bytes_raw()
    return _encode_base64(private_key.private_bytes_raw()), _encode_base64(public_bytes)


def sign_manifest(manifest: dict[str, Any], private_key: str) -> bytes:
    """Sign a manifest.

    Parameters
    ----------
    manifest : dict
        Manifest to sign.
    private_key : str
        Private signing key, 32 raw bytes in base64.

    Returns
    -------
    bytes
        Envelope in JSON with the payload, the signature and the public key.
    """
    signer = ed25519.Ed25519PrivateKey.from_private_bytes(base64.b64decode(private_key, validate=True))
    payload = encode_payload(manifest)
    return encode_envelope(
        payload, _encode_base64(signer.sign(payload.encode())), _encode_base64(signer.public_key().public_bytes_raw())
    )


def encode_payload(manifest: dict[str, Any]) -> str:
    """Return the canonical JSON text of a manifest, over which the signature is computed."""
    return json.dumps(manifest, sort_keys=True, separators=(',', ':'))


def encode_envelope(payload: str, signature: str, public_key: str) -> bytes:
    """Return the JSON encoding of an envelope."""
    return json.dumps({'payload': payload, 'signature': signature, 'public_key': public_key}).encode()


def verify_envelope(encoded: bytes, trusted_keys: frozenset[str]) -> Envelope:
    """Verify the signature of an envelope and decode its manifest.

    Parameters
    ----------
    encoded : bytes
        Envelope in JSON, as returned by `sign_manifest`.
    trusted_keys : frozenset of str
        Trusted public keys, in base64.

    Returns
    -------
    Envelope
        Decoded manifest with its digest, signature and key.

    Raises
    ------
    SignatureError
        If the envelope is malformed, its key is not trusted or its signature is wrong.
    """
    payload, signature, public_key = _parse_envelope(encoded)
    if public_key not in trusted_keys:
        raise SignatureError(f'key {public_key!r} is not trusted', step='verify')
    _verify_signature(public_key, signature, payload)
    manifest = json.loads(payload)
    if not isinstance(manifest, dict):
        raise SignatureError('manifest is not an object', step='verify')
    digest = hashlib.sha256(payload).hexdigest()
    return Envelope(manifest, digest, public_key, _encode_base64(signature), encoded, trusted_keys)


def _parse_envelope(encoded: bytes) -> tuple[bytes, bytes, str]:
    try:
        document = json.loads(encoded)
    except ValueError as exc:
        raise SignatureError(f'envelope is not JSON: {exc}', step='verify') from None
    parts = [document.get(name) for name in ENVELOPE_MEMBERS] if isinstance(document, dict) else []
    if not parts or not all(isinstance(part, str) for part in parts):
        raise SignatureError('envelope lacks payload, signature or public key', step='verify')
    payload, signature, public_key = parts
    try:
        return payload.encode(), base64.b64decode(signature, validate=True), public_key
    except ValueError as exc:
        raise SignatureError(f'signature is not base64: {exc}', step='verify') from None


def _verify_signature(public_key: str, signature: bytes, payload: bytes) -> None:
    try:
        verifier = ed25519.Ed25519PublicKey.from_public_bytes(base64.b64decode(public_key, validate=True))
        verifier.verify(signature, payload)
    except (InvalidSignature, ValueError, binascii.Error):
        raise SignatureError(f'signature by key {public_key!r} is wrong', step='verify') from None


def _encode_base64(raw: bytes) -> str:
    return base64.b64encode(raw).decode('ascii')
