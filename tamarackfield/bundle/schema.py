"""JSON schema of a bundle."""

from typing import Any

from tamarackfield.core.settings import PEER_SCHEMA

#: Number of the least urgent priority; 0 is the most urgent.
LOWEST_PRIORITY = 9

#: Pattern of every name in a bundle.
NAME_PATTERN = r'^[A-Za-z0-9][A-Za-z0-9._/-]{0,127}\Z'

_NAME = {'type': 'string', 'pattern': NAME_PATTERN}
_NAMES = {'type': 'array', 'items': _NAME, 'uniqueItems': True}
_GRANTS = {
    'type': 'object',
    'description': 'priority by caller, 0 is the most urgent',
    'additionalProperties': {'type': 'integer', 'minimum': 0, 'maximum': LOWEST_PRIORITY},
}


def _closed_object(required: list[str], properties: dict[str, Any]) -> dict[str, Any]:
    return {
        'type': 'object',
        'required': required,
        'additionalProperties': False,
        'properties': properties,
    }


def _mapping_by_name(entry: dict[str, Any]) -> dict[str, Any]:
    return {'type': 'object', 'propertyNames': _NAME, 'additionalProperties': entry, 'default': {}}


CALLER_SCHEMA = _closed_object(
    ['key_sha256'],
    {
        'key_sha256': {
            'type': 'array',
            'items': {'type': 'string', 'pattern': r'^[0-9a-f]{64}\Z'},
            'description': 'SHA-256 of each accepted key, in hex',
        },
    },
)
ADAPTER_SCHEMA = _closed_object(
    ['versions', 'grants'],
    {
        'versions': {
            'type': 'object',
            'propertyNames': _NAME,
            'additionalProperties': _closed_object(
                ['model'],
                {'model': _NAME, 'size': {'type': 'integer', 'minimum': 1, 'description': 'bytes'}},
            ),
        },
        'regions': {**_NAMES, 'description': 'regions in which requests may run; empty for all'},
        'grants': _GRANTS,
    },
)
TARGET_SCHEMA = _closed_object(
    ['kind', 'address', 'zone', 'region'],
    {
        'kind': {'enum': ['engine', 'service']},
        'address': {**PEER_SCHEMA, 'description': 'where the sidecar listens for peers'},
        'zone': _NAME,
        'region': _NAME,
        'model': {**_NAME, 'description': 'base model of an engine'},
        'service': {**_NAME, 'description': 'service behind a plain target'},
        'speed': {'type': 'number', 'exclusiveMinimum': 0, 'description': 'relative to a speed of 1'},
        'slots': {'type': 'integer', 'minimum': 1, 'description': 'adapters that an engine holds'},
        'batch': {'type': 'integer', 'minimum': 1, 'description': 'requests that an engine runs at once'},
    },
)
SERVICE_SCHEMA = _closed_object(
    ['grants'],
    {
        'grants': _GRANTS,
        'non_idempotent': {
            'type': 'array',
            'description': 'calls that may run at most once for a key',
            'items': _closed_object(['method', 'path'], {'method': {'type': 'string'}, 'path': {'type': 'string'}}),
        },
    },
)
WEIGHT_STORE_SCHEMA = {
    'type': 'object',
    'description': 'deprecated and without effect; accepted so that existing bundles stay valid',
    'additionalProperties': False,
    'default': {},
    'properties': {
        'loads_per_second': {'type': 'number', 'exclusiveMinimum': 0, 'default': 4},
        'full_speed_loads': {'type': 'integer', 'minimum': 1, 'default': 2},
        'in_transit_limit': {'type': 'integer', 'minimum': 1, 'default': 16},
        'load_seconds': {'type': 'number', 'exclusiveMinimum': 0, 'default': 0.25},
    },
}
WEIGHTS_SCHEMA = {
    'type': 'object',
    'additionalProperties': False,
    'default': {},
    'properties': {
        'load_stalls': {'type': 'number', 'minimum': 0, 'default': 1},
        'batch_efficiency': {'type': 'number', 'minimum': 0, 'default': 1},
    },
}
POLICY_SCHEMA = {
    'type': 'object',
    'default': {},
    'description': 'names of the decision functions, for measurement against baselines',
    'additionalProperties': False,
    'properties': {
        'routing': {'enum': ['affine', 'least-outstanding', 'resident-first', 'round-robin']},
        'eviction': {'enum': ['lru']},
        'queue': {'enum': ['fair', 'fifo']},
        'admission': {'enum': ['all', 'deadline']},
    },
}

BUNDLE_SCHEMA = _closed_object(
    ['number', 'adapters', 'callers', 'targets'],
    {
        'number': {'type': 'integer', 'minimum': 1, 'description': 'greater than that of every earlier bundle'},
        'callers': _mapping_by_name(CALLER_SCHEMA),
        'adapters': _mapping_by_name(ADAPTER_SCHEMA),
        'targets': _mapping_by_name(TARGET_SCHEMA),
        'services': _mapping_by_name(SERVICE_SCHEMA),
        'weights': WEIGHTS_SCHEMA,
        'weight_store': WEIGHT_STORE_SCHEMA,
        'policy': POLICY_SCHEMA,
        'at_most_once_horizon_seconds': {
            'type': 'integer',
            'minimum': 1,
            'default': 600,
            'description': 'how long the answer of a non-idempotent call is kept',
        },
        'signing_keys': {
            'type': 'array',
            'items': {'type': 'string', 'minLength': 1},
            'default': [],
            'description': 'public keys that may sign the next bundle; empty keeps those in force',
        },
    },
)
