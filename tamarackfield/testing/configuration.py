"""Configuration service stand-in: reads, long-poll watches, call counts, and faults (down, stale, alternate)."""

import asyncio
import base64
import json
import pathlib
import urllib.parse
from typing import Any

from tamarackfield.core import SYSTEM_CLOCK, Application
from tamarackfield.core.errors import refusal
from tamarackfield.testing.standin import Standin, standin_schema
from tamarackfield.web import HttpRequest, Responder

#: Maximum size of one value, in bytes.
MAX_VALUE_BYTES = 1_000_000
SETTINGS_SCHEMA = standin_schema(
    {
        'directory': {
            'type': 'string',
            'default': '',
            'description': 'directory whose files are the values at start, by relative path',
        },
    }
)
_VALUES_PREFIX = '/v1/values/'
_PUBLISH_PATH = '/control/publish'


class ConfigurationService:
    """Store of values by name, each with a revision.

    Parameters
    ----------
    settings : dict
        Validated settings of the process.
    """

    def __init__(self, settings: dict[str, Any]) -> None:
        """Create a store with the files of the directory, if one is set."""
        self.values: dict[str, tuple[bytes, int]] = {}
        self.stale_values: dict[str, tuple[bytes, int]] = {}
        self.revision = 0
        self.calls = 0
        self.answered_bytes = 0
        self.changed = asyncio.Event()
        self.faults: dict[str, Any] = {'down': False, 'stale': False, 'alternate': False}
        self.standin = Standin(settings, self.route, self.faults, self.read_counts)
        if settings['directory']:
            self._read_directory(pathlib.Path(settings['directory']))

    def read_counts(self) -> dict[str, Any]:
        """Return the number of calls, the latest revision and the bytes sent."""
        return {'calls': self.calls, 'revision': self.revision, 'answered_bytes': self.answered_bytes}

    async def route(self, request: HttpRequest, responder: Responder) -> None:
        """Answer a read or a watch, or store published values."""
        if request.path == _PUBLISH_PATH:
            self._publish(json.loads(request.body))
            await responder.send_json(200, {'revision': self.revision})
            return
        self.calls += 1
        self._refuse_if_down(responder)
        name = request.path.removeprefix(_VALUES_PREFIX)
        query = urllib.parse.parse_qs(request.query)
        after = query.get('after')
        if after is not None:
            await self._wait_for_change(name, int(after[0]), float(query['wait'][0]))
            self._refuse_if_down(responder)
        content, revision = self._read_value(name)
        self.answered_bytes += len(content)
        headers = [('Content-Type', 'application/octet-stream'), ('X-Revision', str(revision))]
        await responder.send_head(200, [*headers, ('Content-Length', str(len(content)))])
        await responder.send_body(content)
        await responder.finish()

    def _refuse_if_down(self, responder: Responder) -> None:
        if self.faults['down']:
            responder.writer.transport.abort()
            raise ConnectionResetError('down by fault')

    async def _wait_for_change(self, name: str, revision: int, seconds: float) -> None:
        expires_at = SYSTEM_CLOCK.monotonic() + seconds
        while self._read_value(name)[1] == revision:
            remaining = expires_at - SYSTEM_CLOCK.monotonic()
            if remaining <= 0 or self.faults['down']:
                return
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), remaining)
            except TimeoutError:
                return

    def _read_value(self, name: str) -> tuple[bytes, int]:
        is_stale = self.faults['stale'] or (self.faults['alternate'] and self.calls % 2)
        stored = (self.stale_values if is_stale else self.values).get(name)
        if stored is None:
            raise refusal(f'no value {name!r}', step='configuration', code='not_found', status=404)
        return stored

    def _publish(self, document: dict[str, Any]) -> None:
        if document.get('keep_stale', True):
            self.stale_values = dict(self.values)
        for name, encoded in document['values'].items():
            self._put_value(name, base64.b64decode(encoded))
        self._notify_watches()

    def _put_value(self, name: str, content: bytes) -> None:
        if len(content) > MAX_VALUE_BYTES:
            raise refusal(f'{name} is larger than {MAX_VALUE_BYTES}', step='configuration', code='too_large')
        self.revision += 1
        self.values[name] = (content, self.revision)

    def _notify_watches(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def _read_directory(self, directory: pathlib.Path) -> None:
        for path in sorted(directory.rglob('*')):
            if path.is_file():
                self._put_value(str(path.relative_to(directory)), path.read_bytes())


def build(settings: dict[str, Any]) -> Application:
    """Return the application of a configuration service stand-in."""
    return ConfigurationService(settings).standin.application
