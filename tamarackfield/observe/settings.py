"""Settings common to entries and sidecars."""

from typing import Any

from tamarackfield.core.settings import ADDRESS_SCHEMA, PEER_SCHEMA
from tamarackfield.observe.operations import OPERATIONS_SCHEMA
from tamarackfield.wire.security import PEER_SECURITY_SCHEMA

_NON_EMPTY_STRING = {'type': 'string', 'minLength': 1}

#: Members of the settings of entries and sidecars.
COMMON_PROPERTIES: dict[str, Any] = {
    'instance': {**_NON_EMPTY_STRING, 'description': 'name of this instance'},
    'zone': {**_NON_EMPTY_STRING, 'description': 'availability zone of this instance'},
    'region': {**_NON_EMPTY_STRING, 'description': 'region of this instance'},
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
        'description': "addresses of the platform's instance list, tried in order; empty for no list",
    },
    'trusted_keys': {
        'type': 'array',
        'items': {'type': 'string', 'minLength': 1},
        'minItems': 1,
        'description': 'public keys that may sign the first bundle',
    },
    'peer_listen': {**ADDRESS_SCHEMA, 'description': 'address on which other processes connect to exchange bundles'},
    'peer_advertise': {
        **PEER_SCHEMA,
        'description': 'address advertised to other processes, if different from peer_listen',
    },
    'peers': {
        'type': 'array',
        'items': PEER_SCHEMA,
        'default': [],
        'description': 'addresses of some other processes that exchange bundles; others are learned from them',
    },
    'peer_security': PEER_SECURITY_SCHEMA,
    'operations': OPERATIONS_SCHEMA,
    'statsd': {
        'type': 'object',
        'additionalProperties': False,
        'description': 'collector of metrics; with an empty host no metrics are sent',
        'default': {},
        'properties': {
            'host': {'type': 'string', 'default': '', 'description': 'IP number of the collector'},
            'port': {'type': 'integer', 'default': 8125, 'description': 'UDP port of the collector'},
        },
    },
    'log_level': {
        'enum': ['TRACE', 'DEBUG', 'INFO', 'WARNING', 'ERROR'],
        'default': 'INFO',
        'description': 'lowest level that is logged',
    },
    'drain_seconds': {
        'type': 'number',
        'minimum': 0,
        'default': 1,
        'description': 'seconds between failing the readiness check and closing the listener at shutdown',
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


def build_program_schema(required: tuple[str, ...], properties: dict[str, Any]) -> dict[str, Any]:
    """Return the JSON schema of the settings of a program.

    Parameters
    ----------
    required : tuple of str
        Required members besides the common ones.
    properties : dict
        Members besides the common ones.

    Returns
    -------
    dict
        JSON schema that allows no other members.
    """
    return {
        'type': 'object',
        'required': [*COMMON_REQUIRED, *required],
        'additionalProperties': False,
        'properties': {**COMMON_PROPERTIES, **properties},
    }
