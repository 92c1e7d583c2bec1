"""Fault-injecting TCP proxy between two processes."""

import asyncio
import contextlib
from typing import Any

from tamarackfield.core import Application
from tamarackfield.core.problems import split_address
from tamarackfield.core.settings import ADDRESS_SCHEMA, PEER_SCHEMA
from tamarackfield.testing.frames import NO_FRAME_FAULTS, CutError, FrameFaults
from tamarackfield.testing.standin import Standin, standin_schema

SETTINGS_SCHEMA = standin_schema(
    {
        'proxy': {**ADDRESS_SCHEMA, 'description': 'where the faulty connection is offered'},
        'upstream': PEER_SCHEMA,
        'framed': {'type': 'boolean', 'default': False, 'description': 'carries the peer protocol'},
    }
)
_READ_BYTES = 16 * 1024
_POLL_SECONDS = 0.01


class FaultProxy:
    """Passes bytes on, or not, as the faults say.

    Faults: ``mode`` is ``pass``, ``cut`` (close all, refuse new), ``freeze`` (nothing passes in
    either direction), ``freeze_up`` or ``freeze_down`` (one direction), ``half_open`` (accept and
    pass nothing); ``delay`` in seconds applies to every piece; ``cut_down_after`` and
    ``cut_up_after`` close each connection after that many bytes in one direction (-1: never).
    On a connection of the peer protocol the faults of `FrameFaults` apply to what comes down.

    Parameters
    ----------
    settings : dict
        Checked settings.
    """

    def __init__(self, settings: dict[str, Any]) -> None:
        """Start passing everything."""
        self.settings = settings
        self.faults: dict[str, Any] = {
            'mode': 'pass',
            'delay': 0,
            'cut_up_after': -1,
            'cut_down_after': -1,
            **NO_FRAME_FAULTS,
        }
        self.connections: set[asyncio.Task[None]] = set()
        self.accepted = 0
        self.passed = {'up': 0, 'down': 0}
        self.standin = Standin(settings, self._not_found, self.faults, self.witness)
        self.standin.application.on_start(self.start)

    async def start(self) -> None:
        """Offer the faulty connection."""
        address = self.settings['proxy']
        await asyncio.start_server(self.accept, address['host'], address['port'])

    def witness(self) -> dict[str, Any]:
        """Apply a cut at once and return counts."""
        if self.faults['mode'] == 'cut':
            for task in list(self.connections):
                task.cancel()
        return {'accepted': self.accepted, 'open': len(self.connections), 'passed': self.passed}

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Carry one connection."""
        task = asyncio.current_task()
        self.connections.add(task)
        self.accepted += 1
        with contextlib.suppress(OSError, asyncio.CancelledError):
            if self.faults['mode'] != 'cut':
                await self._carry(reader, writer)
        self.connections.discard(task)
        writer.transport.abort()

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while self.faults['mode'] == 'half_open':
            await asyncio.sleep(_POLL_SECONDS)
        up_reader, up_writer = await asyncio.open_connection(*split_address(self.settings['upstream']))
        pumps = [
            asyncio.ensure_future(self._pump('up', reader, up_writer)),
            asyncio.ensure_future(self._pump('down', up_reader, writer)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            up_writer.transport.abort()

    async def _pump(self, direction: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        passed = 0
        frames = FrameFaults(self.faults) if self.settings['framed'] and direction == 'down' else None
        while True:
            chunk = await reader.read(_READ_BYTES)
            while self.faults['mode'] in {'freeze', f'freeze_{direction}'}:
                await asyncio.sleep(_POLL_SECONDS)
            if not chunk:
                return
            await asyncio.sleep(self.faults['delay'])
            if frames is not None:
                chunk = await _pass_frames(frames, chunk, writer)
            limit = self.faults[f'cut_{direction}_after']
            if limit >= 0:
                chunk = chunk[: max(0, limit - passed)]
            passed += len(chunk)
            self.passed[direction] += len(chunk)
            writer.write(chunk)
            await writer.drain()
            if 0 <= limit <= passed:
                return

    async def _not_found(self, request: Any, responder: Any) -> None:
        await responder.send_json(404, {})


async def _pass_frames(frames: FrameFaults, chunk: bytes, writer: asyncio.StreamWriter) -> bytes:
    """Return what the frame faults leave of a chunk; at a cut, send what precedes it and fail."""
    passed: list[bytes] = []
    try:
        passed.extend(frames.feed(chunk))
    except CutError as exc:
        writer.write(b''.join(passed))
        await writer.drain()
        raise ConnectionResetError('cut by fault') from exc
    return b''.join(passed)


def build(settings: dict[str, Any]) -> Application:
    """Build the application of a fault-injecting proxy."""
    return FaultProxy(settings).standin.application
