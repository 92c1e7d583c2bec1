"""Entries that run, as all entries know them although their seeds differ: a gossip of addresses and ages [1]_.

Each entry tells a few others which entries it knows and how long ago each was last known to run, and is told the same.
The addresses and ages spread to all, so that entries agree on a choice among them by rendezvous.

References
----------
.. [1] R. van Renesse, Y. Minsky and M. Hayden, "A gossip-style failure detection service", 1998.
"""

import random
from collections.abc import Callable, Iterable

from tamarackfield.core import BOOT_CLOCK, Address, Clock, split_address
from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.wire.known_entries import AskEntries, KnownEntries

#: Seconds between two rounds in which an entry tells others what it knows.
ROUND_SECONDS = 0.5
#: Entries that are told in each round, beside the seeds.
TOLD_ENTRIES = 3
#: Seconds without proof of an entry after which it no longer counts; it takes a few rounds to spread.
MAX_AGE_SECONDS = 5.0


class EntryDirectory:
    """Entries that one entry knows.

    Parameters
    ----------
    own_address : str
        Address of this entry for peers; empty if it serves none.
    seeds : callable
        Returns the addresses of some entries.
    clock : Clock
        Clock that includes the time for which the machine was suspended.

    Attributes
    ----------
    seen_at : dict
        Monotonic seconds at which each entry was last known to run, by address.

    Examples
    --------
    >>> first, second = EntryDirectory('127.0.0.1:1', tuple), EntryDirectory('127.0.0.1:2', lambda: [('127.0.0.1', 1)])
    >>> second.record(first.answer(second.ask()))
    >>> first.list_running() == second.list_running() == ['127.0.0.1:1', '127.0.0.1:2']
    True
    """

    def __init__(self, own_address: str, seeds: Callable[[], Iterable[Address]], clock: Clock = BOOT_CLOCK) -> None:
        """Know nothing but this entry."""
        self.own_address = own_address
        self.seeds = seeds
        self.clock = clock
        self.seen_at: dict[str, float] = {}

    def list_running(self) -> list[str]:
        """Return the addresses of the entries that run, in order; the seeds while no entry has answered."""
        now = self.clock.monotonic()
        running = {address for address, seen_at in self.seen_at.items() if now - seen_at < MAX_AGE_SECONDS}
        if self.own_address:
            running.add(self.own_address)
        if running <= {self.own_address}:
            running.update(_format(seed) for seed in self.seeds())
        return sorted(running)

    def ask(self) -> AskEntries:
        """Return the message that tells another entry what this one knows."""
        return AskEntries(*self._encode())

    def answer(self, message: AskEntries) -> KnownEntries:
        """Record what an entry tells, and return what this one knows."""
        self.record(message)
        return KnownEntries(*self._encode())

    def record(self, message: AskEntries | KnownEntries) -> None:
        """Record the entries that another one knows."""
        now = self.clock.monotonic()
        for address, age_ms in zip(message.addresses, message.ages_ms, strict=True):
            split_address(address)
            seen_at = now - age_ms / MS_PER_SECOND
            if now - seen_at < MAX_AGE_SECONDS and seen_at > self.seen_at.get(address, 0):
                self.seen_at[address] = seen_at

    def list_told(self, rng: random.Random) -> list[Address]:
        """Return the addresses of the entries that are told in this round."""
        now = self.clock.monotonic()
        self.seen_at = {
            address: seen_at for address, seen_at in self.seen_at.items() if now - seen_at < MAX_AGE_SECONDS
        }
        others = [address for address in self.list_running() if address != self.own_address]
        told = set(rng.sample(others, min(TOLD_ENTRIES, len(others)))) | {_format(seed) for seed in self.seeds()}
        return [split_address(address) for address in sorted(told - {self.own_address})]

    def _encode(self) -> tuple[list[str], list[int]]:
        now = self.clock.monotonic()
        ages = {address: round((now - seen_at) * MS_PER_SECOND) for address, seen_at in self.seen_at.items()}
        if self.own_address:
            ages[self.own_address] = 0
        return list(ages), [max(0, age) for age in ages.values()]


def _format(address: Address) -> str:
    return f'{address[0]}:{address[1]}'
