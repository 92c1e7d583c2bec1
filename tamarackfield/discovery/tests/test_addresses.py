"""Address book: its memory is bounded however many addresses come and go."""

import random

from tamarackfield.discovery.addresses import MAX_LEARNED_ADDRESSES, AddressBook


def test_learned_addresses_that_come_and_go_leave_nothing_behind():
    book = AddressBook('10.0.0.1:1', ('10.0.0.2:1',), random.Random(1))
    for number in range(20 * MAX_LEARNED_ADDRESSES):
        address = f'10.1.{number // 250}.{number % 250}:1'
        book.add(address, 'zone-1')
        book.record_failure(address, now=float(number))
        book.remove(address)
    sizes = [len(part) for part in book.__dict__.values() if isinstance(part, dict | set)]
    assert max(sizes) <= MAX_LEARNED_ADDRESSES + len(book.seeds)


def test_every_seed_must_be_tried():
    book = AddressBook('10.0.0.1:1', ('10.0.0.2:1', '10.0.0.3:1'), random.Random(1))
    book.record_failure('10.0.0.2:1', now=1.0)
    assert not book.all_seeds_tried()
    book.record_success('10.0.0.3:1')
    assert book.all_seeds_tried()
