"""Server for entries: receives requests for grants and sends grants, declines and reports."""

import asyncio
import itertools
import math

from loguru import logger

from tamarackfield.core import BOOT_CLOCK, SYSTEM_CLOCK, ConnectionServer, TamarackfieldError, cancel_and_wait
from tamarackfield.core.clock import MS_PER_SECOND, NS_PER_SECOND
from tamarackfield.manager.admission import AdmissionController
from tamarackfield.manager.engine import EngineController
from tamarackfield.manager.quotas import QuotaOwner
from tamarackfield.manager.request_limits import TargetLimits
from tamarackfield.manager.tickets import Decline, Ticket
from tamarackfield.policy.crashes import Crash
from tamarackfield.policy.pause_planning import PaceReport
from tamarackfield.policy.quarantine import Quarantine
from tamarackfield.wire.codec import make_shared_encoder
from tamarackfield.wire.crash_reports import BrokenRun, CrashReport, decode_crash, encode_crash
from tamarackfield.wire.messages import Draining, Hello, Holdings, Message
from tamarackfield.wire.quotas import AskTokens, EntryStops
from tamarackfield.wire.reporting import report_changes
from tamarackfield.wire.request_limits import AskPermit, RequestLimit, encode_limit
from tamarackfield.wire.reservations import (
    Declined,
    EngineReport,
    EventPace,
    Facts,
    Granted,
    Paused,
    Release,
    Reserve,
    Started,
)
from tamarackfield.wire.stream import PeerBusyError, PeerStream, StreamClosedError

#: Longest time in seconds between two decisions on queued requests: some of them expire without another change.
MAX_DECISION_INTERVAL_SECONDS = 0.05
#: Shortest time in seconds until a decision whose only reason is that time has passed.
MIN_DECISION_INTERVAL_SECONDS = 0.005
#: Time in seconds for which one report is sent to further entries; its content changes more slowly than that.
REPORT_CACHE_SECONDS = 0.02


class ManagerServer:
    """Server for the entries of one target.

    Parameters
    ----------
    controller : EngineController
        Controller of the target's engine.
    hello : Hello
        Handshake message of this process.
    """

    def __init__(self, controller: EngineController, hello: Hello) -> None:
        """Start without streams."""
        self.controller = controller
        self.hello = hello
        self.streams: set[PeerStream] = set()
        self.streams_by_number: dict[int, PeerStream] = {}
        self.stream_numbers = itertools.count(1)
        self.draining = False
        self.cached_report: EngineReport | None = None
        self.cached_holdings: Holdings | None = None
        self.report_cache_expires_at = 0.0
        self.encode_message = make_shared_encoder()
        self.server = ConnectionServer(self.serve_entry)
        self.quarantine = Quarantine()
        self.limits = TargetLimits()
        self.limits.on_change = self._tell_entries
        self.quotas = QuotaOwner()
        self.quotas.streams = self.streams
        controller.on_crash = self.record_crash

    async def listen(self, host: str, port: int) -> None:
        """Listen for connections of entries."""
        await self.server.listen(host, port)

    def make_stream(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> PeerStream:
        """Return a stream to an entry; what all of them are sent is encoded once."""
        return PeerStream(reader, writer, self.encode_message)

    async def serve_entry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one entry until its stream ends."""
        stream = self.make_stream(reader, writer)
        stream_number = next(self.stream_numbers)
        tasks = []
        try:
            await stream.exchange_hellos(self.hello)
            self._add_stream(stream_number, stream)
            tasks = [asyncio.create_task(stream.send_heartbeats()), asyncio.create_task(report_changes(self, stream))]
            while True:
                self.handle_message(stream_number, await stream.receive())
        except TamarackfieldError as exc:
            logger.bind(entry=stream.peer, step=exc.step, error=exc.message).info('entry_disconnected')
        finally:
            self._remove_stream(stream_number, stream)
            await cancel_and_wait(tasks)

    def handle_message(self, stream_number: int, message: Message) -> None:
        """Handle one message of an entry."""
        now = BOOT_CLOCK.monotonic()
        admission = self.controller.admission
        match message:
            case Facts():
                self.controller.update_facts(message)
            case Reserve():
                admission.enqueue(_make_ticket(stream_number, message, now))
                self.controller.decision_due.set()
            case Started():
                admission.record_first_event((stream_number, message.request_id), now)
                self.controller.decision_due.set()
            case Paused() | EventPace():
                self._record_pace(message, now)
            case BrokenRun() | CrashReport() | AskPermit() | RequestLimit() | AskTokens() | EntryStops():
                self._handle_target_message(stream_number, message, now)
            case Release():
                admission.release((stream_number, message.request_id), now)
                self.controller.decision_due.set()
            case _:
                logger.bind(kind=message.kind).debug('message_ignored')

    def record_crash(self, report: Crash) -> None:
        """Record what this process or an entry knows of a crash; tell all entries if it is new."""
        if self.quarantine.record_crash(report, BOOT_CLOCK.monotonic()):
            self._tell_entries(encode_crash(self.quarantine.crashes[report.key()]))

    async def run_decisions(self) -> None:
        """Decide on queued requests after every change, and at the latest after the decision interval."""
        controller = self.controller
        while True:
            await _wait_for_event(
                controller.decision_due, _seconds_until_next_decision(controller.admission, self.limits)
            )
            controller.decision_due.clear()
            now = BOOT_CLOCK.monotonic()
            self._update_own_limit(now)
            for stream_number, answer in self.limits.decide(now):
                _send(self.streams_by_number.get(stream_number), answer)
            plan = controller.admission.make_plan(now)
            for ticket in plan.grants:
                self._send_grant(ticket)
            for decline in plan.declines:
                self._send_decline(decline)
            await controller.execute_plan(plan if plan.orders else controller.plan_model_load())

    def report(self) -> EngineReport:
        """Return the load report of the engine, made at most `REPORT_CACHE_SECONDS` ago."""
        self._refresh_reports()
        return self.cached_report

    def holdings(self) -> Holdings:
        """Return the loaded and loading adapters, read at most `REPORT_CACHE_SECONDS` ago."""
        self._refresh_reports()
        return self.cached_holdings

    def _refresh_reports(self) -> None:
        now = SYSTEM_CLOCK.monotonic()
        if now < self.report_cache_expires_at:
            return
        self.report_cache_expires_at = now + REPORT_CACHE_SECONDS
        self.cached_report = self._make_report()
        holdings = self._make_holdings()
        if holdings != self.cached_holdings:
            self.cached_holdings = holdings

    def _make_report(self) -> EngineReport:
        admission = self.controller.admission
        residency = admission.residency
        state = self.controller.state
        now = BOOT_CLOCK.monotonic()
        return EngineReport(
            unix_ms=SYSTEM_CLOCK.unix_ms(),
            incarnation=state.started_ms if state else 0,
            ready=self.controller.is_ready() and not self.draining,
            batch=admission.batch,
            running=len(admission.granted),
            queued=len(admission.waiting),
            slots=residency.slots,
            pinned=residency.count_pinned(),
            load_ms=round(admission.load_seconds * MS_PER_SECOND),
            service_ms=round(admission.service_seconds * MS_PER_SECOND),
            entries=len(self.streams),
            prompt_ms=round(admission.prefill_backlog_seconds(now) * MS_PER_SECOND),
            token_ns=round(admission.prefill.effective_token_seconds(now) * NS_PER_SECOND),
            leaving=admission.draining,
        )

    def _make_holdings(self) -> Holdings:
        """Return the loaded models and adapters, and the adapters that are loading or that queued requests need."""
        admission = self.controller.admission
        residency = admission.residency
        adapters = [f'{name}@{resident.version}' for name, resident in residency.residents.items()]
        waiting_adapters = {ticket.adapter for ticket in admission.waiting.values()} - residency.residents.keys()
        return Holdings(sorted({*admission.models, *adapters}), sorted({*residency.loading, *waiting_adapters}))

    def drain(self) -> None:
        """Notify every entry that this process stops."""
        self.draining = True
        self.report_cache_expires_at = 0.0
        self._tell_entries(Draining('the sidecar stops'))

    async def close(self) -> None:
        """Send what is queued on every stream, then close all of them and end their tasks."""
        self.server.stop_listening()
        await asyncio.gather(*(stream.finish() for stream in self.streams))
        await self.server.close()

    def _update_own_limit(self, now: float) -> None:
        """Let admission keep to the limit of the engine, of which its reports or its answers to entries tell."""
        controller = self.controller
        facts = controller.facts
        if controller.has_current_facts():
            limit_mrps = encode_limit(controller.state.request_limit)
            self.limits.record_report(RequestLimit(facts.target, facts.started_ms, limit_mrps), now)
        controller.admission.request_pacer = self.limits.pacer_for(facts.target, facts.started_ms, now)

    def _handle_target_message(
        self,
        stream_number: int,
        message: BrokenRun | CrashReport | AskPermit | RequestLimit | AskTokens | EntryStops,
        now: float,
    ) -> None:
        match message:
            case BrokenRun():
                self.controller.record_broken_run(message)
            case CrashReport():
                self.record_crash(decode_crash(message))
            case AskPermit():
                self.limits.ask(stream_number, message, now)
                self.controller.decision_due.set()
            case RequestLimit():
                self.limits.record(message, now)
            case AskTokens() | EntryStops():
                self.quotas.handle(self.streams_by_number.get(stream_number), message)

    def _tell_entries(self, message: Message) -> None:
        for stream in self.streams:
            _send(stream, message)

    def _record_pace(self, message: Paused | EventPace, now: float) -> None:
        """Record what an entry observed of the engine's streams, and log what it changes."""
        pacer = self.controller.admission.prefill
        if isinstance(message, Paused):
            if pacer.record_pause(now):
                logger.bind(pause_ms=message.pause_ms, share=round(pacer.share, 2)).info('prompts_slowed')
            return
        planner = pacer.planner
        was_in_force = planner.is_in_force(now)
        planner.record_report(_decode_pace(message), now)
        if planner.is_in_force(now) != was_in_force:
            logger.bind(
                longest_ms=message.longest_ms,
                pause_ms=message.pause_ms,
                interval_ms=round(planner.interval * MS_PER_SECOND),
                room_ms=round(planner.room_seconds() * MS_PER_SECOND),
                token_ns=round(planner.token_seconds() * NS_PER_SECOND),
            ).info('pauses_planned')

    def _send_grant(self, ticket: Ticket) -> None:
        stream_number, request_id = ticket.key
        residency = self.controller.admission.residency
        resident = residency.residents.get(ticket.adapter)
        version = resident.version if resident else 0
        waited_ms = round((ticket.granted_at - ticket.enqueued_at) * MS_PER_SECOND)
        logger.bind(
            request_id=ticket.caller_request_id,
            adapter=ticket.adapter,
            version=version,
            waited_ms=waited_ms,
            waits=_format_waits(ticket),
            **_describe_share(ticket, self.controller.admission),
            granted=len(self.controller.admission.granted),
            state_age_ms=round((ticket.granted_at - self.controller.state_read_at) * MS_PER_SECOND),
        ).info('granted')
        _send(self.streams_by_number.get(stream_number), Granted(request_id, version, waited_ms))

    def _send_decline(self, decline: Decline) -> None:
        stream_number, request_id = decline.ticket.key
        retry_ms = round(decline.retry_seconds * MS_PER_SECOND)
        logger.bind(
            request_id=decline.ticket.caller_request_id,
            adapter=decline.ticket.adapter,
            code=decline.code,
            waits=_format_waits(decline.ticket),
            **_describe_share(decline.ticket, self.controller.admission),
            waiting=len(self.controller.admission.waiting),
            granted=len(self.controller.admission.granted),
            retry_ms=retry_ms,
        ).info('declined')
        _send(self.streams_by_number.get(stream_number), Declined(request_id, decline.code, retry_ms))

    def _add_stream(self, stream_number: int, stream: PeerStream) -> None:
        self.streams.add(stream)
        self.quotas.record_connected(stream.hello, BOOT_CLOCK.monotonic())
        self.streams_by_number[stream_number] = stream
        # Before any grant, so that the entry knows the culprits when it sends a request.
        for crash in self.quarantine.crashes.values():
            _send(stream, encode_crash(crash))
        for limit in self.limits.list_messages():
            _send(stream, limit)
        logger.bind(entry=stream.peer).info('entry_connected')

    def _remove_stream(self, stream_number: int, stream: PeerStream) -> None:
        stream.abort()
        self.streams.discard(stream)
        if self.streams_by_number.pop(stream_number, None) is not None:
            self.quotas.record_disconnected(stream.hello, BOOT_CLOCK.monotonic())
        self.controller.admission.release_stream(stream_number, BOOT_CLOCK.monotonic())
        self.controller.decision_due.set()


def _seconds_until_next_decision(admission: AdmissionController, limits: TargetLimits) -> float:
    """Return how long to wait for a change before a decision is due by time alone."""
    now = BOOT_CLOCK.monotonic()
    paced_until, room_at = math.inf, math.inf
    if admission.waiting:
        room_at = admission.prefill.next_room_at()
        paced_until = max(admission.prefill.next_dispatch_at(), admission.request_pacer.due_at(0))
    due = [due_at for due_at in (limits.next_due_at(now), paced_until, room_at) if due_at > now]
    seconds_left = min(due, default=math.inf) - now
    return min(MAX_DECISION_INTERVAL_SECONDS, max(MIN_DECISION_INTERVAL_SECONDS, seconds_left))


def _make_ticket(stream_number: int, message: Reserve, now: float) -> Ticket:
    key = (stream_number, message.request_id)
    deadline = now + message.left_ms / MS_PER_SECOND
    start_by = now + message.aim_ms / MS_PER_SECOND
    return Ticket(
        key=key,
        adapter=message.adapter,
        version=message.version,
        priority=message.priority,
        enqueued_at=now,
        deadline=deadline,
        start_by=start_by,
        tokens=message.tokens,
        caller_request_id=message.label,
        redirectable=message.redirectable,
        customer=getattr(message, 'customer', ''),
    )


def _decode_pace(message: EventPace) -> PaceReport:
    """Return the report of an entry in seconds."""
    return PaceReport(
        message.interval_ms / MS_PER_SECOND, message.longest_ms / MS_PER_SECOND, message.pause_ms / MS_PER_SECOND
    )


def _describe_share(ticket: Ticket, admission: AdmissionController) -> dict[str, object]:
    """Return the log fields of a request with a customer: how far ahead it is of the least served one, in tokens."""
    if not ticket.customer:
        return {}
    counters = admission.shares.counters
    ahead = counters.get(ticket.customer, 0.0) - min(counters.values(), default=0.0)
    return {'customer': ticket.customer, 'priority': ticket.priority, 'tokens_ahead': round(ahead)}


def _format_waits(ticket: Ticket) -> str:
    """Return the milliseconds that a request waited by cause, such as ``load:250,prefill:40``."""
    rounded = {cause: round(seconds * MS_PER_SECOND) for cause, seconds in ticket.waits.seconds.items()}
    return ','.join(f'{cause}:{waited_ms}' for cause, waited_ms in rounded.items() if waited_ms)


def _send(stream: PeerStream | None, message: Message) -> None:
    """Send a message; without a stream, because it has ended, the message is dropped."""
    if stream is None:
        return
    try:
        stream.send(message)
    except (StreamClosedError, PeerBusyError) as exc:
        logger.bind(entry=stream.peer, step=exc.step, error=exc.message).info('message_not_sent')


async def _wait_for_event(event: asyncio.Event, seconds: float) -> None:
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return
