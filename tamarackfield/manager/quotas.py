"""Owner of shards of customers in one process: answers the entries that lease tokens of the customers' quotas."""

from loguru import logger

from tamarackfield.core import BOOT_CLOCK
from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.policy.quotas import QUOTA_SHARDS, KnownEntries, QuotaShard
from tamarackfield.wire.messages import Hello
from tamarackfield.wire.quotas import AskTokens, EntryStops, TokensGranted, decode_ask, encode_grants
from tamarackfield.wire.stream import PeerBusyError, PeerStream, StreamClosedError

#: Role in the greeting of an entry.
ENTRY_ROLE = 'entry'
#: Seconds between two looks at the entries that are connected.
LOOK_INTERVAL_SECONDS = 0.5


class QuotaOwner:
    """Shards that entries ask this process for, and the entries that it knows.

    Attributes
    ----------
    streams : set of PeerStream
        Streams of the entries that are connected.
    stopped : set of str
        Names of the entries that announced that they stop, and have not started anew.
    """

    def __init__(self) -> None:
        """Own shards with empty buckets."""
        self.shards: dict[int, QuotaShard] = {}
        self.known = KnownEntries()
        self.streams: set[PeerStream] = set()
        self.stopped: set[str] = set()
        self.looked_at = 0.0

    def record_connected(self, hello: Hello | None, now: float) -> None:
        """Record that an entry has connected."""
        if hello is not None and hello.role == ENTRY_ROLE:
            self.stopped.discard(hello.instance)
            self.known.record(hello.instance, now)

    def record_stop(self, instance: str) -> None:
        """Record that an entry has announced its stop: it counts no more."""
        logger.bind(entry=instance).info('entry_stops')
        self.stopped.add(instance)
        self.known.remove(instance)

    def record_disconnected(self, hello: Hello | None, now: float) -> None:
        """Record that a stream of an entry has ended: it leases no more, unless it has another stream."""
        if hello is None or hello.role != ENTRY_ROLE or _identify(hello) in map(_identify, self._list_connected()):
            return
        if hello.instance not in self.stopped:
            self.known.record(hello.instance, now)
        for shard in self.shards.values():
            shard.remove(_identify(hello), now)

    def count_entries(self, now: float) -> int:
        """Return the number of entries that are connected, or were lately and have not announced that they stop."""
        if now >= self.looked_at + LOOK_INTERVAL_SECONDS:
            self.looked_at = now
            for hello in self._list_connected():
                if hello.instance not in self.stopped:
                    self.known.record(hello.instance, now)
        return self.known.count(now)

    def handle(self, stream: PeerStream | None, message: AskTokens | EntryStops) -> None:
        """Handle a message of an entry, and send it the answer; nothing is done if its stream has ended."""
        if stream is None:
            return
        if isinstance(message, EntryStops):
            self.record_stop(message.instance)
            return
        answer = self.answer(stream.hello, message)
        if answer is not None:
            try:
                stream.send(answer)
            except (StreamClosedError, PeerBusyError) as exc:
                logger.bind(entry=stream.peer, step=exc.step, error=exc.message).info('message_not_sent')

    def count_owned(self) -> int:
        """Return the number of shards for which entries count here."""
        return sum(shard.share > 0 for shard in self.shards.values())

    def smallest_share(self) -> float:
        """Return the smallest share of the quotas that this process hands out for one of its shards; 0 without any."""
        return min((shard.share for shard in self.shards.values() if shard.share), default=0.0)

    def answer(self, hello: Hello | None, message: AskTokens) -> TokensGranted | None:
        """Return the answer to an entry; None if its message is none, or a later one was answered before."""
        now = BOOT_CLOCK.monotonic()
        if hello is None or hello.role != ENTRY_ROLE or message.shard >= QUOTA_SHARDS:
            return None
        if hello.instance not in self.stopped:
            self.known.record(hello.instance, now)
        entries = self.count_entries(now)
        shard = self.shards.setdefault(message.shard, QuotaShard(now))
        before = shard.share
        try:
            grants = shard.answer(_identify(hello), decode_ask(message), entries, now)
        except ValueError as exc:
            logger.bind(entry=hello.instance, error=repr(exc)).warning('quota_message_not_read')
            return None
        if shard.share != before:
            bound = logger.bind(shard=message.shard, share=round(shard.share, 3), before=round(before, 3))
            bound.bind(entries=shard.entries, entry=hello.instance).info('quota_share')
        if grants is None:
            return None
        for grant in grants:
            if grant.retry_seconds:
                retry_ms = round(grant.retry_seconds * MS_PER_SECOND)
                bound = logger.bind(entry=hello.instance, customer=grant.customer, retry_ms=retry_ms)
                bound.bind(share=round(shard.share, 3)).info('tokens_declined')
        return encode_grants(grants, message, now, entries)

    def _list_connected(self) -> list[Hello]:
        hellos = [stream.hello for stream in self.streams]
        return [hello for hello in hellos if hello is not None and hello.role == ENTRY_ROLE]


def _identify(hello: Hello) -> str:
    """Return the name of an incarnation of an entry."""
    return f'{hello.instance}@{hello.incarnation}'
