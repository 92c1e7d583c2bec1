"""Deltas between two releases of the bundle: the entries that changed and the new signature.

A delta needs no signature of its own. Its receiver applies the changes to its shards, computes
their hashes and so the manifest, and the signature in the delta must fit that manifest.
"""

import json
from dataclasses import dataclass
from typing import Any

from tamarackfield.bundle.packed import PackedShards
from tamarackfield.bundle.shards import ShardError, decode_shard, encode_shard, shard_listing
from tamarackfield.bundle.signing import Envelope, encode_envelope, encode_payload
from tamarackfield.bundle.table import bucket_of

#: What a delta of the wrong shape raises when it is applied.
_MALFORMED = (ValueError, LookupError, TypeError, AttributeError)


@dataclass(frozen=True, slots=True)
class Release:
    """One number of the bundle: the envelope and the content of its shards by SHA-256."""

    envelope: Envelope
    shards: PackedShards

    @property
    def listing(self) -> dict[str, list[dict[str, Any]]]:
        """The shards of each section as the manifest lists them."""
        return self.envelope.manifest['shards']

    def content(self, section: str, bucket: int) -> dict[str, Any]:
        """Return one decoded shard."""
        shard = self.listing[section][bucket]
        return decode_shard(self.shards[shard['sha256']])


def make_delta(old: Release, new: Release) -> bytes | None:
    """Return the changes from one release to another.

    Parameters
    ----------
    old, new : Release
        Both whole.

    Returns
    -------
    bytes or None
        JSON for `apply_delta`; None if a section is split into another number of shards.
    """
    old_listing = old.listing
    new_listing = new.listing
    if {name: len(shards) for name, shards in old_listing.items()} != {
        name: len(shards) for name, shards in new_listing.items()
    }:
        return None
    sections = {name: _section_changes(old, new, name) for name in new_listing}
    delta = {
        'number': new.envelope.manifest['number'],
        'signing_keys': new.envelope.manifest['signing_keys'],
        'signature': new.envelope.signature,
        'public_key': new.envelope.public_key,
        'sections': {name: changes for name, changes in sections.items() if changes['set'] or changes['remove']},
    }
    return json.dumps(delta, separators=(',', ':')).encode()


def _section_changes(old: Release, new: Release, section: str) -> dict[str, Any]:
    changes: dict[str, Any] = {'set': {}, 'remove': []}
    old_shards = old.listing[section]
    new_shards = new.listing[section]
    for bucket, (before, after) in enumerate(zip(old_shards, new_shards, strict=True)):
        if before['sha256'] != after['sha256']:
            old_content = old.content(section, bucket)
            new_content = new.content(section, bucket)
            changed = {name: entry for name, entry in new_content.items() if old_content.get(name) != entry}
            changes['set'].update(changed)
            changes['remove'].extend(old_content.keys() - new_content.keys())
    return changes


def apply_delta(old: Release, encoded: bytes) -> tuple[bytes, dict[str, bytes]]:
    """Compute a release from the one before it.

    Parameters
    ----------
    old : Release
        The release from which the delta was made.
    encoded : bytes
        From a peer, not trusted.

    Returns
    -------
    tuple of bytes and dict
        An envelope whose signature is still to be checked, and the shards that the old release lacks.

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
            _change_section(old, section, changes, listing[section], shards)
        manifest = {'number': delta['number'], 'signing_keys': delta['signing_keys'], 'shards': listing}
        envelope = encode_envelope(encode_payload(manifest), delta['signature'], delta['public_key'])
    except _MALFORMED as exc:
        raise ShardError(f'delta is malformed: {exc!r}', step='apply_delta') from None
    return envelope, shards


def _change_section(
    old: Release,
    section: str,
    changes: dict[str, Any],
    listing: list[dict[str, Any]],
    shards: dict[str, bytes],
) -> None:
    touched: dict[int, dict[str, Any]] = {}
    for name in (*changes['set'], *changes['remove']):
        bucket = bucket_of(name, len(listing))
        if bucket not in touched:
            touched[bucket] = old.content(section, bucket)
        touched[bucket].pop(name, None)
    for name, entry in changes['set'].items():
        touched[bucket_of(name, len(listing))][name] = entry
    for bucket, content in touched.items():
        encoded = encode_shard(content)
        listing[bucket] = shard_listing(encoded)
        shards[listing[bucket]['sha256']] = encoded
