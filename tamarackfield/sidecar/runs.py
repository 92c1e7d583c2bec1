"""One request's run at the target: permit, dispatch, answer."""

import asyncio
from http import HTTPStatus

from tamarackfield.core import SYSTEM_CLOCK, RequestError
from tamarackfield.core.outcome import Outcome
from tamarackfield.sidecar.echo import EventStream, check_echo
from tamarackfield.sidecar.keyed import run_keyed
from tamarackfield.sidecar.reply import Reply
from tamarackfield.sidecar.jobs import Job, stall_seconds
from tamarackfield.sidecar.target import (
    TargetAddress,
    check_deadline,
    error_from_client,
    new_job,
    open_target,
    passed_headers,
)
from tamarackfield.sidecar.worker import Ended
from tamarackfield.web import ClientError, ClientResponse
from tamarackfield.wire import Submit

#: Share of a new sample in the smoothed time of a request.
_SMOOTHING = 0.0625
_MS_PER_SECOND = 1000


async def run_request(target: TargetAddress, submit: Submit, reply: Reply) -> None:
    """Run one request and send its answer or its error.

    Parameters
    ----------
    target : TargetAddress
        Where it runs.
    submit : Submit
        What the entry asked.
    reply : Reply
        The way back.
    """
    try:
        if submit.idempotency_key:
            await run_keyed(target, submit, reply)
        else:
            await _run_once(target, submit, reply)
    except RequestError as exc:
        reply.fail(exc)


async def _run_once(target: TargetAddress, submit: Submit, reply: Reply) -> None:
    job = new_job(submit)
    try:
        await target.worker.admit(job)
        await _dispatch(target, submit, reply, job)
    finally:
        target.worker.post(Ended(job.job_id))


async def _dispatch(target: TargetAddress, submit: Submit, reply: Reply, job: Job) -> None:
    check_deadline(job, target.name)
    try:
        async with asyncio.timeout_at(job.deadline), open_target(target, submit) as response:
            await _relay(target, submit, reply, response)
    except ClientError as exc:
        raise error_from_client(exc, target.name) from exc
    except TimeoutError:
        raise RequestError(
            'the deadline passed while the request ran',
            step='await_answer',
            peer=target.name,
            outcome=Outcome.UNKNOWN,
            status=HTTPStatus.GATEWAY_TIMEOUT,
            code='deadline_passed',
        ) from None
    now = SYSTEM_CLOCK.monotonic()
    worker = target.worker
    worker.service_seconds += (now - job.started_at - worker.service_seconds) * _SMOOTHING
    stalled = stall_seconds(job, now)
    worker.metrics.timing('load_stall', stalled * _MS_PER_SECOND)
    reply.end(stalled, job.started_at - job.arrived_at)


async def _relay(target: TargetAddress, submit: Submit, reply: Reply, response: ClientResponse) -> None:
    headers = passed_headers(response)
    if submit.adapter and response.status == HTTPStatus.NOT_FOUND:
        raise RequestError(
            'the engine does not hold the adapter any more',
            step='dispatch',
            peer=target.name,
            code='adapter_not_loaded',
            retry_after=1,
        )
    if submit.adapter and submit.stream and response.status < HTTPStatus.MULTIPLE_CHOICES:
        reply.head(response.status, headers)
        await _relay_events(target, submit, reply, response)
        return
    body = await response.read()
    if submit.adapter and response.status < HTTPStatus.MULTIPLE_CHOICES:
        check_echo(body, f'{submit.adapter}@{submit.version}', target.name)
    reply.head(response.status, headers)
    await reply.chunk(body)


async def _relay_events(target: TargetAddress, submit: Submit, reply: Reply, response: ClientResponse) -> None:
    events = EventStream(f'{submit.adapter}@{submit.version}', target.name)
    async for chunk in response.chunks():
        for event in events.feed(chunk):
            await reply.chunk(event)
    if not events.done:
        raise RequestError(
            'the engine ended its stream without an end marker',
            step='relay_events',
            peer=target.name,
            outcome=Outcome.UNKNOWN,
            status=HTTPStatus.BAD_GATEWAY,
            code='truncated_answer',
        )
