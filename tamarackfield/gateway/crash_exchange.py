"""Exchange of crashes between entries, where no sidecar passes them on, and for an entry that starts.

An entry tells some others at once what it has learnt, and these tell further ones. In regular rounds it asks one of
them for what it may have missed while it was cut off or stood still, so that all come to know the same [1]_.

References
----------
.. [1] A. Demers et al., "Epidemic algorithms for replicated database maintenance", 1987.
"""

import asyncio
import random
from collections.abc import Callable, Iterable

from loguru import logger

from tamarackfield.core import SYSTEM_CLOCK, Address, TamarackfieldError
from tamarackfield.core.time_limits import time_limit
from tamarackfield.gateway.follower import MIN_JITTER_SHARE
from tamarackfield.gateway.known_entries import ROUND_SECONDS, EntryDirectory
from tamarackfield.gateway.quarantine import RequestQuarantine
from tamarackfield.wire.crash_reports import AskCrashes, CrashesTold, CrashReport, decode_crash, encode_crash
from tamarackfield.wire.messages import Hello, Message
from tamarackfield.wire.stream import PeerStream, connect

#: Time-out, in seconds, of a question to another entry.
ANSWER_TIMEOUT_SECONDS = 1.0
#: Seconds after its start for which an entry waits until another process has told it of crashes, if none responds.
MAX_HEARING_SECONDS = 1.0


class CrashExchange:
    """What an entry tells other entries of crashes, and is told.

    Parameters
    ----------
    quarantine : RequestQuarantine
        Crashes that this entry knows.
    entries : EntryDirectory
        Entries that this entry knows.
    hello : callable
        Returns the greeting that identifies this process.

    Attributes
    ----------
    has_heard : bool
        Whether another entry has answered.
    waits_until : float
        Monotonic seconds up to which this entry waits for a first answer.
    """

    def __init__(self, quarantine: RequestQuarantine, entries: EntryDirectory, hello: Callable[[], Hello]) -> None:
        """Know of no other entry's crashes."""
        self.quarantine = quarantine
        self.entries = entries
        self.hello = hello
        self.rng = random.Random()  # noqa: S311 draws entries
        self.has_heard = False
        self.waits_until = SYSTEM_CLOCK.monotonic() + MAX_HEARING_SECONDS
        quarantine.tell_entries = self.tell

    def is_ready(self) -> bool:
        """Return whether this entry knows of the crashes before its start, as far as a process lives that does."""
        if self.has_heard or any(link.report is not None for link in self.quarantine.list_links()):
            return True
        return SYSTEM_CLOCK.monotonic() > self.waits_until

    async def ask(self, addresses: Iterable[Address]) -> None:
        """Ask entries for the crashes that they know; without an answer there is nothing to wait for."""
        await asyncio.gather(*(self._query(address, []) for address in addresses))
        if not any(True for _ in self.quarantine.list_links()):
            self.waits_until = SYSTEM_CLOCK.monotonic()

    async def tell(self) -> None:
        """Tell some entries of all crashes."""
        reports = [encode_crash(crash) for crash in self.quarantine.evidence.crashes.values()]
        await asyncio.gather(*(self._query(address, reports) for address in self.entries.list_told(self.rng)))

    async def run(self) -> None:
        """Ask an entry regularly while no sidecar responds; never return."""
        while True:
            await asyncio.sleep(ROUND_SECONDS * random.uniform(MIN_JITTER_SHARE, 1))
            if not self.quarantine.has_sidecar():
                told = self.entries.list_told(self.rng)
                await self.ask(told and [self.rng.choice(told)])

    async def receive(self, stream: PeerStream) -> Message:
        """Record the crashes that another entry tells; return its first message of another kind."""
        message = await stream.receive()
        while isinstance(message, CrashReport):
            self.quarantine.record_crash(decode_crash(message))
            message = await stream.receive()
        return message

    def answer(self, stream: PeerStream, question: AskCrashes) -> None:
        """Answer the question of another entry."""
        evidence = self.quarantine.evidence
        if question.digest != evidence.make_digest():
            for crash in evidence.crashes.values():
                stream.send(encode_crash(crash))
        stream.send(CrashesTold())

    async def _query(self, address: Address, reports: list[CrashReport]) -> None:
        stream: PeerStream | None = None
        try:
            async with time_limit(ANSWER_TIMEOUT_SECONDS):
                stream = await connect(*address, None)
                peer = await stream.exchange_hellos(self.hello())
                for message in (*reports, AskCrashes(self.quarantine.evidence.make_digest())):
                    stream.send(message)
                answer = await self.receive(stream)
            is_other = peer.incarnation != self.hello().incarnation
            self.has_heard = self.has_heard or (is_other and isinstance(answer, CrashesTold))
        except (TamarackfieldError, TimeoutError) as exc:
            logger.bind(peer=f'{address[0]}:{address[1]}', error=repr(exc)).debug('crashes_not_exchanged')
        finally:
            if stream is not None:
                stream.abort()
