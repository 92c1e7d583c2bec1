"""Messages between entries and the owners of shards of customers, who lease tokens of the customers' quotas."""

from dataclasses import dataclass

from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.policy.quotas import Ask, Demand, Grant, QuotaTerms
from tamarackfield.wire.codec import register_message_types
from tamarackfield.wire.messages import Message

#: Thousandths in a token.
_MILLITOKENS = 1000


@dataclass(frozen=True, slots=True)
class AskTokens(Message):
    """Demand of an entry for tokens of the customers of a shard; answered by `TokensGranted`.

    ``number`` increases with each message of the entry about the shard; ``stamp_ms`` is that of the latest answer, on
    the clock of the receiver. ``elsewhere_ms`` is the time for which the sender may still count at another owner,
    ``entries`` the number of all entries as others know it, ``ends`` whether the sender leaves this owner. The lists
    have one place for each customer: rate and burst in thousandths of a token, and the fields of
    `tamarackfield.policy.quotas.Demand`.
    """

    kind = 82
    request_id: int
    shard: int
    number: int
    stamp_ms: int
    elsewhere_ms: int
    entries: int
    ends: bool
    version: int
    customers: list[str]
    rates_millitokens: list[int]
    bursts_millitokens: list[int]
    held: list[int]
    returned: list[int]
    least: list[int]
    needed: list[int]
    wanted: list[int]


@dataclass(frozen=True, slots=True)
class TokensGranted(Message):
    """Leases of an entry, in the order of ``customers``.

    ``stamp_ms`` is the time of the answer on the clock of the sender, ``entries`` the number of entries that it knows.
    ``leased`` is the whole lease, what the entry still holds of the former one included. ``retry_ms`` is the time after
    which the requests may ask again that got no tokens; 0 if all got some.
    """

    kind = 83
    request_id: int
    number: int
    stamp_ms: int
    entries: int
    customers: list[str]
    leased: list[int]
    retry_ms: list[int]


@dataclass(frozen=True, slots=True)
class EntryStops(Message):
    """The sender, an entry, has stopped: it counts among all entries no more."""

    kind = 84
    instance: str


def encode_ask(ask: Ask, shard: int, version: int, request_id: int) -> AskTokens:
    """Return the message of an entry to the owner of a shard."""
    demands = ask.demands
    return AskTokens(
        request_id=request_id,
        shard=shard,
        number=ask.number,
        stamp_ms=round(ask.stamp * MS_PER_SECOND),
        # Rounded up: the owner must not count the sender too early.
        elsewhere_ms=int(ask.elsewhere_seconds * MS_PER_SECOND) + 1 if ask.elsewhere_seconds else 0,
        entries=ask.entries,
        ends=ask.ends,
        version=version,
        customers=[demand.customer for demand in demands],
        rates_millitokens=[int(demand.terms.per_second * _MILLITOKENS) for demand in demands],
        bursts_millitokens=[int(demand.terms.burst * _MILLITOKENS) for demand in demands],
        held=[demand.held for demand in demands],
        returned=[demand.returned for demand in demands],
        least=[demand.least for demand in demands],
        needed=[demand.needed for demand in demands],
        wanted=[demand.wanted for demand in demands],
    )


def decode_ask(message: AskTokens) -> Ask:
    """Return what a message asks.

    Raises
    ------
    ValueError
        If its lists differ in length.
    """
    rows = zip(
        message.customers,
        message.rates_millitokens,
        message.bursts_millitokens,
        message.held,
        message.returned,
        message.least,
        message.needed,
        message.wanted,
        strict=True,
    )
    demands = tuple(
        Demand(name, QuotaTerms(message.version, rate / _MILLITOKENS, burst / _MILLITOKENS), *amounts)
        for name, rate, burst, *amounts in rows
    )
    elsewhere_seconds = message.elsewhere_ms / MS_PER_SECOND
    stamp = message.stamp_ms / MS_PER_SECOND
    return Ask(message.number, stamp, elsewhere_seconds, message.entries, demands, message.ends)


def encode_grants(grants: tuple[Grant, ...], message: AskTokens, now: float, entries: int) -> TokensGranted:
    """Return the answer to a message."""
    return TokensGranted(
        request_id=message.request_id,
        number=message.number,
        stamp_ms=int(now * MS_PER_SECOND),
        entries=entries,
        customers=[grant.customer for grant in grants],
        leased=[grant.leased for grant in grants],
        retry_ms=[round(grant.retry_seconds * MS_PER_SECOND) for grant in grants],
    )


def decode_grants(message: TokensGranted) -> tuple[Grant, ...]:
    """Return the leases in an answer.

    Raises
    ------
    ValueError
        If its lists differ in length.
    """
    rows = zip(message.customers, message.leased, message.retry_ms, strict=True)
    return tuple(Grant(name, leased, retry_ms / MS_PER_SECOND) for name, leased, retry_ms in rows)


register_message_types({message_type.kind: message_type for message_type in (AskTokens, TokensGranted, EntryStops)})
