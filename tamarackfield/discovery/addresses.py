"""Address book of peers; its size is bounded regardless of the size of the fleet."""

import random
from collections.abc import Iterable

#: Maximum number of learned addresses kept in addition to the seeds.
MAX_LEARNED_ADDRESSES = 64
#: Maximum number of addresses in one sample sent to a peer.
SAMPLE_SIZE = 8
#: Longest back-off before a failed address is tried again; the shortest is half of it.
MAX_BACKOFF_SECONDS = 1.0
#: Consecutive failures that an address may have; on the next one it is removed unless it is a seed.
MAX_CONSECUTIVE_FAILURES = 30


class AddressBook:
    """Known addresses with their zones; the zone of a seed is empty until the peer sends it.

    All times are monotonic seconds.

    Parameters
    ----------
    own_address : str
        Address of this process; it is never a candidate.
    seeds : iterable of str
        Addresses from the settings; they are never removed.
    rng : random.Random
        Source of randomness for back-off, eviction and samples.
    """

    def __init__(self, own_address: str, seeds: Iterable[str], rng: random.Random) -> None:
        """Initialize with the seeds."""
        self.own_address = own_address
        self.seeds = frozenset(seeds) - {own_address}
        self.rng = rng
        self.zones = dict.fromkeys(self.seeds, '')
        self.retry_at: dict[str, float] = {}
        self.failures: dict[str, int] = {}
        self.tried_seeds: set[str] = set()

    def add(self, address: str, zone: str) -> None:
        """Add an address and its zone; if there are too many, evict a random address that is not a seed."""
        if not address or address == self.own_address:
            return
        self.zones[address] = zone
        learned = [known for known in self.zones if known not in self.seeds]
        if len(learned) > MAX_LEARNED_ADDRESSES:
            self.remove(self.rng.choice(learned))

    def remove(self, address: str) -> None:
        """Remove an address unless it is a seed."""
        if address not in self.seeds:
            self.zones.pop(address, None)
            self.retry_at.pop(address, None)
            self.failures.pop(address, None)

    def record_success(self, address: str) -> None:
        """Record that a stream to an address was opened."""
        self._record_attempt(address)
        self.failures.pop(address, None)

    def record_failure(self, address: str, now: float) -> None:
        """Record that an address could not be reached or that the stream to it ended, and set its back-off."""
        self._record_attempt(address)
        self.failures[address] = self.failures.get(address, 0) + 1
        self.retry_at[address] = now + MAX_BACKOFF_SECONDS * self.rng.uniform(0.5, 1)
        if self.failures[address] > MAX_CONSECUTIVE_FAILURES:
            self.remove(address)

    def all_seeds_tried(self) -> bool:
        """Return whether every seed was tried at least once."""
        return self.seeds <= self.tried_seeds

    def find_candidates(self, now: float, excluded: set[str]) -> list[str]:
        """Return the addresses that are neither excluded nor in back-off, in random order."""
        eligible = [
            address for address in self.zones if address not in excluded and self.retry_at.get(address, 0) <= now
        ]
        self.rng.shuffle(eligible)
        return eligible

    def sample(self) -> list[list[str]]:
        """Return a random sample of addresses whose zone is known, as pairs of address and zone."""
        known = [[address, zone] for address, zone in self.zones.items() if zone]
        return self.rng.sample(known, min(SAMPLE_SIZE, len(known)))

    def _record_attempt(self, address: str) -> None:
        # Learned addresses come and go for as long as the process runs; only the seeds are few.
        if address in self.seeds:
            self.tried_seeds.add(address)
