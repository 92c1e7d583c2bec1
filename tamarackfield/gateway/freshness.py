"""Sources of the proof that the configuration in force is current: answers of the store, and statements of peers."""

import asyncio
import contextlib
import math
import random
from collections.abc import Awaitable, Callable

from loguru import logger

from tamarackfield.core import BOOT_CLOCK, Address, Clock
from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.core.time_limits import time_limit
from tamarackfield.gateway.configuration import Configuration
from tamarackfield.gateway.follower import MIN_JITTER_SHARE
from tamarackfield.gateway.replica import Item, Replica
from tamarackfield.gateway.revisions import unpack_revision
from tamarackfield.policy.freshness import CHECK_INTERVAL_SECONDS, FreshnessProof, KeyVerdict
from tamarackfield.wire.freshness import AskFreshness, Freshness
from tamarackfield.wire.messages import Message

#: Seconds between two rounds of questions for proofs, before jitter; as for items.
QUERY_INTERVAL_SECONDS = 0.7


class FreshnessTracker:
    """Proof of one entry, kept up to date by its followers and its peers.

    Parameters
    ----------
    configuration : Configuration
        Configuration in force.
    replica : Replica
        Copy of the items in this process, with the availability of the store.
    check_store : callable
        Makes one call of the store beside the watch.
    incarnation : callable
        Returns the incarnation of this process.
    clock : Clock
        Clock that includes the time for which the machine was suspended.

    Attributes
    ----------
    round_needed : Event
        Set when peers are to be asked at once, since the store stated a new era.
    """

    def __init__(
        self,
        configuration: Configuration,
        replica: Replica,
        check_store: Callable[[], Awaitable[None]],
        incarnation: Callable[[], int],
        clock: Clock = BOOT_CLOCK,
    ) -> None:
        """Start without a proof."""
        self.configuration = configuration
        self.replica = replica
        self.check_store = check_store
        self.incarnation = incarnation
        self.clock = clock
        self.proof = FreshnessProof()
        self.round_needed = asyncio.Event()
        self.checking: asyncio.Task[None] | None = None
        self.check_due_at = -math.inf

    def configure(self, required: bool, revoke_seconds: float, apply_seconds: float) -> None:
        """Apply the bounds of the settings."""
        self.proof.required = required
        self.proof.revoke_seconds = revoke_seconds
        self.proof.apply_seconds = apply_seconds

    def record_answer(self, sent_at: float, round_trip_seconds: float, era: int) -> None:
        """Record that the contents of an answer of the store are applied; its call was sent at a given time."""
        self.proof.record_round_trip(round_trip_seconds)
        self.proof.record_store(sent_at, era, self.clock.monotonic())
        if self.proof.held_era is not None:
            self.round_needed.set()

    def is_stale(self) -> bool:
        """Return whether known keys are refused."""
        return self._has_customers() and not self.proof.is_proven(self.clock.monotonic())

    def claim_check(self) -> bool:
        """Return whether the store is to be asked at once, as known keys are refused; at most once in a while."""
        return self.is_stale() and self._may_check()

    def is_ready(self) -> bool:
        """Return whether the entry can serve its routes that need a key, if it has any."""
        catalog = self.configuration.catalog
        if catalog is None or not self.is_stale():
            return True
        return all(route.public for route in catalog.routes)

    def needs_peers(self) -> bool:
        """Return whether peers are to be asked for their proofs."""
        return self._has_customers() and self.proof.needs_peers(self._store_answers(), self.clock.monotonic())

    def age_seconds(self) -> float:
        """Return the age of the proof; infinite without one."""
        return self.proof.age_seconds(self.clock.monotonic())

    def judge(self, is_known: bool, received_at: float) -> KeyVerdict:
        """Return what is known of the key of a request that arrived at a given time."""
        return self.proof.judge(is_known, received_at, self._store_answers(), self.clock.monotonic())

    async def settle_doubt(self) -> None:
        """Check the store once for all requests in doubt together, unless it does not answer or was checked lately."""
        if self.checking is None:
            if not self._store_answers() or not self._may_check():
                return
            self.checking = asyncio.create_task(self._check())
        # A caller that disconnects does not end the check, which others wait for.
        await asyncio.shield(self.checking)

    def ask(self) -> AskFreshness:
        """Return the question for the proof of a peer."""
        return AskFreshness(*self._position())

    def answer(self, question: AskFreshness) -> Freshness:
        """Return what this entry can prove, with its configuration if it is newer than that of the asking peer."""
        age_seconds = self.age_seconds()
        is_proven = not math.isinf(age_seconds)
        position = self._position()
        item = self.configuration.catalog_item
        is_newer = item is not None and position > (question.version, question.revision)
        key, payload = (item.key, item.content or b'') if item is not None and is_newer else ('', b'')
        age_ms = max(0, math.ceil(age_seconds * MS_PER_SECOND)) if is_proven else 0
        return Freshness(is_proven, age_ms, *position, key, payload, self.incarnation())

    def record_statement(self, statement: Freshness, asked_at: float, peer: str) -> None:
        """Apply the configuration of a peer if it is newer, then record its proof; it was asked at a given time."""
        if statement.key:
            item = Item(statement.key, unpack_revision(statement.revision), statement.payload)
            self.configuration.apply_kept_item(item)
        if not statement.proven or (statement.version, statement.revision) > self._position():
            return
        was_proven = not self.is_stale()
        self.proof.record_peer(asked_at, statement.age_ms / MS_PER_SECOND)
        if not was_proven:
            logger.bind(peer=peer, age_ms=statement.age_ms, version=statement.version).info('freshness_of_peer')

    async def _check(self) -> None:
        try:
            await self.check_store()
        finally:
            self.checking = None

    def _may_check(self) -> bool:
        """Return whether the latest check is long enough ago, and count this one if so."""
        now = self.clock.monotonic()
        if now < self.check_due_at:
            return False
        self.check_due_at = now + CHECK_INTERVAL_SECONDS
        return True

    def _store_answers(self) -> bool:
        return not any(store_status.down for store_status in self.replica.store_statuses)

    def _has_customers(self) -> bool:
        catalog = self.configuration.catalog
        return catalog is not None and catalog.customers is not None

    def _position(self) -> tuple[int, int]:
        """Return version and revision of the configuration in force."""
        catalog, item = self.configuration.catalog, self.configuration.catalog_item
        return (0, 0) if catalog is None or item is None else (catalog.version, item.revision.pack())


class FreshnessExchange:
    """Questions of one entry for the proofs of its peers.

    Parameters
    ----------
    tracker : FreshnessTracker
        Proof of this entry.
    list_peers : callable
        Returns the addresses of the peers that are asked in one round.
    query : callable
        Asks a peer; returns its answer, None without one.
    """

    def __init__(
        self,
        tracker: FreshnessTracker,
        list_peers: Callable[[], list[Address]],
        query: Callable[[Address, Message], Awaitable[Message | None]],
    ) -> None:
        """Store the collaborators."""
        self.tracker = tracker
        self.list_peers = list_peers
        self.query = query

    async def run(self) -> None:
        """Ask peers for their proofs while the store gives none, and once in each era of it; never return."""
        needed = self.tracker.round_needed
        while True:
            seconds = QUERY_INTERVAL_SECONDS * random.uniform(MIN_JITTER_SHARE, 1)
            with contextlib.suppress(TimeoutError):
                async with time_limit(seconds):
                    await needed.wait()
            needed.clear()
            if self.tracker.needs_peers():
                await self.ask_peers()

    async def ask_peers(self) -> None:
        """Ask some peers; record whether any of them answered since the store stated its era."""
        tracker = self.tracker
        era = tracker.proof.held_era
        answers = await asyncio.gather(*(self._ask_peer(address) for address in self.list_peers()))
        tracker.proof.record_round(era, any(answers), tracker.clock.monotonic())

    async def _ask_peer(self, address: Address) -> bool:
        asked_at = self.tracker.clock.monotonic()
        answer = await self.query(address, self.tracker.ask())
        if not isinstance(answer, Freshness) or answer.incarnation == self.tracker.incarnation():
            return False
        self.tracker.record_statement(answer, asked_at, f'{address[0]}:{address[1]}')
        return True
