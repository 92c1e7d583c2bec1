"""Bundles are accepted atomically, and only if they are signed by a trusted key and newer."""

import json

import pytest

from tamarackfield.bundle import Acceptance, BundleRefusedError, SignatureError, generate_key, publish
from tamarackfield.bundle.shards import ShardError
from tamarackfield.testing.cluster import make_bundle

PRIVATE_KEY, PUBLIC_KEY = generate_key()


def make_publication(number, key=PRIVATE_KEY, **other_members):
    targets = {
        'engine-1': {'kind': 'engine', 'model': 'base', 'address': '127.0.0.1:1', 'zone': 'z', 'region': 'west'},
    }
    return publish({'number': number, 'targets': targets, **make_bundle(('c',), ('a@v1',)), **other_members}, key)


def accept_publication(acceptance, publication):
    envelope = acceptance.examine(publication.envelope)
    return None if envelope is None else acceptance.accept(envelope, publication.shards)


def test_only_newer_bundles_are_accepted():
    acceptance = Acceptance(frozenset((PUBLIC_KEY,)))
    assert accept_publication(acceptance, make_publication(3)).number == 3
    assert accept_publication(acceptance, make_publication(3)) is None
    with pytest.raises(BundleRefusedError, match='older'):
        accept_publication(acceptance, make_publication(2))
    with pytest.raises(BundleRefusedError, match='two bundles'):
        accept_publication(acceptance, make_publication(3, weights={'load_stalls': 9}))
    assert accept_publication(acceptance, make_publication(4)).number == 4


def test_forged_and_corrupted_bundles_are_refused():
    acceptance = Acceptance(frozenset((PUBLIC_KEY,)))
    with pytest.raises(SignatureError, match='not trusted'):
        accept_publication(acceptance, make_publication(1, generate_key()[0]))
    valid_publication = make_publication(1)
    document = json.loads(valid_publication.envelope)
    document['payload'] = document['payload'].replace('"number":1', '"number":9')
    with pytest.raises(SignatureError, match='wrong'):
        acceptance.examine(json.dumps(document).encode())
    envelope = acceptance.examine(valid_publication.envelope)
    broken = dict.fromkeys(valid_publication.shards, b'{}')
    with pytest.raises(ShardError, match='corrupted'):
        acceptance.accept(envelope, broken)
    with pytest.raises(ShardError, match='missing'):
        acceptance.accept(envelope, {})
    assert acceptance.bundle is None


def test_bundle_with_invalid_content_is_refused_as_a_whole():
    acceptance = Acceptance(frozenset((PUBLIC_KEY,)))
    invalid_publication = make_publication(1, callers={})
    with pytest.raises(BundleRefusedError, match='is not a caller'):
        accept_publication(acceptance, invalid_publication)
    assert acceptance.number == 0


def test_bundle_signed_with_the_old_key_rotates_the_signing_keys():
    new_private, new_public = generate_key()
    acceptance = Acceptance(frozenset((PUBLIC_KEY,)))
    accept_publication(acceptance, make_publication(1, signing_keys=[new_public]))
    with pytest.raises(SignatureError):
        accept_publication(acceptance, make_publication(2))
    assert accept_publication(acceptance, make_publication(2, new_private)).number == 2


def test_process_that_missed_rotations_follows_their_signed_chain():
    keys = [(PRIVATE_KEY, PUBLIC_KEY), generate_key(), generate_key()]
    current = Acceptance(frozenset((PUBLIC_KEY,)))
    outdated = Acceptance(frozenset((PUBLIC_KEY,)))
    accept_publication(outdated, make_publication(1))
    accept_publication(current, make_publication(2, keys[0][0], signing_keys=[keys[1][1]]))
    accept_publication(current, make_publication(3, keys[1][0], signing_keys=[keys[2][1]]))
    newest = make_publication(4, keys[2][0], signing_keys=[keys[2][1]])
    accept_publication(current, newest)
    with pytest.raises(SignatureError, match='not trusted'):
        outdated.examine(newest.envelope)
    forged = make_publication(5, generate_key()[0], signing_keys=[generate_key()[1]]).envelope
    with pytest.raises(SignatureError, match='not trusted'):
        outdated.examine(newest.envelope, [forged, current.rotations[1]])
    assert outdated.accept(outdated.examine(newest.envelope, current.rotations), newest.shards).number == 4
    assert outdated.rotations == current.rotations
    with pytest.raises(SignatureError, match='not trusted'):
        outdated.examine(make_publication(5, keys[1][0]).envelope, current.rotations)
