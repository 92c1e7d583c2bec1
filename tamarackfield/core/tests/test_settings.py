"""Loading of settings: all problems are reported, each with its JSON path."""

import json

from tamarackfield.core.settings import load_settings
from tamarackfield.entry.app import SETTINGS_SCHEMA


def test_all_problems_are_listed_with_their_json_paths(tmp_path):
    path = tmp_path / 'entry.json'
    path.write_text(
        json.dumps(
            {
                'instance': 'entry-1',
                'zone': 7,
                'region': 'west',
                'nonsense': 1,
                'configuration_service': ['localhost:7000'],
                'trusted_keys': ['k'],
                'peer_security': {
                    'mode': 'mutual-tls',
                    'certificate': '/nowhere',
                    'key': '/nowhere',
                    'authority': '/nowhere',
                },
                'operations': {'listen': {'host': 'example', 'port': 70000}},
                'listen': {'host': '127.0.0.1', 'port': 1},
            }
        ),
    )
    paths = {problem.path for problem in load_settings(str(path), (), SETTINGS_SCHEMA).err_value}
    assert paths == {
        '$',
        '$.zone',
        '$.configuration_service[0]',
        '$.peer_security.certificate',
        '$.peer_security.key',
        '$.peer_security.authority',
        '$.operations.listen.host',
        '$.operations.listen.port',
    }


def test_overrides_are_applied_and_absent_members_get_defaults(tmp_path):
    schema = {'properties': {'listen': {'properties': {'port': {'type': 'integer', 'default': 5}}, 'default': {}}}}
    assert load_settings('', ('listen.port=9',), schema).ok_value == {'listen': {'port': 9}}
    assert load_settings('', (), schema).ok_value == {'listen': {'port': 5}}
    assert load_settings('', ('listen',), schema).err_value[0].path == '$'
