"""Validation of an invalid bundle reports every problem at once, each with its path."""

import copy

import pytest

from tamarackfield.bundle import find_bundle_problems
from tamarackfield.bundle.schema import BUNDLE_SCHEMA
from tamarackfield.core.settings import find_problems

HASH = 'a' * 64
VALID_BUNDLE = {
    'number': 1,
    'callers': {'clinic': {'key_sha256': [HASH]}},
    'adapters': {'draft': {'versions': {'v1': {'model': 'base'}}, 'grants': {'clinic': 3}}},
    'targets': {
        'engine-1': {'kind': 'engine', 'address': '10.0.0.1:7', 'zone': 'z', 'region': 'r', 'model': 'base'},
        'booking-1': {'kind': 'service', 'address': '10.0.0.2:7', 'zone': 'z', 'region': 'r', 'service': 'booking'},
    },
    'services': {'booking': {'grants': {'clinic': 3}, 'non_idempotent': [{'method': 'POST', 'path': '/b'}]}},
}
#: Path of the changed member, its new value (None removes it), path of the expected problem.
CASES = [
    ('number', 0, '$.number'),
    ('number', 'one', '$.number'),
    ('number', True, '$.number'),
    ('number', None, '$'),
    ('targets', None, '$'),
    ('nonsense', 1, '$'),
    ('callers.clinic.key_sha256', ['secret'], '$.callers.clinic.key_sha256[0]'),
    ('callers.clinic.nonsense', 1, '$.callers.clinic'),
    ('callers.other', {'key_sha256': [HASH]}, '$.callers.other.key_sha256'),
    ('callers.bad name', {'key_sha256': []}, '$.callers'),
    ('callers.bad\n', {'key_sha256': []}, '$.callers'),
    ('callers.clinic.key_sha256', [f'{HASH}\n'], '$.callers.clinic.key_sha256[0]'),
    ('adapters.draft.versions', [], '$.adapters.draft.versions'),
    ('adapters.draft.versions.v1.model', 'other', '$.adapters.draft.versions.v1.model'),
    ('adapters.draft.versions.v1.size', 0, '$.adapters.draft.versions.v1.size'),
    ('adapters.draft.grants.clinic', 10, '$.adapters.draft.grants.clinic'),
    ('adapters.draft.grants.clinic', -1, '$.adapters.draft.grants.clinic'),
    ('adapters.draft.grants.stranger', 1, '$.adapters.draft.grants.stranger'),
    ('adapters.draft.regions', ['r', 'r'], '$.adapters.draft.regions'),
    ('targets.engine-1.kind', 'gpu', "$.targets['engine-1'].kind"),
    ('targets.engine-1.address', 'engine:7', "$.targets['engine-1'].address"),
    ('targets.engine-1.address', '10.0.0.1:70000', "$.targets['engine-1'].address"),
    ('targets.engine-1.address', '10.0.0.2:7', "$.targets['booking-1'].address"),
    ('targets.engine-1.speed', 0, "$.targets['engine-1'].speed"),
    ('targets.engine-1.slots', 1.5, "$.targets['engine-1'].slots"),
    ('targets.engine-1.batch', '8', "$.targets['engine-1'].batch"),
    ('targets.engine-1.zone', None, "$.targets['engine-1']"),
    ('targets.engine-1.model', None, "$.targets['engine-1']"),
    ('targets.booking-1.service', 'other', "$.targets['booking-1'].service"),
    ('targets.booking-1.service', None, "$.targets['booking-1']"),
    ('services.booking.grants.stranger', 1, '$.services.booking.grants.stranger'),
    ('services.booking.non_idempotent', [{'method': 'POST'}], '$.services.booking.non_idempotent[0]'),
    ('weights', {'load_stalls': -1}, '$.weights.load_stalls'),
    ('weight_store', {'loads_per_second': 0}, '$.weight_store.loads_per_second'),
    ('at_most_once_horizon_seconds', 0, '$.at_most_once_horizon_seconds'),
    ('signing_keys', [''], '$.signing_keys[0]'),
]


def set_member(document, path, new_value):
    """Set or remove one member of a bundle."""
    *parents, name = path.split('.')
    for parent in parents:
        document = document[parent]
    if new_value is None:
        document.pop(name)
    else:
        document[name] = new_value


def test_valid_bundle_has_no_problems():
    assert find_bundle_problems(VALID_BUNDLE) == []


@pytest.mark.parametrize(('path', 'new_value', 'problem_path'), CASES)
def test_invalid_member_is_reported_with_its_path(path, new_value, problem_path):
    document = copy.deepcopy(VALID_BUNDLE)
    set_member(document, path, new_value)
    assert problem_path in {problem.path for problem in find_bundle_problems(document)}


def test_all_schema_problems_are_reported_at_once():
    document = copy.deepcopy(VALID_BUNDLE)
    cases = [case for case in CASES if case[1] is not None and violates_schema(case)]
    expected = {}
    for path, new_value, problem_path in cases:
        if path != 'adapters.draft.versions':
            set_member(document, path, new_value)
            expected[path] = problem_path
    assert set(expected.values()) <= {problem.path for problem in find_bundle_problems(document)}
    assert len(expected) > 10


def violates_schema(case):
    """Return whether a case violates the schema and not only the references between sections."""
    document = copy.deepcopy(VALID_BUNDLE)
    set_member(document, case[0], case[1])
    return bool(find_problems(document, BUNDLE_SCHEMA))


def test_all_reference_problems_are_reported_at_once():
    document = copy.deepcopy(VALID_BUNDLE)
    cases = [case for case in CASES if case[1] is not None and not violates_schema(case)]
    for path, new_value, _ in cases:
        set_member(document, path, new_value)
    assert {problem.path for problem in find_bundle_problems(document)} == {case[2] for case in cases}
