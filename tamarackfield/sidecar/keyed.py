"""Calls that may run at most once: the record is made before dispatch and kept to the horizon."""

import asyncio
from http import HTTPStatus

from tamarackfield.core import SYSTEM_CLOCK, RequestError
from tamarackfield.core.outcome import Outcome
from tamarackfield.ledger import Answer, RecordState
from tamarackfield.sidecar.reply import Reply
from tamarackfield.sidecar.target import (
    TargetAddress,
    check_deadline,
    error_from_client,
    new_job,
    open_target,
    passed_headers,
)
from tamarackfield.sidecar.events import Ended
from tamarackfield.web import ClientError
from tamarackfield.wire import Submit


async def run_keyed(target: TargetAddress, submit: Submit, reply: Reply) -> None:
    """Run a call that may run at most once, or answer from its record.

    Raises
    ------
    RequestError
        If there is no answer to give.
    """
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
    job = new_job(submit)
    try:
        await target.worker.admit(job)
        check_deadline(job, target.name)
        target.ledger.dispatch(key)
        async with open_target(target, submit) as response:
            headers = passed_headers(response)
            answer = Answer(response.status, headers, await response.read())
    except ClientError as exc:
        raise error_from_client(exc, target.name) from exc
    finally:
        target.worker.post(Ended(job.job_id))
    target.ledger.answer(key, answer)
    return answer
