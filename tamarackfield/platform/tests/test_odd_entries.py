"""Odd items of other writers in the store: they name no worker, and the work on all other items goes on."""

import asyncio
import json

import hypothesis.strategies as st
import pytest
from hypothesis import given

from tamarackfield.gateway.configuration import AdapterVersion, Configuration, TargetRemoved, UnreadableItem
from tamarackfield.gateway.directory import Directory
from tamarackfield.gateway.model import Catalog, TargetRecord
from tamarackfield.gateway.replica import Item
from tamarackfield.gateway.revisions import Revision
from tamarackfield.platform.engine import decode_report
from tamarackfield.core.fields import MALFORMED, MAX_WHOLE
from tamarackfield.platform.items import decode_item
from tamarackfield.testing.platform_site import MODEL, PLAIN_SERVICE, make_config, make_route
from tamarackfield.testing.processes import wait_until

ENTRY = {
    'service': PLAIN_SERVICE,
    'address': '127.9.9.9:700',
    'zone': 'zone-a',
    'version': '1',
    'slots': 4,
    'state': 'ready',
    'cold_ms': 0,
    'seq': 1,
    'born': 1_700_000_000_000,
    'models': [{'name': MODEL, 'version': 1, 'adapters': ['a1@1']}],
}
REPORT = {'born': 1, 'seq': 2, 'models': ENTRY['models'], 'incoming': ['base/a2@1'], 'running': 1, 'queued': 0}
VERSION = {'model': MODEL, 'adapter': 'a1', 'version': 2}
HUGE = 10**30
NESTED = b''.join((100_000 * b'[', 100_000 * b']'))


def encode_entry(**changes):
    return json.dumps(ENTRY | changes).encode()


ODD_ENTRIES = {
    'deeply_nested': NESTED,
    'deeply_nested_field': encode_entry(more=0).replace(b'"more": 0', b''.join((b'"more": ', NESTED))),
    'infinite_slots': json.dumps(ENTRY).replace('"slots": 4', '"slots": 1e999').encode(),
    'slots_not_a_number': encode_entry(slots=float('nan')),
    'slots_too_large': encode_entry(slots=HUGE),
    'many_digits': json.dumps(ENTRY).replace('"slots": 4', f'"slots": {5000 * "9"}').encode(),
    'start_too_large': encode_entry(born=HUGE),
    'start_negative': encode_entry(born=-HUGE),
    'port_out_of_range': encode_entry(address='127.9.9.9:70000'),
    'port_negative': encode_entry(address='127.9.9.9:-1'),
    'port_zero': encode_entry(address='127.9.9.9:0'),
    'address_is_a_name': encode_entry(address='localhost:80'),
    'address_is_of_no_host': encode_entry(address='0.0.0.0:80'),
    'model_name_is_a_list': encode_entry(models=[{'name': ['base'], 'adapters': []}]),
    'model_is_a_list': encode_entry(models=[['base']]),
    'adapters_are_numbers': encode_entry(models=[{'name': MODEL, 'adapters': [7]}]),
    'adapters_are_text': encode_entry(models=[{'name': MODEL, 'adapters': 'a1'}]),
    'adapter_version_has_many_digits': encode_entry(models=[{'name': MODEL, 'adapters': [f'a1@{5000 * "9"}']}]),
    'adapter_version_is_text': encode_entry(models=[{'name': MODEL, 'adapters': ['a1@new']}]),
    'service_is_an_object': encode_entry(service={}),
    'zone_is_half_a_character': encode_entry(zone='\ud800'),
}


def decode(key, content):
    return decode_item(Item(key, Revision(0, 1), content))


@pytest.mark.parametrize('content', ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_odd_entry_of_a_worker_names_no_target(content):
    assert isinstance(decode('servers/w', content), TargetRemoved)


async def test_other_items_are_applied_beside_odd_entries(model_site):
    store, entry = model_site.store, model_site.entries[0]
    for name, content in ODD_ENTRIES.items():
        store.put(f'servers/{name}', content)
        store.put(f'op/version/{name}', content)
    store.put('op/version/base.a1', {'model': MODEL, 'adapter': 'a1', 'version': HUGE})
    await model_site.add_worker('w2', 'other')
    route = make_route('/added/', 'idempotent', 'other')
    store.put('op/config', make_config(2, [*make_config()['routes'], route]))

    async def is_served():
        return (await model_site.call('/added/x'))[0] == 200

    await wait_until(is_served, 'the added route is served')
    async with model_site.stream('/draft/x', [('Tamarackfield-Model', f'{MODEL}/a7')]) as response:
        assert response.status == 200
    await asyncio.sleep(1)
    logs = [process.read_log() for process in (entry, *model_site.sidecars.values())]
    assert not any('task_restarted' in log for log in logs)
    assert not any('sidecar_lost' in log for log in logs)


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-HUGE, HUGE)
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(('1@2', '9' * 5000)),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.sampled_from(('name', 'adapters')), inner),
    max_leaves=6,
)


@st.composite
def altered_documents(draw, document):
    """Draw a document in which one value, at any depth, is replaced by another one."""
    altered = json.loads(json.dumps(document))
    place = altered
    while True:
        index = draw(st.sampled_from(sorted(place) if isinstance(place, dict) else range(len(place))))
        inner = place[index]
        if not isinstance(inner, dict | list) or not inner or draw(st.booleans()):
            place[index] = draw(JSON_VALUES)
            return altered
        place = inner


@given(document=altered_documents(ENTRY))
def test_decoded_entry_fits_the_messages_to_sidecars(document):
    decoded = decode('servers/w', json.dumps(document).encode())
    assert isinstance(decoded, TargetRecord | TargetRemoved)
    if isinstance(decoded, TargetRecord):
        assert 0 <= decoded.started_ms <= MAX_WHOLE
        assert 0 <= decoded.batch <= MAX_WHOLE
        assert all(int(holding.partition('@')[2] or 0) >= 0 for holding in decoded.holdings)


@given(document=altered_documents(make_config()))
def test_decoded_configuration_can_be_put_in_force_or_is_unreadable(document):
    decoded = decode('op/config', json.dumps(document).encode())
    assert isinstance(decoded, Catalog | UnreadableItem)
    if isinstance(decoded, Catalog):
        assert 0 <= decoded.version <= MAX_WHOLE
        assert all(0 <= route.timeout_seconds < MAX_WHOLE and route.host.lower() for route in decoded.routes)
        assert all(weight >= 0 for route in decoded.routes for _, weight in route.splits)


@given(document=altered_documents(VERSION))
def test_decoded_version_of_an_adapter_is_a_number_in_range_or_is_unreadable(document):
    decoded = decode('op/version/base.a1', json.dumps(document).encode())
    assert isinstance(decoded, AdapterVersion | UnreadableItem)
    if isinstance(decoded, AdapterVersion):
        assert 0 <= decoded.version <= MAX_WHOLE


@given(document=altered_documents(REPORT))
def test_report_of_an_engine_is_decoded_or_malformed(document):
    try:
        state = decode_report(json.loads(json.dumps(document)))
    except MALFORMED:
        return
    assert 0 <= state.started_ms <= MAX_WHOLE
    assert 0 <= state.sequence <= MAX_WHOLE
    assert all(isinstance(name, str) for name in (*state.models, *state.loading))


def test_item_whose_decoding_fails_unexpectedly_does_not_stop_the_others():
    def decode_or_fail(item):
        if item.key == 'servers/odd':
            raise OSError('unexpected')
        return decode_item(item)

    directory = Directory()
    configuration = Configuration(decode_or_fail, directory, float)
    for number, name in enumerate(('odd', 'sound'), start=1):
        configuration.apply_item(Item(f'servers/{name}', Revision(0, number), encode_entry()), missing_seconds=0)
    assert list(directory.targets) == ['sound']
