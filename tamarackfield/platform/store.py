"""Client of the platform's metadata store."""

import base64
import urllib.parse
from typing import Any

from loguru import logger

from tamarackfield.core import Address
from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.gateway.replica import HistoryLostError, Item, Page, StoreError
from tamarackfield.platform.holdings import MALFORMED
from tamarackfield.web.client import ClientError
from tamarackfield.web.json_calls import call_json
from tamarackfield.web.pool import ConnectionPool

#: Time-out of a range read; a healthy store answers in a few milliseconds.
READ_TIMEOUT_SECONDS = 1.0
#: Time beyond the wait of a watch within which its answer must arrive.
WATCH_MARGIN_SECONDS = 0.8
_STATUS_OK = 200
#: Status of a watch whose start revision is older than the history that the store keeps.
_STATUS_GONE = 410


class PlatformStore:
    """Client for range reads and watches of the store.

    Parameters
    ----------
    address : tuple of str and int
        Address of the store; may be changed at any time.
    """

    def __init__(self, address: Address) -> None:
        """Create a client without connections."""
        self.address = address
        self.pool = ConnectionPool()

    async def read_range(self, prefix: str, after_key: str) -> Page:
        """Return one page of the items after a key.

        Raises
        ------
        StoreError
            If the store refuses or does not answer.
        """
        query = {'path_prefix': prefix}
        if after_key:
            query['after'] = after_key
        document = await self._call_store('kv-range', query, READ_TIMEOUT_SECONDS)
        return _decode_page(document, 'items')

    async def watch(self, prefix: str, after_revision: int, wait_seconds: float) -> Page:
        """Return the changes since a revision; wait until there is one or the wait is over.

        Raises
        ------
        StoreError
            If the store refuses or does not answer.
        HistoryLostError
            If the store no longer has all changes since the revision.
        """
        wait_ms = int(wait_seconds * MS_PER_SECOND)
        query = {'path_prefix': prefix, 'after': str(after_revision), 'wait_ms': str(wait_ms)}
        document = await self._call_store('kv-watch', query, wait_seconds + WATCH_MARGIN_SECONDS)
        return _decode_page(document, 'events')

    async def _call_store(self, call: str, query: dict[str, str], timeout_seconds: float) -> Any:
        path = f'/v1/{call}?{urllib.parse.urlencode(query)}'
        try:
            status, document = await call_json(self.pool, self.address, 'GET', path, timeout_seconds=timeout_seconds)
        except ClientError as exc:
            raise StoreError(exc.message, exc.step, exc.peer) from exc
        if status == _STATUS_GONE:
            raise HistoryLostError('store discarded the changes since the requested revision', call, str(self.address))
        if status != _STATUS_OK or not isinstance(document, dict):
            raise StoreError(f'store answered with status {status}', call, str(self.address))
        return document


def _decode_page(document: dict[str, Any], member: str) -> Page:
    """Decode a page; ``at`` is the revision of the store at the time of the answer."""
    revision, raw_items = document.get('at'), document.get(member)
    if not isinstance(revision, int) or not isinstance(raw_items, list):
        raise StoreError(f"store answer lacks an integer 'at' or a list {member!r}", 'read_answer')
    items = [item for item in map(_decode_item, raw_items) if item is not None]
    return Page(tuple(items), revision, bool(document.get('has_more')))


def _decode_item(raw: Any) -> Item | None:
    """Decode an item or an event; return None if it is malformed.

    ``tombstone`` marks a deletion; ``lease`` and ``created`` are unused.
    """
    try:
        deleted = bool(raw.get('tombstone'))
        content = None if deleted else base64.b64decode(raw['value'], validate=True)
        return Item(str(raw['key']), int(raw['revision']), content)
    except MALFORMED as exc:
        logger.bind(error=repr(exc)).warning('item_malformed')
        return None
