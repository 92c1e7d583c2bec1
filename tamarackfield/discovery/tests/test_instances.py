"""Targets listed as leaving get no new work, but a wrong list must not exclude most of the fleet."""

import functools
import json

import pytest

from tamarackfield.discovery.instances import InstanceListError, LeavingTargets, ObservedTarget, parse_leaving
from tamarackfield.testing.cluster import Cluster, TargetSpec, address, make_bundle
from tamarackfield.testing.processes import wait_until

ADDRESS = '10.0.0.1:1'


def observe(incarnation):
    return {'a': ObservedTarget(ADDRESS, incarnation)}


def test_mark_applies_only_while_listed_and_to_the_marked_incarnation():
    targets = LeavingTargets()
    assert targets.update({ADDRESS}, observe(1)) == ['a']
    assert targets.update({ADDRESS}, observe(0)) == ['a']
    assert targets.update({ADDRESS}, observe(2)) == []
    assert targets.update(set(), observe(2)) == []
    assert targets.update({ADDRESS}, observe(2)) == ['a']


async def are_excluded(cluster, names):
    status = await cluster.read_status('entry-1')
    return status['written_off'] == names


async def list_leaving(cluster, names):
    listed = {name: {'address': cluster.document['targets'][name]['address'], 'state': 'leaving'} for name in names}
    await cluster.control('instances', instances=listed)


async def test_target_listed_as_leaving_is_excluded_but_never_most_of_the_fleet(tmp_path):
    targets = [TargetSpec(f'engine-{index}') for index in (1, 2, 3)]
    cluster = Cluster(tmp_path, targets, entries=1, bundle=make_bundle(('clinic',), ('draft@v1',)))
    cluster.add_standin('instances', 'instances', {'lag': 0})
    cluster.processes['entry-1'].settings['instance_list'] = [address(cluster.ports['instances'])]
    async with cluster:
        await list_leaving(cluster, ['engine-2'])
        await wait_until(functools.partial(are_excluded, cluster, ['engine-2']), 'engine-2 is excluded')
        await list_leaving(cluster, ['engine-1', 'engine-2', 'engine-3'])
        await wait_until(functools.partial(has_read_listing, cluster, 3), 'the whole list was read')
        assert await are_excluded(cluster, ['engine-2'])
        await list_leaving(cluster, [])
        await wait_until(functools.partial(are_excluded, cluster, []), 'no target is excluded')


async def has_read_listing(cluster, listed):
    """Return whether the entry read a list that marks this many targets."""
    return (await cluster.read_status('entry-1'))['listed_as_leaving'] == listed


@pytest.mark.parametrize('odd', [None, 5, [], {'state': 'leaving'}, {'state': 'leaving', 'address': ['10.0.0.1:1']}])
def test_odd_instance_does_not_hide_those_that_leave(odd):
    leaving = {'address': ADDRESS, 'state': 'leaving'}
    assert parse_leaving(json.dumps({'instances': [odd, leaving]}).encode()) == {ADDRESS}


@pytest.mark.parametrize('content', [b'5', b'{"instances": {}}', b''.join((100_000 * b'[', 100_000 * b']'))])
def test_list_that_cannot_be_read_is_an_error_of_the_list(content):
    with pytest.raises(InstanceListError):
        parse_leaving(content)
