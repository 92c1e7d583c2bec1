"""Runs one request at the target: admission, dispatch and relay of the answer."""

import contextlib
from http import HTTPStatus

from tamarackfield.core import SYSTEM_CLOCK, RequestError
from tamarackfield.core.outcome import Outcome
from tamarackfield.core.time_limits import deadline_at
from tamarackfield.sidecar.cancellation import cancel_and_release
from tamarackfield.sidecar.echo_check import CheckedEventStream, check_echo
from tamarackfield.sidecar.events import JobEnded, StateInvalidated
from tamarackfield.sidecar.jobs import Job, compute_stall_seconds
from tamarackfield.sidecar.reply import Reply
from tamarackfield.sidecar.stream_resume import read_chunks_with_resume
from tamarackfield.sidecar.target import (
    LocalTarget,
    make_job,
    make_request_error,
    open_target_request,
    read_answer,
    select_forwarded_headers,
)
from tamarackfield.web import ClientError, ClientResponse
from tamarackfield.wire.request_relay import Submit

#: Weight of a new sample in the exponentially smoothed service time.
_SERVICE_TIME_SMOOTHING = 0.0625
_MS_PER_SECOND = 1000


async def run_request(target: LocalTarget, submit: Submit, reply: Reply) -> None:
    """Run one request and send its answer or its error.

    Parameters
    ----------
    target : LocalTarget
        Target that runs the request.
    submit : Submit
        Request as the entry submitted it.
    reply : Reply
        Sends the answer to the entry.
    """
    try:
        if submit.idempotency_key:
            await target.keyed.run(submit, reply)
        else:
            await _run_unkeyed(target, submit, reply)
    except RequestError as exc:
        if exc.code == 'echo_mismatch':
            target.worker.metrics.count('echo_mismatches')
        reply.send_error(exc)


async def _run_unkeyed(target: LocalTarget, submit: Submit, reply: Reply) -> None:
    job = make_job(submit)
    run = _TargetRun(target, submit, reply, job)
    try:
        await target.worker.admit(job)
        target.worker.check_dispatch(job)
        await run.run()
    finally:
        run.release()


class _TargetRun:
    """One request in progress at the target.

    ``sent`` is whether a byte may have been sent to the target, ``head_received`` whether the target
    has begun to answer, and ``run_ended`` whether the target can no longer run the request.
    """

    def __init__(self, target: LocalTarget, submit: Submit, reply: Reply, job: Job) -> None:
        self.target = target
        self.submit = submit
        self.reply = reply
        self.job = job
        self.engine_incarnation = target.worker.engine_incarnation
        self.sent = False
        self.head_received = False
        self.run_ended = False

    def release(self) -> None:
        """Release the pin and the batch slot, at once or when the engine can no longer run the request."""
        worker = self.target.worker
        if worker.engine is None or self.run_ended or not self.sent:
            worker.post(JobEnded(self.job.job_id))
            return
        worker.application.spawn(
            cancel_and_release(
                self.target, self.job, self.engine_incarnation, late_arrival_ruled_out=self.head_received
            ),
            f'release-{self.job.job_id}',
        )

    async def run(self) -> None:
        """Send the request to the target and relay the answer."""
        self.engine_incarnation = self.target.worker.engine_incarnation
        self.sent = True
        try:
            async with deadline_at(self.job.deadline):
                await self._exchange()
        except ClientError as exc:
            self.sent = exc.sent
            self.target.worker.post(StateInvalidated())
            raise make_request_error(exc, self.target.name) from exc
        except TimeoutError:
            raise RequestError(
                'the deadline passed while the request ran',
                step='await_answer',
                peer=self.target.name,
                outcome=Outcome.UNKNOWN,
                status=HTTPStatus.GATEWAY_TIMEOUT,
                code='deadline_passed',
            ) from None
        self._record_timing_and_send_end()

    async def _exchange(self) -> None:
        async with contextlib.AsyncExitStack() as stack:
            response = await stack.enter_async_context(open_target_request(self.target, self.submit, self.job))
            self.head_received = True
            await self._relay(response)
        self.run_ended = True

    async def _relay(self, response: ClientResponse) -> None:
        submit = self.submit
        if submit.adapter and response.status == HTTPStatus.NOT_FOUND:
            self.run_ended = True
            self.target.worker.post(StateInvalidated())
            raise RequestError(
                'the engine does not hold the adapter any more',
                step='dispatch',
                peer=self.target.name,
                code='adapter_not_loaded',
                retry_after=1,
            )
        headers = select_forwarded_headers(response)
        if submit.adapter and submit.stream and response.status < HTTPStatus.MULTIPLE_CHOICES:
            self.reply.send_head(response.status, headers)
            await self._relay_events(response)
            return
        body = await read_answer(response, self.target.address)
        if submit.adapter and response.status < HTTPStatus.MULTIPLE_CHOICES:
            check_echo(body, f'{submit.adapter}@{submit.version}', self.target.name)
        self.reply.send_head(response.status, headers)
        await self.reply.send_chunk(body)

    async def _relay_events(self, response: ClientResponse) -> None:
        events = CheckedEventStream(f'{self.submit.adapter}@{self.submit.version}', self.target.name)
        async for chunk in read_chunks_with_resume(self.target, self.job, response, events):
            for event in events.feed(chunk):
                await self.reply.send_chunk(event)
        if not events.done:
            raise RequestError(
                'the engine ended its stream without an end marker',
                step='relay_events',
                peer=self.target.name,
                outcome=Outcome.UNKNOWN,
                status=HTTPStatus.BAD_GATEWAY,
                code='truncated_answer',
            )

    def _record_timing_and_send_end(self) -> None:
        worker = self.target.worker
        job = self.job
        now = SYSTEM_CLOCK.monotonic()
        service_seconds = now - job.started_at
        worker.service_seconds += (service_seconds - worker.service_seconds) * _SERVICE_TIME_SMOOTHING
        stalled_seconds = compute_stall_seconds(job, now)
        worker.metrics.timing('load_stall', stalled_seconds * _MS_PER_SECOND)
        self.reply.send_end(stalled_seconds, job.started_at - job.arrived_at)
