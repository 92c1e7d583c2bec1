"""Ed25519 signatures over a bundle's manifest."""

import base64
import binascii
import hashlib
import json
from dataclasses import dataclass
from typing import Any

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric import ed25519

from tamarackfield.core.errors import TamarackfieldError

#: Members of an envelope, all text.
ENVELOPE_MEMBERS = ('payload', 'signature', 'public_key')


class SignatureError(TamarackfieldError):
    """An envelope is malformed or not signed by a trusted key."""


@dataclass(frozen=True, slots=True)
class Envelope:
    """A manifest whose signature was checked.

    Parameters
    ----------
    manifest : dict
        Decoded manifest.
    digest : str
        SHA-256 of the signed bytes, in hex.
    public_key : str
        The key that signed it, base64.
    signature : str
        Base64.
    encoded : bytes
        The envelope as it was received.
    trusted_keys : frozenset of str
        The keys under which it was checked.
    rotations : tuple of bytes
        Envelopes of the earlier bundles that led to these keys.
    """

    manifest: dict[str, Any]
    digest: str
    public_key: str
    signature: str = ''
    encoded: bytes = b''
    trusted_keys: frozenset[str] = frozenset()
    rotations: tuple[bytes, ...] = ()


def generate_key() -> tuple[str, str]:
    """Make a signing key.

    Returns
    -------
    tuple of str
        Private and public key, each 32 raw bytes in base64.
    """
    private_key = ed25519.Ed25519PrivateKey.generate()
    public_bytes = private_key.public_key().public_bytes_raw()
    return _to_text(private_key.private_bytes_raw()), _to_text(public_bytes)


def seal(manifest: dict[str, Any], private_key: str) -> bytes:
    """Sign a manifest.

    Parameters
    ----------
    manifest : dict
        What is signed.
    private_key : str
        Base64 of 32 bytes.

    Returns
    -------
    bytes
        The envelope in JSON: payload, signature and public key.
    """
    signer = ed25519.Ed25519PrivateKey.from_private_bytes(base64.b64decode(private_key, validate=True))
    payload = encode_payload(manifest)
    return encode_envelope(
        payload, _to_text(signer.sign(payload.encode())), _to_text(signer.public_key().public_bytes_raw())
    )


def encode_payload(manifest: dict[str, Any]) -> str:
    """Return the one text of a manifest that is signed."""
    return json.dumps(manifest, sort_keys=True, separators=(',', ':'))


def encode_envelope(payload: str, signature: str, public_key: str) -> bytes:
    """Return an envelope in JSON."""
    return json.dumps({'payload': payload, 'signature': signature, 'public_key': public_key}).encode()


def open_envelope(encoded: bytes, trusted_keys: frozenset[str]) -> Envelope:
    """Check an envelope's signature and return its manifest.

    Parameters
    ----------
    encoded : bytes
        What `seal` returned.
    trusted_keys : frozenset of str
        Public keys in base64.

    Returns
    -------
    Envelope
        The manifest and what identifies it.

    Raises
    ------
    SignatureError
        If the envelope is malformed, its key is not trusted or its signature is wrong.
    """
    payload, signature, public_key = _read_envelope(encoded)
    if public_key not in trusted_keys:
        raise SignatureError(f'key {public_key!r} is not trusted', step='verify')
    _verify(public_key, signature, payload)
    manifest = json.loads(payload)
    if not isinstance(manifest, dict):
        raise SignatureError('manifest is not an object', step='verify')
    digest = hashlib.sha256(payload).hexdigest()
    return Envelope(manifest, digest, public_key, _to_text(signature), encoded, trusted_keys)


def _read_envelope(encoded: bytes) -> tuple[bytes, bytes, str]:
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


def _verify(public_key: str, signature: bytes, payload: bytes) -> None:
    try:
        verifier = ed25519.Ed25519PublicKey.from_public_bytes(base64.b64decode(public_key, validate=True))
        verifier.verify(signature, payload)
    except (InvalidSignature, ValueError, binascii.Error):
        raise SignatureError(f'signature by key {public_key!r} is wrong', step='verify') from None


def _to_text(raw: bytes) -> str:
    return base64.b64encode(raw).decode('ascii')
