"""Token buckets of customers, which the owner of a shard leases to entries.

Load pattern: requests of one customer arrive unevenly at many entries. In no window may all of them together run more
than rate x window + burst, also while a partition separates entries or an owner ends. Two rules keep that bound:

- Every entry counts at one owner at most. An owner hands out the share of rate and burst that the entries that count at
  it are of all entries, so that the shares of all owners add up to one at most.
- An owner refills a bucket only up to its burst less the tokens that are leased and not known to be spent. What can be
  spent at one moment, in the bucket and in all entries, never exceeds the burst: a lease adds nothing to the bound.

A lease is dated by the entry from the moment at which it asked and by the owner from the moment at which it answered,
so that it ends at the entry first; no clocks of two machines are compared.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash

#: Number of shards of customers; each has an owner of its own.
QUOTA_SHARDS = 8
#: Seconds for which granted tokens may be spent: an entry that does not hear of its owner for longer spends none.
LEASE_SECONDS = 0.5
#: Seconds for which an entry counts at an owner after the latest answer that it has confirmed; more than a lease.
COUNTED_SECONDS = 1.0
#: Seconds for which owners count an entry among all entries after they last heard of it. Entries remember for as long
#: what owners told them, so that it counts for a minute in all; partitions are expected to be shorter.
ENTRY_MEMORY_SECONDS = 30.0
#: Share of a bucket that is granted only to requests that wait, not in advance.
RESERVE_SHARE = 0.5
#: Share of the tokens above that reserve that one entry gets in advance at a time, so that the first takes not all.
ADVANCE_SHARE = 0.25
#: Longest time in seconds until a refused entry asks again: demand and rate may have changed by then.
MAX_TURN_SECONDS = 1.0
#: Shortest such time in seconds; shorter ones are lost in the delay of a message.
MIN_TURN_SECONDS = 0.005
#: Part of a bucket that may fill while refused entries wait: one that is full loses what comes in.
MAX_TURN_FILL = 0.4
#: Messages of refused entries that an owner should get in a second about one customer.
MAX_TURNS_PER_SECOND = 200
#: Seconds of its rate that a bucket holds for which the configuration states no burst.
DEFAULT_BURST_SECONDS = 1.0


def find_shard(customer: str) -> int:
    """Return the shard of a customer.

    Examples
    --------
    >>> find_shard('acme') == find_shard('acme') < QUOTA_SHARDS
    True
    """
    return xxhash.xxh64_intdigest(customer.encode()) % QUOTA_SHARDS


@dataclass(frozen=True, slots=True)
class QuotaTerms:
    """Quota of a customer as one version of the configuration states it, in tokens or requests."""

    version: int
    per_second: float
    burst: float

    def capacity(self) -> float:
        """Return the burst; one second of the rate if none is stated."""
        return self.burst or self.per_second * DEFAULT_BURST_SECONDS


@dataclass(frozen=True, slots=True)
class Demand:
    """Demand of an entry for the tokens of a customer.

    Parameters
    ----------
    customer : str
        Name of the customer.
    terms : QuotaTerms
        Its quota as the entry knows it.
    held : int
        Tokens of its lease that the entry has not spent and keeps.
    returned : int
        Tokens of its lease that it returns.
    least : int
        Tokens beyond ``held`` without which none of the requests that wait can be admitted; 0 if none waits.
    needed : int
        Tokens beyond ``held`` for all requests that wait.
    wanted : int
        Tokens beyond ``held`` that the entry expects to need, ``needed`` among them.
    """

    customer: str
    terms: QuotaTerms
    held: int = 0
    returned: int = 0
    least: int = 0
    needed: int = 0
    wanted: int = 0


@dataclass(frozen=True, slots=True)
class Ask:
    """Message of an entry to the owner of a shard.

    Parameters
    ----------
    number : int
        Increases with every message of the entry; an owner ignores one that it gets after a later one.
    stamp : float
        What the latest answer of this owner was stamped with; 0 without one. It shows when the entry listened to it.
    elsewhere_seconds : float
        Time for which the entry may still count elsewhere.
    entries : int
        Number of all entries as other owners know it.
    demands : tuple of Demand
        Demands by customer.
    ends : bool
        Whether the entry asks another owner from now on and holds nothing of this one.
    """

    number: int
    stamp: float
    elsewhere_seconds: float
    entries: int
    demands: tuple[Demand, ...] = ()
    ends: bool = False


@dataclass(frozen=True, slots=True)
class Grant:
    """Tokens of a customer: the whole lease, and when a request without tokens may ask again; 0 if it got them."""

    customer: str
    leased: int
    retry_seconds: float = 0.0


@dataclass(slots=True)
class Lease:
    """Tokens that an entry may spend; ``ends_at`` is in monotonic seconds of the owner."""

    tokens: int
    ends_at: float


@dataclass(slots=True)
class LeasedBucket:
    """Token bucket of a customer at one owner.

    Parameters
    ----------
    terms : QuotaTerms
        Quota by which it is filled; of the newest version.
    filled_until : float
        Share seconds of its shard up to which it is filled.
    level : float
        Tokens that are not leased. It starts at zero: what an earlier owner handed out is not known.
    leases : dict
        Leases by entry.
    turn_at : float
        Monotonic seconds at which the tokens for all requests that were refused until now will be there.

    Examples
    --------
    >>> bucket = LeasedBucket(QuotaTerms(1, 100.0, 50.0), 0.0)
    >>> bucket.fill(0.4, 1.0)
    >>> bucket.grant('e1', Demand('acme', bucket.terms, least=30, needed=30, wanted=30), 10.0, 1.0)
    Grant(customer='acme', leased=30, retry_seconds=0.0)
    >>> bucket.fill(9.0, 1.0)
    >>> bucket.level
    20.0
    """

    terms: QuotaTerms
    filled_until: float
    level: float = 0.0
    leases: dict[str, Lease] = field(default_factory=dict)
    turn_at: float = 0.0

    def fill(self, share_seconds: float, share: float) -> None:
        """Add what has come in; the level and the leases together are at most the share of the burst."""
        added = (share_seconds - self.filled_until) * self.terms.per_second
        self.filled_until = share_seconds
        leased = sum(lease.tokens for lease in self.leases.values())
        self.level = max(0.0, min(self.level + added, self.terms.capacity() * share - leased))

    def end_leases(self, now: float) -> None:
        """Drop the leases that have ended; what was not returned counts as spent."""
        self.leases = {entry: lease for entry, lease in self.leases.items() if lease.ends_at > now}

    def settle(self, entry: str, demand: Demand) -> int:
        """Take back what an entry returns and forget what it has spent; return what it keeps."""
        lease = self.leases.pop(entry, None)
        leased = 0 if lease is None else lease.tokens
        kept = min(demand.held, leased)
        self.level += min(demand.returned, leased - kept)
        return kept

    def grant(self, entry: str, demand: Demand, now: float, share: float) -> Grant:
        """Lease tokens to an entry: for the requests that wait, and in advance as long as many are left."""
        kept = self.settle(entry, demand)
        granted = 0
        retry_seconds = 0.0
        if demand.needed <= self.level:
            spare = self.level - demand.needed - RESERVE_SHARE * self.terms.capacity() * share
            advance = min(demand.wanted - demand.needed, math.floor(spare * ADVANCE_SHARE))
            granted = demand.needed + max(0, advance)
            # There are tokens again: those who were refused have had their turns, or do not come.
            self.turn_at = now if demand.needed else self.turn_at
        else:
            granted = math.floor(self.level) if demand.least <= self.level else 0
            retry_seconds = self._take_turn(demand.needed - granted, now, share)
        self.level -= granted
        if kept + granted:
            self.leases[entry] = Lease(kept + granted, now + LEASE_SECONDS)
        return Grant(demand.customer, kept + granted, retry_seconds)

    def _take_turn(self, needed: int, now: float, share: float) -> float:
        """Return in how many seconds there will be tokens for a request, after those that were refused before it."""
        per_second = self.terms.per_second * share
        capacity = self.terms.capacity() * share
        if not per_second or needed > capacity:
            return MAX_TURN_SECONDS
        self.turn_at = max(self.turn_at + needed / per_second, now + (needed - self.level) / per_second)
        crowd_seconds = len(self.leases) / MAX_TURNS_PER_SECOND
        longest_seconds = min(MAX_TURN_SECONDS, MAX_TURN_FILL * capacity / per_second)
        self.turn_at = min(self.turn_at, now + longest_seconds)
        return min(longest_seconds, max(self.turn_at - now, crowd_seconds, MIN_TURN_SECONDS))


@dataclass(slots=True)
class Member:
    """Entry that asks an owner; it counts between two moments in monotonic seconds of the owner."""

    number: int = 0
    heard_at: float = 0.0
    counts_from: float = math.inf
    counts_until: float = 0.0

    def counts(self, now: float) -> bool:
        """Return whether the entry counts at a moment."""
        return self.counts_from <= now < self.counts_until


class QuotaShard:
    """Buckets of one shard at one owner, and the entries that count there.

    Attributes
    ----------
    share_seconds : float
        Integral of the share over time: a bucket that was never empty is filled by rate x share seconds.
    entries : int
        Number of all entries by which the share is computed.
    """

    def __init__(self, now: float) -> None:
        """Create a shard without entries: its buckets are empty, and start to fill once entries count."""
        self.members: dict[str, Member] = {}
        self.buckets: dict[str, LeasedBucket] = {}
        self.advanced_at = now
        self.share_seconds = 0.0
        self.share = 0.0
        self.entries = 0

    def answer(self, entry: str, ask: Ask, entries: int, now: float) -> tuple[Grant, ...] | None:
        """Answer a message of an entry; None if a later one was answered before.

        Parameters
        ----------
        entry : str
            Incarnation of an entry.
        ask : Ask
            Its message.
        entries : int
            Number of all entries as this owner knows it.
        now : float
            Monotonic seconds.
        """
        self.advance(now)
        member = self.members.setdefault(entry, Member())
        if ask.number <= member.number:
            return None
        member.number = ask.number
        member.heard_at = now
        self._record_contact(member, ask, now)
        self.entries = max(entries, ask.entries, self._count(now))
        self._change_share(now)
        return tuple(self._grant(entry, demand, now) for demand in ask.demands)

    def remove(self, entry: str, now: float) -> None:
        """Count an entry no more: its stream has ended, and so has what it was sent on it."""
        self.advance(now)
        self.members.pop(entry, None)
        self._change_share(now)

    def advance(self, now: float) -> None:
        """Fill the buckets up to a moment by the shares that held meanwhile, also if this process stood still."""
        bounds = {
            bound
            for member in self.members.values()
            for bound in (member.counts_from, member.counts_until)
            if self.advanced_at < bound <= now
        }
        for bound in sorted(bounds):
            self._pass_time(bound)
            self._change_share(bound)
        self._pass_time(now)
        earliest = now - ENTRY_MEMORY_SECONDS
        self.members = {name: member for name, member in self.members.items() if member.heard_at >= earliest}

    def _pass_time(self, now: float) -> None:
        self.share_seconds += max(0.0, now - self.advanced_at) * self.share
        self.advanced_at = max(self.advanced_at, now)

    def _count(self, now: float) -> int:
        return sum(member.counts(now) for member in self.members.values())

    def _change_share(self, now: float) -> None:
        share = self._count(now) / self.entries if self.entries else 0.0
        if share != self.share:
            # Each bucket has its limit by the former share until now, and by the new one from now on.
            self._fill_all(self.buckets.values())
            self.share = share
            self._fill_all(self.buckets.values())

    def _fill_all(self, buckets: Iterable[LeasedBucket]) -> None:
        for bucket in buckets:
            bucket.fill(self.share_seconds, self.share)

    def _record_contact(self, member: Member, ask: Ask, now: float) -> None:
        if ask.ends:
            member.counts_from = math.inf
            member.counts_until = now
            return
        if not member.counts(now):
            member.counts_from = now + ask.elsewhere_seconds
        if 0 < ask.stamp <= now:
            member.counts_until = max(member.counts_until, ask.stamp + COUNTED_SECONDS)

    def _grant(self, entry: str, demand: Demand, now: float) -> Grant:
        bucket = self.buckets.get(demand.customer)
        if bucket is None:
            bucket = LeasedBucket(demand.terms, self.share_seconds)
            self.buckets[demand.customer] = bucket
        bucket.fill(self.share_seconds, self.share)
        bucket.end_leases(now)
        if demand.terms.version > bucket.terms.version:
            bucket.terms = demand.terms
            bucket.fill(self.share_seconds, self.share)
        return bucket.grant(entry, demand, now, self.share)


class KnownEntries:
    """Names of the entries that a process has heard of lately.

    Examples
    --------
    >>> known = KnownEntries()
    >>> known.record('e1', 10.0)
    >>> known.record('e2', 40.0)
    >>> known.count(39.0), known.count(45.0)
    (2, 1)
    """

    def __init__(self) -> None:
        """Know of no entry."""
        self.heard_at: dict[str, float] = {}

    def record(self, name: str, now: float) -> None:
        """Record that an entry was heard of."""
        self.heard_at[name] = now

    def remove(self, name: str) -> None:
        """Forget an entry that has announced that it stops."""
        self.heard_at.pop(name, None)

    def count(self, now: float) -> int:
        """Return the number of entries heard of lately."""
        forgotten = [name for name, heard_at in self.heard_at.items() if heard_at + ENTRY_MEMORY_SECONDS <= now]
        for name in forgotten:
            self.heard_at.pop(name)
        return len(self.heard_at)
