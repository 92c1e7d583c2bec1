"""The local target of this sidecar, and the steps shared by all calls to it."""

import contextlib
import itertools
from dataclasses import dataclass
from http import HTTPStatus

from tamarackfield.core import SYSTEM_CLOCK, Address, RequestError, deadline_from_unix_ms
from tamarackfield.core.outcome import Outcome
from tamarackfield.sidecar.jobs import Job
from tamarackfield.sidecar.keyed_calls import KeyedCalls
from tamarackfield.sidecar.worker import TargetWorker
from tamarackfield.web import ClientError, ClientResponse, open_request
from tamarackfield.web.framing import BodyFraming
from tamarackfield.web.liveness import require_proof
from tamarackfield.wire.request_relay import Submit

#: Headers of an answer that are forwarded to the caller.
FORWARDED_HEADERS = ('content-type',)
_job_ids = itertools.count(1)


@dataclass(slots=True)
class LocalTarget:
    """Name, address, worker and keyed calls of the local target."""

    name: str
    address: tuple[str, int]
    worker: TargetWorker
    keyed: KeyedCalls
    #: Incarnation of this sidecar; part of the request IDs at the target, so that a restart reuses none.
    incarnation: int = 0


def make_target_request_id(target: LocalTarget, job: Job) -> str:
    """Return the ID of a request at the target; it is never reused."""
    return f'{target.incarnation}-{job.job_id}'


def open_target_request(
    target: LocalTarget,
    submit: Submit,
    job: Job | None = None,
) -> contextlib.AbstractAsyncContextManager[ClientResponse]:
    """Send a request to the target; the context manager yields its answer.

    Parameters
    ----------
    target : LocalTarget
        Target of the request.
    submit : Submit
        Request as the entry submitted it.
    job : Job, optional
        Job whose request ID and priority are sent in headers to an engine.
    """
    headers = [(name, text) for name, text in submit.headers]
    if job is not None:
        headers += [('X-Request-Id', make_target_request_id(target, job)), ('X-Priority', str(job.priority))]
    return open_request(target.address, submit.method, submit.path, submit.body, headers)


async def read_answer(response: ClientResponse, address: Address) -> bytes:
    """Return the whole body of an answer of the target at an address.

    Raises
    ------
    ClientError
        If it is truncated, or may be: only the end of its connection ended it, and the target may have ended with it.
    """
    body = await response.read()
    has_body = response.status not in {HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED}
    if has_body and response.framing is BodyFraming.CLOSE:
        await require_proof(address)
    return body


def make_job(submit: Submit) -> Job:
    """Return the job that represents a request in the scheduler."""
    adapter = f'{submit.adapter}@{submit.version}' if submit.adapter else ''
    return Job(
        job_id=next(_job_ids),
        adapter=adapter,
        caller=submit.caller,
        priority=submit.priority,
        arrived_at=SYSTEM_CLOCK.monotonic(),
        deadline=deadline_from_unix_ms(submit.deadline_unix_ms),
    )


def make_request_error(error: ClientError, peer: str) -> RequestError:
    """Return the request error for a failed exchange with the target."""
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


def select_forwarded_headers(response: ClientResponse) -> list[list[str]]:
    """Return the headers of an answer that are forwarded to the caller."""
    return [[name, response.headers[name]] for name in FORWARDED_HEADERS if name in response.headers]
