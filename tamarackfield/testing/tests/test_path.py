"""End-to-end tests of entry, sidecar and engine as real processes, called by a stock client."""

import openai
import pytest

from tamarackfield.testing.cluster import Cluster, TargetSpec, make_bundle
from tamarackfield.testing.processes import HOST
from tamarackfield.web import fetch

ADAPTERS = ('draft@v1', 'draft@v2', 'summary@v1')
MESSAGES = [{'role': 'user', 'content': 'hello'}]


@pytest.fixture
async def cluster(tmp_path):
    """Run two entries, one engine and one plain service."""
    targets = [TargetSpec('engine-1', options={'slots': 2}), TargetSpec('booking-1', kind='service')]
    async with Cluster(tmp_path, targets, entries=2, bundle=make_bundle(('clinic',), ADAPTERS), weights={}) as running:
        yield running


def make_client(cluster, key='key-clinic'):
    """Return a stock client that calls the first entry."""
    return openai.AsyncOpenAI(api_key=key, base_url=f'{cluster.entry_url()}/v1', max_retries=0)


async def test_stock_client_gets_complete_answers(cluster):
    async with make_client(cluster) as client:
        answer = await client.chat.completions.create(model='draft@v2', messages=MESSAGES, max_tokens=3)
        assert answer.model == 'draft@v2'
        assert answer.choices[0].message.content == 'draft@v2#0 draft@v2#1 draft@v2#2 '
        stream = await client.chat.completions.create(model='draft@v1', messages=MESSAGES, max_tokens=4, stream=True)
        parts = [part.choices[0].delta.content async for part in stream]
        assert parts == [f'draft@v1#{index} ' for index in range(4)]
        models = [model.id async for model in client.models.list()]
        assert sorted(models) == sorted(ADAPTERS)
        plain = await client.completions.create(model='summary@v1', prompt='x', max_tokens=2)
        assert plain.choices[0].text == 'summary@v1#0 summary@v1#1 '


async def test_more_adapters_than_slots_are_all_served(cluster):
    async with make_client(cluster) as client:
        for model in (*ADAPTERS, *ADAPTERS):
            answer = await client.chat.completions.create(model=model, messages=MESSAGES, max_tokens=2)
            assert answer.model == model
    control_state = await cluster.control('engine-1')
    assert control_state['broken_pins'] == 0
    assert len(control_state['resident']) <= 2


@pytest.mark.parametrize(
    ('model', 'key', 'status', 'code'),
    [
        ('draft', 'key-clinic', 400, 'bad_model'),
        ('draft@v9', 'key-clinic', 404, 'model_not_found'),
        ('other@v1', 'key-clinic', 404, 'model_not_found'),
        ('draft@v1', 'wrong', 401, 'invalid_api_key'),
    ],
)
async def test_refusals_state_their_outcome(cluster, model, key, status, code):
    async with make_client(cluster, key) as client:
        with pytest.raises(openai.APIStatusError) as caught:
            await client.chat.completions.create(model=model, messages=MESSAGES)
    assert caught.value.status_code == status
    error = caught.value.response.json()['error']
    assert (error['code'], error['outcome']) == (code, 'not_run')


async def test_plain_service_runs_a_key_sent_through_two_entries_once(cluster):
    headers = [('Authorization', 'Bearer key-clinic')]
    for _ in range(2):
        status, _, _ = await fetch((HOST, cluster.ports['entry-1']), 'GET', '/services/booking/slots', b'', headers)
        assert status == 200
    answers = set()
    for entry in cluster.entry_names:
        keyed = [*headers, ('Idempotency-Key', 'pit-1')]
        status, _, body = await fetch((HOST, cluster.ports[entry]), 'POST', '/services/booking/bookings', b'{}', keyed)
        assert status == 200
        answers.add(body)
    assert len(answers) == 1
    control_state = await cluster.control('booking-1')
    assert control_state['ran'] == {'clinic|pit-1': 1}
    assert control_state['calls'] == 3


async def test_graceful_shutdown_exits_with_zero(cluster):
    for name in ('entry-1', 'engine-1-sidecar'):
        assert await cluster.processes[name].terminate() == 0


async def test_log_lines_are_key_value_pairs(cluster):
    async with make_client(cluster) as client:
        await client.chat.completions.create(model='draft@v1', messages=MESSAGES, max_tokens=1)
    lines = cluster.processes['entry-1'].read_log().splitlines()
    assert any(' event=request ' in line and ' adapter=draft@v1 ' in line for line in lines)
    assert all(line.startswith('time=') for line in lines)


async def test_status_and_audit_report_the_bundle(cluster):
    status = await cluster.read_status('entry-1')
    assert status['bundle'] == 1
    changes = await cluster.read_audit('engine-1-sidecar')
    assert 'bundle_accepted' in {change['action'] for change in changes}
