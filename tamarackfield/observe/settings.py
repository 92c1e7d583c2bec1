"""Settings that every program shares."""

from typing import Any

from tamarackfield.core.settings import ADDRESS_SCHEMA, PEER_SCHEMA
from tamarackfield.observe.operations import OPERATIONS_SCHEMA
from tamarackfield.wire.security import PEER_SECURITY_SCHEMA

_NAME = {'type': 'string', 'minLength': 1}

#: Members of the settings of entries and sidecars.
COMMON_PROPERTIES: dict[str, Any] = {
    'instance': {**_NAME, 'description': 'name of this instance'},
    'zone': {**_NAME, 'description': 'availability zone of this instance'},
    'region': {**_NAME, 'description': 'region of this instance'},
    'configuration_service': {
        'type': 'array',
        'items': PEER_SCHEMA,
        'minItems': 1,
        'description': 'addresses of the configuration service, tried in order',
    },
    'instance_list': {
        'type': 'array',
        'items': PEER_SCHEMA,
        'default': [],
        'description': "addresses of the platform's instance list, tried in order; none for no list",
    },
    'trusted_keys': {
        'type': 'array',
        'items': {'type': 'string', 'minLength': 1},
        'minItems': 1,
        'description': 'public keys that may sign the first bundle',
    },
    'peer_listen': {**ADDRESS_SCHEMA, 'description': 'where other processes connect to exchange bundles'},
    'peer_advertise': {**PEER_SCHEMA, 'description': 'where others reach it, if not under peer_listen'},
    'peers': {
        'type': 'array',
        'items': PEER_SCHEMA,
        'default': [],
        'description': 'addresses under which some other processes exchange bundles; more are learned from them',
    },
    'peer_security': PEER_SECURITY_SCHEMA,
    'operations': OPERATIONS_SCHEMA,
    'statsd': {
        'type': 'object',
        'additionalProperties': False,
        'description': 'collector of metrics; an empty host sends none',
        'default': {},
        'properties': {
            'host': {'type': 'string', 'default': '', 'description': 'IP number of the collector'},
            'port': {'type': 'integer', 'default': 8125, 'description': 'UDP port of the collector'},
        },
    },
    'log_level': {
        'enum': ['TRACE', 'DEBUG', 'INFO', 'WARNING', 'ERROR'],
        'default': 'INFO',
        'description': 'least severe level that is logged',
    },
    'drain_seconds': {
        'type': 'number',
        'minimum': 0,
        'default': 1,
        'description': 'time between failing readiness and closing the listener at shutdown',
    },
}
COMMON_REQUIRED = (
    'instance',
    'zone',
    'region',
    'configuration_service',
    'trusted_keys',
    'peer_security',
    'operations',
)


def program_schema(required: tuple[str, ...], properties: dict[str, Any]) -> dict[str, Any]:
    """Return the schema of a program's settings.

    Parameters
    ----------
    required : tuple of str
        Members needed besides the common ones.
    properties : dict
        Members besides the common ones.

    Returns
    -------
    dict
        JSON schema that allows no other member.
    """
    return {
        'type': 'object',
        'required': [*COMMON_REQUIRED, *required],
        'additionalProperties': False,
        'properties': {**COMMON_PROPERTIES, **properties},
    }
