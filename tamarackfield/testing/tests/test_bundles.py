"""A bundle in force never reverts, whatever the configuration service and single peers say."""

import asyncio
import functools
import json

import pytest

from tamarackfield.bundle import generate_key, publish
from tamarackfield.discovery import election
from tamarackfield.testing.cluster import Cluster, TargetSpec, make_bundle
from tamarackfield.testing.isolation import isolate_from_bundles
from tamarackfield.testing.processes import HOST, wait_until
from tamarackfield.web import fetch
from tamarackfield.wire import Hello, connect
from tamarackfield.wire.dissemination import BundleManifest, BundleOffer, BundleWant, Shard, ShardWant

PROGRAMS = ('entry-1', 'entry-2', 'engine-1-sidecar')


def make_cluster(directory):
    """Describe two entries and one engine with its sidecar."""
    bundle = make_bundle(('clinic',), ('draft@v1',))
    return Cluster(directory, [TargetSpec('engine-1')], entries=2, bundle=bundle)


@pytest.fixture
async def cluster(tmp_path):
    """Run two entries and one engine with its sidecar."""
    async with make_cluster(tmp_path) as running:
        yield running


async def numbers(cluster, names=PROGRAMS):
    """Return the number in force in each process."""
    return [(await cluster.read_status(name))['bundle'] for name in names]


async def has_number(cluster, number, names):
    return set(await numbers(cluster, names)) == {number}


async def wait_number(cluster, number, names=PROGRAMS):
    """Wait until a bundle is in force in all the processes named."""
    await wait_until(functools.partial(has_number, cluster, number, names), f'bundle {number} in {names}')


async def watchers(cluster, names=PROGRAMS):
    """Return the processes that watch the service."""
    return [name for name in names if (await cluster.read_status(name))['bundle_watching']]


async def accepted(cluster, name):
    """Return the numbers that came in force in a process, in order."""
    return [change['number'] for change in await cluster.read_audit(name) if change['action'] == 'bundle_accepted']


async def actions(cluster, name):
    return {change['action'] for change in await cluster.read_audit(name)}


async def enough_watchers(cluster):
    return len(await watchers(cluster)) == election.WATCHERS_PER_ZONE


async def test_restart_finds_the_bundle_while_the_service_is_down(cluster):
    await cluster.control('configuration', down=True)
    await cluster.restart('entry-2')
    assert await numbers(cluster) == [1, 1, 1]


async def test_bundle_with_equal_shards_is_fetched_from_peers(tmp_path):
    bundle = make_bundle(('clinic',), ('draft@v1',), services={})
    async with Cluster(tmp_path, [TargetSpec('engine-1')], entries=2, bundle=bundle) as cluster:
        await cluster.control('configuration', down=True)
        await cluster.restart('entry-2')
        assert await numbers(cluster) == [1, 1, 1]


async def test_stale_service_cannot_take_back_half_a_fleet(cluster):
    await cluster.publish()
    await wait_number(cluster, 2)
    await cluster.control('configuration', stale=True)
    await cluster.restart('entry-2')
    await cluster.restart('engine-1-sidecar')
    assert await numbers(cluster) == [2, 2, 2]
    assert await accepted(cluster, 'entry-1') == [1, 2]


async def test_service_down_in_the_middle_stops_nothing(cluster):
    await cluster.control('configuration', down=True)
    await cluster.publish()
    await wait_until(functools.partial(fails, cluster), 'a watcher meets the fault')
    assert await numbers(cluster) == [1, 1, 1]
    await cluster.control('configuration', down=False)
    await wait_number(cluster, 2)


async def fails(cluster):
    return any('configuration_unavailable' in cluster.processes[name].read_log() for name in PROGRAMS)


async def test_old_and_new_by_turns_never_reverts(cluster):
    await cluster.publish()
    await wait_number(cluster, 2)
    await cluster.control('configuration', alternate=True)
    for number in (3, 4, 5):
        await cluster.publish()
        await wait_number(cluster, number)
    for name in PROGRAMS:
        history = await accepted(cluster, name)
        assert history == sorted(set(history))


async def test_frozen_watchers_are_replaced_and_catch_up(cluster):
    await wait_until(functools.partial(enough_watchers, cluster), 'two watchers')
    frozen = await watchers(cluster)
    rest = [name for name in PROGRAMS if name not in frozen]
    for name in frozen:
        cluster.processes[name].freeze()
    await cluster.publish()
    await wait_number(cluster, 2, rest)
    assert await watchers(cluster, rest) == rest
    for name in frozen:
        cluster.processes[name].thaw()
    await wait_number(cluster, 2)
    await cluster.publish()
    await wait_number(cluster, 3)
    await wait_until(functools.partial(enough_watchers, cluster), 'two watchers again')


async def test_partition_heals_after_two_further_bundles(tmp_path):
    cluster = make_cluster(tmp_path)
    proxies = [isolate_from_bundles(cluster, name) for name in PROGRAMS]
    cut = [bundle_proxy for bundle_proxy, _ in proxies] + ['entry-2-service-proxy']
    async with cluster:
        for proxy in cut:
            await cluster.control(proxy, mode='cut')
        await cluster.publish()
        await cluster.publish()
        await wait_number(cluster, 3, ('entry-1', 'engine-1-sidecar'))
        assert await numbers(cluster, ('entry-2',)) == [1]
        assert (await cluster.read_status('entry-2'))['ready']
        for proxy in cut[:-1]:
            await cluster.control(proxy, mode='pass')
        await wait_number(cluster, 3)


async def test_thirty_bundles_in_a_row(cluster):
    for _ in range(30):
        await asyncio.gather(cluster.publish(), asyncio.sleep(0.3))
    await wait_number(cluster, 31)
    for name in PROGRAMS:
        history = await accepted(cluster, name)
        assert history == sorted(set(history))


async def test_withdrawn_grant_stops_new_requests(cluster):
    assert await complete(cluster) == 200
    cluster.document['adapters']['draft']['grants'] = {}
    await cluster.publish()
    await wait_number(cluster, 2)
    assert await complete(cluster) in {403, 404}


async def complete(cluster):
    """Return the status of one completion."""
    headers = [('Authorization', 'Bearer key-clinic'), ('Content-Type', 'application/json')]
    body = json.dumps({'model': 'draft@v1', 'prompt': 'x', 'max_tokens': 1}).encode()
    status, _, _ = await fetch((HOST, cluster.ports['entry-1']), 'POST', '/v1/completions', body, headers)
    return status


class Liar:
    """A peer that says what the test wants.

    Parameters
    ----------
    offer : BundleOffer
        Sent first.
    manifest : bytes
        Answer to whoever wants the bundle.
    shards : dict
        Content by SHA-256 in hex.
    """

    def __init__(self, offer, manifest, shards):
        """Prepare; nothing is connected."""
        self.offer = offer
        self.manifest = manifest
        self.shards = shards
        self.asked = asyncio.Event()
        self.shards_sent = asyncio.Event()

    async def run(self, port):
        """Connect to a process and answer it until the stream closes."""
        stream = await connect(HOST, port, None)
        await stream.exchange_hellos(Hello('entry', 'liar', 1, 'zone-1', 0, ''))
        stream.send(self.offer)
        while True:
            self.answer(stream, await stream.receive())

    def answer(self, stream, message):
        match message:
            case BundleWant():
                stream.send(BundleManifest(self.manifest, []))
                self.asked.set()
            case ShardWant(digests):
                for digest in digests:
                    stream.send(Shard(digest, self.shards[digest.hex()]))
                self.shards_sent.set()


def make_lie(cluster, case):
    """Return a liar for a case."""
    document = {**cluster.document, 'weights': {'load_stalls': 7}}
    forger = generate_key()[0]
    if case == 'forged':
        publication = publish({**document, 'number': 9}, forger)
    elif case == 'conflict':
        publication = publish({**document, 'number': 2}, cluster.private_key)
    elif case in {'replayed', 'wrong_number'}:
        publication = publish({**document, 'number': 1}, cluster.private_key)
    else:
        publication = publish({**document, 'number': 9}, cluster.private_key)
    shards = publication.shards
    if case == 'corrupted':
        shards = {digest: b' '.join((content, b'')) for digest, content in shards.items()}
    if case == 'truncated':
        shards = {digest: content[:-1] for digest, content in shards.items()}
    number = 2 if case == 'conflict' else 9
    return Liar(BundleOffer(number, bytes(32)), publication.envelope, shards)


@pytest.mark.parametrize(
    ('case', 'action'),
    [
        ('forged', 'bundle_refused'),
        ('conflict', 'bundle_conflict'),
        ('replayed', 'bundle_refused'),
        ('wrong_number', 'bundle_refused'),
        ('corrupted', 'shard_refused'),
        ('truncated', 'shard_refused'),
    ],
)
async def test_lying_peer_changes_nothing(cluster, case, action):
    await cluster.publish()
    await wait_number(cluster, 2)
    liar = make_lie(cluster, case)
    talk = asyncio.create_task(liar.run(cluster.ports['entry-1-bundle']))
    await wait_until(functools.partial(has_action, cluster, action), action)
    assert await numbers(cluster) == [2, 2, 2]
    await cluster.publish()
    await wait_number(cluster, 3)
    assert await accepted(cluster, 'entry-1') == [1, 2, 3]
    talk.cancel()
    await asyncio.gather(talk, return_exceptions=True)


async def has_action(cluster, action):
    return action in await actions(cluster, 'entry-1')


async def test_process_that_restarts_after_two_rotations_follows_the_chain(cluster):
    for number in (2, 3):
        private_key, public_key = generate_key()
        cluster.document['signing_keys'] = [public_key]
        await cluster.publish()
        await wait_number(cluster, number)
        cluster.private_key = private_key
    await cluster.publish()
    await wait_number(cluster, 4)
    await cluster.restart('entry-2')
    await wait_number(cluster, 4)
    assert await accepted(cluster, 'entry-2') == [4]
