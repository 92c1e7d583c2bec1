"""Settings: every problem at once, with its JSON path."""

import json

from tamarackfield.core.settings import load_settings
from tamarackfield.entry.app import SETTINGS_SCHEMA


def test_every_problem_is_listed_with_its_path(tmp_path):
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


def test_overrides_are_applied_and_defaults_filled(tmp_path):
    schema = {'properties': {'listen': {'properties': {'port': {'type': 'integer', 'default': 5}}, 'default': {}}}}
    assert load_settings('', ('listen.port=9',), schema).ok_value == {'listen': {'port': 9}}
    assert load_settings('', (), schema).ok_value == {'listen': {'port': 5}}
    assert load_settings('', ('listen',), schema).err_value[0].path == '$'
