"""Followers of one store: what they read, and what a deletion tells while the store is in trouble."""

from tamarackfield.gateway.replica import SETTLE_SECONDS, Follower, Item, Replica
from tamarackfield.gateway.tests.samples import Time


def make_followers(time):
    replica, heard = Replica(), []

    def hear(item, unsettled):
        heard.append((item.key, unsettled))

    followers = [Follower(prefix, None, replica, hear, clock=time.clock()) for prefix in ('op/', 'servers/')]
    return followers, heard


def test_deletion_counts_as_unsettled_if_another_follower_finds_the_store_in_trouble():
    time = Time()
    (configuration, instances), heard = make_followers(time)
    instances.take(Item('servers/a', 1, b'{}'))
    configuration.contact.failed(time.now)
    instances.take(Item('servers/a', 2, None))
    assert heard == [('servers/a', False), ('servers/a', True)]


def test_deletion_counts_as_unsettled_until_lapsed_items_are_back():
    time = Time()
    (configuration, instances), heard = make_followers(time)
    configuration.contact.failed(time.now)
    time.now += 5
    configuration.contact.answered(time.now)
    instances.take(Item('servers/a', 2, None))
    time.now += SETTLE_SECONDS
    instances.take(Item('servers/b', 3, None))
    assert heard == [('servers/a', True), ('servers/b', False)]
