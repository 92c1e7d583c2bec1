"""A bundle in force never reverts, whatever the configuration service and individual peers send."""

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
    """Configure two entries and one engine with its sidecar."""
    bundle = make_bundle(('clinic',), ('draft@v1',))
    return Cluster(directory, [TargetSpec('engine-1')], entries=2, bundle=bundle)


@pytest.fixture
async def cluster(tmp_path):
    """Run two entries and one engine with its sidecar."""
    async with make_cluster(tmp_path) as running:
        yield running


async def list_bundle_numbers(cluster, names=PROGRAMS):
    """Return the number of the bundle in force in each process."""
    return [(await cluster.read_status(name))['bundle'] for name in names]


async def has_bundle_number(cluster, number, names):
    return set(await list_bundle_numbers(cluster, names)) == {number}


async def wait_bundle_number(cluster, number, names=PROGRAMS):
    """Wait until a bundle is in force in all the given processes."""
    await wait_until(functools.partial(has_bundle_number, cluster, number, names), f'bundle {number} in {names}')


async def list_watchers(cluster, names=PROGRAMS):
    """Return the names of the processes that watch the configuration service."""
    return [name for name in names if (await cluster.read_status(name))['bundle_watching']]


async def is_watching(cluster, name):
    return await are_watching(cluster, [name])


async def are_watching(cluster, names):
    return await list_watchers(cluster, names) == names


async def is_not_watching(cluster, name):
    return not await is_watching(cluster, name)


async def list_accepted_numbers(cluster, name):
    """Return the numbers of the bundles that came into force in a process, in order."""
    return [change['number'] for change in await cluster.read_audit(name) if change['action'] == 'bundle_accepted']


async def list_audit_actions(cluster, name):
    return {change['action'] for change in await cluster.read_audit(name)}


async def has_enough_watchers(cluster):
    return len(await list_watchers(cluster)) == election.WATCHERS_PER_ZONE


async def test_restart_finds_the_bundle_while_the_service_is_down(cluster):
    await cluster.control('configuration', down=True)
    await cluster.restart('entry-2')
    assert await list_bundle_numbers(cluster) == [1, 1, 1]


async def test_bundle_with_equal_shards_is_fetched_from_peers(tmp_path):
    bundle = make_bundle(('clinic',), ('draft@v1',), services={})
    async with Cluster(tmp_path, [TargetSpec('engine-1')], entries=2, bundle=bundle) as cluster:
        await cluster.control('configuration', down=True)
        await cluster.restart('entry-2')
        assert await list_bundle_numbers(cluster) == [1, 1, 1]


async def test_stale_service_cannot_revert_restarted_processes(cluster):
    await cluster.publish()
    await wait_bundle_number(cluster, 2)
    await cluster.control('configuration', stale=True)
    await cluster.restart('entry-2')
    await cluster.restart('engine-1-sidecar')
    assert await list_bundle_numbers(cluster) == [2, 2, 2]
    assert await list_accepted_numbers(cluster, 'entry-1') == [1, 2]


async def test_service_outage_keeps_the_bundle_in_force(cluster):
    await cluster.control('configuration', down=True)
    await cluster.publish()
    await wait_until(functools.partial(is_failure_logged, cluster), 'a watcher logs the failure of the service')
    assert await list_bundle_numbers(cluster) == [1, 1, 1]
    await cluster.control('configuration', down=False)
    await wait_bundle_number(cluster, 2)


async def is_failure_logged(cluster):
    return any('configuration_unavailable' in cluster.processes[name].read_log() for name in PROGRAMS)


async def test_alternating_old_and_new_answers_never_revert_a_bundle(cluster):
    await cluster.publish()
    await wait_bundle_number(cluster, 2)
    await cluster.control('configuration', alternate=True)
    for number in (3, 4, 5):
        await cluster.publish()
        await wait_bundle_number(cluster, number)
    for name in PROGRAMS:
        history = await list_accepted_numbers(cluster, name)
        assert history == sorted(set(history))


async def test_frozen_watchers_are_replaced_and_catch_up(cluster):
    await wait_until(functools.partial(has_enough_watchers, cluster), 'two watchers')
    frozen = await list_watchers(cluster)
    running_names = [name for name in PROGRAMS if name not in frozen]
    for name in frozen:
        cluster.processes[name].freeze()
    await cluster.publish()
    await wait_bundle_number(cluster, 2, running_names)
    await wait_until(functools.partial(are_watching, cluster, running_names), 'the running processes watch')
    for name in frozen:
        cluster.processes[name].thaw()
    await wait_bundle_number(cluster, 2)
    await cluster.publish()
    await wait_bundle_number(cluster, 3)
    await wait_until(functools.partial(has_enough_watchers, cluster), 'two watchers again')


async def test_sole_watcher_that_was_paused_watches_again(cluster):
    await wait_until(functools.partial(has_enough_watchers, cluster), 'two watchers')
    frozen = await list_watchers(cluster)
    remaining = next(name for name in PROGRAMS if name not in frozen)
    for name in frozen:
        cluster.processes[name].freeze()
    await wait_until(functools.partial(is_watching, cluster, remaining), 'the remaining process watches')
    cluster.processes[remaining].freeze()
    await asyncio.sleep(1.2)
    cluster.processes[remaining].thaw()
    await wait_until(functools.partial(is_not_watching, cluster, remaining), 'the paused process resigns')
    await cluster.publish()
    await wait_bundle_number(cluster, 2, [remaining])
    await wait_until(functools.partial(is_watching, cluster, remaining), 'the remaining process watches again')


async def test_partitioned_process_catches_up_after_two_further_bundles(tmp_path):
    cluster = make_cluster(tmp_path)
    proxies = [isolate_from_bundles(cluster, name) for name in PROGRAMS]
    cut = [bundle_proxy for bundle_proxy, _ in proxies] + ['entry-2-service-proxy']
    async with cluster:
        for proxy in cut:
            await cluster.control(proxy, mode='cut')
        await cluster.publish()
        await cluster.publish()
        await wait_bundle_number(cluster, 3, ('entry-1', 'engine-1-sidecar'))
        assert await list_bundle_numbers(cluster, ('entry-2',)) == [1]
        assert (await cluster.read_status('entry-2'))['ready']
        for proxy in cut[:-1]:
            await cluster.control(proxy, mode='pass')
        await wait_bundle_number(cluster, 3)


async def test_thirty_bundles_in_a_row_come_into_force_in_order(cluster):
    for _ in range(30):
        await asyncio.gather(cluster.publish(), asyncio.sleep(0.3))
    await wait_bundle_number(cluster, 31)
    for name in PROGRAMS:
        history = await list_accepted_numbers(cluster, name)
        assert history == sorted(set(history))


async def test_withdrawn_grant_stops_new_requests(cluster):
    assert await send_completion(cluster) == 200
    cluster.document['adapters']['draft']['grants'] = {}
    await cluster.publish()
    await wait_bundle_number(cluster, 2)
    assert await send_completion(cluster) in {403, 404}


async def send_completion(cluster):
    """Return the status of one completion."""
    headers = [('Authorization', 'Bearer key-clinic'), ('Content-Type', 'application/json')]
    body = json.dumps({'model': 'draft@v1', 'prompt': 'x', 'max_tokens': 1}).encode()
    status, _, _ = await fetch((HOST, cluster.ports['entry-1']), 'POST', '/v1/completions', body, headers)
    return status


class FaultyPeer:
    """A peer that sends invalid bundle messages.

    Parameters
    ----------
    offer : BundleOffer
        Offer that is sent after the greeting.
    manifest : bytes
        Manifest that is sent in answer to `BundleWant`.
    shards : dict
        Content of the shards by SHA-256 in hex.
    """

    def __init__(self, offer, manifest, shards):
        """Create a peer without a connection."""
        self.offer = offer
        self.manifest = manifest
        self.shards = shards
        self.manifest_sent = asyncio.Event()
        self.shards_sent = asyncio.Event()

    async def connect_and_answer(self, port):
        """Connect to a process and answer its messages until the stream closes."""
        stream = await connect(HOST, port, None)
        await stream.exchange_hellos(Hello('entry', 'liar', 1, 'zone-1', 0, ''))
        stream.send(self.offer)
        while True:
            self.answer_message(stream, await stream.receive())

    def answer_message(self, stream, message):
        match message:
            case BundleWant():
                stream.send(BundleManifest(self.manifest, []))
                self.manifest_sent.set()
            case ShardWant(digests):
                for digest in digests:
                    stream.send(Shard(digest, self.shards[digest.hex()]))
                self.shards_sent.set()


def make_faulty_peer(cluster, case):
    """Return the faulty peer for a test case."""
    document = {**cluster.document, 'weights': {'load_stalls': 7}}
    other_private_key = generate_key()[0]
    if case == 'forged':
        publication = publish({**document, 'number': 9}, other_private_key)
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
    return FaultyPeer(BundleOffer(number, bytes(32)), publication.envelope, shards)


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
async def test_peer_with_an_invalid_bundle_changes_nothing(cluster, case, action):
    await cluster.publish()
    await wait_bundle_number(cluster, 2)
    faulty_peer = make_faulty_peer(cluster, case)
    peer_task = asyncio.create_task(faulty_peer.connect_and_answer(cluster.ports['entry-1-bundle']))
    await wait_until(functools.partial(has_action, cluster, action), action)
    assert await list_bundle_numbers(cluster) == [2, 2, 2]
    await cluster.publish()
    await wait_bundle_number(cluster, 3)
    assert await list_accepted_numbers(cluster, 'entry-1') == [1, 2, 3]
    peer_task.cancel()
    await asyncio.gather(peer_task, return_exceptions=True)


async def has_action(cluster, action):
    return action in await list_audit_actions(cluster, 'entry-1')


async def test_process_restarted_after_two_key_rotations_follows_the_key_chain(cluster):
    for number in (2, 3):
        private_key, public_key = generate_key()
        cluster.document['signing_keys'] = [public_key]
        await cluster.publish()
        await wait_bundle_number(cluster, number)
        cluster.private_key = private_key
    await cluster.publish()
    await wait_bundle_number(cluster, 4)
    await cluster.restart('entry-2')
    await wait_bundle_number(cluster, 4)
    assert await list_accepted_numbers(cluster, 'entry-2') == [4]
