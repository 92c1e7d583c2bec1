"""One request's run at the target: permit, dispatch, answer."""

import asyncio
import itertools
from dataclasses import dataclass
from http import HTTPStatus

from tamarackfield.core import SYSTEM_CLOCK, RequestError, deadline_from_unix_ms
from tamarackfield.core.outcome import Outcome
from tamarackfield.ledger import Answer, Ledger, RecordState
from tamarackfield.sidecar.echo import EventStream, check_echo
from tamarackfield.sidecar.reply import Reply
from tamarackfield.sidecar.scheduler import Job
from tamarackfield.sidecar.worker import Ended, TargetWorker
from tamarackfield.web import ClientError, ClientResponse, open_request
from tamarackfield.wire import Submit

#: Headers of an answer that are passed on to the caller.
PASSED_HEADERS = ('content-type',)
#: Share of a new sample in the smoothed time of a request.
_SMOOTHING = 0.0625
_job_ids = itertools.count(1)


@dataclass(slots=True)
class TargetAddress:
    """The target beside this sidecar and the records of its keyed calls."""

    name: str
    address: tuple[str, int]
    worker: TargetWorker
    ledger: Ledger
    horizon_seconds: int


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
            await _run_keyed(target, submit, reply)
        else:
            await _run_once(target, submit, reply)
    except RequestError as exc:
        reply.fail(exc)


async def _run_once(target: TargetAddress, submit: Submit, reply: Reply) -> None:
    job = _new_job(submit)
    try:
        await target.worker.admit(job)
        await _dispatch(target, submit, reply, job)
    finally:
        target.worker.post(Ended(job.job_id))


async def _dispatch(target: TargetAddress, submit: Submit, reply: Reply, job: Job) -> None:
    _check_deadline(job, target.name)
    try:
        async with asyncio.timeout_at(job.deadline), _open(target, submit) as response:
            await _relay(target, submit, reply, response)
    except ClientError as exc:
        raise _from_client_error(exc, target.name) from exc
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
    stalled = max(0, (job.resident_at or job.started_at) - job.stalled_at) if job.stalled_at else 0
    worker.metrics.timing('load_stall', stalled * 1000)
    reply.end(stalled, job.started_at - job.arrived_at)


async def _relay(target: TargetAddress, submit: Submit, reply: Reply, response: ClientResponse) -> None:
    headers = [[name, response.headers[name]] for name in PASSED_HEADERS if name in response.headers]
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


async def _run_keyed(target: TargetAddress, submit: Submit, reply: Reply) -> None:
    key = f'{submit.caller}|{submit.idempotency_key}'
    now = SYSTEM_CLOCK.monotonic()
    record = target.ledger.find(key, now)
    if record is None:
        target.ledger.admit(key, now + target.horizon_seconds, now)
        try:
            answer = await asyncio.shield(asyncio.ensure_future(_call_keyed(target, submit, key)))
        finally:
            target.ledger.withdraw(key)
    else:
        answer = record.answer
        if record.state is not RecordState.ANSWERED or answer is None:
            raise RequestError(
                'a request with this key was dispatched and its answer is not known',
                step='ledger',
                peer=target.name,
                outcome=Outcome.UNKNOWN,
                status=HTTPStatus.CONFLICT,
                code='key_in_use',
                retry_after=1,
            )
    reply.head(answer.status, answer.headers)
    await reply.chunk(answer.body)
    reply.end()


async def _call_keyed(target: TargetAddress, submit: Submit, key: str) -> Answer:
    job = _new_job(submit)
    try:
        await target.worker.admit(job)
        _check_deadline(job, target.name)
        target.ledger.dispatch(key)
        async with _open(target, submit) as response:
            headers = [[name, response.headers[name]] for name in PASSED_HEADERS if name in response.headers]
            answer = Answer(response.status, headers, await response.read())
    except ClientError as exc:
        raise _from_client_error(exc, target.name) from exc
    finally:
        target.worker.post(Ended(job.job_id))
    target.ledger.answer(key, answer)
    return answer


def _open(target: TargetAddress, submit: Submit):
    headers = [(name, text) for name, text in submit.headers]
    return open_request(target.address, submit.method, submit.path, submit.body, headers)


def _new_job(submit: Submit) -> Job:
    adapter = f'{submit.adapter}@{submit.version}' if submit.adapter else ''
    return Job(
        job_id=next(_job_ids),
        adapter=adapter,
        caller=submit.caller,
        priority=submit.priority,
        arrived_at=SYSTEM_CLOCK.monotonic(),
        deadline=deadline_from_unix_ms(submit.deadline_unix_ms),
    )


def _check_deadline(job: Job, peer: str) -> None:
    if SYSTEM_CLOCK.monotonic() >= job.deadline:
        raise RequestError(
            'the deadline passed before the request was dispatched',
            step='dispatch',
            peer=peer,
            code='deadline_passed',
            retry_after=1,
        )


def _from_client_error(error: ClientError, peer: str) -> RequestError:
    if error.sent:
        return RequestError(
            f'the target broke off: {error.message}',
            step=error.step,
            peer=peer,
            outcome=Outcome.UNKNOWN,
            status=HTTPStatus.BAD_GATEWAY,
            code='target_broke_off',
        )
    return RequestError(
        f'the target cannot be reached: {error.message}',
        step=error.step,
        peer=peer,
        code='target_unreachable',
        retry_after=1,
    )
