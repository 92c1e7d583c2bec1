"""Client of the platform's metadata store."""

import base64
import itertools
import urllib.parse
from typing import Any

from loguru import logger

from tamarackfield.core import Address
from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.core.fields import MALFORMED, require_text
from tamarackfield.core.steps import in_steps
from tamarackfield.gateway.hedged_calls import OnProgress
from tamarackfield.gateway.replica import HistoryLostError, Item, Page, StoreError, WatchCutError
from tamarackfield.gateway.revisions import MAX_ERA, MAX_NUMBER, Revision
from tamarackfield.platform.headers import parse_number
from tamarackfield.web.client import ClientError
from tamarackfield.web.json_calls import call_json
from tamarackfield.web.pool import ConnectionPool

#: Time-out of a call beyond its wait. Callers repeat a silent call much earlier; a slow store, or a large answer over
#: a slow link, may take this long.
CALL_TIMEOUT_SECONDS = 8.0
_STATUS_OK = 200
#: Status of a watch whose start revision is older than the history that the store keeps.
_STATUS_GONE = 410
#: Step at which a call fails whose connection ends before its answer has.
_STEP_OF_LOST_ANSWER = 'read_answer'
#: Header that counts how often the store came back from an older copy.
_ERA_HEADER = 'store-era'


class PlatformStore:
    """Client for range reads and watches of the store.

    Parameters
    ----------
    address : tuple of str and int
        Address of the store; may be changed at any time.

    Attributes
    ----------
    era : int
        Highest era that the store has stated; an answer without the header is taken to be of this era.
    """

    def __init__(self, address: Address) -> None:
        """Create a client without connections."""
        self.address = address
        self.pool = ConnectionPool()
        self.era = 0

    def renew_connections(self) -> None:
        """Close the idle connections, which may have fallen silent."""
        self.pool.close()

    async def read_range(self, prefix: str, after_key: str, on_progress: OnProgress) -> Page:
        """Return one page of the items after a key.

        Raises
        ------
        StoreError
            If the store refuses or does not answer.
        """
        query = {'path_prefix': prefix}
        if after_key:
            query['after'] = after_key
        era, document = await self._call_store('kv-range', query, 0.0, on_progress)
        return await _decode_page(document, 'items', era)

    async def watch(self, prefix: str, after: Revision, wait_seconds: float, on_progress: OnProgress) -> Page:
        """Return the changes since a revision; wait until there is one or the wait is over.

        Raises
        ------
        StoreError
            If the store refuses or does not answer.
        WatchCutError
            If the connection ends while the call waits.
        HistoryLostError
            If the store no longer has all changes since the revision.
        """
        wait_ms = int(wait_seconds * MS_PER_SECOND)
        query = {'path_prefix': prefix, 'after': str(after.number), 'wait_ms': str(wait_ms)}
        parts = itertools.count()

        def record_progress() -> None:
            next(parts)
            on_progress()

        try:
            era, document = await self._call_store('kv-watch', query, wait_seconds, record_progress)
        except StoreError as exc:
            if wait_ms and exc.step == _STEP_OF_LOST_ANSWER and not next(parts):
                raise WatchCutError(exc.message, exc.step, exc.peer) from exc
            raise
        return await _decode_page(document, 'events', era)

    async def _call_store(
        self, call: str, query: dict[str, str], wait_seconds: float, on_progress: OnProgress
    ) -> tuple[int, Any]:
        """Return the era and the document of an answer."""
        path = f'/v1/{call}?{urllib.parse.urlencode(query)}'
        try:
            answer = await call_json(
                self.pool,
                self.address,
                'GET',
                path,
                timeout_seconds=wait_seconds + CALL_TIMEOUT_SECONDS,
                on_progress=on_progress,
            )
        except ClientError as exc:
            raise StoreError(exc.message, exc.step, exc.peer) from exc
        peer = str(self.address)
        era = self.read_era(answer.headers)
        if answer.status == _STATUS_GONE:
            raise HistoryLostError('store discarded the changes since the requested revision', call, peer, era)
        if answer.status != _STATUS_OK or not isinstance(answer.document, dict):
            raise StoreError(f'store answered with status {answer.status}', call, peer, era)
        return era, answer.document

    def read_era(self, headers: dict[str, str]) -> int:
        """Return the era that an answer states; one that is malformed or missing reads as the latest known one."""
        text = headers.get(_ERA_HEADER, '')
        if not text:
            return self.era
        era = parse_number(text)
        if era is None or era > MAX_ERA:
            logger.bind(era=text).warning('store_era_malformed')
            return self.era
        self.era = max(self.era, era)
        return era


async def _decode_page(document: dict[str, Any], member: str, era: int) -> Page:
    """Decode a page; ``at`` is the revision of the store at the time of the answer."""
    revision, raw_items = document.get('at'), document.get(member)
    if not _is_number(revision) or not isinstance(raw_items, list):
        raise StoreError(f"store answer lacks an integer 'at' or a list {member!r}", 'read_answer')
    decoded = [_decode_item(raw, era) async for raw in in_steps(raw_items)]
    items = tuple(item for item in decoded if item is not None)
    return Page(items, Revision(era, revision), bool(document.get('has_more')))


def _is_number(revision: Any) -> bool:
    return isinstance(revision, int) and not isinstance(revision, bool) and 0 <= revision <= MAX_NUMBER


def _decode_item(raw: Any, era: int) -> Item | None:
    """Decode an item or an event; return None if it is malformed.

    ``tombstone`` marks a deletion; ``lease`` and ``created`` are unused.
    """
    try:
        deleted = bool(raw.get('tombstone'))
        content = None if deleted else base64.b64decode(raw['value'], validate=True)
        if not _is_number(raw['revision']):
            raise ValueError('revision is not a number in range')
        return Item(require_text(raw['key']), Revision(era, raw['revision']), content)
    except MALFORMED as exc:
        logger.bind(error=repr(exc)).warning('item_malformed')
        return None
