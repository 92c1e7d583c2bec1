"""Streams between real processes: mutual TLS, malformed frames and the limit on open streams."""

import asyncio
import functools

import msgpack
import pytest
import trustme

from tamarackfield.testing.cluster import Cluster, TargetSpec, make_bundle
from tamarackfield.testing.processes import HOST, START_TIMEOUT_SECONDS, wait_until
from tamarackfield.testing.raw_http import exchange_raw
from tamarackfield.web import fetch_json
from tamarackfield.wire import Hello, encode
from tamarackfield.wire.request_relay import Submit
from tamarackfield.wire.security import MUTUAL_TLS, PLAINTEXT

HELLO = encode(Hello('entry', 'stranger', 1, 'zone-1', 1, ''))
CHAT = {'model': 'draft@v1', 'messages': [{'role': 'user', 'content': 'hi'}], 'max_tokens': 1}
MALFORMED_FRAMES = {
    'no frame': b'GET / HTTP/1.1\r\n\r\n',
    'unknown kind': msgpack.packb([99, 1]),
    'kind only': msgpack.packb([1]),
    'claims four gigabytes': b'\xc6\xff\xff\xff\xff',
    'array of four gigabytes': b'\xdd\xff\xff\xff\xff',
    'deep nesting': b'\x91' * 100_000,
    'first is no hello': encode(Submit(1, '', '', '', 1, 1, '', 'GET', '/', [], b'', False, 1)),
    'garbage after the hello': b'%b\xc1' % HELLO,
    'oversize after the hello': b'%b\xc6\x7f\xff\xff\xff' % HELLO,
}


def make_cluster(tmp_path):
    """Return a cluster of one entry and one engine."""
    return Cluster(tmp_path, [TargetSpec('engine-1')], 1, make_bundle(('clinic',), ('draft@v1',)))


def write_certificate(authority, directory, name):
    """Write a certificate, its key and its authority; return the settings with their paths."""
    issued = authority.issue_cert(HOST)
    paths = {part: directory / f'{name}-{part}.pem' for part in ('certificate', 'key', 'authority')}
    issued.cert_chain_pems[0].write_to_path(paths['certificate'])
    issued.private_key_pem.write_to_path(paths['key'])
    authority.cert_pem.write_to_path(paths['authority'])
    return {'mode': MUTUAL_TLS, **{part: str(path) for part, path in paths.items()}}


async def request_completion(cluster, entry='entry-1'):
    """Request a completion; return the HTTP status and the error code."""
    headers = [('Authorization', 'Bearer key-clinic')]
    address = (HOST, cluster.ports[entry])
    status, answer = await fetch_json(address, 'POST', '/v1/chat/completions', CHAT, headers)
    return status, answer.get('error', {}).get('code')


async def has_logged(cluster, name, text):
    """Return whether a process logged a text."""
    return text in cluster.processes[name].read_log()


@pytest.fixture
async def secured(tmp_path):
    """Run one entry and one engine with mutual TLS between their processes."""
    cluster = make_cluster(tmp_path)
    authority = trustme.CA()
    for name in ('entry-1', 'engine-1-sidecar'):
        security = write_certificate(authority, tmp_path, name)
        cluster.processes[name].settings['peer_security'] = security
    async with cluster:
        yield cluster


async def test_requests_are_served_over_mutual_tls(secured):
    assert await request_completion(secured) == (200, None)


@pytest.mark.parametrize('kind', ['another authority', 'plaintext'])
async def test_peer_without_a_trusted_certificate_is_refused(secured, tmp_path, kind):
    secured.add_entry('intruder')
    security = {'mode': PLAINTEXT}
    if kind == 'another authority':
        security = write_certificate(trustme.CA(), tmp_path, 'intruder')
        security['authority'] = str(tmp_path / 'entry-1-authority.pem')
    secured.processes['intruder'].settings['peer_security'] = security
    await secured.start_process('intruder')
    await wait_until(lambda: has_logged(secured, 'engine-1-sidecar', ' event=peer_refused '), 'the refusal is logged')
    await wait_until(lambda: has_logged(secured, 'intruder', ' event=link_down '), 'the link of the intruder is down')
    assert await request_completion(secured, 'intruder') == (503, 'no_target')
    assert not await has_logged(secured, 'intruder', ' event=link_up ')
    assert await request_completion(secured) == (200, None)


async def test_malformed_frame_closes_the_stream_and_is_logged(tmp_path):
    async with make_cluster(tmp_path) as cluster:
        sidecar = cluster.processes['engine-1-sidecar']
        for count, raw in enumerate(MALFORMED_FRAMES.values(), start=1):
            await exchange_raw(cluster.ports['engine-1-peer'], raw)
            await wait_until(functools.partial(is_closed, sidecar, count), 'the closed stream is logged')
        assert 'Traceback' not in sidecar.read_log()
        assert await request_completion(cluster) == (200, None)


async def is_closed(sidecar, count):
    """Return whether a sidecar logged this many closed streams."""
    return sidecar.read_log().count(' event=peer_stream_closed ') == count


async def test_stream_above_the_limit_is_closed(tmp_path):
    cluster = make_cluster(tmp_path)
    cluster.processes['engine-1-sidecar'].settings['max_peer_streams'] = 2
    async with cluster:
        port = cluster.ports['engine-1-peer']
        second_reader, second_writer = await asyncio.open_connection(HOST, port)
        second_writer.write(HELLO)
        await second_reader.read(1)
        refused_reader, refused_writer = await asyncio.open_connection(HOST, port)
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            assert await refused_reader.read(-1) == b''
        refused_writer.close()
        second_writer.close()
        assert await has_logged(cluster, 'engine-1-sidecar', ' error="too many streams are open"')
        assert await request_completion(cluster) == (200, None)
