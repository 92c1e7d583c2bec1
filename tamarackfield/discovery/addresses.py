"""Addresses of peers that this process has heard of, bounded whatever the size of the fleet."""

import random
from collections.abc import Iterable

#: Addresses kept besides the seeds.
MAX_ADDRESSES = 64
#: Addresses in one sample for a peer.
SAMPLE_SIZE = 8
#: Seconds before an address that failed is tried again.
RETRY_SECONDS = 1.0
#: Failures in a row after which an address that is no seed is forgotten.
MAX_FAILURES = 30


class AddressBook:
    """Known addresses with their zones; a seed's zone is empty until the peer says it.

    Parameters
    ----------
    own : str
        Address of this process, never returned.
    seeds : iterable of str
        Addresses from the settings, never forgotten.
    rng : random.Random
        Source of the choices.
    """

    def __init__(self, own: str, seeds: Iterable[str], rng: random.Random) -> None:
        """Start with the seeds."""
        self.own = own
        self.seeds = frozenset(seeds) - {own}
        self.rng = rng
        self.zones = dict.fromkeys(self.seeds, '')
        self.retry_at: dict[str, float] = {}
        self.failures: dict[str, int] = {}
        self.tried: set[str] = set()

    def learn(self, address: str, zone: str) -> None:
        """Add an address and its zone; a random one that is no seed makes room for it."""
        if not address or address == self.own:
            return
        self.zones[address] = zone
        others = [known for known in self.zones if known not in self.seeds]
        if len(others) > MAX_ADDRESSES:
            self.forget(self.rng.choice(others))

    def forget(self, address: str) -> None:
        """Drop an address that is no seed."""
        if address not in self.seeds:
            self.zones.pop(address, None)
            self.retry_at.pop(address, None)
            self.failures.pop(address, None)

    def reach(self, address: str) -> None:
        """Note that an address was reached."""
        self.tried.add(address)
        self.failures.pop(address, None)

    def fail(self, address: str, now: float) -> None:
        """Note that an address could not be reached, or that the stream to it broke."""
        self.tried.add(address)
        self.failures[address] = self.failures.get(address, 0) + 1
        self.retry_at[address] = now + RETRY_SECONDS * self.rng.uniform(0.5, 1)
        if self.failures[address] > MAX_FAILURES:
            self.forget(address)

    def all_tried(self) -> bool:
        """Tell whether every seed was tried at least once."""
        return self.seeds <= self.tried

    def candidates(self, now: float, excluded: set[str]) -> list[str]:
        """Return addresses that may be tried now, in random order."""
        free = [address for address in self.zones if address not in excluded and self.retry_at.get(address, 0) <= now]
        self.rng.shuffle(free)
        return free

    def sample(self) -> list[list[str]]:
        """Return some addresses whose zone is known."""
        known = [[address, zone] for address, zone in self.zones.items() if zone]
        return self.rng.sample(known, min(SAMPLE_SIZE, len(known)))
