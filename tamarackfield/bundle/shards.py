"""Content-addressed shards of a bundle under a signed manifest.

Each shard is far smaller than the configuration service's limit of 1 MB. The manifest lists the
shards by section with their SHA-256 and size. The hash of an entry's name determines its shard, so a
change of one entry changes one shard and the manifest.
"""

import hashlib
import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from tamarackfield.bundle.shard_table import bucket_index
from tamarackfield.bundle.signing import sign_manifest
from tamarackfield.core.errors import TamarackfieldError

#: Name of the manifest in the configuration service.
MANIFEST_NAME = 'bundle/manifest'
#: Size aimed at for a shard, in bytes; the average shard of a section is smaller.
SHARD_BYTES = 65_536
#: Sections that are split by entry name; all other members go into the one shard of ``general``.
SPLIT_SECTIONS = ('adapters', 'callers', 'services', 'targets')
GENERAL_SECTION = 'general'


class ShardError(TamarackfieldError):
    """A shard or delta is missing or corrupted, or does not match its manifest."""


@dataclass(frozen=True, slots=True)
class Publication:
    """Values that an operator writes to the configuration service.

    Parameters
    ----------
    envelope : bytes
        Signed manifest.
    shards : dict
        Content of each shard by SHA-256 in hex.
    """

    envelope: bytes
    shards: dict[str, bytes]

    def items(self) -> dict[str, bytes]:
        """Return each value by its name in the configuration service."""
        named = {shard_path(digest): content for digest, content in self.shards.items()}
        return {**named, MANIFEST_NAME: self.envelope}


def shard_path(digest: str) -> str:
    """Return the name of a shard in the configuration service."""
    return f'bundle/shards/{digest}'


def publish(document: dict[str, Any], private_key: str) -> Publication:
    """Split a valid bundle into shards and sign the manifest that lists them.

    Parameters
    ----------
    document : dict
        Valid document of the bundle.
    private_key : str
        Private signing key, 32 raw bytes in base64.

    Returns
    -------
    Publication
        Signed manifest and shards.
    """
    shards: dict[str, bytes] = {}
    listing: dict[str, list[dict[str, Any]]] = {}
    for section, buckets in _split_sections(document).items():
        encoded = [encode_shard(bucket) for bucket in buckets]
        listing[section] = [describe_shard(content) for content in encoded]
        shards.update({shard['sha256']: content for shard, content in zip(listing[section], encoded, strict=True)})
    manifest = {
        'number': document['number'],
        'signing_keys': document.get('signing_keys', []),
        'shards': listing,
    }
    return Publication(sign_manifest(manifest, private_key), shards)


def describe_shard(content: bytes) -> dict[str, Any]:
    """Return the entry of a shard in a manifest: its SHA-256 in hex and its size in bytes."""
    return {'sha256': hashlib.sha256(content).hexdigest(), 'size': len(content)}


def manifest_digests(manifest: dict[str, Any]) -> list[str]:
    """Return the SHA-256 of every shard that a manifest lists.

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
    """Reassemble the document of a bundle from its shards.

    Parameters
    ----------
    manifest : dict
        Manifest of a verified envelope.
    shards : dict
        Content of each shard by SHA-256 in hex.

    Returns
    -------
    dict
        Document of the bundle.

    Raises
    ------
    ShardError
        If a shard is missing or its content does not match its hash.
    """
    document: dict[str, Any] = {}
    for section, listing in manifest['shards'].items():
        merged: dict[str, Any] = {}
        for shard in listing:
            merged.update(decode_shard(verify_shard(shard['sha256'], shards)))
        if section == GENERAL_SECTION:
            document.update(merged)
        else:
            document[section] = merged
    document['number'] = manifest['number']
    return document


def verify_shard(digest: str, shards: Mapping[str, bytes]) -> bytes:
    """Look up a shard, verify its hash and return its content.

    Raises
    ------
    ShardError
        If the shard is missing or does not match its hash.
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
        If the content is not a JSON object.
    """
    try:
        document = json.loads(content)
    except ValueError as exc:
        raise ShardError(f'shard is not JSON: {exc}', step='join_shards') from None
    if not isinstance(document, dict):
        raise ShardError('shard is not a JSON object', step='join_shards')
    return document


def _split_sections(document: dict[str, Any]) -> dict[str, list[dict[str, Any]]]:
    general = {name: part for name, part in document.items() if name not in {*SPLIT_SECTIONS, 'number'}}
    sections = {GENERAL_SECTION: [general]}
    for section in SPLIT_SECTIONS:
        entries = document.get(section, {})
        size = sum(len(encode_shard(entry)) + len(name) for name, entry in entries.items())
        buckets = 1 << (size // SHARD_BYTES).bit_length()
        sections[section] = _split_entries(entries, buckets)
    return sections


def _split_entries(entries: dict[str, Any], buckets: int) -> list[dict[str, Any]]:
    split: list[dict[str, Any]] = [{} for _ in range(buckets)]
    for name, entry in entries.items():
        split[bucket_index(name, buckets)][name] = entry
    return split


def encode_shard(content: Any) -> bytes:
    """Return the canonical JSON encoding of a shard, so that equal content has equal hashes."""
    return json.dumps(content, sort_keys=True, separators=(',', ':')).encode()
