"""Reader of the store that keeps a local copy up to date: it reads all items, then watches for changes.

All is read again if the store has lost its history, or has come back from an older copy and counts a new era. A call
that is silent is repeated on a new connection (`hedged_calls`), so that the reader does not wait for an answer that
was lost; `tamarackfield.policy.store_reads` says when.

A watch that waits may be cut by a store that serves all other calls. Only if the next call fails as well is the store
taken to be away.
"""

import asyncio
import random
from collections.abc import Callable
from functools import partial

from loguru import logger

from tamarackfield.core import BOOT_CLOCK, SYSTEM_CLOCK, Clock, TamarackfieldError
from tamarackfield.core.steps import in_steps
from tamarackfield.core.time_limits import time_limit
from tamarackfield.gateway.hedged_calls import DatedAnswer, HedgedCall, OnProgress, first_answer
from tamarackfield.gateway.replica import (
    STORE_RECOVERY_SECONDS,
    HistoryLostError,
    Item,
    Listener,
    Page,
    Replica,
    StoreError,
    StoreReader,
    StoreStatus,
    WatchCutError,
)
from tamarackfield.gateway.revisions import ORIGIN, Revision
from tamarackfield.policy.store_reads import (
    MAX_RETRY_PAUSE_SECONDS,
    MIN_RETRY_PAUSE_SECONDS,
    SHORT_SILENCE_SECONDS,
    ReadTimes,
)

#: Seconds for which an item that an older copy of the store restored counts as deleted; the entry of an instance
#: that is gone expires earlier, after three missed heartbeats.
RESTORED_ITEM_SECONDS = 10.0
#: Lower bound of the random share of a pause, or of the time for a short call; the jitter keeps instances from calling
#: at once.
MIN_JITTER_SHARE = 0.5


_DEFAULT_TIMES = ReadTimes()
#: Called once the contents of an answer are applied, with the time before its call was sent, the round trip, and the
#: era of the store.
OnApplied = Callable[[float, float, int], None]


class EraChangedError(TamarackfieldError):
    """The store came back from an older copy: all items must be read again."""


class Follower:
    """Reader of one key prefix: reads all items, then watches for changes; reads all again if the history is lost.

    Parameters
    ----------
    prefix : str
        Prefix of the keys to follow.
    store : StoreReader
        Store from which items are read.
    replica : Replica
        Local copy that is updated.
    listener : callable
        Called with each change.
    times : ReadTimes
        Times of its reads.
    clock : Clock
        Monotonic clock.

    Attributes
    ----------
    on_applied : callable
        Called with each answer after its contents were applied.
    is_news_urgent : callable
        Returns whether the next watch is not to wait for a change.
    call_clock : Clock
        Clock by which answers are dated; it includes the time for which the machine was suspended.
    """

    def __init__(  # noqa: WPS211 the parts of one follower
        self,
        prefix: str,
        store: StoreReader,
        replica: Replica,
        listener: Listener,
        times: ReadTimes = _DEFAULT_TIMES,
        clock: Clock = SYSTEM_CLOCK,
    ) -> None:
        """Prepare a follower that starts with a complete read."""
        self.prefix = prefix
        self.store = store
        self.replica = replica
        self.listener = listener
        self.times = times
        self.clock = clock
        self.store_status = StoreStatus()
        replica.store_statuses.append(self.store_status)
        # Revision up to which the changes of the prefix are known; None requires a complete read.
        self.position: Revision | None = None
        # Era of the last complete read, None before the first.
        self.read_era: int | None = None
        self.retry_pause_seconds = MIN_RETRY_PAUSE_SECONDS
        # Whether the latest watch was cut, and the pause before the call after the next cut.
        self.is_watch_cut = False
        self.cut_pause_seconds = MIN_RETRY_PAUSE_SECONDS
        self.on_applied: OnApplied = _ignore_answer
        self.is_news_urgent: Callable[[], bool] = bool
        self.call_clock = BOOT_CLOCK

    async def run(self) -> None:
        """Follow the prefix, with retries; never return."""
        while True:
            await self.read_next()

    async def read_next(self) -> None:
        """Read all items, or wait for changes, once; pause after a failure."""
        self.unhide_items()
        position = self.position
        try:
            if position is None or position.era != self.replica.era:
                await self._read_all()
            else:
                await self._watch(position)
        except EraChangedError:
            self.position = None
        except StoreError as exc:
            self._observe_era(exc.era)
            await self._handle_error(exc)

    async def check(self) -> None:
        """Make one call beside the watch that waits; its failure is left to the calls of the follower to handle."""
        position = self.position
        if position is None:
            return
        check = HedgedCall(partial(self._start_watch, position, 0.0), 2 * SHORT_SILENCE_SECONDS)
        try:
            async with time_limit(SHORT_SILENCE_SECONDS):
                answer = await first_answer(check, check, _ignore_silence, self.call_clock)
            self._observe_era(answer.content.revision.era)
            await self._apply_changes(answer, position)
        except (TamarackfieldError, TimeoutError) as exc:
            logger.bind(prefix=self.prefix, error=repr(exc)).info('store_check_failed')

    def apply_item(self, item: Item) -> bool:
        """Apply a change from the store or a peer; notify the listener, and return True, if it is new."""
        replica = self.replica
        now = self.clock.monotonic()
        unreliable = replica.is_unreliable(now)
        is_restored = replica.is_restored(item)
        is_new = replica.apply(item, acknowledged=not unreliable)
        if is_new and is_restored:
            replica.hidden[item.key] = now + RESTORED_ITEM_SECONDS
            logger.bind(key=item.key, era=item.revision.era, revision=item.revision.number).info('item_restored')
        elif is_new:
            replica.hidden.pop(item.key, None)
            self.listener(item, replica.missing_seconds(now, self.times.pause_seconds))
        return is_new

    def unhide_items(self) -> None:
        """Notify the listener of the restored items that are still listed after their time."""
        now = self.clock.monotonic()
        for item in self.replica.take_unhidden(now):
            self.listener(item, self.replica.missing_seconds(now, self.times.pause_seconds))

    async def _read_all(self) -> None:
        present: set[str] = set()
        changed = 0
        after = ''
        first: DatedAnswer[Page] | None = None
        more = True
        while more:
            read = HedgedCall(partial(self.store.read_range, self.prefix, after), _draw_short_silence())
            answer = await self._await_page(read, read)
            page = answer.content
            first = first or answer
            _require_era(page, first.content.revision.era)
            present.update(item.key for item in page.items)
            changed += await self._apply_page(page)
            more = page.more and bool(page.items)
            after = page.items[-1].key if page.items else ''
        if first is not None:
            self._end_read(present, first, changed)

    def _end_read(self, present: set[str], first: DatedAnswer[Page], changed: int) -> None:
        """Delete the items that a complete read did not find; log if it is the first one of an era.

        What is known is as of the first page.
        """
        replica = self.replica
        start = first.content.revision
        store_was_restored = self.read_era not in {None, start.era}
        if store_was_restored:
            replica.incomplete_until = self.clock.monotonic() + STORE_RECOVERY_SECONDS
        missing = replica.find_deleted(self.prefix, present, start)
        for deletion in missing:
            self.apply_item(deletion)
        if store_was_restored:
            bound = logger.bind(prefix=self.prefix, before=self.read_era, era=start.era)
            bound.bind(changed=changed, missing=len(missing)).warning('store_era_changed')
        self.read_era = start.era
        self._advance_position(first)

    async def _watch(self, position: Revision) -> None:
        times = self.times
        check = HedgedCall(partial(self._start_watch, position, 0.0), _draw_short_silence())
        watch = HedgedCall(
            partial(self._start_watch, position, times.wait_seconds), times.silence_seconds, times.wait_seconds
        )
        waits = not (self.store_status.down or self.is_watch_cut or self.is_news_urgent())
        answer = await self._await_page(watch if waits else check, check)
        self.is_watch_cut = False
        if waits:
            self.cut_pause_seconds = MIN_RETRY_PAUSE_SECONDS
        await self._apply_changes(answer, position)
        if answer.content.items and times.pause_seconds:
            await asyncio.sleep(times.pause_seconds)

    async def _apply_changes(self, answer: DatedAnswer[Page], position: Revision) -> None:
        """Apply the changes since a position."""
        _require_era(answer.content, position.era)
        await self._apply_page(answer.content)
        self._advance_position(answer)

    async def _start_watch(self, position: Revision, wait_seconds: float, on_progress: OnProgress) -> Page:
        return await self.store.watch(self.prefix, position, wait_seconds, on_progress)

    async def _apply_page(self, page: Page) -> int:
        """Apply the items of a page; return the number of new ones.

        A peer may report a later era between two steps.
        """
        changed = 0
        async for item in in_steps(page.items):
            _require_era(page, self.replica.era)
            changed += self.apply_item(item)
        return changed

    def _advance_position(self, answer: DatedAnswer[Page]) -> None:
        """Record that all changes are applied that an answer tells.

        An answer older than what a peer has told says nothing of changes since: the items of a store that lost some
        without stating a new era are not applied.
        """
        revision = answer.content.revision
        is_current = revision >= self.replica.complete.get(self.prefix, ORIGIN) and revision.era == self.replica.era
        self.position = max(self.position or ORIGIN, revision)
        self.replica.mark_complete(self.prefix, self.position)
        if is_current:
            self.on_applied(answer.sent_at, answer.round_trip_seconds, revision.era)

    async def _await_page(self, call: HedgedCall[Page], repeated_call: HedgedCall[Page]) -> DatedAnswer[Page]:
        asked_at = self.clock.monotonic()
        answer = await first_answer(call, repeated_call, self._handle_silence, self.call_clock)
        page = answer.content
        self._observe_era(page.revision.era)
        if page.revision.era < self.replica.era:
            raise StoreError('answer is of an earlier era of the store', 'read_answer')
        self.retry_pause_seconds = MIN_RETRY_PAUSE_SECONDS
        now = self.clock.monotonic()
        down_since, answered_at = self.store_status.failing_since, self.store_status.answered_at
        if page.items and answered_at:
            # What a watch waits for is told at once; what happens while none waits is told by the next call.
            told_late_since = now if self.store_status.down else asked_at
            self.replica.record_news('watch' if self.position else 'read', told_late_since - answered_at)
        if self.store_status.record_answer(now):
            bound = logger.bind(prefix=self.prefix, away_seconds=round(now - down_since, 3))
            bound.bind(silent_seconds=round(now - answered_at, 3)).info('store_regained')
        return answer

    def _observe_era(self, era: int) -> None:
        """Record the era that an answer states; a later one requires a complete read."""
        self.replica.era = max(self.replica.era, era)

    def _handle_silence(self) -> None:
        self.store.renew_connections()
        self._record_failure('call', 'a call is not answered')

    def _record_failure(self, step: str, error: str) -> None:
        now = self.clock.monotonic()
        if self.store_status.record_failure(now):
            bound = logger.bind(prefix=self.prefix, step=step, error=error)
            bound.bind(silent_seconds=round(now - self.store_status.answered_at, 3)).warning('store_lost')

    async def _handle_error(self, exc: StoreError) -> None:
        match exc:
            case HistoryLostError():
                logger.bind(prefix=self.prefix, position=self.position, error=exc.message).warning('history_lost')
                self.position = None
            case WatchCutError():
                await self._handle_cut(exc)
            case _:
                await self._handle_failure(exc)

    async def _handle_cut(self, exc: WatchCutError) -> None:
        """Let the next call show whether the store is away; pause longer after each further cut."""
        self.is_watch_cut = True
        logger.bind(prefix=self.prefix, error=exc.message, pause=self.cut_pause_seconds).info('store_watch_cut')
        await asyncio.sleep(self.cut_pause_seconds * random.uniform(MIN_JITTER_SHARE, 1))
        self.cut_pause_seconds = min(MAX_RETRY_PAUSE_SECONDS, 2 * self.cut_pause_seconds)

    async def _handle_failure(self, exc: StoreError) -> None:
        self._record_failure(exc.step, exc.message)
        await asyncio.sleep(self.retry_pause_seconds * random.uniform(MIN_JITTER_SHARE, 1))
        self.retry_pause_seconds = min(MAX_RETRY_PAUSE_SECONDS, 2 * self.retry_pause_seconds)


def _ignore_answer(sent_at: float, round_trip_seconds: float, era: int) -> None:
    """Do nothing."""


def _ignore_silence() -> None:
    """Do nothing."""


def _draw_short_silence() -> float:
    return SHORT_SILENCE_SECONDS * random.uniform(MIN_JITTER_SHARE, 1)


def _require_era(page: Page, era: int) -> None:
    """Raise `EraChangedError` if a page is of another era than the call that it answers."""
    if page.revision.era != era:
        raise EraChangedError(f'store went from era {era} to {page.revision.era}', 'read_answer')
