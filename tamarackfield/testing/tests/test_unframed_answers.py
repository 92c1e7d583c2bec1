"""Answers of plain services that only the end of their connection ends, over real processes of the own interface."""

import json

import pytest

from tamarackfield.testing.bookings import SERVICE_TARGETS, make_key_owned_by
from tamarackfield.testing.cluster import Cluster, TargetSpec, make_bundle
from tamarackfield.testing.processes import HOST
from tamarackfield.web import fetch

KEYS = ['', make_key_owned_by(SERVICE_TARGETS[0])]


@pytest.fixture
async def cluster(tmp_path):
    """Run an entry and one plain service with its sidecar."""
    targets = [TargetSpec(SERVICE_TARGETS[0], kind='service')]
    async with Cluster(tmp_path, targets, entries=1, bundle=make_bundle(('clinic',), ())) as running:
        yield running


async def call(cluster, key):
    """Make one call, which changes something if it has a key, and return status and body."""
    headers = [('Authorization', 'Bearer key-clinic'), *([('Idempotency-Key', key)] if key else [])]
    address = (HOST, cluster.ports['entry-1'])
    status, _, body = await fetch(address, 'POST' if key else 'GET', '/services/booking/bookings', b'{}', headers)
    return status, body


@pytest.mark.parametrize('key', KEYS, ids=['unkeyed', 'keyed'])
async def test_half_of_an_answer_is_no_answer_if_the_service_ends(cluster, key):
    # Guards against review/6 in the own interface; with a key, the half was also kept for all repeats of the call.
    await cluster.control(SERVICE_TARGETS[0], unframed=True, die_amid_answer=True)
    status, body = await call(cluster, key)
    assert status == 502
    assert json.loads(body)['error']['outcome'] == 'unknown'


@pytest.mark.parametrize('key', KEYS, ids=['unkeyed', 'keyed'])
async def test_whole_answer_of_a_living_service_is_complete(cluster, key):
    # Guards against a proof that a sound service cannot give.
    await cluster.control(SERVICE_TARGETS[0], unframed=True)
    status, body = await call(cluster, key)
    assert (status, json.loads(body)['run']) == (200, 1)
