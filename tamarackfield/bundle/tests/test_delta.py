"""A delta reproduces exactly the signed bundle; otherwise it is refused."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tamarackfield.bundle import Acceptance, SignatureError, apply_delta, generate_key, make_delta, publish
from tamarackfield.bundle.shard_summary import make_section_schema, summarize_shard
from tamarackfield.bundle.shards import ShardError
from tamarackfield.core.settings import find_problems

PRIVATE_KEY, PUBLIC_KEY = generate_key()
TARGET = {'kind': 'engine', 'model': 'base', 'address': '127.0.0.1:1', 'zone': 'z', 'region': 'west'}
ENTRY = {'versions': {'v1': {'model': 'base'}}, 'grants': {'c': 5}}


def make_release(number, adapters, acceptance):
    document = {'number': number, 'callers': {'c': {'key_sha256': []}}, 'targets': {'t': TARGET}}
    publication = publish({**document, 'adapters': {name: ENTRY for name in adapters}}, PRIVATE_KEY)
    acceptance.accept(acceptance.examine(publication.envelope), publication.shards)
    return acceptance.release


def make_two_releases():
    acceptance = Acceptance(frozenset((PUBLIC_KEY,)))
    names = [f'adapter-{index}' for index in range(3000)]
    return make_release(1, names, acceptance), make_release(2, ['added', *names[1:]], acceptance)


def test_delta_of_one_entry_is_small_and_reproduces_the_signed_bundle():
    old, new = make_two_releases()
    delta = make_delta(old, new)
    assert len(delta) < 700
    envelope, shards = apply_delta(old, delta)
    assert shards.keys() == new.shards.keys() - old.shards.keys()
    assert all(new.shards[digest] == content for digest, content in shards.items())
    receiver = Acceptance(frozenset((PUBLIC_KEY,)))
    receiver.accept(receiver.examine(old.envelope.encoded), old.shards)
    bundle = receiver.accept(receiver.examine(envelope), shards)
    assert (bundle.number, bundle.digest, len(bundle.adapters)) == (2, new.envelope.digest, 3000)
    assert 'added' in bundle.adapters
    assert 'adapter-0' not in bundle.adapters


def test_tampered_delta_fails_signature_verification():
    old, new = make_two_releases()
    document = json.loads(make_delta(old, new))
    changed = document['sections']['adapters']['set']
    changed['added'] = {**ENTRY, 'grants': {'c': 0}}
    envelope, _ = apply_delta(old, json.dumps(document).encode())
    with pytest.raises(SignatureError, match='wrong'):
        Acceptance(frozenset((PUBLIC_KEY,))).examine(envelope)


@pytest.mark.parametrize('encoded', [b'', b'[]', b'{"sections":{"adapters":7}}', b'{"sections":{"nowhere":{}}}'])
def test_malformed_delta_raises_shard_error(encoded):
    old, _ = make_two_releases()
    with pytest.raises(ShardError, match='malformed'):
        apply_delta(old, encoded)


NAMES = st.sampled_from(['a', '-', 'x/y', '', 'a b', 'a\n'])
VALUES = st.sampled_from([0, 9, 10, -1, True, '1', None])
VERSIONS = st.dictionaries(NAMES, st.one_of(VALUES, st.dictionaries(st.sampled_from(['model', 'size']), NAMES)))
ENTRIES = st.one_of(
    VALUES,
    st.fixed_dictionaries(
        {},
        optional={
            'versions': st.one_of(VALUES, VERSIONS),
            'grants': st.one_of(VALUES, st.dictionaries(NAMES, VALUES)),
            'regions': st.one_of(VALUES, st.lists(NAMES)),
            'other': VALUES,
        },
    ),
)


@given(st.dictionaries(NAMES, ENTRIES, max_size=3))
def test_fast_check_finds_the_same_problems_as_the_schema(content):
    expected = find_problems({'adapters': content}, make_section_schema('adapters'))
    assert list(summarize_shard('adapters', content).problems) == expected


def test_shard_content_is_verified_even_if_its_summary_is_cached():
    old, new = make_two_releases()
    receiver = Acceptance(frozenset((PUBLIC_KEY,)))
    receiver.accept(receiver.examine(old.envelope.encoded), old.shards)
    envelope = receiver.examine(new.envelope.encoded)
    with pytest.raises(ShardError, match='missing'):
        receiver.accept(envelope, {})
    changed = new.shards.keys() - old.shards.keys()
    for digest in changed:
        receiver.checker.check_received_shard(envelope, digest, new.shards[digest])
    with pytest.raises(ShardError, match='corrupted'):
        receiver.accept(envelope, dict.fromkeys(changed, b'{}'))
    assert receiver.number == 1
    assert receiver.accept(envelope, new.shards).number == 2
