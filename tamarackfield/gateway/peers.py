"""Exchange of items between entries, for one that cannot read the store."""

import asyncio
import random
from collections.abc import Callable

from loguru import logger

from tamarackfield.core import SYSTEM_CLOCK, Address, TamarackfieldError
from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.gateway.replica import LEAST_SPREAD, Follower, Item, Replica
from tamarackfield.wire.grants import AskItems, Items
from tamarackfield.wire.messages import Hello
from tamarackfield.wire.stream import PeerStream, StreamClosedError, connect, start_peer_server

#: Seconds without an answer of the store after which peers are asked.
AWAY_SECONDS = 0.7
#: Seconds between two rounds of asking.
ASK_INTERVAL = 0.7
#: Seconds that a peer may take to answer.
ANSWER_SECONDS = 1.0


class PeerExchange:
    """Answers peers, and asks them while the store is away.

    Parameters
    ----------
    replica : Replica
        What this process knows.
    followers : list of Follower
        Of the store's prefixes.
    hello : callable
        Returns what this process says of itself.
    seeds : callable
        Returns the addresses of some peers.
    """

    def __init__(
        self,
        replica: Replica,
        followers: list[Follower],
        hello: Callable[[], Hello],
        seeds: Callable[[], list[Address]],
    ) -> None:
        """Keep the parts."""
        self.replica = replica
        self.followers = followers
        self.hello = hello
        self.seeds = seeds
        self.server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Start to answer peers."""
        self.server = await start_peer_server(self.accept, host, port)

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one peer."""
        stream = PeerStream(reader, writer)
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                await stream.greet(self.hello())
                question = await stream.receive()
                if isinstance(question, AskItems) and question.revision < self.replica.revision:
                    stream.send(self._items())
            await stream.finish()
        except (TamarackfieldError, TimeoutError) as exc:
            logger.bind(peer=stream.peer, error=repr(exc)).debug('peer_not_answered')
        finally:
            stream.abort()

    async def run(self) -> None:
        """Ask peers whenever the store has not answered for some time."""
        while True:
            await asyncio.sleep(ASK_INTERVAL * random.uniform(LEAST_SPREAD, 1))
            if self._is_store_away():
                await self._ask_all()

    def take(self, items: Items, peer: str) -> None:
        """Take in what a peer knows and this process does not."""
        before = self.replica.revision
        known = zip(items.keys, items.revisions, items.payloads, strict=True)
        news = [Item(key, revision, payload) for key, revision, payload in known]
        present = set(items.keys)
        for item in news:
            self._take_one(item)
        for prefix, position in zip(items.prefixes, items.positions, strict=True):
            for gone in self.replica.missing(prefix, present, position):
                self._take_one(gone)
            self.replica.note_complete(prefix, position)
        if self.replica.revision != before:
            logger.bind(peer=peer, age_ms=items.age_ms, revision=items.revision, before=before).info('items_of_peer')

    def _items(self) -> Items:
        known = list(self.replica.items.values())
        answered_at = min(contact.answered_at for contact in self.replica.contacts)
        age_ms = round((SYSTEM_CLOCK.monotonic() - answered_at) * MS_PER_SECOND)
        return Items(
            revision=self.replica.revision,
            age_ms=max(0, age_ms),
            prefixes=list(self.replica.complete),
            positions=list(self.replica.complete.values()),
            keys=[item.key for item in known],
            revisions=[item.revision for item in known],
            payloads=[item.content or b'' for item in known],
        )

    def _is_store_away(self) -> bool:
        now = SYSTEM_CLOCK.monotonic()
        return any(contact.down and now > contact.trouble_from + AWAY_SECONDS for contact in self.replica.contacts)

    def _take_one(self, item: Item) -> None:
        for follower in self.followers:
            if item.key.startswith(follower.prefix):
                follower.take(item)

    async def _ask_all(self) -> None:
        await asyncio.gather(*(self._ask(address) for address in self.seeds()))

    async def _ask(self, address: Address) -> None:
        stream: PeerStream | None = None
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                stream = await connect(*address, None)
                await stream.greet(self.hello())
                stream.send(AskItems(self.replica.revision))
                answer = await stream.receive()
            if isinstance(answer, Items):
                self.take(answer, stream.peer)
        except StreamClosedError as exc:
            logger.bind(peer=f'{address[0]}:{address[1]}', step=exc.step, error=exc.message).debug('peer_not_asked')
        except (TamarackfieldError, TimeoutError, ValueError) as exc:
            logger.bind(peer=f'{address[0]}:{address[1]}', error=repr(exc)).info('peer_not_asked')
        finally:
            if stream is not None:
                stream.abort()
