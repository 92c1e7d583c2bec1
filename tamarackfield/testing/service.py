"""Plain service stand-in that counts the runs of each idempotency key."""

import asyncio
import json
import os
from typing import Any

from tamarackfield.core import Application
from tamarackfield.testing.standin import Standin, standin_schema
from tamarackfield.web import HttpRequest, Responder

SETTINGS_SCHEMA = standin_schema({'service': {'type': 'string', 'default': 'booking'}})


class PlainService:
    """Service that runs every call and counts the runs of each key.

    Parameters
    ----------
    settings : dict
        Validated settings of the process.
    """

    def __init__(self, settings: dict[str, Any]) -> None:
        """Create a service that has run no call."""
        self.runs_by_key: dict[str, int] = {}
        self.calls = 0
        self.faults: dict[str, Any] = {'delay': 0, 'die_before': False, 'die_after': False, 'cut_answer': False}
        self.faults |= {'padding_bytes': 0, 'unframed': False, 'die_amid_answer': False}
        self.standin = Standin(settings, self.route, self.faults, self.read_counts)

    def read_counts(self) -> dict[str, Any]:
        """Return the number of runs by key, and the number of calls."""
        return {'ran': self.runs_by_key, 'calls': self.calls}

    async def route(self, request: HttpRequest, responder: Responder) -> None:
        """Run one call, with the faults that are set."""
        if self.faults['die_before']:
            os._exit(1)
        self.calls += 1
        key = request.headers.get('idempotency-key', '')
        if key:
            self.runs_by_key[key] = self.runs_by_key.get(key, 0) + 1
        run_number = self.runs_by_key.get(key, self.calls)
        await asyncio.sleep(self.faults['delay'])
        if self.faults['die_after']:
            os._exit(1)
        if self.faults['cut_answer']:
            responder.writer.transport.abort()
            raise ConnectionResetError('cut by fault')
        document = {'path': request.path, 'key': key, 'run': run_number, 'call': self.calls}
        if self.faults['padding_bytes']:
            document['padding'] = 'x' * self.faults['padding_bytes']
        if self.faults['unframed']:
            await self._send_unframed(json.dumps(document).encode(), responder.writer)
        await responder.send_json(200, document)

    async def _send_unframed(self, body: bytes, writer: asyncio.StreamWriter) -> None:
        """Send an answer that ends with its connection, or with the process in the middle."""
        dies = self.faults['die_amid_answer']
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n')
        writer.write(body[: len(body) // 2] if dies else body)
        await writer.drain()
        if dies:
            os._exit(1)
        writer.close()
        raise ConnectionResetError('answer ended with its connection')


def build(settings: dict[str, Any]) -> Application:
    """Return the application of a plain service stand-in."""
    return PlainService(settings).standin.application
