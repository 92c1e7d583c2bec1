"""Targets that drain, vanish, register again, restart, or whose address another target takes over."""

import pytest

from tamarackfield.gateway.directory import MISDIRECTED_SECONDS, Directory
from tamarackfield.gateway.replica import STORE_RECOVERY_SECONDS
from tamarackfield.gateway.tests.samples import ManualTime, make_target_record


def names(directory, service='plain'):
    return sorted(target.record.name for target in directory.usable_targets(service))


def test_target_that_vanished_from_unreliable_store_is_kept_until_recovery_time_ends():
    time = ManualTime()
    directory = Directory(time.clock())
    directory.upsert(make_target_record('t1', address=('127.0.0.1', 1)))
    directory.remove('t1', missing_seconds=STORE_RECOVERY_SECONDS)
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
    directory.remove('t1', missing_seconds=STORE_RECOVERY_SECONDS)
    assert names(directory) == ['t2']


def test_target_that_registers_again_is_used_again():
    directory = Directory(ManualTime().clock())
    directory.upsert(make_target_record('t1'))
    directory.remove('t1', missing_seconds=STORE_RECOVERY_SECONDS)
    directory.upsert(make_target_record('t1'))
    assert names(directory) == ['t1']
    assert directory.targets['t1'].removal_due_at == 0


def test_deletion_from_reliable_store_removes_target_at_once():
    directory = Directory(ManualTime().clock())
    target = directory.upsert(make_target_record('t1'))
    directory.remove('t1', missing_seconds=0)
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


def test_target_is_found_by_its_service_only_while_it_is_listed_there():
    directory = Directory(ManualTime().clock())
    directory.upsert(make_target_record('t1', address=('127.0.0.1', 1)))
    directory.upsert(make_target_record('t2', address=('127.0.0.2', 1)))
    directory.upsert(make_target_record('t1', 'models', address=('127.0.0.1', 1)))
    assert (names(directory), names(directory, 'models')) == (['t2'], ['t1'])
    directory.upsert(make_target_record('t1', 'models', address=('127.0.0.1', 1), started_ms=2))
    directory.remove('t2', missing_seconds=0)
    assert (names(directory), names(directory, 'models')) == ([], ['t1'])


class Connection:
    """Connection that ends when a test says so."""

    ended = False


def make_disputed_directory(**ghost):
    """Return a directory, its time, and the target at an address that a later item names too."""
    time = ManualTime()
    directory = Directory(time.clock())
    sound = directory.upsert(make_target_record('sound', started_ms=5))
    directory.upsert(make_target_record('ghost', **({'started_ms': 9} | ghost)))
    return directory, time, sound


@pytest.mark.parametrize(
    'ghost', [{'service': 'inventory'}, {'draining': True}, {'started_ms': 5}, {'started_ms': 2**50}], ids=str
)
def test_item_that_names_the_address_of_a_target_does_not_take_it_out(ghost):
    directory, _, sound = make_disputed_directory(**ghost)
    assert 'sound' in names(directory)
    directory.record_answer(sound, Connection())
    assert names(directory) == ['sound']


def test_any_number_of_items_do_not_take_out_a_target_that_has_answered():
    directory, _, sound = make_disputed_directory()
    directory.record_answer(sound, Connection())
    for number in range(99):
        directory.upsert(make_target_record(f'ghost-{number}', started_ms=number))
    assert names(directory) == ['sound']


def test_target_that_answered_at_a_reused_address_is_used_instead_of_its_predecessor():
    directory, _, old = make_disputed_directory()
    old_connection = Connection()
    directory.record_answer(old, old_connection)
    old_connection.ended = True
    new = directory.targets['ghost']
    assert new.is_preferred_to(old)
    directory.record_answer(new, Connection())
    assert names(directory) == ['ghost']


def test_misdirected_target_is_used_again_only_if_no_other_answers_at_its_address():
    directory, time, sound = make_disputed_directory(service='inventory')
    directory.record_misdirected(sound)
    assert names(directory) == []
    time.now += MISDIRECTED_SECONDS
    assert names(directory) == ['sound']
    directory.record_answer(directory.targets['ghost'], Connection())
    assert names(directory) == []


def test_target_that_turned_out_to_be_elsewhere_is_not_tried_again_while_another_is_at_its_address():
    directory, time, _ = make_disputed_directory()
    directory.record_misdirected(directory.targets['ghost'])
    time.now += MISDIRECTED_SECONDS
    assert names(directory) == ['sound']


def test_second_item_does_not_bring_back_one_that_turned_out_to_be_elsewhere():
    directory, _, _ = make_disputed_directory()
    directory.upsert(make_target_record('second', started_ms=8))
    for name in ('ghost', 'second'):
        directory.record_misdirected(directory.targets[name])
    assert names(directory) == ['sound']
