"""HTTP interface for callers."""

import dataclasses
import json
from collections.abc import Callable
from http import HTTPStatus

from loguru import logger

from tamarackfield.bundle import Bundle
from tamarackfield.core import SYSTEM_CLOCK, RequestError
from tamarackfield.core.errors import refusal
from tamarackfield.core.outcome import Outcome
from tamarackfield.entry.calls import (
    COMPLETION_PATHS,
    SERVICES_PREFIX,
    Call,
    authenticate,
    read_completion,
    read_service_call,
)
from tamarackfield.entry.home_targets import mark_unknown_if_key_may_have_run
from tamarackfield.entry.key_issuing import KEYS_PATH, send_issued_key
from tamarackfield.entry.records import RequestRecords
from tamarackfield.entry.relay import Relay
from tamarackfield.observe.metrics import Metrics
from tamarackfield.observe.operations import answer_error, answer_health, error_document
from tamarackfield.web import CallerDisconnectedError, HttpRequest, Responder, make_internal_error

_MS_PER_SECOND = 1000


class CallerInterface:
    """Handles the HTTP requests of callers.

    Parameters
    ----------
    current_bundle : callable
        Returns the bundle in force, or None before the first one.
    relay : Relay
        Sends calls to targets and streams their answers.
    is_ready : callable
        Returns whether this entry accepts new requests.
    metrics : Metrics
        Sink for the counts of requests and errors and the time to the first byte.
    """

    def __init__(
        self,
        current_bundle: Callable[[], Bundle | None],
        relay: Relay,
        is_ready: Callable[[], bool],
        metrics: Metrics,
    ) -> None:
        """Store the collaborators and create an empty collection of request records."""
        self.current_bundle = current_bundle
        self.relay = relay
        self.is_ready = is_ready
        self.metrics = metrics
        self.records = RequestRecords()

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Handle one request."""
        try:
            await self._handle_request(request, responder)
        except RequestError as exc:
            if request.path.startswith(SERVICES_PREFIX):
                raise mark_unknown_if_key_may_have_run(exc, request) from exc
            raise

    async def _handle_request(self, request: HttpRequest, responder: Responder) -> None:
        if await answer_health(request, responder, self.is_ready):
            return
        self.metrics.count('requests')
        record = self.records.start(request)
        bundle = self.current_bundle()
        if bundle is None:
            raise RequestError('no bundle is in force yet', step='resolve', code='starting', retry_after=1)
        if request.path == '/v1/models' and request.method == 'GET':
            await self._send_models(request, responder, bundle)
            record.finish('answered', 'list of models')
            return
        if request.path == KEYS_PATH and request.method == 'POST':
            await send_issued_key(request, responder, bundle, self.relay.fleet)
            record.finish('answered', 'idempotency key')
            return
        call = dataclasses.replace(self._read_call(request, bundle), record_step=record.add_step)
        record.add_step('read', caller=call.caller, adapter=str(call.adapter or ''), priority=call.priority)
        try:
            await self._run_call(call, request, responder)
        except RequestError as exc:
            await self._report_failure(exc, call, responder)
        except CallerDisconnectedError as exc:
            logger.bind(request_id=request.request_id, caller=call.caller, error=str(exc)).info('caller_disconnected')
            record.finish('cut', 'the caller left before its answer was whole')
            raise
        finally:
            self._log_end(call, request, responder)
        if record.verdict == 'running':
            record.finish('answered', 'the whole answer was sent')

    async def _run_call(self, call: Call, request: HttpRequest, responder: Responder) -> None:
        """Run a call; an unexpected exception gives outcome ``unknown``, because the call may have been sent."""
        try:
            await self.relay.run(call, responder)
        except (RequestError, CallerDisconnectedError, OSError):
            raise
        except Exception as exc:
            bound = logger.bind(request_id=request.request_id, caller=call.caller, step='relay', error=repr(exc))
            bound.opt(exception=exc).error('handler_failed')
            raise make_internal_error(Outcome.UNKNOWN) from exc

    async def on_error(self, error: RequestError, responder: Responder) -> None:
        """Send an error answer for a request that failed before its answer started."""
        self.metrics.count(f'refusals.{error.outcome.value}')
        self.records.record_failure(responder.request_id, error)
        logger.bind(
            request_id=responder.request_id,
            step=error.step,
            peer=error.peer,
            code=error.code,
            outcome=error.outcome.value,
            status=error.status,
        ).info('request_refused')
        await answer_error(error, responder)

    def _read_call(self, request: HttpRequest, bundle: Bundle) -> Call:
        """Validate a call; an unexpected exception gives outcome ``not_run``, because nothing has been sent yet."""
        try:
            return self._read_call_by_path(request, bundle)
        except RequestError:
            raise
        except Exception as exc:
            bound = logger.bind(request_id=request.request_id, step='resolve', error=repr(exc))
            bound.opt(exception=exc).error('handler_failed')
            raise make_internal_error(Outcome.NOT_RUN) from exc

    def _read_call_by_path(self, request: HttpRequest, bundle: Bundle) -> Call:
        if request.path in COMPLETION_PATHS and request.method == 'POST':
            return read_completion(request, bundle)
        if request.path.startswith(SERVICES_PREFIX):
            return read_service_call(request, bundle)
        raise refusal(
            f'no {request.method} {request.path}', step='resolve', code='not_found', status=HTTPStatus.NOT_FOUND
        )

    async def _send_models(self, request: HttpRequest, responder: Responder, bundle: Bundle) -> None:
        caller = authenticate(request, bundle)
        listing = [
            {'id': f'{adapter.name}@{version}', 'object': 'model', 'created': 0, 'owned_by': 'tamarackfield'}
            for adapter in bundle.adapters.values()
            if caller.name in adapter.grants
            for version in adapter.models
        ]
        await responder.send_json(HTTPStatus.OK, {'object': 'list', 'data': listing})

    async def _report_failure(self, error: RequestError, call: Call, responder: Responder) -> None:
        """Report the failure of a call to the caller.

        Before the answer has started, this is an error answer; later, the connection is closed, after an error event
        if the answer is a stream of events.
        """
        if not responder.head_sent:
            await self.on_error(error, responder)
            return
        self.metrics.count(f'refusals.{error.outcome.value}')
        logger.bind(
            request_id=responder.request_id,
            step=error.step,
            peer=error.peer,
            code=error.code,
            caller=call.caller,
        ).warning('answer_cut')
        responder.close_after_answer = True
        self.records.record_truncation(responder.request_id, error)
        if call.stream:
            event = json.dumps(error_document(error))
            await responder.send_body(f'data: {event}\n\n'.encode())

    def _log_end(self, call: Call, request: HttpRequest, responder: Responder) -> None:
        if responder.finished and responder.first_byte_at:
            first_byte_seconds = responder.first_byte_at - request.received_at
            self.metrics.timing('first_token', first_byte_seconds * _MS_PER_SECOND)
        logger.bind(
            request_id=request.request_id,
            caller=call.caller,
            adapter=str(call.adapter or ''),
            path=request.path,
            whole=responder.finished,
            ms=round((SYSTEM_CLOCK.monotonic() - request.received_at) * _MS_PER_SECOND),
        ).info('request')
