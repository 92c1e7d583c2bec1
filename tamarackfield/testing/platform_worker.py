"""Stand-in for workers of the platform, plain ones and ones that run models.

Each worker records the requests that it ran, so that tests can compare answers with the actual runs.
Faults are set as attributes.
"""

import asyncio
import json
import os
from typing import Any

import h11

from tamarackfield.core import SYSTEM_CLOCK
from tamarackfield.testing.worker_answers import (
    CUTTING_FAULTS,
    GARBAGE,
    UNNAMED_REFUSAL,
    PARTIAL_EVENT,
    AnswerCopier,
    SIGNATURE,
    chunk_encoder,
    echo_request_id,
    encode_answer,
    encode_head,
    encode_stream_head,
    end_stream,
    read_request,
    reset_connection,
    send_drops,
    send_endless_bytes,
    send_odd_continuation,
    send_response,
)
from tamarackfield.testing.worker_records import Headers, Refusal, Run, WorkerFault

#: Path of the health check of plain workers.
HEALTH_PATH = '/healthz'
_TRANSFER_SECONDS = 0.02
_MAX_CONCURRENT_TRANSFERS = 4


class PlatformWorker:  # noqa: WPS230 its faults are attributes
    """Worker that listens at one address.

    Parameters
    ----------
    name, service, host, port
        Name, service and address in its entry in the store.
    model : str
        Name of its base model, empty for a plain worker.

    Attributes
    ----------
    announces_leaving : bool
        Whether every answer says that the worker leaves.
    request_limit : str
        Requests a second that every answer names as the limit of the worker; empty for none.
    raw_answer : bytes
        What it sends with the fault ``raw`` before it closes the connection in order; ID stands for the request id.
    retry_after : str
        ``Retry-After`` of the answers to requests that it turns away with the fault ``pause``.
    crashing_parts : frozenset of str
        Parts of prompts on which it crashes when it begins to write an answer.
    crashing_targets : frozenset of str
        Paths with their queries of requests on which it crashes when it begins to run them.
    crashes_after_head : bool
        Whether the head of such an answer is sent before the crash.
    sends_second_copies : bool
        Whether it sends each answer once more where the next answer on its connection is expected.
    names_calls : bool
        Whether answers to calls of the system name the call, as those to requests of callers do.
    silence_seconds : float
        Pause of its streams after their first event, after which they go on.
    silences : dict
        Seconds for which its runs fall silent, by the number of the event before; 0 is before the head of the answer.
    unnamed_refusal_due : bool
        Whether it sends a refusal that names no request ahead of the next answer.
    odd_continuation : str
        How it answers requests for the rest of a stream, see `send_odd_continuation`; empty for the rest.
    crashed_at : list of float
        Monotonic seconds of its crashes.
    health_seconds : float
        Time for which a health check waits for a free slot.
    kernel_listens_seconds : float
        Time after a crash in which the kernel still accepts connections, which are reset at its end.
    """

    announces_leaving = False
    retry_after = '1'
    crashing_parts: frozenset[str] = frozenset()
    crashing_targets: frozenset[str] = frozenset()
    raw_answer = b''
    crashes_after_head = True
    sends_second_copies = False
    names_calls = True
    silence_seconds = 0.0
    odd_continuation = ''
    health_seconds = 0.0
    kernel_listens_seconds = 0.0

    def __init__(  # noqa: WPS211 each parameter is part of the entry
        self, name: str, service: str, host: str, port: int, model: str = ''
    ) -> None:
        """Create a worker that is not started."""
        self.name = name
        self.service = service
        self.host = host
        self.port = port
        self.model = model
        self.started_unix_ms = SYSTEM_CLOCK.unix_ms()
        self.adapter_slots = 3
        self.state = 'ready'
        self.models = [model] if model else []
        self.adapters: dict[str, int] = {}
        self.incoming: dict[str, int] = {}
        self.sequence = 0
        self.highest_fence = 0
        self.orders: list[dict[str, Any]] = []
        self.running: set[str] = set()
        self.runs: list[Run] = []
        self.refusals: list[Refusal] = []
        self.fault = WorkerFault()
        self.event_count = 5
        self.event_interval_seconds = 0.005
        self.cut_after_event = 0
        self.silences: dict[int, float] = {}
        self.request_limit = ''
        self.crash_reason = ''
        self.unnamed_refusal_due = False
        self.crashed_at: list[float] = []
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    def make_store_entry(self) -> dict[str, Any]:
        """Return the document of the worker in the store."""
        document = {
            'service': self.service,
            'address': f'{self.host}:{self.port}',
            'zone': 'zone-a',
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'seq': self.sequence,
            'cold_ms': 0,
            'born': self.started_unix_ms,
        }
        if self.model:
            document['models'] = self.list_models()
        return document

    def list_models(self) -> list[dict[str, Any]]:
        """Return the loaded models with their adapters."""
        adapters = [f'{name}@{version}' for name, version in self.adapters.items()]
        return [{'name': model, 'version': 1, 'adapters': adapters} for model in self.models]

    async def start(self) -> None:
        """Accept connections."""
        self.server = await asyncio.start_server(self.accept, self.host, self.port)

    async def stop(self) -> None:
        """Close the server and abort all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def crash(self) -> None:
        """End like a process that crashes; `restart` starts it again."""
        self.crashed_at.append(SYSTEM_CLOCK.monotonic())
        if self.kernel_listens_seconds:
            listener = os.dup(self.server.sockets[0].fileno())
            asyncio.get_running_loop().call_later(self.kernel_listens_seconds, os.close, listener)
        await self.stop()

    def is_crashed(self) -> bool:
        """Return whether it has crashed and was not started again."""
        return bool(self.crashed_at) and self.server is not None and not self.server.is_serving()

    async def restart(self) -> None:
        """Stop and start as a new incarnation with the same name, without models, adapters, fences and limit."""
        await self.stop()
        self.request_limit = ''
        self.started_unix_ms = max(self.started_unix_ms + 1, SYSTEM_CLOCK.unix_ms())
        self.sequence = 0
        self.highest_fence = 0
        self.adapters.clear()
        self.incoming.clear()
        self.models.clear()
        await self.start()

    def list_arrivals(self) -> list[tuple[float, str]]:
        """Return the monotonic time and id of every request received, refused ones included."""
        started = [(run.began_at, run.request_id) for run in self.runs]
        return started + [(refusal.at, refusal.request_id) for refusal in self.refusals]

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve requests on one connection."""
        self.writers.add(writer)
        protocol = h11.Connection(h11.SERVER)
        copier = AnswerCopier(writer, reader)
        try:
            while True:
                request = await read_request(protocol, reader)
                if request is None:
                    return
                if self.sends_second_copies:
                    copier.send_second_copy()
                if self.unnamed_refusal_due:
                    self.unnamed_refusal_due = False
                    copier.write(UNNAMED_REFUSAL)
                await self._answer_request(protocol, copier, *request)
                if protocol.our_state is not h11.DONE or protocol.their_state is not h11.DONE:
                    return
                protocol.start_next_cycle()
        except (OSError, h11.ProtocolError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer_request(
        self, protocol: h11.Connection, writer: AnswerCopier, head: h11.Request, body: bytes
    ) -> None:
        headers = {name.decode(): text.decode() for name, text in head.headers}
        target = head.target.decode()
        request_id = headers.get('tamarackfield-request-id', '')
        named = request_id if self.names_calls else ''
        header_lines = [*(echo_request_id(named) if named else []), *self.notice_headers()]
        if target == '/v1/report':
            await send_response(protocol, writer, 200, self.make_report(), header_lines)
        elif target == '/v1/order':
            status = self.execute_order(headers, json.loads(body))
            await send_response(protocol, writer, status, {}, header_lines)
        elif target == HEALTH_PATH:
            await asyncio.sleep(self.health_seconds)
            status = 200 if self.state == 'ready' else 503
            header_lines.append(('Tamarackfield-Instance-Id', self.name))
            await send_response(protocol, writer, status, b'health', header_lines)
        else:
            await self._serve_run(
                protocol,
                writer,
                Run(request_id, head.method.decode(), target, headers, body),
            )

    def notice_headers(self) -> list[tuple[str, str]]:
        """Return the headers that say that the worker leaves, and how many requests it takes."""
        leaving = [('Server-Leaving', '1')] if self.announces_leaving else []
        return [*leaving, ('Server-Limit', self.request_limit)] if self.request_limit else leaving

    def make_report(self) -> dict[str, Any]:
        """Return the status report of the worker."""
        return {
            'stage': 'colocated',
            'models': self.list_models(),
            'busy': False,
            'seq': self.sequence,
            'queued': 0,
            'running': len(self.running),
            'kv_used': 0,
            'kv_total': 1000,
            'handles': 0,
            'incoming': [f'{self.model}/{name}@{version}' for name, version in self.incoming.items()],
            'state': self.state,
            'born': self.started_unix_ms,
        }

    def execute_order(self, headers: Headers, order: dict[str, Any]) -> int:
        """Execute an order and return the HTTP status of the answer."""
        expected = headers.get('tamarackfield-expect-instance', self.name)
        if expected != self.name:
            return 421
        if 'holder' not in order or 'fencing_token' not in order:
            return 400
        if order['fencing_token'] < self.highest_fence:
            return 412
        if order.get('expected', self.sequence) != self.sequence:
            return 409
        self.highest_fence = order['fencing_token']
        self.orders.append(order)
        return self._carry_out(order)

    def _carry_out(self, order: dict[str, Any]) -> int:
        adapter = order.get('adapter')
        if adapter is None:
            self.sequence += 1
            asyncio.get_running_loop().call_later(_TRANSFER_SECONDS, self.models.append, order['model'])
            return 202
        if order['operation'] == 'unload':
            self.sequence += 1
            self.adapters.pop(adapter, None)
            return 200
        return 400 if adapter.startswith('no-') else self._load(adapter, order)

    def _load(self, adapter: str, order: dict[str, Any]) -> int:
        version = order.get('version') or 1
        if self.adapters.get(adapter) == version:
            return 200
        if len({*self.adapters, *self.incoming, adapter}) > self.adapter_slots:
            self.crash_reason = f'ordered to load {adapter} with {self.adapters} and {self.incoming}'
            return 500
        if len(self.incoming) >= _MAX_CONCURRENT_TRANSFERS:
            return 409
        self.sequence += 1
        self.incoming[adapter] = version
        asyncio.get_running_loop().call_later(_TRANSFER_SECONDS, self._finish_load, adapter)
        return 202

    def _finish_load(self, adapter: str) -> None:
        version = self.incoming.pop(adapter, None)
        if version is not None:
            self.adapters[adapter] = version

    async def _serve_run(self, protocol: h11.Connection, writer: AnswerCopier, run: Run) -> None:
        run.worker = self.name
        run.began_at = SYSTEM_CLOCK.monotonic()
        run.incarnation = self.started_unix_ms
        run.announced_leaving = self.announces_leaving
        run.stated_limit = self.request_limit
        refusal_status = self._refusal_status(run.headers)
        fault = self.fault.next_fault()
        if fault in {'shed', 'pause'} or refusal_status:
            status = refusal_status or 503
            pause = self.retry_after if fault == 'pause' else ''
            self.refusals.append(Refusal(run.request_id, run.began_at, pause))
            extra = [] if status == 421 else [('Tamarackfield-Not-Executed', '1')]
            if pause:
                extra.append(('Retry-After', pause))
            await send_response(
                protocol, writer, status, None, [*echo_request_id(run.request_id), *extra, *self.notice_headers()]
            )
            return
        self.runs.append(run)
        self.running.add(run.request_id)
        server = self.server
        try:
            await self._execute(protocol, writer, run, fault)
            run.sound = run.finished and not fault
        except OSError:
            run.sound = not fault and server is not None and self.server is server and server.is_serving()
            raise
        finally:
            self.running.discard(run.request_id)

    def _refusal_status(self, headers: Headers) -> int:
        expected = headers.get('tamarackfield-expect-instance', self.name)
        if expected != self.name:
            return 421
        requested_model = headers.get('tamarackfield-model')
        if requested_model is None or not self.model:
            return 0
        model, _, adapter = requested_model.partition('/')
        if model not in self.models or (adapter and adapter not in self.adapters):
            return 421
        expected_version = headers.get('tamarackfield-expect-version')
        return 421 if adapter and expected_version and int(expected_version) != self.adapters[adapter] else 0

    async def _execute(self, protocol: h11.Connection, writer: AnswerCopier, run: Run, fault: str) -> None:
        if fault == 'hang':
            await writer.wait_closed()
        await asyncio.sleep(self.event_interval_seconds)
        await writer.keep_silent(self.silences.get(0, 0))
        if run.target in self.crashing_targets or not self.crashing_parts.isdisjoint(run.list_shared_parts()):
            if self.crashes_after_head:
                writer.write(encode_stream_head(protocol, run.request_id, True, []))
                await writer.drain()
            await self.crash()
            return
        if await _ends_without_answer(self, writer, run, fault):
            return
        if fault.startswith('endless'):
            content_type = 'text/event-stream' if self.model else 'text/plain'
            head = encode_head([*echo_request_id(run.request_id), SIGNATURE, ('Content-Type', content_type)])
            await send_endless_bytes(writer, head if fault == 'endless_body' else b'HTTP/1.1 200 OK\r\nPad: ')
        if fault == 'errors':
            header_lines = [*echo_request_id(run.request_id), SIGNATURE, *self.notice_headers()]
            await send_response(protocol, writer, 500, {'error': 'failed'}, header_lines)
            run.finished = True
            return
        if self.odd_continuation and 'last-event-id' in run.headers:
            await send_odd_continuation(protocol, writer, run.request_id, self.odd_continuation)
        elif self.model:
            await self._send_stream(protocol, writer, run, fault)
        else:
            await self._send_reply(protocol, writer, run, fault)

    async def _send_reply(self, protocol: h11.Connection, writer: AnswerCopier, run: Run, fault: str) -> None:
        body = f'{self.name} ran {run.request_id}'.encode()
        run.finished = True
        if fault == 'extra':
            writer.write(encode_answer('another-request', b'not for you', []))
        if fault == 'unframed_crash':
            writer.write(encode_answer(run.request_id, body[: len(body) // 2], self.notice_headers(), framed=False))
            await writer.drain()
            await self.crash()
            return
        if fault.startswith('unframed'):
            writer.write(encode_answer(run.request_id, body, self.notice_headers(), framed=False))
            await writer.drain()
            if fault == 'unframed_reset':
                reset_connection(writer)
            writer.close()
            return
        if fault == 'cut':
            writer.write(encode_answer(run.request_id, body, self.notice_headers())[:-3])
            writer.close()
            return
        signature = [] if fault == 'unsigned' else [SIGNATURE]
        encoding = [('Content-Encoding', 'gzip')] if fault == 'encoded' else []
        header_lines = [*echo_request_id(run.request_id), *signature, *encoding, *self.notice_headers()]
        await send_response(protocol, writer, 200, body, header_lines)

    async def _send_stream(self, protocol: h11.Connection, writer: AnswerCopier, run: Run, fault: str) -> None:
        framed = not fault.startswith('unframed')
        encode = chunk_encoder(protocol) if framed else bytes
        writer.write(encode_stream_head(protocol, run.request_id, framed, self.notice_headers()))
        first = int(run.headers.get('last-event-id', '0')) + 1
        last = self.event_count - 1 if fault in CUTTING_FAULTS else self.event_count
        for number in range(first, last + 1):
            writer.write(encode(f'id: {number}\ndata: event {number}\n\n'.encode()))
            await writer.drain()
            await asyncio.sleep(self.event_interval_seconds)
            await writer.keep_silent(self.silences.get(number, self.silence_seconds if number == first else 0))
            if fault == 'drip':
                await send_drops(writer, encode)
            if fault == 'unframed_crash' and number == last - 1:
                await self.crash()
                return
            if number == self.cut_after_event:
                writer.write(encode(PARTIAL_EVENT))
                await writer.drain()
                writer.transport.abort()
                return
        if fault in CUTTING_FAULTS:
            writer.write(encode(PARTIAL_EVENT))
            writer.close()
            return
        run.finished = True
        await end_stream(protocol, writer, fault)


async def _ends_without_answer(worker: PlatformWorker, writer: AnswerCopier, run: Run, fault: str) -> bool:
    """Carry out a fault in whose place there is no answer; return whether it is one."""
    if fault == 'reset_after_run':
        reset_connection(writer)
        return True
    if fault not in {'garbage', 'raw', 'raw_crash'}:
        return False
    raw_answer = GARBAGE if fault == 'garbage' else worker.raw_answer
    writer.write(raw_answer.replace(b'ID', run.request_id.encode()))
    writer.close()
    if fault == 'raw_crash':
        await worker.crash()
    return True
