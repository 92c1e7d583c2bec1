"""Engine stand-in: OpenAI-compatible completions, adapter loads and unloads, status, resume and cancel."""

import asyncio
import functools
import json
import os
import urllib.parse
from collections.abc import Callable, Coroutine
from typing import Any

from tamarackfield.core import Application, new_incarnation
from tamarackfield.core.errors import refusal
from tamarackfield.core.problems import split_address
from tamarackfield.testing.answers import make_answer_document, make_token_event
from tamarackfield.testing.batching import Batcher, Sequence
from tamarackfield.testing.standin import Standin, standin_schema
from tamarackfield.web import ClientError, HttpRequest, Responder, fetch

SETTINGS_SCHEMA = standin_schema(
    {
        'slots': {'type': 'integer', 'default': 4},
        'batch': {'type': 'integer', 'default': 8},
        'speed': {'type': 'number', 'default': 1},
        'step_ms': {'type': 'number', 'default': 8},
        'sequence_ms': {'type': 'number', 'default': 0.2},
        'prefill_ms': {'type': 'number', 'default': 1},
        'prefix_blocks': {'type': 'integer', 'default': 1000},
        'report_lag': {'type': 'number', 'default': 0},
        'event_lag': {'type': 'number', 'default': 0.2},
        'event_gap': {'type': 'integer', 'default': 10, 'description': 'every n-th cache event is dropped'},
        'fencing': {'type': 'boolean', 'default': True},
        'weight_store': {'type': 'string', 'default': ''},
        'keep_seconds': {
            'type': 'number',
            'default': 2,
            'description': 'seconds for which a stream without a reader can be resumed',
        },
    }
)
_DEFAULT_MAX_TOKENS = 16
_STATUS_OK = 200
_STATUS_CONFLICT = 409

OrderFunction = Callable[[dict[str, Any]], Coroutine[Any, Any, None]]


class Engine:
    """State of one engine process, all in memory, so that a restart loses it.

    Parameters
    ----------
    settings : dict
        Validated settings of the process.
    """

    def __init__(self, settings: dict[str, Any]) -> None:
        """Create an engine without adapters and requests."""
        self.settings = settings
        self.incarnation = new_incarnation()
        self.batcher = Batcher(settings)
        self.resident: set[str] = set()
        self.loading: set[str] = set()
        self.sequences: dict[str, Sequence] = {}
        self.highest_fence = 0
        self.orders = 0
        self.loads = 0
        self.unloads = 0
        self.resumes = 0
        self.cancelled = 0
        self.broken_pins = 0
        self.runs_by_request: dict[str, int] = {}
        self.prompts: set[str] = set()
        self.faults: dict[str, Any] = {
            'fail_loads': 0,
            'load_delay': 0,
            'unload_delay': 0,
            'wrong_adapter': '',
            'die_on_request': False,
            'cut_stream_after': -1,
            'slowdown': 1,
        }
        self.standin = Standin(settings, self.route, self.faults, self.read_counts)
        self.standin.application.on_start(self.start)

    async def start(self) -> None:
        """Start the batcher."""
        self.standin.application.spawn(self.batcher.run_steps(), 'batcher')

    def read_counts(self) -> dict[str, Any]:
        """Return counts, resident adapters and the requests run."""
        batcher = self.batcher
        return {
            'incarnation': self.incarnation,
            'resident': sorted(self.resident),
            'steps': batcher.steps,
            'filled': batcher.batched_sequences,
            'batch': self.settings['batch'],
            'busy_ms': batcher.busy_ms,
            'orders': self.orders,
            'loads': self.loads,
            'unloads': self.unloads,
            'broken_pins': self.broken_pins,
            'resumes': self.resumes,
            'cancelled': self.cancelled,
            'running': len(batcher.running) + len(batcher.waiting),
            'ran': self.runs_by_request,
            'prompts': sorted(self.prompts),
        }

    async def route(self, request: HttpRequest, responder: Responder) -> None:
        """Route one request to its handler."""
        self.batcher.slowdown = self.faults['slowdown']
        if request.method == 'GET' and request.path.startswith('/v1/resume/'):
            await self._resume(request, responder)
            return
        routes = {
            ('GET', '/v1/status'): self._status,
            ('GET', '/v1/cache_events'): self._cache_events,
            ('POST', '/v1/load_lora_adapter'): functools.partial(self._execute_order, self._load),
            ('POST', '/v1/unload_lora_adapter'): functools.partial(self._execute_order, self._unload),
            ('POST', '/v1/cancel'): self._cancel,
            ('POST', '/v1/chat/completions'): self._complete,
            ('POST', '/v1/completions'): self._complete,
        }
        handler = routes.get((request.method, request.path))
        if handler is None:
            raise refusal(f'no {request.path}', step='engine', code='not_found', status=404)
        await handler(request, responder)

    async def _status(self, request: HttpRequest, responder: Responder) -> None:
        await asyncio.sleep(self.settings['report_lag'])
        await responder.send_json(
            _STATUS_OK,
            {
                'incarnation': self.incarnation,
                'resident': sorted(self.resident),
                'running': len(self.batcher.running),
                'waiting': len(self.batcher.waiting),
                'batch': self.settings['batch'],
                'slots': self.settings['slots'],
                'highest_fence': self.highest_fence,
                'fencing': self.settings['fencing'],
            },
        )

    async def _cache_events(self, request: HttpRequest, responder: Responder) -> None:
        await asyncio.sleep(self.settings['event_lag'])
        query = urllib.parse.parse_qs(request.query)
        after = int(query.get('after', ['0'])[0])
        numbered = [{'sequence': index + 1, **event} for index, event in enumerate(self.batcher.cache.events)]
        kept = [event for event in numbered[after:] if event['sequence'] % self.settings['event_gap']]
        await responder.send_json(_STATUS_OK, {'events': kept})

    def _check_fence(self, order: dict[str, Any]) -> None:
        fence = order.get('fence', 0)
        if self.settings['fencing'] and fence < self.highest_fence:
            raise refusal(f'fence {fence} is old', step='engine', code='old_fence', status=_STATUS_CONFLICT)
        self.highest_fence = max(self.highest_fence, fence)

    async def _execute_order(self, execute: OrderFunction, request: HttpRequest, responder: Responder) -> None:
        """Execute an order to its end, even if its sender disconnects."""
        order_task = self.standin.application.spawn(execute(json.loads(request.body)), 'order')
        await asyncio.shield(order_task)
        await responder.send_json(_STATUS_OK, {'incarnation': self.incarnation})

    async def _load(self, order: dict[str, Any]) -> None:
        self._check_fence(order)
        self.orders += 1
        adapter = order['lora_name']
        if len(self.resident | self.loading | {adapter}) > self.settings['slots']:
            raise refusal('all slots are in use', step='engine', code='slots_full', status=_STATUS_CONFLICT)
        self.loading.add(adapter)
        try:
            await self._fetch_weights(adapter)
        finally:
            self.loading.discard(adapter)
        self.resident.add(adapter)
        self.loads += 1

    async def _fetch_weights(self, adapter: str) -> None:
        await asyncio.sleep(self.faults['load_delay'])
        if self.faults['fail_loads']:
            self.faults['fail_loads'] -= 1
            raise refusal('the load failed', step='engine', code='load_failed', status=500)
        if not self.settings['weight_store']:
            return
        address = split_address(self.settings['weight_store'])
        try:
            status, _, _ = await fetch(address, 'GET', f'/v1/adapters/{adapter}')
        except ClientError as exc:
            raise refusal(f'no weights: {exc.message}', step='engine', code='load_failed', status=500) from exc
        if status != _STATUS_OK:
            raise refusal(f'weight store gave {status}', step='engine', code='load_failed', status=500)

    async def _unload(self, order: dict[str, Any]) -> None:
        if order['lora_name'] in self.resident:
            self.orders += 1
            await asyncio.sleep(self.faults['unload_delay'])
        self._check_fence(order)
        adapter = order['lora_name']
        if adapter in self.resident:
            self.resident.discard(adapter)
            self.unloads += 1
            self.broken_pins += self.batcher.is_adapter_in_use(adapter)

    async def _cancel(self, request: HttpRequest, responder: Responder) -> None:
        sequence = self.sequences.get(json.loads(request.body).get('request_id', ''))
        if sequence is not None:
            self.cancelled += 1
            self.batcher.end_sequence(sequence)
        await responder.send_json(_STATUS_OK, {'cancelled': sequence is not None})

    async def _complete(self, request: HttpRequest, responder: Responder) -> None:
        document = json.loads(request.body)
        if self.faults['die_on_request']:
            os._exit(1)
        adapter = document['model']
        if adapter not in self.resident:
            raise refusal(f'{adapter} is not loaded', step='engine', code='adapter_not_loaded', status=404)
        prompt = str(document.get('prompt') or document.get('messages', ''))
        request_id = request.headers.get('x-request-id', f'{adapter}-{id(request)}')
        priority = int(request.headers.get('x-priority', '0'))
        limit = document.get('max_tokens') or document.get('max_completion_tokens') or _DEFAULT_MAX_TOKENS
        sequence = Sequence(request_id, adapter, prompt, int(limit), priority, chat='chat' in request.path)
        self.sequences[request_id] = sequence
        self.runs_by_request[request_id] = self.runs_by_request.get(request_id, 0) + 1
        self.prompts.add(prompt)
        self.batcher.add_sequence(sequence)
        try:
            await self._send_answer(sequence, responder, stream=document.get('stream') is True)
        except BaseException:
            self.standin.application.spawn(self._end_unless_resumed(sequence), 'abandon')
            raise
        self.sequences.pop(request_id, None)

    async def _end_unless_resumed(self, sequence: Sequence) -> None:
        readers_before = sequence.readers
        await asyncio.sleep(self.settings['keep_seconds'])
        if sequence.readers != readers_before:
            return
        self.batcher.end_sequence(sequence)
        self.sequences.pop(sequence.request_id, None)

    async def _send_answer(self, sequence: Sequence, responder: Responder, *, stream: bool) -> None:
        if stream:
            await self._send_stream(sequence, responder, 0)
            return
        while not sequence.ended:
            sequence.changed.clear()
            await sequence.changed.wait()
        self._cut_if_cancelled(sequence, responder)
        await responder.send_json(_STATUS_OK, make_answer_document(sequence, self._reported_model(sequence)))

    async def _resume(self, request: HttpRequest, responder: Responder) -> None:
        sequence = self.sequences.get(request.path.removeprefix('/v1/resume/'))
        if sequence is None:
            raise refusal('nothing to resume', step='engine', code='not_found', status=404)
        query = urllib.parse.parse_qs(request.query)
        sequence.readers += 1
        self.resumes += 1
        try:
            await self._send_stream(sequence, responder, int(query['after'][0]))
        except BaseException:
            self.standin.application.spawn(self._end_unless_resumed(sequence), 'abandon')
            raise
        self.sequences.pop(sequence.request_id, None)

    def _cut_if_cancelled(self, sequence: Sequence, responder: Responder) -> None:
        """Close the connection if the sequence was cancelled before its last token."""
        if len(sequence.tokens) < sequence.max_tokens:
            responder.writer.transport.abort()
            raise ConnectionResetError('cancelled')

    async def _send_stream(self, sequence: Sequence, responder: Responder, sent: int) -> None:
        await responder.send_head(_STATUS_OK, [('Content-Type', 'text/event-stream'), ('Transfer-Encoding', 'chunked')])
        while sent < len(sequence.tokens) or not sequence.ended:
            if sent == self.faults['cut_stream_after']:
                self.faults['cut_stream_after'] = -1
                responder.writer.transport.abort()
                raise ConnectionResetError('cut by fault')
            if sent == len(sequence.tokens):
                sequence.changed.clear()
                await sequence.changed.wait()
                continue
            document = make_token_event(sequence, self._reported_model(sequence), sent)
            sent += 1
            await responder.send_body(f'data: {json.dumps(document)}\n\n'.encode())
        self._cut_if_cancelled(sequence, responder)
        await responder.send_body(b'data: [DONE]\n\n')
        await responder.finish()

    def _reported_model(self, sequence: Sequence) -> str:
        return self.faults['wrong_adapter'] or sequence.adapter


def build(settings: dict[str, Any]) -> Application:
    """Return the application of an engine stand-in."""
    return Engine(settings).standin.application
