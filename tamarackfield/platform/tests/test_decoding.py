"""Malformed items of the store and malformed settings: nothing is ignored without a reason in the log."""

import pytest
from loguru import logger
from result import Err

from tamarackfield.gateway.configuration import Configuration
from tamarackfield.gateway.directory import Directory
from tamarackfield.gateway.model import DEFAULT_PAUSE_SECONDS
from tamarackfield.gateway.replica import Item
from tamarackfield.gateway.revisions import MAX_ERA, Revision
from tamarackfield.platform.entry import read_entry_settings
from tamarackfield.platform.items import decode_catalog, decode_item
from tamarackfield.platform.store import PlatformStore
from tamarackfield.testing.platform_site import MODEL_SERVICE, make_config, make_route


@pytest.fixture
def warnings():
    """Collect the fields of the warnings that are logged."""
    records = []
    sink = logger.add(
        lambda message: records.append({'event': message.record['message'], **message.record['extra']}),
        level='WARNING',
    )
    yield records
    logger.remove(sink)


@pytest.mark.parametrize('content', [b'\xff not json', b'[]', b'{"service": "s", "address": 7}', b'5'])
def test_malformed_entry_of_a_worker_is_logged_with_its_key_and_fault(warnings, content):
    configuration = Configuration(decode_item, Directory(), float)
    configuration.apply_item(Item('servers/w1', Revision(0, 7), content), missing_seconds=0)
    assert [(record['event'], record['key'], record['revision']) for record in warnings] == [
        ('target_entry_malformed', 'servers/w1', 7)
    ]
    assert warnings[0]['reason']


def test_deleted_entry_of_a_worker_is_no_fault(warnings):
    configuration = Configuration(decode_item, Directory(), float)
    configuration.apply_item(Item('servers/w1', Revision(0, 7), None), missing_seconds=0)
    assert warnings == []


@pytest.mark.parametrize('seeds', [[5], [None], 'no address', [['127.0.0.1', 7]]])
def test_seeds_of_the_wrong_type_are_a_problem_of_the_settings(seeds):
    outcome = read_entry_settings({'seeds': seeds})
    assert isinstance(outcome, Err)
    assert '$.seeds' in {problem.path for problem in outcome.err_value}


@pytest.mark.parametrize('address', [5, None, {}])
def test_address_of_the_wrong_type_is_a_problem_of_the_settings(address):
    outcome = read_entry_settings({'listen': {'front': address}})
    assert isinstance(outcome, Err)
    assert '$.listen.front' in {problem.path for problem in outcome.err_value}


@pytest.mark.parametrize('memory_mb', [None, '160', True, 95, -1, float('nan')])
def test_memory_with_which_no_entry_can_work_is_a_problem_of_the_settings(memory_mb):
    outcome = read_entry_settings({'limits': {'memory_mb': memory_mb}})
    assert '$.limits.memory_mb' in {problem.path for problem in outcome.err_value}


def test_longest_pause_is_read_from_the_route():
    routes = [
        make_route('/a/', 'streaming', MODEL_SERVICE, gap_target_ms=250),
        make_route('/b/', 'streaming', MODEL_SERVICE),
    ]
    catalog = decode_catalog(make_config(1, routes))
    assert [route.pause_seconds for route in catalog.routes] == [0.25, DEFAULT_PAUSE_SECONDS]


@pytest.mark.parametrize('text', ['later', '-1', str(MAX_ERA + 1), 5000 * '9'])
def test_malformed_era_is_logged_and_reads_as_the_latest_known_one(warnings, text):
    store = PlatformStore(('127.0.0.1', 1))
    assert store.read_era({'store-era': '3'}) == 3
    assert store.read_era({'store-era': text}) == 3
    assert store.read_era({}) == 3
    assert [record['event'] for record in warnings] == ['store_era_malformed']
