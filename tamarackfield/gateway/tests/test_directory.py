"""Targets that drain, vanish, register again, restart, or whose address another target takes over."""

from tamarackfield.gateway.directory import Directory
from tamarackfield.gateway.tests.samples import ManualTime, make_target_record


def names(directory, service='plain'):
    return sorted(target.record.name for target in directory.usable_targets(service))


def test_target_that_vanished_from_unreliable_store_is_kept_until_recovery_time_ends():
    time = ManualTime()
    directory = Directory(time.clock())
    directory.upsert(make_target_record('t1', address=('127.0.0.1', 1)))
    directory.remove('t1', store_unreliable=True)
    time.now += 1.9
    directory.remove_expired()
    assert names(directory) == ['t1']
    time.now += 0.2
    assert names(directory) == []
    directory.remove_expired()
    assert directory.targets == {}


def test_vanished_target_is_not_used_while_a_listed_one_exists():
    directory = Directory(ManualTime().clock())
    directory.upsert(make_target_record('t1', address=('127.0.0.1', 1)))
    directory.upsert(make_target_record('t2', address=('127.0.0.1', 2)))
    directory.remove('t1', store_unreliable=True)
    assert names(directory) == ['t2']


def test_target_that_registers_again_is_used_again():
    directory = Directory(ManualTime().clock())
    directory.upsert(make_target_record('t1'))
    directory.remove('t1', store_unreliable=True)
    directory.upsert(make_target_record('t1'))
    assert names(directory) == ['t1']
    assert directory.targets['t1'].removal_due_at == 0


def test_deletion_from_reliable_store_removes_target_at_once():
    directory = Directory(ManualTime().clock())
    target = directory.upsert(make_target_record('t1'))
    directory.remove('t1', store_unreliable=False)
    assert target.removed
    assert names(directory) == []


def test_stale_item_does_not_reactivate_draining_target():
    directory = Directory(ManualTime().clock())
    directory.upsert(make_target_record('t1', draining=True))
    directory.upsert(make_target_record('t1', draining=False))
    assert names(directory) == []


def test_item_of_earlier_incarnation_is_ignored():
    directory = Directory(ManualTime().clock())
    directory.upsert(make_target_record('t1', started_ms=5))
    directory.upsert(make_target_record('t1', started_ms=4, draining=True))
    assert names(directory) == ['t1']


def test_later_incarnation_does_not_inherit_state_of_earlier_one():
    directory = Directory(ManualTime().clock())
    before = directory.upsert(make_target_record('t1', started_ms=5, draining=True))
    after = directory.upsert(make_target_record('t1', started_ms=6))
    assert before.removed
    assert after is not before
    assert names(directory) == ['t1']


def test_earlier_target_is_not_used_once_a_later_one_has_its_address():
    directory = Directory(ManualTime().clock())
    directory.upsert(make_target_record('old', started_ms=5))
    directory.upsert(make_target_record('new', started_ms=9))
    assert names(directory) == ['new']
    directory.upsert(make_target_record('old', started_ms=5))
    assert names(directory) == ['new']


def test_target_is_found_by_its_service_only_while_it_is_listed_there():
    directory = Directory(ManualTime().clock())
    directory.upsert(make_target_record('t1', address=('127.0.0.1', 1)))
    directory.upsert(make_target_record('t2', address=('127.0.0.2', 1)))
    directory.upsert(make_target_record('t1', 'models', address=('127.0.0.1', 1)))
    assert (names(directory), names(directory, 'models')) == (['t2'], ['t1'])
    directory.upsert(make_target_record('t1', 'models', address=('127.0.0.1', 1), started_ms=2))
    directory.remove('t2', store_unreliable=False)
    assert (names(directory), names(directory, 'models')) == ([], ['t1'])
