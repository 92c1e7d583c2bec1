"""Tokens that an entry has leased from the owners of the shards of customers, and its own part where no owner answers.

An entry counts at one owner at a time (see `quotas`). It knows until when an owner may count it: for `COUNTED_SECONDS`
after it received the latest answer, as an owner counts from what that answer was stamped with. Until then another
owner does not count it, and it hands out nothing of its own.
"""

import itertools
import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from tamarackfield.policy.quotas import (
    COUNTED_SECONDS,
    ENTRY_MEMORY_SECONDS,
    LEASE_SECONDS,
    Ask,
    Demand,
    Grant,
    QuotaTerms,
)

#: Seconds after the start of a process for which its former one may still count: `COUNTED_SECONDS` less the time
#: in which a process is started again and loads its modules (0.48 s).
RESTART_SECONDS = 0.5
#: Number of entries assumed before any has been counted; more than most deployments have.
ASSUMED_ENTRY_COUNT = 50
#: Seconds of the recent demand for which tokens are leased in advance; longer than the interval between two messages.
ADVANCE_SECONDS = 0.35
#: Seconds of the recent demand up to which tokens for one further request are leased in advance.
SPARE_REQUEST_SECONDS = 2.0
#: Times what is leased in advance above which the rest is returned.
RETURN_FACTOR = 2
#: Time constant in seconds of the average of recent demand.
DEMAND_SECONDS = 1.0
#: Seconds of what comes in after which refused requests are not expected to come again.
MAX_REFUSED_SECONDS = 4.0
#: Demand in tokens a second below which a customer has none.
MIN_DEMAND = 0.01


@dataclass(slots=True, eq=False)
class Lot:
    """Tokens of one lease; ``ends_at`` is in monotonic seconds of this entry."""

    tokens: int = 0
    ends_at: float = 0.0

    def available(self, now: float) -> int:
        """Return the tokens that may be spent."""
        return self.tokens if now < self.ends_at else 0


@dataclass(slots=True, eq=False)
class OwnBucket:
    """Token bucket of the own part of an entry; it starts empty at ``filled_at`` in monotonic seconds."""

    filled_at: float
    level: float = 0.0

    def fill(self, terms: QuotaTerms, entries: int, now: float) -> None:
        """Add what has come in."""
        added = max(0.0, now - self.filled_at) * terms.per_second / entries
        self.filled_at = max(now, self.filled_at)
        self.level = min(self.level + added, terms.capacity() / entries)


@dataclass(frozen=True, slots=True)
class Charge:
    """Tokens that a request was charged.

    ``number`` is that of the latest message to an owner at that time: later ones report the tokens as spent.
    """

    customer: str
    cost: int
    number: int
    source: Lot | OwnBucket


@dataclass(slots=True)
class CustomerLease:
    """Tokens of one customer in one entry.

    Parameters
    ----------
    lot : Lot
        Lease of the present owner.
    former : Lot
        Lease of the owner before, which no message reports.
    own : OwnBucket or None
        Own part of the entry, None while an owner answers.
    spent : int
        Tokens of the lot that were spent since the latest message.
    waiting : list of int
        Costs of the requests that wait for an answer.
    demanded : int
        Tokens that requests have asked for since the latest message.
    rate : float
        Average of recent demand, in tokens a second.
    latest_cost : int
        Cost of the latest request.
    refuse_until : float
        Monotonic seconds until which the owner has no tokens.
    refused : float
        Tokens for refused requests that may come again, as of ``refused_at`` in monotonic seconds.
    """

    lot: Lot = field(default_factory=Lot)
    former: Lot = field(default_factory=Lot)
    own: OwnBucket | None = None
    spent: int = 0
    waiting: list[int] = field(default_factory=list)
    demanded: int = 0
    rate: float = 0.0
    latest_cost: int = 0
    refuse_until: float = 0.0
    refused: float = 0.0
    refused_at: float = 0.0

    def count_tokens(self, now: float) -> int:
        """Return the tokens that may be spent."""
        own = 0 if self.own is None else math.floor(self.own.level)
        return self.lot.available(now) + self.former.available(now) + own

    def target(self) -> int:
        """Return the tokens that are leased in advance."""
        spare = min(self.latest_cost, self.rate * SPARE_REQUEST_SECONDS)
        return math.ceil(self.rate * ADVANCE_SECONDS + spare) if self.rate > MIN_DEMAND else 0

    def record_demand(self, seconds: float) -> None:
        """Average the demand since the latest message, which was that many seconds ago."""
        if seconds > 0:
            weight = -math.expm1(-seconds / DEMAND_SECONDS)
            self.rate += weight * (self.demanded / seconds - self.rate)
            self.demanded = 0

    def is_idle(self, now: float) -> bool:
        """Return whether there is nothing to tell an owner."""
        return not (self.waiting or self.demanded or self.lot.available(now) or self.rate > MIN_DEMAND)

    def record_refusal(self, cost: int, per_second: float, now: float) -> float:
        """Record a refused request; return the seconds in which the tokens for all refused ones come in.

        Parameters
        ----------
        cost : int
            Cost of the request.
        per_second : float
            Tokens that come in for this entry.
        now : float
            Monotonic seconds.
        """
        come_in = (now - self.refused_at) * per_second
        self.refused = min(max(0.0, self.refused - come_in) + cost, MAX_REFUSED_SECONDS * per_second)
        self.refused_at = now
        return self.refused / per_second

    def make_demand(self, customer: str, terms: QuotaTerms, now: float, *, ends: bool) -> Demand:
        """Return the demand for an owner; what it returns cannot be spent any more, all if the lease ends."""
        held = self.lot.available(now)
        self.spent = 0
        if ends:
            self.lot.tokens = 0
            return Demand(customer, terms, returned=held)
        target = self.target()
        returned = held - target if held > RETURN_FACTOR * target and not self.waiting else 0
        held -= returned
        self.lot.tokens = held
        needed = max(0, sum(self.waiting) - held)
        least = max(0, min(self.waiting, default=0) - held)
        wanted = needed + max(0, target - held)
        return Demand(customer, terms, held, returned, least, needed, wanted)

    def record_grant(self, grant: Grant, asked_at: float, now: float) -> None:
        """Record the lease that an owner granted."""
        self.lot.tokens = max(0, grant.leased - self.spent)
        self.lot.ends_at = asked_at + LEASE_SECONDS
        self.refuse_until = now + grant.retry_seconds if grant.retry_seconds else 0.0


class EntryCounts:
    """Highest number of entries that owners have told lately; the latest one while none tells any.

    An owner that started during a partition knows only the entries that reach it.

    Examples
    --------
    >>> counts = EntryCounts()
    >>> counts.record(4, 10.0)
    >>> counts.record(2, 20.0)
    >>> counts.highest(30.0), counts.highest(45.0), counts.highest(99.0)
    (4, 2, 2)
    """

    def __init__(self) -> None:
        """Know no number."""
        # Times and numbers; each number is lower than those before it.
        self.told: list[tuple[float, int]] = []

    def record(self, count: int, now: float) -> None:
        """Record what an owner told."""
        while self.told and self.told[-1][1] <= count:
            self.told.pop()
        self.told.append((now, count))

    def highest(self, now: float) -> int:
        """Return the highest number told lately; 0 if none ever was."""
        while len(self.told) > 1 and self.told[0][0] + ENTRY_MEMORY_SECONDS <= now:
            self.told.pop(0)
        return self.told[0][1] if self.told else 0


@dataclass(frozen=True, slots=True)
class PendingAsk:
    """Message that an owner has not answered."""

    owner: str
    number: int
    sent_at: float
    ends: bool


class ShardLeases:
    """Tokens of the customers of one shard in one entry.

    Parameters
    ----------
    now : float
        Monotonic seconds; the former process of this entry may count until `RESTART_SECONDS` later.

    Attributes
    ----------
    owner : str
        Owner of the leases; empty before one has answered.
    counted_until : dict
        Monotonic seconds until which each owner may count this entry.
    own_since : float
        Monotonic seconds from which this entry hands out its own part; infinity while owners answer.
    """

    def __init__(self, now: float) -> None:
        """Create leases of an entry that has asked no owner."""
        self.customers: dict[str, CustomerLease] = {}
        self.owner = ''
        self.stamps: dict[str, float] = {}
        self.told_versions: dict[str, int] = {}
        self.counted_until: dict[str, float] = {'': now + RESTART_SECONDS}
        self.own_since = math.inf
        self.numbers = itertools.count(1)
        self.number = 0
        self.asked_at = now
        self.pending: PendingAsk | None = None

    def of_customer(self, customer: str) -> CustomerLease:
        """Return the lease of a customer."""
        return self.customers.setdefault(customer, CustomerLease())

    def take(self, customer: str, terms: QuotaTerms, cost: int, entries: int, now: float) -> Charge | None:
        """Spend tokens of a customer; return None if there are too few."""
        lease = self.of_customer(customer)
        for lot in (lease.former, lease.lot):
            if lot.available(now) >= cost:
                lot.tokens -= cost
                lease.spent += cost if lot is lease.lot else 0
                return Charge(customer, cost, self.number, lot)
        if now < self.own_since:
            return None
        lease.own = lease.own or OwnBucket(self.own_since)
        lease.own.fill(terms, entries or ASSUMED_ENTRY_COUNT, now)
        if lease.own.level < cost:
            return None
        lease.own.level -= cost
        return Charge(customer, cost, self.number, lease.own)

    def give_back(self, charge: Charge, now: float) -> bool:
        """Take back the tokens of a request that did not run, unless they were reported as spent; return whether."""
        lease = self.of_customer(charge.customer)
        lot = charge.source
        if charge.number != self.number or lot not in {lease.lot, lease.former} or now >= lot.ends_at:
            return False
        lot.tokens += charge.cost
        lease.spent -= charge.cost if lot is lease.lot else 0
        return True

    def is_idle(self, now: float) -> bool:
        """Return whether no customer has anything to tell an owner."""
        return all(lease.is_idle(now) for lease in self.customers.values())

    def make_ask(
        self, owner: str, terms: Mapping[str, QuotaTerms], version: int, entries: int, now: float, *, ends: bool = False
    ) -> Ask:
        """Return the message to an owner; leases of another one are kept until they end.

        Parameters
        ----------
        owner : str
            Owner of the shard as this entry sees it.
        terms : dict
            Quotas of the customers of the shard.
        version : int
            Version of the configuration that states them; an owner is told of all of them once.
        entries : int
            Number of all entries, as owners have told it.
        now : float
            Monotonic seconds.
        ends : bool
            Whether another owner is asked from now on.
        """
        if owner != self.owner:
            self._leave_owner(owner)
        for name, lease in tuple(self.customers.items()):
            lease.record_demand(now - self.asked_at)
            if name not in terms and lease.is_idle(now):
                self.customers.pop(name)
        told = self.told_versions.get(owner) == version and owner in self.stamps
        customers = [
            name for name in terms if not told or (name in self.customers and not self.customers[name].is_idle(now))
        ]
        demands = tuple(self.of_customer(name).make_demand(name, terms[name], now, ends=ends) for name in customers)
        self.told_versions[owner] = version
        self.number = next(self.numbers)
        self.asked_at = now
        self.pending = PendingAsk(owner, self.number, now, ends)
        elsewhere = [ends_at - now for name, ends_at in self.counted_until.items() if name != owner]
        return Ask(self.number, self.stamps.get(owner, 0.0), max(0.0, *elsewhere, 0.0), entries, demands, ends)

    def record_answer(self, number: int, stamp: float, grants: tuple[Grant, ...], now: float) -> bool:
        """Record the answer to the latest message; return whether another message is due to count at its owner."""
        pending = self.pending
        if pending is None or pending.number != number:
            return False
        self.pending = None
        self.counted_until = {name: ends_at for name, ends_at in self.counted_until.items() if ends_at > now}
        if pending.ends:
            self.forget_owner(pending.owner)
            return True
        is_first = self.counted_until.get(pending.owner, 0) <= now
        self.stamps = {pending.owner: stamp}
        self.counted_until[pending.owner] = now + COUNTED_SECONDS
        self.own_since = math.inf
        for lease in self.customers.values():
            lease.own = None
        for grant in grants:
            self.of_customer(grant.customer).record_grant(grant, pending.sent_at, now)
        return is_first

    def record_no_answer(self) -> None:
        """Record that the latest message was not answered; an answer that comes later is not used."""
        self.pending = None

    def forget_owner(self, owner: str) -> None:
        """Record that an owner counts this entry no more: its process ended, or it was told so and has answered."""
        self.counted_until.pop(owner, None)
        self.stamps.pop(owner, None)

    def use_own_part(self, now: float) -> None:
        """Hand out the own part of this entry once no owner counts it any more."""
        if math.isinf(self.own_since):
            self.own_since = max(now, *self.counted_until.values(), now)

    def _leave_owner(self, owner: str) -> None:
        """Keep the leases of the owner before until they end; those of the one before that are dropped.

        An owner that is asked again takes what is not reported to it for spent, so that no older lease may be kept.
        """
        self.owner = owner
        for lease in self.customers.values():
            lease.former = lease.lot
            lease.lot = Lot()
            lease.spent = 0
