"""Reads the platform's metadata store."""

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

#: Seconds allowed for a read; a sound store answers in a few milliseconds.
READ_SECONDS = 1.0
#: Seconds beyond the time of a watch in which its answer must come.
WATCH_MARGIN_SECONDS = 0.8
_OK = 200
#: The history behind the revision that was asked for is gone.
_GONE = 410


class PlatformStore:
    """Ranges and watches of the store.

    Parameters
    ----------
    address : tuple of str and int
        Of the store; may be changed at any time.
    """

    def __init__(self, address: Address) -> None:
        """Start without a connection."""
        self.address = address
        self.pool = ConnectionPool()

    async def read_range(self, prefix: str, after_key: str) -> Page:
        """Return the items behind a key, one page of them.

        Raises
        ------
        StoreError
            If the store refuses or does not answer.
        """
        query = {'path_prefix': prefix}
        if after_key:
            query['after'] = after_key
        document = await self._get('kv-range', query, READ_SECONDS)
        return _read_page(document, 'items')

    async def watch(self, prefix: str, after_revision: int, wait_seconds: float) -> Page:
        """Return the changes since a revision as soon as there are some.

        Raises
        ------
        StoreError
            If the store refuses or does not answer.
        HistoryLostError
            If it no longer has all changes since then.
        """
        wait_ms = int(wait_seconds * MS_PER_SECOND)
        query = {'path_prefix': prefix, 'after': str(after_revision), 'wait_ms': str(wait_ms)}
        document = await self._get('kv-watch', query, wait_seconds + WATCH_MARGIN_SECONDS)
        return _read_page(document, 'events')

    async def _get(self, call: str, query: dict[str, str], seconds: float) -> Any:
        path = f'/v1/{call}?{urllib.parse.urlencode(query)}'
        try:
            status, document = await call_json(self.pool, self.address, 'GET', path, timeout_seconds=seconds)
        except ClientError as exc:
            raise StoreError(exc.message, exc.step, exc.peer) from exc
        if status == _GONE:
            raise HistoryLostError('history was discarded', call, str(self.address))
        if status != _OK or not isinstance(document, dict):
            raise StoreError(f'store answered {status}', call, str(self.address))
        return document


def _read_page(document: dict[str, Any], name: str) -> Page:
    """Decode one page; ``at`` is the store's revision at the time of the answer."""
    revision, listed = document.get('at'), document.get(name)
    if not isinstance(revision, int) or not isinstance(listed, list):
        raise StoreError('answer names no revision or no items', 'read_answer')
    items = [item for item in map(_read_item, listed) if item is not None]
    return Page(tuple(items), revision, bool(document.get('has_more')))


def _read_item(raw: Any) -> Item | None:
    """Decode an item or an event; ``tombstone`` marks a deletion, ``lease`` and ``created`` are not needed."""
    try:
        deleted = bool(raw.get('tombstone'))
        content = None if deleted else base64.b64decode(raw['value'], validate=True)
        return Item(str(raw['key']), int(raw['revision']), content)
    except MALFORMED as exc:
        logger.bind(error=repr(exc)).warning('item_malformed')
        return None
