"""Server of streams from entries: one task owns each stream and starts a task for each request."""

import asyncio
import contextlib
from collections.abc import Callable

from loguru import logger

from tamarackfield.core import RequestError, TamarackfieldError, cancel_and_wait
from tamarackfield.core.outcome import Outcome
from tamarackfield.sidecar.reply import Reply
from tamarackfield.sidecar.reports import make_holdings, make_report
from tamarackfield.sidecar.request_run import run_request
from tamarackfield.sidecar.target import LocalTarget
from tamarackfield.wire import Draining, Hello, Holdings, LoadReport, Message, PeerStream, StreamClosedError
from tamarackfield.wire.reporting import report_changes
from tamarackfield.wire.request_relay import AskKey, Cancel, Credit, KeyGiven, Submit
from tamarackfield.wire.stream import PeerBusyError

#: Longest time between two `KeyEpoch` messages to an entry.
MAX_EPOCH_INTERVAL_SECONDS = 10.0
#: Time between two `KeyEpoch` messages as a fraction of the horizon.
EPOCH_HORIZON_FRACTION = 0.05
#: Default limit on open streams.
DEFAULT_MAX_STREAMS = 4000
#: Running requests of one stream, by request ID.
StreamRuns = dict[int, tuple[asyncio.Task[None], Reply]]


class PeerServer:
    """Accepts streams from entries and runs the requests that they submit.

    Parameters
    ----------
    target : LocalTarget
        Target that runs the requests.
    hello : callable
        Returns the `Hello` message of this process.
    max_streams : int
        Limit on open streams; further ones are closed at once.
    """

    def __init__(self, target: LocalTarget, hello: Callable[[], Hello], max_streams: int = DEFAULT_MAX_STREAMS) -> None:
        """Create a server that is not listening yet."""
        self.max_streams = max_streams
        #: Connections accepted and not yet closed, including those that have not sent `Hello`.
        self.accepted_streams = 0
        self.target = target
        self.hello = hello
        self.streams: set[PeerStream] = set()
        self.request_tasks: set[asyncio.Task[None]] = set()
        self.draining = ''

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one stream until it closes."""
        stream = PeerStream(reader, writer)
        stream_runs: StreamRuns = {}
        self.accepted_streams += 1
        try:
            self._check_stream_limit(stream)
            await self._serve_stream(stream, stream_runs)
        except TamarackfieldError as exc:
            logger.bind(peer=stream.peer, step=exc.step, error=exc.message).info('peer_stream_closed')
        finally:
            self.accepted_streams -= 1
            self._discard_stream(stream, stream_runs)

    def _check_stream_limit(self, stream: PeerStream) -> None:
        if self.accepted_streams > self.max_streams:
            raise StreamClosedError('too many streams are open', step='accept', peer=stream.peer)

    async def _serve_stream(self, stream: PeerStream, stream_runs: StreamRuns) -> None:
        await stream.exchange_hellos(self.hello())
        self.streams.add(stream)
        if self.draining:
            stream.send(Draining(self.draining))
        stream_tasks = [
            asyncio.create_task(stream.send_heartbeats()),
            asyncio.create_task(report_changes(self, stream)),
            asyncio.create_task(self._send_epochs(stream)),
        ]
        try:
            while True:
                self._handle_message(await stream.receive(), stream, stream_runs)
        finally:
            await cancel_and_wait(stream_tasks)

    def _discard_stream(self, stream: PeerStream, stream_runs: StreamRuns) -> None:
        self.streams.discard(stream)
        for task, _ in stream_runs.values():
            task.cancel()
        stream.close()

    def drain(self, reason: str) -> None:
        """Refuse new requests and notify every connected entry."""
        self.draining = reason
        for stream in self.streams:
            with contextlib.suppress(StreamClosedError, PeerBusyError):
                stream.send(Draining(reason))

    def resume(self, reason: str) -> bool:
        """Accept requests again if the target was drained for this reason; return whether it was."""
        resumed = self.draining == reason
        if resumed:
            self.draining = ''
        return resumed

    async def wait_idle(self) -> None:
        """Wait until no request is running."""
        while self.request_tasks or self.target.keyed.running:
            await asyncio.wait({*self.request_tasks, *self.target.keyed.running.values()})

    def report(self) -> LoadReport:
        """Return the current load of the target."""
        return make_report(self.target.worker, self.draining, len(self.streams))

    def holdings(self) -> Holdings:
        """Return the adapters that are resident, loading or requested by waiting jobs."""
        return make_holdings(self.target.worker)

    async def _send_epochs(self, stream: PeerStream) -> None:
        coverage = self.target.keyed.coverage
        while coverage.targets and not stream.closed:
            with contextlib.suppress(StreamClosedError, PeerBusyError):
                stream.send(self.target.keyed.make_epoch())
            await asyncio.sleep(min(MAX_EPOCH_INTERVAL_SECONDS, coverage.horizon_seconds * EPOCH_HORIZON_FRACTION))

    def _handle_message(self, message: Message, stream: PeerStream, stream_runs: StreamRuns) -> None:
        match message:
            case Submit():
                self._handle_submit(message, stream, stream_runs)
            case Credit(request_id, size):
                run = stream_runs.get(request_id)
                if run is not None:
                    run[1].add_credit(size)
            case Cancel(request_id):
                run = stream_runs.get(request_id)
                if run is not None:
                    run[0].cancel()
            case AskKey(key, holder):
                stream.send(KeyGiven(key, self.target.keyed.hand_over(key, holder)))
            case Hello():
                logger.bind(peer=stream.peer).warning('unexpected_hello')

    def _draining_outcome(self, submit: Submit) -> Outcome | None:
        if not self.draining:
            return None
        return self.target.keyed.draining_outcome(submit) if submit.idempotency_key else Outcome.NOT_RUN

    def _handle_submit(self, submit: Submit, stream: PeerStream, stream_runs: StreamRuns) -> None:
        if submit.request_id in stream_runs:
            logger.bind(peer=stream.peer, request=submit.request_id).warning('duplicate_submit')
            return
        reply = Reply(stream, submit.request_id, submit.credit)
        outcome = self._draining_outcome(submit)
        if outcome is not None:
            reply.send_error(
                RequestError(
                    f'the target takes no new work: {self.draining}',
                    step='admission',
                    peer=self.target.name,
                    outcome=outcome,
                    code='draining',
                    retry_after=1,
                ),
            )
            return
        task = asyncio.create_task(run_request(self.target, submit, reply))
        stream_runs[submit.request_id] = (task, reply)
        self.request_tasks.add(task)
        task.add_done_callback(self.request_tasks.discard)
        task.add_done_callback(lambda _: stream_runs.pop(submit.request_id, None))
