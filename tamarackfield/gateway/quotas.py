"""Quotas of customers in one entry: each request is charged before it goes to a target.

The owner of a shard of customers is chosen by rendezvous from the sidecars that respond, or from the entries where
there are no sidecars, so that entries agree on it without an exchange. An entry leases tokens by its recent demand: a
request whose entry holds tokens does not wait, another one waits for one answer of the owner.
"""

import asyncio
import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from http import HTTPStatus

from loguru import logger

from tamarackfield.core import BOOT_CLOCK, Application, RequestError, TamarackfieldError, split_address
from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.core.time_limits import time_limit, wait_within
from tamarackfield.gateway.links import ManagerLink
from tamarackfield.gateway.model import Call, Catalog, Customer, Quota
from tamarackfield.manager.quotas import QuotaOwner
from tamarackfield.observe.prometheus import MetricRegistry
from tamarackfield.policy.quota_leases import ASSUMED_ENTRY_COUNT, Charge, EntryCounts, ShardLeases
from tamarackfield.policy.quotas import QUOTA_SHARDS, Ask, QuotaTerms, find_shard
from tamarackfield.policy.ring import order_by_rendezvous
from tamarackfield.wire.messages import Hello
from tamarackfield.wire.quotas import AskTokens, EntryStops, TokensGranted, decode_grants, encode_ask
from tamarackfield.wire.stream import PeerStream, connect

#: Seconds between two messages about a shard in which a customer has demand; two of them fit in a lease.
LEASE_INTERVAL_SECONDS = 0.25
#: Seconds between two messages about a shard without demand; two of them fit in the time for which an entry counts.
IDLE_INTERVAL_SECONDS = 0.4
#: Messages a second that an owner should get about one shard from all entries together.
MAX_MESSAGES_PER_SECOND = 200
#: Seconds between two looks at which shards are due.
TICK_SECONDS = 0.05
#: Seconds for which a request waits for tokens: a round trip takes a few milliseconds, up to 100 while all is busy.
MAX_WAIT_SECONDS = 0.1
#: Seconds, beside the margin of links, after which an owner that has not answered is left out.
ANSWER_SECONDS = 0.2
#: Seconds for which an owner that has not answered is left out.
AVOID_SECONDS = 3.0
#: Longest chain of messages without a pause: an owner is left, the next one does not answer, the third is asked twice.
MAX_CHAINED_ASKS = 4
#: Shortest retry time in seconds: an answer and a new lease take as long.
MIN_RETRY_SECONDS = 0.05
#: Seconds after its start from which an entry is ready where there are quotas: it counts at owners after half of them.
READY_SECONDS = 1.0
#: Largest cost of a request in tokens; more does not fit into messages, nor into any bucket.
MAX_COST = 1_000_000_000_000
#: Number of customers with metrics of their own.
MAX_NAMED_CUSTOMERS = 64
#: Label of all other customers in metrics.
OTHER_CUSTOMERS = 'others'


@dataclass(slots=True)
class Terms:
    """Quotas of one configuration: by customer, and by customer for each shard."""

    catalog: Catalog | None = None
    by_shard: list[dict[str, QuotaTerms]] = field(default_factory=lambda: [{} for _ in range(QUOTA_SHARDS)])


class Quotas:
    """Quotas of the customers in one entry.

    Parameters
    ----------
    application : Application
        Supervises the messages to owners.
    links : dict
        Links to all sidecars by the IP number of their machine.
    hello : callable
        Returns the greeting that identifies this process.

    Attributes
    ----------
    list_entries : callable
        Returns the addresses of the entries that run, as all entries know them.
    own_address : str
        Address of this entry among those; empty if it serves no peers.
    owner : QuotaOwner
        Shards that this entry owns where there are no sidecars.
    entry_counts : EntryCounts
        Number of all entries as owners told it.
    """

    def __init__(self, application: Application, links: dict[str, ManagerLink], hello: Callable[[], Hello]) -> None:
        """Hold no tokens."""
        self.application = application
        self.links = links
        self.hello = hello
        self.list_entries: Callable[[], Iterable[str]] = tuple
        self.own_address = ''
        self.owner = QuotaOwner()
        self.metrics = MetricRegistry('tamarackfield')
        self.shards = [ShardLeases(BOOT_CLOCK.monotonic()) for _ in range(QUOTA_SHARDS)]
        self.ready_at = BOOT_CLOCK.monotonic() + READY_SECONDS
        self.tasks: dict[int, asyncio.Task[None]] = {}
        self.terms = Terms()
        self.entry_counts = EntryCounts()
        self.avoided_until: dict[str, float] = {}
        self.labels: dict[str, str] = {}
        self.rng = random.Random()  # noqa: S311 spreads retries

    def attach(self, link: ManagerLink) -> None:
        """Take note of when a sidecar ends its stream: it counts this entry no more."""
        link.on_end = partial(self._forget_owner, link.address[0])

    def use_catalog(self, catalog: Catalog | None) -> None:
        """Use the quotas of a configuration from now on."""
        if catalog is self.terms.catalog:
            return
        self.terms = Terms(catalog)
        if catalog is not None and catalog.customers is not None:
            for customer in catalog.customers.values():
                quota = customer.quota
                if quota is not None:
                    terms = QuotaTerms(catalog.version, quota.per_second, quota.burst)
                    self.terms.by_shard[find_shard(customer.name)][customer.name] = terms

    def is_ready(self) -> bool:
        """Return whether this entry has had the time to lease tokens; one without refuses what others may admit."""
        has_quotas = any(self.terms.by_shard)
        return not has_quotas or BOOT_CLOCK.monotonic() >= self.ready_at

    async def charge(self, call: Call, customer: Customer, quota: Quota, catalog: Catalog) -> Charge | None:
        """Charge a request to its customer; return None if it costs nothing.

        Raises
        ------
        RequestError
            If the quota of the customer is used up; the request did not run.
        """
        cost = find_cost(call, quota)
        if not cost:
            return None
        self.use_catalog(catalog)
        index = find_shard(customer.name)
        lease = self.shards[index].of_customer(customer.name)
        lease.demanded += cost
        lease.latest_cost = cost
        charge = self._take(index, customer.name, cost)
        if charge is None and BOOT_CLOCK.monotonic() >= lease.refuse_until:
            charge = await self._wait_for_tokens(index, customer.name, cost)
        self.metrics.count(
            'quota_requests', customer=self._label(customer.name), result='refused' if charge is None else 'admitted'
        )
        if charge is None:
            raise self._refuse(call, customer, cost)
        return charge

    def give_back(self, charge: Charge) -> None:
        """Take back the tokens of a request that did not run, unless they were reported as spent."""
        returned = self.shards[find_shard(charge.customer)].give_back(charge, BOOT_CLOCK.monotonic())
        self.metrics.count(
            'quota_returns', customer=self._label(charge.customer), result='used' if returned else 'late'
        )

    def announce_stop(self) -> None:
        """Tell all sidecars that this entry counts no more; it admits nothing from now on."""
        for link in self.links.values():
            link.send_best_effort(EntryStops(self.hello().instance))

    def count_entries(self) -> int:
        """Return the number of all entries as the owners told it; 0 if none has."""
        return self.entry_counts.highest(BOOT_CLOCK.monotonic())

    async def run(self) -> None:
        """Tell the owners of the demand regularly; never return."""
        while True:
            now = BOOT_CLOCK.monotonic()
            crowd_interval = self.count_entries() / MAX_MESSAGES_PER_SECOND
            for index, shard in enumerate(self.shards):
                interval = IDLE_INTERVAL_SECONDS if shard.is_idle(now) else LEASE_INTERVAL_SECONDS
                if self.terms.by_shard[index] and now >= shard.asked_at + max(interval, crowd_interval):
                    self._start_asking(index)
            await asyncio.sleep(TICK_SECONDS)

    def _take(self, index: int, customer: str, cost: int) -> Charge | None:
        terms = self.terms.by_shard[index][customer]
        return self.shards[index].take(customer, terms, cost, self.count_entries(), BOOT_CLOCK.monotonic())

    async def _wait_for_tokens(self, index: int, customer: str, cost: int) -> Charge | None:
        """Ask the owner for tokens; return None if it has none, or does not answer in time."""
        shard = self.shards[index]
        lease = shard.of_customer(customer)
        ends_at = BOOT_CLOCK.monotonic() + MAX_WAIT_SECONDS
        lease.waiting.append(cost)
        try:
            while True:
                # An answer that is on its way may not be for this request; the next one is.
                seconds_left = max(0.0, ends_at - BOOT_CLOCK.monotonic())
                answered = await wait_within(self._start_asking(index), seconds_left)
                charge = self._take(index, customer, cost)
                now = BOOT_CLOCK.monotonic()
                refused = not answered or now < lease.refuse_until or math.isfinite(shard.own_since)
                if charge is not None or refused or now >= ends_at:
                    return charge
        finally:
            lease.waiting.remove(cost)

    def _start_asking(self, index: int) -> asyncio.Task[None]:
        """Return the task that asks the owner of a shard, started if none runs."""
        task = self.tasks.get(index)
        if task is None or task.done():
            task = self.application.spawn(self._ask(index), f'quotas-{index}')
            self.tasks[index] = task
        return task

    async def _ask(self, index: int) -> None:
        """Ask the owner of a shard, also the next one if the first does not answer."""
        for _ in range(MAX_CHAINED_ASKS):
            if not await self._ask_owner(index):
                return

    async def _ask_owner(self, index: int) -> bool:
        """Ask the owner of a shard once; return whether another message is due at once."""
        shard = self.shards[index]
        owner = self._choose_owner(index)
        now = BOOT_CLOCK.monotonic()
        if not owner:
            shard.use_own_part(now)
            shard.asked_at = now
            return False
        leaves = owner != shard.owner and shard.owner in shard.stamps and self._responds(shard.owner)
        asked = shard.owner if leaves else owner
        version = self.terms.catalog.version if self.terms.catalog else 0
        ask = shard.make_ask(asked, self.terms.by_shard[index], version, self.count_entries(), now, ends=leaves)
        answer = await self._exchange(asked, ask, index, version)
        if answer is None:
            logger.bind(owner=asked, shard=index, number=ask.number).info('quota_owner_silent')
            shard.record_no_answer()
            self.avoided_until[asked] = BOOT_CLOCK.monotonic() + AVOID_SECONDS
            return True
        received_at = BOOT_CLOCK.monotonic()
        self.entry_counts.record(answer.entries, received_at)
        return shard.record_answer(answer.number, answer.stamp_ms / MS_PER_SECOND, decode_grants(answer), received_at)

    def _choose_owner(self, index: int) -> str:
        """Return the owner of a shard, empty if none responds."""
        now = BOOT_CLOCK.monotonic()
        names = self.links if self.links else self.list_entries()
        ordered = order_by_rendezvous(f'quota-{index}', names)
        responding = (
            name for name in ordered if self.avoided_until.get(name, 0) <= now and self._responds(name, accepting=True)
        )
        return next(responding, '')

    def _responds(self, owner: str, *, accepting: bool = False) -> bool:
        """Return whether an owner responds; ``accepting`` leaves out one that stops."""
        if not self.links:
            return True
        link = self.links.get(owner)
        return link is not None and not link.is_silent() and not (accepting and link.draining)

    async def _exchange(self, owner: str, ask: Ask, index: int, version: int) -> TokensGranted | None:
        """Return the answer of an owner, None if it does not answer in time."""
        if owner == self.own_address:
            return self.owner.answer(self.hello(), encode_ask(ask, index, version, 1))
        link = self.links.get(owner)
        try:
            if link is None:
                return await self._ask_entry(owner, ask, index, version)
            _, answer = await link.ask(partial(_make_message, ask, index, version), ANSWER_SECONDS)
        except (TamarackfieldError, TimeoutError) as exc:
            logger.bind(owner=owner, error=repr(exc)).debug('quota_owner_not_asked')
            return None
        return answer if isinstance(answer, TokensGranted) else None

    def _refuse(self, call: Call, customer: Customer, cost: int) -> RequestError:
        """Return the error of a request over the quota, with a retry time that is not the same for all."""
        index = find_shard(customer.name)
        shard = self.shards[index]
        lease = shard.of_customer(customer.name)
        terms = self.terms.by_shard[index][customer.name]
        now = BOOT_CLOCK.monotonic()
        per_second = terms.per_second / (self.count_entries() or ASSUMED_ENTRY_COUNT)
        # The tokens that come in are for all who were refused here lately, in any order.
        spread = lease.record_refusal(cost, per_second, now)
        retry_seconds = max(lease.refuse_until - now, MIN_RETRY_SECONDS) + self.rng.uniform(0, spread)
        logger.bind(
            request_id=call.request_id,
            customer=customer.name,
            cost=cost,
            tokens_left=lease.count_tokens(now),
            retry_seconds=round(retry_seconds, 3),
            version=terms.version,
            owner=shard.owner,
            own_part=now >= shard.own_since,
        ).info('quota_exceeded')
        return RequestError(
            'quota of the customer is used up',
            step='quota',
            code='quota_exceeded',
            status=HTTPStatus.TOO_MANY_REQUESTS,
            retry_after=retry_seconds,
        )

    def _label(self, customer: str) -> str:
        """Return the label of a customer in metrics, and export what it holds if the label is its own."""
        label = self.labels.get(customer)
        if label is None:
            label = customer if len(self.labels) < MAX_NAMED_CUSTOMERS else OTHER_CUSTOMERS
            if label != OTHER_CUSTOMERS:
                self.labels[customer] = label
                self._add_gauges(customer)
        return label

    def _add_gauges(self, customer: str) -> None:
        """Export what this entry holds and what its callers ask for."""
        shard = self.shards[find_shard(customer)]
        labels = f'{{customer="{customer}"}}'
        self.metrics.add_gauge(
            f'quota_tokens_left{labels}', lambda: shard.of_customer(customer).count_tokens(BOOT_CLOCK.monotonic())
        )
        self.metrics.add_gauge(f'quota_demand_per_second{labels}', lambda: round(shard.of_customer(customer).rate, 3))

    def _forget_owner(self, owner: str) -> None:
        for shard in self.shards:
            shard.forget_owner(owner)

    async def _ask_entry(self, owner: str, ask: Ask, index: int, version: int) -> TokensGranted | None:
        stream: PeerStream | None = None
        try:
            async with time_limit(ANSWER_SECONDS):
                stream = await connect(*split_address(owner), None)
                await stream.exchange_hellos(self.hello())
                stream.send(encode_ask(ask, index, version, 1))
                answer = await stream.receive()
        finally:
            if stream is not None:
                stream.abort()
        return answer if isinstance(answer, TokensGranted) else None


def find_cost(call: Call, quota: Quota) -> int:
    """Return what a request costs its customer.

    Examples
    --------
    >>> from tamarackfield.gateway.tests.samples import make_call
    >>> tokens, requests = Quota(True, 200, 10.0, 10.0), Quota(False, 200, 10.0, 10.0)
    >>> [find_cost(make_call(usage_tokens=used), quota) for quota in (tokens, requests) for used in (900, None)]
    [900, 200, 1, 1]
    """
    if not quota.counts_tokens:
        return 1
    return min(MAX_COST, quota.plain_tokens if call.usage_tokens is None else call.usage_tokens)


def _make_message(ask: Ask, shard: int, version: int, request_id: int) -> AskTokens:
    return encode_ask(ask, shard, version, request_id)
