"""Streams from entries: each is owned by one task, which starts a task for each request."""

import asyncio
import contextlib
from collections.abc import Callable

from loguru import logger

from tamarackfield.core import SYSTEM_CLOCK, RequestError, TamarackfieldError
from tamarackfield.sidecar.reply import Reply
from tamarackfield.sidecar.runs import run_request
from tamarackfield.sidecar.scheduler import SlotState
from tamarackfield.sidecar.target import TargetAddress
from tamarackfield.wire import (
    Cancel,
    Credit,
    Draining,
    Hello,
    LoadReport,
    Message,
    PeerStream,
    StreamClosedError,
    Submit,
)
from tamarackfield.wire.stream import PeerBusyError

#: Seconds between two load reports to an entry.
REPORT_INTERVAL = 0.1
#: Streams that a sidecar accepts unless its settings say otherwise.
DEFAULT_MAX_STREAMS = 4000
_MS_PER_SECOND = 1000

#: Running requests of one stream by their number.
Runs = dict[int, tuple[asyncio.Task[None], Reply]]


class PeerServer:
    """Accepts entries and runs what they submit.

    Parameters
    ----------
    target : TargetAddress
        Where requests run.
    hello : callable
        Returns this process's hello.
    max_streams : int
        Streams that are open at once; further ones are closed.
    """

    def __init__(
        self, target: TargetAddress, hello: Callable[[], Hello], max_streams: int = DEFAULT_MAX_STREAMS
    ) -> None:
        """Prepare a server that does not listen yet."""
        self.max_streams = max_streams
        self.open_streams = 0
        self.target = target
        self.hello = hello
        self.streams: set[PeerStream] = set()
        self.runs: set[asyncio.Task[None]] = set()
        self.draining = ''

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one stream until it closes."""
        stream = PeerStream(reader, writer)
        mine: Runs = {}
        self.open_streams += 1
        try:
            self._check_room(stream)
            await self._serve(stream, mine)
        except TamarackfieldError as exc:
            logger.bind(peer=stream.peer, step=exc.step, error=exc.message).info('peer_stream_closed')
        finally:
            self.open_streams -= 1
            self._forget(stream, mine)

    def _check_room(self, stream: PeerStream) -> None:
        if self.open_streams > self.max_streams:
            raise StreamClosedError('too many streams are open', step='accept', peer=stream.peer)

    async def _serve(self, stream: PeerStream, mine: Runs) -> None:
        await stream.greet(self.hello())
        self.streams.add(stream)
        if self.draining:
            stream.send(Draining(self.draining))
        beats = [asyncio.create_task(stream.beat()), asyncio.create_task(self._report(stream))]
        try:
            while True:
                self._take(await stream.receive(), stream, mine)
        finally:
            for beat in beats:
                beat.cancel()

    def _forget(self, stream: PeerStream, mine: Runs) -> None:
        self.streams.discard(stream)
        for task, _ in mine.values():
            task.cancel()
        stream.close()

    def drain(self, reason: str) -> None:
        """Take no new work and tell every entry at once."""
        self.draining = reason
        for stream in self.streams:
            with contextlib.suppress(StreamClosedError, PeerBusyError):
                stream.send(Draining(reason))

    async def wait_idle(self) -> None:
        """Wait until no request runs."""
        while self.runs:
            await asyncio.wait(self.runs)

    def report(self) -> LoadReport:
        """Return the state of the target as of now."""
        worker = self.target.worker
        scheduler = worker.scheduler
        residents = [name for name, slot in scheduler.table.items() if slot.state is SlotState.RESIDENT]
        loading = [name for name, slot in scheduler.table.items() if slot.state is SlotState.LOADING]
        loading.extend(scheduler.wanted())
        return LoadReport(
            unix_ms=SYSTEM_CLOCK.unix_ms(),
            incarnation=worker.incarnation,
            ready=worker.ready.is_set() and not self.draining,
            batch=scheduler.batch,
            running=len(scheduler.running),
            queued=len(scheduler.waiting),
            slots=scheduler.slots,
            pinned=sum(slot.pins > 0 for slot in scheduler.table.values()),
            residents=residents,
            loading=loading,
            load_ms=round(worker.load_seconds * _MS_PER_SECOND),
            service_ms=round(worker.service_seconds * _MS_PER_SECOND),
        )

    async def _report(self, stream: PeerStream) -> None:
        while not stream.closed:
            try:
                stream.send(self.report())
            except (StreamClosedError, PeerBusyError):
                return
            await asyncio.sleep(REPORT_INTERVAL)

    def _take(self, message: Message, stream: PeerStream, mine: Runs) -> None:
        match message:
            case Submit():
                self._submit(message, stream, mine)
            case Credit(request_id, size):
                run = mine.get(request_id)
                if run is not None:
                    run[1].add_credit(size)
            case Cancel(request_id):
                run = mine.get(request_id)
                if run is not None:
                    run[0].cancel()
            case Hello():
                logger.bind(peer=stream.peer).warning('second_hello')

    def _submit(self, submit: Submit, stream: PeerStream, mine: Runs) -> None:
        reply = Reply(stream, submit.request_id, submit.credit)
        if self.draining:
            reply.fail(
                RequestError(
                    f'the target takes no new work: {self.draining}',
                    step='admission',
                    peer=self.target.name,
                    code='draining',
                    retry_after=1,
                ),
            )
            return
        task = asyncio.create_task(run_request(self.target, submit, reply))
        mine[submit.request_id] = (task, reply)
        self.runs.add(task)
        task.add_done_callback(self.runs.discard)
        task.add_done_callback(lambda _: mine.pop(submit.request_id, None))
