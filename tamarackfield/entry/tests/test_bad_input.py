"""Malformed input to a running entry is refused, its connection is closed, and the entry keeps serving."""

import asyncio
import json
import random

import pytest

from tamarackfield.testing.cluster import Cluster, TargetSpec, make_bundle
from tamarackfield.testing.processes import HOST, wait_until
from tamarackfield.testing.raw_http import exchange_raw
from tamarackfield.web import fetch

AUTH = b'Authorization: Bearer key-clinic\r\n'
CLOSE = b'Connection: close\r\n'
GOOD = {'model': 'draft@v1', 'messages': [{'role': 'user', 'content': 'hi'}], 'max_tokens': 1}
CONNECTIONS_AT_ONCE = 20
NINES = b'9' * 9000
NOISE = b'a' * 150_000
GOOD_BODY = json.dumps(GOOD).encode()
LIMITS = {'request_seconds': 0.5, 'idle_seconds': 5, 'max_connections': 40, 'max_body_bytes': 100_000}


@pytest.fixture
async def cluster(tmp_path):
    """Run an entry with low limits, an engine and a plain service."""
    targets = [TargetSpec('engine-1'), TargetSpec('booking-1', kind='service')]
    running = Cluster(tmp_path, targets, 1, make_bundle(('clinic',), ('draft@v1', 'draft@v2')))
    running.processes['entry-1'].settings['http'] = {**LIMITS, 'max_buffered_bytes': 250_000}
    async with running:
        yield running


def post(body, *lines, path=b'/v1/chat/completions', end=b'\r\n'):
    """Return an HTTP request; add a Content-Length line unless the given lines frame the body."""
    stated = any(name in line.lower() for line in lines for name in (b'content-length', b'transfer-encoding'))
    length = b'' if stated else b'Content-Length: %d\r\n' % len(body)
    start = b'POST %b HTTP/1.1\r\nHost: a\r\n' % path
    return b''.join((start, AUTH, CLOSE, length, *lines, end, body))


def chat(**changes):
    """Return a chat request with some members replaced; a member that is None is omitted."""
    document = {name: given for name, given in {**GOOD, **changes}.items() if given is not None}
    return post(json.dumps(document).encode())


FRAMING = {
    'no HTTP': (b'\x16\x03\x01\x02\x00\x01\r\n\r\n', 400, 'malformed_http'),
    'oversize head': (b'GET / HTTP/1.1\r\nHost: a\r\nX: %b' % NOISE[:20_000], 431, 'malformed_http'),
    'oversize body, not sent': (post(b'', b'Content-Length: 999999999\r\n'), 413, 'body_too_large'),
    'huge length': (post(b'', b'Content-Length: %b\r\n' % NINES[:19]), 413, 'body_too_large'),
    'endless length': (post(b'', b'Content-Length: %b\r\n' % NINES), 400, 'malformed_http'),
    'length and encoding': (
        post(GOOD_BODY, b'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n'),
        400,
        'ambiguous_framing',
    ),
    'doubled length': (post(b'12345', b'Content-Length: 5\r\n', b'content-LENGTH: 5\r\n'), 400, 'ambiguous_framing'),
    'two lengths': (post(b'12345', b'Content-Length: 5\r\nContent-Length: 4\r\n'), 400, 'malformed_http'),
    'list of lengths': (post(b'12345', b'Content-Length: 5, 5\r\n'), 400, 'ambiguous_framing'),
    'signed length': (post(b'12345', b'Content-Length: +5\r\n'), 400, 'malformed_http'),
    'folded line': (post(b'12345', b'X: 1\r\n Content-Length: 4\r\n', b'Content-Length: 5\r\n'), 400, None),
    'folded line of text': (post(GOOD_BODY, b'X: 1\r\n two\r\n'), 400, 'ambiguous_framing'),
    'bare line feed': (post(GOOD_BODY, b'X: 1\n'), 400, 'ambiguous_framing'),
    'head ends bare': (post(GOOD_BODY, end=b'\n'), 400, 'ambiguous_framing'),
    'bare carriage return': (post(GOOD_BODY, b'X: 1\rContent-Length: 3\r\n'), 400, 'malformed_http'),
    'unknown encoding': (post(GOOD_BODY, b'Transfer-Encoding: xchunked\r\n'), 501, 'malformed_http'),
    'encoding twice': (post(b'0\r\n\r\n', b'Transfer-Encoding: chunked, chunked\r\n'), 501, 'malformed_http'),
    'encodings on two lines': (
        post(b'0\r\n\r\n', b'transfer-encoding: chunked\r\nTRANSFER-Encoding: identity\r\n'),
        501,
        'malformed_http',
    ),
    'space before colon': (post(GOOD_BODY, b'Content-Length : 5\r\n'), 400, 'malformed_http'),
    'encoding in HTTP/1.0': (
        post(b'0\r\n\r\n', b'Transfer-Encoding: chunked\r\n').replace(b'HTTP/1.1', b'HTTP/1.0'),
        400,
        'ambiguous_framing',
    ),
    'bad chunk size': (post(b'zz\r\n', b'Transfer-Encoding: chunked\r\n'), 400, 'malformed_http'),
    'truncated chunk': (post(b'5\r\nab', b'Transfer-Encoding: chunked\r\n'), 408, 'request_timeout'),
    'chunks over the limit': (
        post(b'fffff\r\n%b' % NOISE, b'Transfer-Encoding: chunked\r\n'),
        413,
        'body_too_large',
    ),
    'stalled head': (b'POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n', 408, 'request_timeout'),
    'stalled body': (post(b'{', b'Content-Length: 50\r\n'), 408, 'request_timeout'),
}

CONTENT = {
    'no JSON': (post(b'{"model": '), 400, 'bad_json'),
    'bad UTF-8': (post(b'{"model": "\xff\xfe"}'), 400, 'bad_json'),
    'UTF-16': (post(GOOD_BODY.decode().encode('utf-16')), 400, 'bad_json'),
    'deep nesting': (post(b'[' * 50_000), 400, 'bad_json'),
    'a list': (post(b'[]'), 400, 'bad_json'),
    'doubled name': (post(b'{"model": "draft@v1", "model": "draft@v2"}'), 400, 'bad_json'),
    'no number': (post(b'{"model": "draft@v1", "temperature": NaN}'), 400, 'bad_json'),
    'huge number': (post(b'{"max_tokens": %b}' % NINES), 400, 'bad_json'),
    'model not text': (chat(model=7), 400, 'bad_model'),
    'model a surrogate': (chat(model='\ud800@v1'), 400, 'bad_model'),
    'messages missing': (chat(messages=None), 400, 'bad_parameter'),
    'messages empty': (chat(messages=[]), 400, 'bad_parameter'),
    'messages not objects': (chat(messages=['hi']), 400, 'bad_parameter'),
    'content a number': (chat(messages=[{'role': 'user', 'content': 1}]), 400, 'bad_parameter'),
    'prompt missing': (post(b'{"model": "draft@v1"}', path=b'/v1/completions'), 400, 'bad_parameter'),
    'max_tokens negative': (chat(max_tokens=-1), 400, 'bad_parameter'),
    'max_tokens huge': (chat(max_tokens=10**30), 400, 'bad_parameter'),
    'max_tokens text': (chat(max_tokens='many'), 400, 'bad_parameter'),
    'max_tokens true': (chat(max_tokens=True), 400, 'bad_parameter'),
    'stream text': (chat(stream='yes'), 400, 'bad_parameter'),
    'temperature infinite': (post(GOOD_BODY.replace(b'1}', b'1, "temperature": 1e999}')), 400, 'bad_parameter'),
    'bad deadline': (post(GOOD_BODY, b'X-Deadline-Unix-Ms: soon\r\n'), 400, 'bad_deadline'),
    'endless deadline': (post(GOOD_BODY, b'X-Deadline-Unix-Ms: %b\r\n' % NINES), 400, 'bad_deadline'),
    'key not ASCII': (
        post(b'{}', b'Idempotency-Key: \xe9\r\n', path=b'/services/booking/bookings'),
        400,
        'bad_key',
    ),
    'type not ASCII': (post(b'{}', b'Content-Type: \xe9\r\n', path=b'/services/booking/slots'), 400, 'bad_header'),
    'odd method': (post(b'', path=b'/services/booking/slots').replace(b'POST', b'BREW'), 405, 'bad_method'),
    'no page': (post(b'', path=b'/v2/chat'), 404, 'not_found'),
}


async def find_unexpected_answers(cluster, cases):
    """Send each request and return the answers that differ from the expected refusal."""
    unexpected = {}
    for name, (raw, status, code) in cases.items():
        answer = await exchange_raw(cluster.ports['entry-1'], raw)
        got = (answer.status, answer.error.get('code'), answer.error.get('outcome'))
        if got != (status, code or got[1], 'not_run') or b'x-request-id: ' not in answer.head:
            unexpected[name] = got
    return unexpected


async def assert_still_serving(cluster):
    """Check that the entry has released the bad requests, serves a good one and has logged no error."""
    await wait_until(lambda: has_released_all(cluster), 'the entry releases the bad requests')
    answer = await exchange_raw(cluster.ports['entry-1'], post(GOOD_BODY))
    assert answer.status == 200
    await wait_until(lambda: has_released_all(cluster), 'the entry releases the good request')
    assert ' level=error ' not in cluster.processes['entry-1'].read_log()


async def has_released_all(cluster):
    """Return whether the entry has no busy or open connection and no buffered body."""
    status = await cluster.read_status('entry-1')
    return (status['busy'], status['connections'], status['buffered_bytes']) == (0, 0, 0)


async def test_bad_framing_is_refused_and_the_connection_closed(cluster):
    assert await find_unexpected_answers(cluster, FRAMING) == {}
    await assert_still_serving(cluster)


async def test_bad_content_is_refused(cluster):
    assert await find_unexpected_answers(cluster, CONTENT) == {}
    await assert_still_serving(cluster)
    booking = await cluster.control('booking-1')
    assert booking['calls'] == 0


async def test_garbage_pipelined_after_a_request_is_refused_and_ends_the_connection(cluster):
    good = post(GOOD_BODY).replace(CLOSE, b'')
    answer = await exchange_raw(cluster.ports['entry-1'], b'%b\x00garbage\r\n\r\n' % good)
    assert answer.status == 200
    assert answer.raw.count(b'HTTP/1.1 ') == 2
    assert (answer.error['code'], answer.error['outcome']) == ('malformed_http', 'not_run')
    await assert_still_serving(cluster)


async def test_connections_and_buffered_bodies_are_bounded(cluster):
    port = cluster.ports['entry-1']
    connections = [await asyncio.open_connection(HOST, port) for _ in range(LIMITS['max_connections'])]
    refused = await exchange_raw(port)
    assert (refused.status, refused.error['code']) == (503, 'too_many_connections')
    assert b'retry-after: 1' in refused.head
    for _, writer in connections:
        writer.write(post(b'{', b'Content-Length: 90000\r\n'))
    heads = await asyncio.gather(*(reader.read(-1) for reader, _ in connections))
    for _, writer in connections:
        writer.close()
    codes = [json.loads(head.rpartition(b'\r\n\r\n')[2])['error']['code'] for head in heads]
    assert set(codes) == {'request_timeout', 'too_much_buffered'}
    assert codes.count('request_timeout') == 2
    await assert_still_serving(cluster)


def corrupt(raw, rng):
    """Return a request with some bytes removed, duplicated or replaced."""
    corrupted = raw
    for _ in range(rng.randint(1, 4)):
        position = rng.randrange(len(corrupted))
        size = rng.randint(0, 6)
        replacement = rng.choice((b'', rng.randbytes(3), b'\r\n', corrupted[:size], b'\x00'))
        corrupted = b''.join((corrupted[:position], replacement, corrupted[position + size :]))
    return corrupted


async def test_corrupted_requests_do_not_stop_the_entry_from_serving(cluster):
    rng = random.Random(7)
    requests = [corrupt(post(GOOD_BODY), rng) for _ in range(200)]
    statuses = set()
    for start in range(0, len(requests), CONNECTIONS_AT_ONCE):
        batch = requests[start : start + CONNECTIONS_AT_ONCE]
        answers = await asyncio.gather(*(exchange_raw(cluster.ports['entry-1'], raw) for raw in batch))
        statuses.update(answer.status for answer in answers)
    assert statuses <= {200, 400, 401, 404, 408, 413, 501}
    assert len(statuses) > 3
    await assert_still_serving(cluster)


async def test_audit_page_refuses_an_invalid_sequence_number(cluster):
    address = (HOST, cluster.ports['entry-1-operations'])
    for since in ('x', '-1', '9' * 5000, '%ff'):
        status, _, body = await fetch(address, 'GET', f'/audit?since={since}')
        assert (status, json.loads(body)['error']['code']) == (400, 'bad_since')


async def test_valid_request_id_of_a_caller_is_kept_and_an_invalid_one_replaced(cluster):
    named = await exchange_raw(cluster.ports['entry-1'], post(GOOD_BODY, b'X-Request-Id: order-17\r\n'))
    assert b'x-request-id: order-17' in named.head
    replaced = await exchange_raw(cluster.ports['entry-1'], post(GOOD_BODY, b'X-Request-Id: two words\r\n'))
    assert b'x-request-id: two words' not in replaced.head
    assert ' request_id=order-17 ' in cluster.processes['entry-1'].read_log()
