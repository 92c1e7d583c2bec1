"""Content-hashed shards, each far below the service's limit of 1 MB, under a signed manifest.

The manifest lists the shards by section with their SHA-256 and size. An entry's shard follows
from the hash of its name, so a change of one entry changes one shard and the manifest.
"""

import hashlib
import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from tamarackfield.bundle.signing import seal
from tamarackfield.bundle.table import bucket_of
from tamarackfield.core.errors import TamarackfieldError

#: Name of the manifest in the configuration service.
MANIFEST_NAME = 'bundle/manifest'
#: Size aimed at for one shard, in bytes.
SHARD_BYTES = 65_536
#: Sections that are split by entry name; everything else is in the shard ``general``.
SPLIT_SECTIONS = ('adapters', 'callers', 'services', 'targets')
GENERAL_SECTION = 'general'


class ShardError(TamarackfieldError):
    """A shard is missing, corrupted or does not fit its manifest."""


@dataclass(frozen=True, slots=True)
class Publication:
    """What an operator puts into the configuration service.

    Parameters
    ----------
    envelope : bytes
        Signed manifest.
    shards : dict
        Content of each shard by its SHA-256 in hex.
    """

    envelope: bytes
    shards: dict[str, bytes]

    def items(self) -> dict[str, bytes]:
        """Return every value by its name in the configuration service."""
        named = {shard_path(digest): content for digest, content in self.shards.items()}
        return {**named, MANIFEST_NAME: self.envelope}


def shard_path(digest: str) -> str:
    """Return the name of a shard in the configuration service."""
    return f'bundle/shards/{digest}'


def publish(document: dict[str, Any], private_key: str) -> Publication:
    """Split a valid bundle into shards and sign their manifest.

    Parameters
    ----------
    document : dict
        The bundle.
    private_key : str
        Signing key in base64.

    Returns
    -------
    Publication
        Manifest and shards.
    """
    shards: dict[str, bytes] = {}
    listing: dict[str, list[dict[str, Any]]] = {}
    for section, buckets in _sections(document).items():
        encoded = [encode_shard(bucket) for bucket in buckets]
        listing[section] = [shard_listing(content) for content in encoded]
        shards.update({shard['sha256']: content for shard, content in zip(listing[section], encoded, strict=True)})
    manifest = {
        'number': document['number'],
        'signing_keys': document.get('signing_keys', []),
        'shards': listing,
    }
    return Publication(seal(manifest, private_key), shards)


def shard_listing(content: bytes) -> dict[str, Any]:
    """Return how a manifest lists a shard."""
    return {'sha256': hashlib.sha256(content).hexdigest(), 'size': len(content)}


def manifest_digests(manifest: dict[str, Any]) -> list[str]:
    """Return the SHA-256 of every shard of a manifest.

    Raises
    ------
    ShardError
        If the manifest is malformed.
    """
    try:
        return [shard['sha256'] for listing in manifest['shards'].values() for shard in listing]
    except (KeyError, TypeError, AttributeError) as exc:
        raise ShardError(f'manifest is malformed: {exc!r}', step='read_manifest') from None


def join_shards(manifest: dict[str, Any], shards: Mapping[str, bytes]) -> dict[str, Any]:
    """Put a bundle together again.

    Parameters
    ----------
    manifest : dict
        From a checked envelope.
    shards : dict
        Content by SHA-256.

    Returns
    -------
    dict
        The bundle's document.

    Raises
    ------
    ShardError
        If a shard is missing or its content does not match its hash.
    """
    document: dict[str, Any] = {}
    for section, listing in manifest['shards'].items():
        merged: dict[str, Any] = {}
        for shard in listing:
            merged.update(decode_shard(check_shard(shard['sha256'], shards)))
        if section == GENERAL_SECTION:
            document.update(merged)
        else:
            document[section] = merged
    document['number'] = manifest['number']
    return document


def check_shard(digest: str, shards: Mapping[str, bytes]) -> bytes:
    """Return the content of a shard whose hash was checked.

    Raises
    ------
    ShardError
        If it is missing or does not match its hash.
    """
    content = shards.get(digest)
    if content is None:
        raise ShardError(f'shard {digest} is missing', step='join_shards')
    if hashlib.sha256(content).hexdigest() != digest:
        raise ShardError(f'shard {digest} is corrupted', step='join_shards')
    return content


def decode_shard(content: bytes) -> dict[str, Any]:
    """Decode a shard.

    Raises
    ------
    ShardError
        If it is not a JSON object.
    """
    try:
        document = json.loads(content)
    except ValueError as exc:
        raise ShardError(f'shard is not JSON: {exc}', step='join_shards') from None
    if not isinstance(document, dict):
        raise ShardError('shard is not a JSON object', step='join_shards')
    return document


def _sections(document: dict[str, Any]) -> dict[str, list[dict[str, Any]]]:
    general = {name: part for name, part in document.items() if name not in {*SPLIT_SECTIONS, 'number'}}
    sections = {GENERAL_SECTION: [general]}
    for section in SPLIT_SECTIONS:
        entries = document.get(section, {})
        size = sum(len(encode_shard(entry)) + len(name) for name, entry in entries.items())
        buckets = 1 << (size // SHARD_BYTES).bit_length()
        sections[section] = _split(entries, buckets)
    return sections


def _split(entries: dict[str, Any], buckets: int) -> list[dict[str, Any]]:
    split: list[dict[str, Any]] = [{} for _ in range(buckets)]
    for name, entry in entries.items():
        split[bucket_of(name, buckets)][name] = entry
    return split


def encode_shard(content: Any) -> bytes:
    """Return the one encoding of a shard, so that equal content has equal hashes."""
    return json.dumps(content, sort_keys=True, separators=(',', ':')).encode()
