"""Dispatches calls with an idempotency key to the target."""

from collections.abc import Callable
from http import HTTPStatus

from tamarackfield.core import RequestError
from tamarackfield.core.outcome import Outcome
from tamarackfield.core.time_limits import deadline_at
from tamarackfield.ledger import Answer
from tamarackfield.sidecar.events import JobEnded
from tamarackfield.sidecar.jobs import Job
from tamarackfield.sidecar.keyed_calls import RunCall
from tamarackfield.sidecar.target import make_job, make_request_error, read_answer, select_forwarded_headers
from tamarackfield.sidecar.worker import TargetWorker
from tamarackfield.web import ClientError, open_request
from tamarackfield.wire.request_relay import Submit


def make_run_call(name: str, address: tuple[str, int], worker: TargetWorker) -> RunCall:
    """Return a function that runs a call at a target.

    Parameters
    ----------
    name : str
        Name of the target.
    address : tuple of str and int
        IP address and port of the target.
    worker : TargetWorker
        Admits the job of each call.

    Returns
    -------
    callable
        Raises `RequestError`, with outcome ``not_run`` only if no byte was sent to the target.
    """

    async def run_call(submit: Submit, expires_at: float, on_dispatch: Callable[[], None]) -> Answer:
        job = make_job(submit)
        try:
            await worker.admit(job)
            return await _exchange(job, submit, expires_at, on_dispatch)
        except ClientError as exc:
            raise make_request_error(exc, name) from exc
        except TimeoutError:
            raise _answer_timeout_error(name) from None
        finally:
            worker.post(JobEnded(job.job_id))

    async def _exchange(job: Job, submit: Submit, expires_at: float, on_dispatch: Callable[[], None]) -> Answer:
        worker.check_dispatch(job)
        on_dispatch()
        headers = [(header, text) for header, text in submit.headers]
        async with (
            deadline_at(expires_at),
            open_request(address, submit.method, submit.path, submit.body, headers) as response,
        ):
            body = await read_answer(response, address)
            return Answer(response.status, select_forwarded_headers(response), body)

    return run_call


def _answer_timeout_error(name: str) -> RequestError:
    return RequestError(
        'the target did not answer within the horizon',
        step='await_answer',
        peer=name,
        outcome=Outcome.UNKNOWN,
        status=HTTPStatus.GATEWAY_TIMEOUT,
        code='target_silent',
    )
