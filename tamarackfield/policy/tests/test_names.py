"""Every policy name that a bundle accepts has a decision function, and the reverse."""

import pytest

from tamarackfield.bundle import find_bundle_problems
from tamarackfield.bundle.schema import POLICY_SCHEMA
from tamarackfield.policy.admission import ADMISSION_POLICIES
from tamarackfield.policy.queueing import QUEUE_ORDERS
from tamarackfield.policy.routers import ROUTERS
from tamarackfield.policy.eviction import EVICTION_POLICIES

REGISTRIES = {
    'routing': ROUTERS,
    'eviction': EVICTION_POLICIES,
    'queue': QUEUE_ORDERS,
    'admission': ADMISSION_POLICIES,
}


def test_schema_accepts_no_policy_name_without_a_function():
    named = {key: sorted(schema['enum']) for key, schema in POLICY_SCHEMA['properties'].items()}
    assert named == {key: sorted(registry) for key, registry in REGISTRIES.items()}


@pytest.mark.parametrize('policy', [{'routing': 'none-such'}, {'none-such': 'lru'}])
def test_unknown_policy_names_are_not_accepted(policy):
    document = {'number': 1, 'callers': {}, 'adapters': {}, 'targets': {}, 'policy': policy}
    assert [problem.path for problem in find_bundle_problems(document)] != []
