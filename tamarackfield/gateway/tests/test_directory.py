"""Targets that leave, vanish, come back, restart or lose their address to another."""

from tamarackfield.gateway.directory import Directory
from tamarackfield.gateway.tests.samples import Time, make_target


def names(directory, service='plain'):
    return sorted(target.record.name for target in directory.of_service(service))


def test_target_that_vanished_in_trouble_is_kept_until_it_should_be_back():
    time = Time()
    directory = Directory(time.clock())
    directory.put(make_target('t1', address=('127.0.0.1', 1)))
    directory.remove('t1', unsettled=True)
    time.now += 1.9
    directory.expire()
    assert names(directory) == ['t1']
    time.now += 0.2
    assert names(directory) == []
    directory.expire()
    assert directory.targets == {}


def test_vanished_target_is_the_last_choice():
    directory = Directory(Time().clock())
    directory.put(make_target('t1', address=('127.0.0.1', 1)))
    directory.put(make_target('t2', address=('127.0.0.1', 2)))
    directory.remove('t1', unsettled=True)
    assert names(directory) == ['t2']


def test_target_that_comes_back_is_used_again():
    directory = Directory(Time().clock())
    directory.put(make_target('t1'))
    directory.remove('t1', unsettled=True)
    directory.put(make_target('t1'))
    assert names(directory) == ['t1']
    assert directory.targets['t1'].vanished_until == 0


def test_removal_from_a_settled_store_holds_at_once():
    directory = Directory(Time().clock())
    target = directory.put(make_target('t1'))
    directory.remove('t1', unsettled=False)
    assert target.gone
    assert names(directory) == []


def test_leaving_target_gets_nothing_new_even_if_an_old_entry_says_otherwise():
    directory = Directory(Time().clock())
    directory.put(make_target('t1', draining=True))
    directory.put(make_target('t1', draining=False))
    assert names(directory) == []


def test_entry_of_an_earlier_life_is_passed_over():
    directory = Directory(Time().clock())
    directory.put(make_target('t1', started_ms=5))
    directory.put(make_target('t1', started_ms=4, draining=True))
    assert names(directory) == ['t1']


def test_later_life_begins_without_what_was_known_of_the_earlier_one():
    directory = Directory(Time().clock())
    before = directory.put(make_target('t1', started_ms=5, draining=True))
    after = directory.put(make_target('t1', started_ms=6))
    assert before.gone
    assert after is not before
    assert names(directory) == ['t1']


def test_earlier_target_at_the_address_of_a_later_one_is_not_used():
    directory = Directory(Time().clock())
    directory.put(make_target('old', started_ms=5))
    directory.put(make_target('new', started_ms=9))
    assert names(directory) == ['new']
    directory.put(make_target('old', started_ms=5))
    assert names(directory) == ['new']
