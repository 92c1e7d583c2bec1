"""Followers of one store: deletions that are reported while the store is unreliable."""

from tamarackfield.gateway.follower import Follower
from tamarackfield.gateway.replica import STORE_RECOVERY_SECONDS, Item, Replica
from tamarackfield.gateway.revisions import Revision
from tamarackfield.gateway.tests.samples import ManualTime


def make_followers(time):
    replica, changes = Replica(), []

    def listen(item, missing_seconds):
        changes.append((item.key, missing_seconds > 0))

    followers = [Follower(prefix, None, replica, listen, clock=time.clock()) for prefix in ('op/', 'servers/')]
    return followers, changes


def test_deletion_is_unreliable_while_store_fails_for_another_follower():
    time = ManualTime()
    (configuration, instances), changes = make_followers(time)
    instances.apply_item(Item('servers/a', Revision(0, 1), b'{}'))
    configuration.store_status.record_failure(time.now)
    instances.apply_item(Item('servers/a', Revision(0, 2), None))
    assert changes == [('servers/a', False), ('servers/a', True)]


def test_deletion_is_unreliable_until_recovery_time_of_store_ends():
    time = ManualTime()
    (configuration, instances), changes = make_followers(time)
    configuration.store_status.record_failure(time.now)
    time.now += 5
    configuration.store_status.record_answer(time.now)
    instances.apply_item(Item('servers/a', Revision(0, 2), None))
    time.now += STORE_RECOVERY_SECONDS
    instances.apply_item(Item('servers/b', Revision(0, 3), None))
    assert changes == [('servers/a', True), ('servers/b', False)]
