"""Exchange of items between entries, for an entry that cannot read the store."""

import asyncio
import random
from collections.abc import Callable

from loguru import logger

from tamarackfield.core import SYSTEM_CLOCK, Address, ConnectionServer, TamarackfieldError
from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.core.steps import in_steps
from tamarackfield.core.time_limits import time_limit
from tamarackfield.gateway.configuration import Configuration
from tamarackfield.gateway.crash_exchange import CrashExchange
from tamarackfield.gateway.follower import MIN_JITTER_SHARE, Follower
from tamarackfield.gateway.freshness import FreshnessExchange, FreshnessTracker
from tamarackfield.gateway.known_entries import ROUND_SECONDS, EntryDirectory
from tamarackfield.gateway.quarantine import RequestQuarantine
from tamarackfield.gateway.replica import Item, Replica
from tamarackfield.gateway.request_limits import EntryGates
from tamarackfield.gateway.revisions import MAX_NUMBER, Revision, unpack_revision
from tamarackfield.manager.quotas import QuotaOwner
from tamarackfield.wire.messages import Hello, Message
from tamarackfield.wire.queries import (
    AskBeliefs,
    AskCrashes,
    AskEntries,
    AskFreshness,
    AskItems,
    AskPermit,
    AskTokens,
    Beliefs,
    Items,
    KnownEntries,
)
from tamarackfield.wire.stream import PeerStream, StreamClosedError, connect

#: Seconds after the first failure of an outage of the store from which peers are queried.
MIN_STORE_OUTAGE_SECONDS = 0.7
#: Seconds between two rounds of queries, before jitter.
QUERY_INTERVAL_SECONDS = 0.7
#: Time-out, in seconds, of a query and of its answer.
ANSWER_TIMEOUT_SECONDS = 1.0


class PeerExchange:
    """Server of items for peers, and client of peers while the store is down.

    Parameters
    ----------
    replica : Replica
        Copy of the items in this process.
    followers : list of Follower
        Followers of the prefixes of the store.
    hello : callable
        Returns the greeting that identifies this process.
    seeds : callable
        Returns the addresses of some peers.
    configuration : Configuration
        Configuration, versions and targets as this process knows them.
    quarantine : RequestQuarantine
        Crashes of targets that this process knows.

    Attributes
    ----------
    freshness : FreshnessTracker
        Proof that the configuration in force is current.
    proofs : FreshnessExchange
        What this entry asks peers for that proof.
    """

    def __init__(
        self,
        replica: Replica,
        followers: list[Follower],
        hello: Callable[[], Hello],
        seeds: Callable[[], list[Address]],
        configuration: Configuration,
        quarantine: RequestQuarantine,
    ) -> None:
        """Store the collaborators."""
        self.configuration = configuration
        self.replica = replica
        self.followers = followers
        self.hello = hello
        self.seeds = seeds
        self.server = ConnectionServer(self.answer_peer)
        self.answering = asyncio.Lock()
        self.gates = EntryGates()
        self.quotas = QuotaOwner()
        self.entries = EntryDirectory('', seeds)
        self.crashes = CrashExchange(quarantine, self.entries, hello)
        self.rng = random.Random()  # noqa: S311 draws peers
        self.freshness = FreshnessTracker(configuration, replica, self._check_store, lambda: hello().incarnation)
        for follower in followers:
            follower.on_applied = self.freshness.record_answer
            follower.is_news_urgent = self.freshness.claim_check
        self.proofs = FreshnessExchange(self.freshness, lambda: self.entries.list_told(self.rng), self._query_peer)

    async def listen(self, host: str, port: int) -> None:
        """Start to serve peers."""
        self.entries.own_address = f'{host}:{port}'
        await self.server.listen(host, port)

    async def close(self) -> None:
        """Stop serving peers."""
        await self.server.close()

    async def answer_peer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the query of one peer."""
        stream = PeerStream(reader, writer)
        try:
            async with time_limit(ANSWER_TIMEOUT_SECONDS):
                await stream.exchange_hellos(self.hello())
                query = await self.crashes.receive(stream)
                if isinstance(query, AskTokens):
                    self._answer_quota(stream, query)
                if isinstance(query, AskPermit):
                    stream.send(await self.gates.wait_for_answer(query))
                async with self.answering:
                    self._send_answer(stream, query)
                    # Many peers ask at once; the event loop runs after each answer.
                    await asyncio.sleep(0)
            await stream.finish()
        except (TamarackfieldError, TimeoutError, ValueError) as exc:
            logger.bind(peer=stream.peer, error=repr(exc)).debug('peer_query_not_answered')
        finally:
            stream.abort()

    def _answer_quota(self, stream: PeerStream, query: AskTokens) -> None:
        answer = self.quotas.answer(stream.hello, query)
        if answer is not None:
            stream.send(answer)

    def _send_answer(self, stream: PeerStream, query: Message) -> None:
        if isinstance(query, AskFreshness):
            stream.send(self.freshness.answer(query))
            return
        if isinstance(query, AskEntries):
            stream.send(self.entries.answer(query))
        elif isinstance(query, AskCrashes):
            self.crashes.answer(stream, query)
        elif isinstance(query, AskBeliefs):
            stream.send(self.build_beliefs())
        elif isinstance(query, AskItems) and unpack_revision(query.revision) < self.replica.revision:
            stream.send(self.build_items(knows_eras=query.revision > MAX_NUMBER))

    async def run(self) -> None:
        """Ask peers for what the store may not know, then for items while it is down; never return."""
        await asyncio.gather(self._ask_seeds(AskBeliefs()), self.crashes.ask(self.seeds()))
        while True:
            await asyncio.sleep(QUERY_INTERVAL_SECONDS * random.uniform(MIN_JITTER_SHARE, 1))
            if self._is_store_down():
                await self._ask_seeds(AskItems(self.replica.revision.pack()))

    async def tell_entries(self, is_needed: Callable[[], bool]) -> None:
        """Tell some entries regularly which ones this entry knows, while that is needed; never return."""
        while True:
            if is_needed():
                told = self.entries.list_told(self.rng)
                await asyncio.gather(*(self._query_peer(address, self.entries.ask()) for address in told))
            await asyncio.sleep(ROUND_SECONDS * random.uniform(MIN_JITTER_SHARE, 1))

    def build_items(self, knows_eras: bool) -> Items:
        """Return all items for a peer; one that knows of no era gets plain revision numbers.

        A configuration that stays in force though the store lost it precedes the older one that the store has.
        """
        known = [*self._superseded_items(), *self.replica.items.values()]

        def encode(revision: Revision) -> int:
            return revision.pack() if knows_eras else revision.number

        return Items(
            revision=encode(self.replica.revision),
            age_ms=round(self.replica.store_age_seconds(SYSTEM_CLOCK.monotonic()) * MS_PER_SECOND),
            prefixes=list(self.replica.complete),
            positions=[encode(position) for position in self.replica.complete.values()],
            keys=[item.key for item in known],
            revisions=[encode(item.revision) for item in known],
            payloads=[item.content or b'' for item in known],
        )

    async def apply_items(self, items: Items, peer: str) -> None:
        """Apply the items and deletions of a peer that are newer than those of this process."""
        previous_revision = self.replica.revision
        rows = zip(items.keys, items.revisions, items.payloads, strict=True)
        reported = [Item(key, unpack_revision(revision), payload) for key, revision, payload in rows]
        present = set(items.keys)
        if unpack_revision(items.revision) > previous_revision:
            self.replica.record_news('peer', self.replica.store_age_seconds(SYSTEM_CLOCK.monotonic()))
        async for item in in_steps(reported):
            self._apply_item(item)
        for prefix, packed in zip(items.prefixes, items.positions, strict=True):
            position = unpack_revision(packed)
            for deletion in self.replica.find_deleted(prefix, present, position):
                self._apply_item(deletion)
            self.replica.mark_complete(prefix, position)
        if self.replica.revision != previous_revision:
            revision = self.replica.revision
            logger.bind(
                peer=peer,
                age_ms=items.age_ms,
                era=revision.era,
                revision=revision.number,
                before=previous_revision.number,
            ).info('items_of_peer')

    def build_beliefs(self) -> Beliefs:
        """Return what this process knows and the store may not."""
        departures = self.configuration.directory.list_departures()
        kept_items = self.configuration.kept_items()
        newest = self.configuration.versions.newest
        return Beliefs(
            departed=list(departures),
            departed_ms=list(departures.values()),
            keys=[item.key for item in kept_items],
            revisions=[item.revision.pack() for item in kept_items],
            payloads=[item.content or b'' for item in kept_items],
            adapters=list(newest),
            versions=list(newest.values()),
        )

    def apply_beliefs(self, beliefs: Beliefs, peer: str) -> None:
        """Apply what a peer knows and the store may not: nothing of it reverts."""
        configuration = self.configuration
        for name, started_ms in zip(beliefs.departed, beliefs.departed_ms, strict=True):
            configuration.directory.record_departure(name, started_ms)
        for adapter, version in zip(beliefs.adapters, beliefs.versions, strict=True):
            configuration.versions.record_version(adapter, version)
        for key, revision, payload in zip(beliefs.keys, beliefs.revisions, beliefs.payloads, strict=True):
            configuration.apply_kept_item(Item(key, unpack_revision(revision), payload))
        logger.bind(peer=peer, departed=len(beliefs.departed), versions=len(beliefs.versions)).info('beliefs_of_peer')

    def _superseded_items(self) -> list[Item]:
        """Return the items in force whose state in the store is another one."""
        stored = self.replica.items
        return [
            item
            for item in self.configuration.kept_items()
            if item.key not in stored or stored[item.key].content != item.content
        ]

    def _is_store_down(self) -> bool:
        now = SYSTEM_CLOCK.monotonic()
        return any(
            store_status.down and now > store_status.failing_since + MIN_STORE_OUTAGE_SECONDS
            for store_status in self.replica.store_statuses
        )

    def _apply_item(self, item: Item) -> None:
        for follower in self.followers:
            if item.key.startswith(follower.prefix):
                follower.apply_item(item)

    async def _ask_seeds(self, query: Message) -> None:
        await asyncio.gather(*(self._query_peer(address, query) for address in self.seeds()))

    async def _check_store(self) -> None:
        await asyncio.gather(*(follower.check() for follower in self.followers))

    async def _query_peer(self, address: Address, query: Message) -> Message | None:
        """Ask a peer, and apply its answer; return it, None without one."""
        stream: PeerStream | None = None
        try:
            async with time_limit(ANSWER_TIMEOUT_SECONDS):
                stream = await connect(*address, None)
                await stream.exchange_hellos(self.hello())
                stream.send(query)
                answer = await stream.receive()
            if isinstance(answer, Items):
                await self.apply_items(answer, stream.peer)
            elif isinstance(answer, Beliefs):
                self.apply_beliefs(answer, stream.peer)
            elif isinstance(answer, KnownEntries):
                self.entries.record(answer)
            return answer
        except StreamClosedError as exc:
            logger.bind(peer=f'{address[0]}:{address[1]}', step=exc.step, error=exc.message).debug('peer_query_failed')
        except (TamarackfieldError, TimeoutError, ValueError) as exc:
            logger.bind(peer=f'{address[0]}:{address[1]}', error=repr(exc)).info('peer_query_failed')
        finally:
            if stream is not None:
                stream.abort()
        return None
