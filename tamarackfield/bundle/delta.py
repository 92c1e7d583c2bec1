"""Deltas between two releases of the bundle: the changed entries and the signature of the new manifest.

A delta has no signature of its own. The receiver applies the changes to its shards and recomputes
their hashes and the manifest; the signature in the delta must verify against that manifest.
"""

import json
from dataclasses import dataclass
from typing import Any

from tamarackfield.bundle.compressed_shards import CompressedShards
from tamarackfield.bundle.shard_table import bucket_index
from tamarackfield.bundle.shards import ShardError, decode_shard, describe_shard, encode_shard
from tamarackfield.bundle.signing import Envelope, encode_envelope, encode_payload
from tamarackfield.core.fields import MALFORMED


@dataclass(frozen=True, slots=True)
class Release:
    """One numbered release of the bundle: its envelope and the content of its shards by SHA-256."""

    envelope: Envelope
    shards: CompressedShards

    @property
    def listing(self) -> dict[str, list[dict[str, Any]]]:
        """Shards of each section as listed in the manifest."""
        return self.envelope.manifest['shards']

    def decode_bucket(self, section: str, bucket: int) -> dict[str, Any]:
        """Return the decoded shard of one bucket of a section."""
        shard = self.listing[section][bucket]
        return decode_shard(self.shards[shard['sha256']])


def make_delta(old: Release, new: Release) -> bytes | None:
    """Return the changes from one release to another.

    Parameters
    ----------
    old, new : Release
        Complete releases.

    Returns
    -------
    bytes or None
        JSON for `apply_delta`; None if the sections or their numbers of shards differ.
    """
    old_listing = old.listing
    new_listing = new.listing
    if {name: len(shards) for name, shards in old_listing.items()} != {
        name: len(shards) for name, shards in new_listing.items()
    }:
        return None
    sections = {name: _diff_section(old, new, name) for name in new_listing}
    delta = {
        'number': new.envelope.manifest['number'],
        'signing_keys': new.envelope.manifest['signing_keys'],
        'signature': new.envelope.signature,
        'public_key': new.envelope.public_key,
        'sections': {name: changes for name, changes in sections.items() if changes['set'] or changes['remove']},
    }
    return json.dumps(delta, separators=(',', ':')).encode()


def _diff_section(old: Release, new: Release, section: str) -> dict[str, Any]:
    changes: dict[str, Any] = {'set': {}, 'remove': []}
    old_shards = old.listing[section]
    new_shards = new.listing[section]
    for bucket, (before, after) in enumerate(zip(old_shards, new_shards, strict=True)):
        if before['sha256'] != after['sha256']:
            old_content = old.decode_bucket(section, bucket)
            new_content = new.decode_bucket(section, bucket)
            changed = {name: entry for name, entry in new_content.items() if old_content.get(name) != entry}
            changes['set'].update(changed)
            changes['remove'].extend(old_content.keys() - new_content.keys())
    return changes


def apply_delta(old: Release, encoded: bytes) -> tuple[bytes, dict[str, bytes]]:
    """Compute a release from the previous one and a delta.

    Parameters
    ----------
    old : Release
        The release from which the delta was made.
    encoded : bytes
        Delta from an untrusted peer.

    Returns
    -------
    tuple of bytes and dict
        Envelope whose signature is not verified yet, and the changed shards by SHA-256.

    Raises
    ------
    ShardError
        If the delta is malformed.
    """
    try:
        delta = json.loads(encoded)
        listing = {name: list(shards) for name, shards in old.listing.items()}
        shards: dict[str, bytes] = {}
        for section, changes in delta['sections'].items():
            _apply_section_changes(old, section, changes, listing[section], shards)
        manifest = {'number': delta['number'], 'signing_keys': delta['signing_keys'], 'shards': listing}
        envelope = encode_envelope(encode_payload(manifest), delta['signature'], delta['public_key'])
    except MALFORMED as exc:
        raise ShardError(f'delta is malformed: {exc!r}', step='apply_delta') from None
    return envelope, shards


def _apply_section_changes(
    old: Release,
    section: str,
    changes: dict[str, Any],
    listing: list[dict[str, Any]],
    shards: dict[str, bytes],
) -> None:
    changed_buckets: dict[int, dict[str, Any]] = {}
    for name in (*changes['set'], *changes['remove']):
        bucket = bucket_index(name, len(listing))
        if bucket not in changed_buckets:
            changed_buckets[bucket] = old.decode_bucket(section, bucket)
        changed_buckets[bucket].pop(name, None)
    for name, entry in changes['set'].items():
        changed_buckets[bucket_index(name, len(listing))][name] = entry
    for bucket, content in changed_buckets.items():
        encoded = encode_shard(content)
        listing[bucket] = describe_shard(encoded)
        shards[listing[bucket]['sha256']] = encoded
