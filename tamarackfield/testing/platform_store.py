"""Stand-in for the metadata store of the platform: range reads, watches, compaction and faults."""

import asyncio
import base64
import itertools
import json
import urllib.parse
from dataclasses import dataclass
from typing import Any

from tamarackfield.web import HttpRequest, HttpServer, Responder
from tamarackfield.web.text_answers import answer_error

#: Maximum number of items in one answer to a range read.
MAX_PAGE_ITEMS = 50
_MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """State of a store at one moment."""

    items: dict[str, dict[str, Any]]
    history: list[dict[str, Any]]
    revision: int


class PlatformStore:
    """Stored items, their change history and the paths of requests; tests write with `put` and `delete`."""

    def __init__(self) -> None:
        """Create an empty store; revisions start above zero."""
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.revisions = itertools.count(2)
        self.revision = 1
        self.compacted = 0
        #: Number of returns from an older copy, stated in every answer; 0 for a store that does not state it.
        self.era = 1
        self.changed = asyncio.Event()
        #: Fault that callers receive: empty, or ``busy``, ``limited``, ``reset``, ``silent``.
        self.fault = ''
        #: IP addresses of the callers that receive the fault; empty for all callers.
        self.faulted_hosts: set[str] = set()
        self.calls: list[str] = []
        #: Number of calls, the first ones, that are never answered.
        self.lost_calls = 0
        #: Connections of the watches that wait.
        self.waiting_writers: set[asyncio.StreamWriter] = set()
        self.server = HttpServer(self.handle_request, answer_error)

    def put(self, key: str, document: Any) -> int:
        """Write an item, encoded as JSON unless it is bytes, and return its revision."""
        content = document if isinstance(document, bytes) else json.dumps(document).encode()
        encoded = base64.b64encode(content).decode()
        return self._append_change(key, {'key': key, 'value': encoded, 'created': 1, 'lease': 0})

    def delete(self, key: str) -> int:
        """Delete an item and return the revision of the deletion."""
        return self._append_change(key, {'key': key, 'tombstone': True})

    def expire_leases(self, prefix: str) -> list[tuple[str, bytes]]:
        """Delete all items below a prefix, as expired leases do, and return their keys and contents."""
        expired_items = [
            (key, base64.b64decode(item['value'])) for key, item in self.items.items() if key.startswith(prefix)
        ]
        for key, _ in expired_items:
            self.delete(key)
        return expired_items

    def compact(self) -> None:
        """Discard the history; pending watches receive status 410."""
        self.compacted = self.revision
        self.history.clear()
        self._wake_watches()

    def make_copy(self) -> StoreCopy:
        """Return a copy of the present state."""
        return StoreCopy(dict(self.items), list(self.history), self.revision)

    def return_from_copy(self, copy: StoreCopy) -> None:
        """Continue from an older copy: later changes are lost and their revisions are given out again."""
        self.items = dict(copy.items)
        self.history = list(copy.history)
        self.revision = copy.revision
        self.revisions = itertools.count(copy.revision + 1)
        self.era += 1
        self._wake_watches()

    def write_again(self, present: dict[str, dict[str, Any]], copy: StoreCopy) -> None:
        """Write the items that a return from a copy lost, and delete again what it brought back.

        Keys that were written since then are left alone.

        Parameters
        ----------
        present : dict
            Items before the return, by key.
        copy : StoreCopy
            Copy that the store returned to.
        """
        for key, item in present.items():
            if item != copy.items.get(key) and self.items.get(key) == copy.items.get(key):
                self._append_change(key, dict(item))
        for key in copy.items.keys() - present.keys():
            if self.items.get(key) == copy.items[key]:
                self.delete(key)

    def lose_calls(self) -> None:
        """Leave the calls that wait without an answer for good, as if their connections had fallen silent."""
        self.lost_calls = len(self.calls)

    def cut_watches(self, resets: bool = True) -> int:
        """Close, or reset, the connections of the watches that wait; return their number."""
        cut = list(self.waiting_writers)
        for writer in cut:
            if resets:
                writer.transport.abort()
            else:
                writer.close()
        return len(cut)

    async def handle_request(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one request."""
        query = dict(urllib.parse.parse_qsl(request.query, keep_blank_values=True))
        self.calls.append(request.path)
        number = len(self.calls)
        address = responder.writer.get_extra_info('peername')[0]
        if self.fault and (not self.faulted_hosts or address in self.faulted_hosts):
            await self._answer_with_fault(responder)
            return
        if request.path == '/v1/kv-range':
            await self._send(responder, 200, self._read_range(query))
        elif request.path == '/v1/kv-watch':
            await self._answer_watch(query, responder, number)
        else:
            await self._send(responder, 404, {})

    def _append_change(self, key: str, item: dict[str, Any]) -> int:
        self.revision = next(self.revisions)
        item['revision'] = self.revision
        if item.get('tombstone'):
            self.items.pop(key, None)
        else:
            self.items[key] = item
        self.history.append(item)
        self._wake_watches()
        return self.revision

    def _wake_watches(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def _headers(self) -> tuple[tuple[str, str], ...]:
        return (('Store-Era', str(self.era)),) if self.era else ()

    async def _send(self, responder: Responder, status: int, document: dict[str, Any]) -> None:
        await responder.send_json(status, document, self._headers())

    def _read_range(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, after = query['path_prefix'], query.get('after', '')
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page_items = [self.items[key] for key in keys[:MAX_PAGE_ITEMS]]
        return {'items': page_items, 'has_more': len(keys) > MAX_PAGE_ITEMS, 'at': self.revision}

    async def _answer_watch(self, query: dict[str, str], responder: Responder, number: int) -> None:
        after, wait_ms = int(query['after']), int(query['wait_ms'])
        if wait_ms:
            self.waiting_writers.add(responder.writer)
        try:
            async with asyncio.timeout(wait_ms / _MS_PER_SECOND):
                while not self._list_events(query['path_prefix'], after) and self._has_history(after):
                    await self.changed.wait()
        except TimeoutError:
            pass  # noqa: WPS420 the answer without events is sent below
        finally:
            self.waiting_writers.discard(responder.writer)
        if self.fault == 'silent' or number <= self.lost_calls:
            await asyncio.Event().wait()
        if not self._has_history(after):
            await self._send(responder, 410, {})
            return
        events = self._list_events(query['path_prefix'], after)
        await self._send(responder, 200, {'events': events, 'at': self.revision})

    def _has_history(self, after: int) -> bool:
        return self.compacted <= after <= self.revision

    def _list_events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [item for item in self.history if item['key'].startswith(prefix) and item['revision'] > after]

    async def _answer_with_fault(self, responder: Responder) -> None:
        match self.fault:
            case 'busy':
                await self._send(responder, 503, {})
            case 'limited':
                await self._send(responder, 429, {})
            case 'reset':
                responder.writer.transport.abort()
            case _:
                await asyncio.Event().wait()
