"""Resumes an event stream from the engine after its connection broke."""

import asyncio
from collections.abc import AsyncIterator
from http import HTTPStatus

from loguru import logger

from tamarackfield.sidecar.echo_check import CheckedEventStream
from tamarackfield.sidecar.jobs import Job
from tamarackfield.sidecar.target import LocalTarget, make_target_request_id
from tamarackfield.web import ClientError, ClientResponse, open_request

#: Limit on resume attempts for one stream.
MAX_RESUMES = 5
#: Backoff before the first resume attempt; doubled before each further one.
RESUME_DELAY_SECONDS = 0.02


async def read_chunks_with_resume(
    target: LocalTarget,
    job: Job,
    response: ClientResponse,
    events: CheckedEventStream,
) -> AsyncIterator[bytes]:
    """Yield the bytes of an event stream, across broken connections to the same run.

    Only the run that the engine knows by the ID of this request is resumed, from the event after the
    last complete one; events of different runs are never joined.

    Parameters
    ----------
    target : LocalTarget
        Target whose engine sends the stream.
    job : Job
        Job of the request.
    response : ClientResponse
        Answer of the engine, with its head already read.
    events : CheckedEventStream
        Counts the complete events; an incomplete one is discarded when the connection breaks.

    Yields
    ------
    bytes
        Chunks that need not end at event boundaries.

    Raises
    ------
    ClientError
        If the stream cannot be resumed.
    """
    engine_incarnation = target.worker.engine_incarnation
    source = response.chunks()
    for resumes_left in reversed(range(MAX_RESUMES + 1)):
        try:
            async for chunk in source:
                yield chunk
        except ClientError as exc:
            _check_resumable(exc, resumes_left, same_engine=target.worker.engine_incarnation == engine_incarnation)
            await asyncio.sleep(RESUME_DELAY_SECONDS * 2 ** (MAX_RESUMES - resumes_left))
            source = _resume(target, job, events, exc)
        if events.done:
            break


def _check_resumable(error: ClientError, resumes_left: int, *, same_engine: bool) -> None:
    if not resumes_left or not same_engine:
        raise error


async def _resume(
    target: LocalTarget, job: Job, events: CheckedEventStream, error: ClientError
) -> AsyncIterator[bytes]:
    events.drop_partial()
    logger.bind(peer=target.name, request=make_target_request_id(target, job), after=events.event_count).info(
        'stream_resumed'
    )
    path = f'/v1/resume/{make_target_request_id(target, job)}?after={events.event_count}'
    async with open_request(target.address, 'GET', path) as response:
        if response.status != HTTPStatus.OK:
            raise ClientError(f'not resumable: {response.status}', 'resume', target.name, sent=True) from error
        async for chunk in response.chunks():
            yield chunk
