"""Handling of callers' requests, with one log line for each."""

import math
import random
from dataclasses import dataclass, field, replace
from http import HTTPStatus
from typing import Protocol

from loguru import logger

from tamarackfield.core import BOOT_CLOCK, RequestError
from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.core.outcome import Outcome
from tamarackfield.gateway.authentication import Authenticator, KeyGuard
from tamarackfield.gateway.call_state import CallState
from tamarackfield.gateway.configuration import Configuration
from tamarackfield.gateway.dispatch import STOP_RETRY_SECONDS, Dispatcher
from tamarackfield.gateway.freshness import FreshnessTracker
from tamarackfield.gateway.matching import choose_service
from tamarackfield.gateway.model import Call, Route, Service
from tamarackfield.observe.prometheus import MetricRegistry
from tamarackfield.policy.run_times import RunTimes
from tamarackfield.web import CallerDisconnectedError, HttpRequest, Responder

#: Retry-After, in seconds, while no configuration is in force yet: the time in which an entry reads it.
NO_CONFIGURATION_RETRY_SECONDS = 0.5
#: Upper bound, in tokens, of the prompt length used for routing. Callers may state any length; an engine of
#: the size that is served processes a prompt of this length in half a second.
MAX_PROMPT_TOKENS = 16_384


class CallReader(Protocol):
    """Parser of callers' requests."""

    def __call__(self, request: HttpRequest) -> Call:
        """Parse a request; its deadline is infinite if the caller stated none."""


@dataclass(slots=True)
class CallerInterface:
    """Request handler for callers.

    Parameters
    ----------
    configuration : Configuration
        Configuration in force.
    dispatcher : Dispatcher
        Sends calls to targets.
    read_call : CallReader
        Parses requests.
    metrics : MetricRegistry
        Metrics.
    rng : random.Random
        Random source for the weighted choice of a service, and the spread of retries.
    freshness : FreshnessTracker
        Proof that the configuration is current.
    stops_at : float
        Monotonic seconds at which requests still in progress are cut, as this entry stops.
    run_times : RunTimes
        How long streams take.

    Attributes
    ----------
    keys : KeyGuard
        Decides which requests may run by their API keys.
    """

    configuration: Configuration
    dispatcher: Dispatcher
    read_call: CallReader
    metrics: MetricRegistry
    rng: random.Random
    freshness: FreshnessTracker
    stops_at: float = math.inf
    run_times: RunTimes = field(default_factory=RunTimes)
    keys: KeyGuard = field(init=False)

    def __post_init__(self) -> None:
        """Decide by the keys of the configuration in force."""
        self.keys = KeyGuard(self.freshness, self.metrics, Authenticator(), self.rng)

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one request.

        Raises
        ------
        RequestError
            If the call ends without an answer; it holds the error answer for the caller.
        """
        call = self.read_call(request)
        if self.configuration.catalog is None:
            logger.bind(request_id=call.request_id).info('no_configuration')
            raise _no_configuration()
        await self.keys.settle_doubt(call, self.find_route(call, request.path))
        # The check may have brought another configuration.
        catalog = self.configuration.catalog
        route = self.find_route(call, request.path)
        customer = self.keys.authenticate(call, route)
        self._require_time(call, route)
        charge = None
        if customer is not None and customer.quota is not None:
            charge = await self.dispatcher.fleet.quotas.charge(call, customer, customer.quota, catalog)
        service = choose_service(route, self.rng)
        call = bound_call(call, route, catalog.services.get(service))
        call_state = CallState(call, route, service, catalog.version, last_event=call.last_event, customer=customer)
        ending = 'cut'
        try:
            await self.dispatcher.serve(call_state, responder)
            ending = 'answered'
        except RequestError as exc:
            ending = f'{exc.status} {exc.outcome.value}: {exc.message}'
            if charge is not None and exc.outcome is Outcome.NOT_RUN:
                self.dispatcher.fleet.quotas.give_back(charge)
            raise
        except (CallerDisconnectedError, OSError) as exc:
            call_state.notes.append(str(exc))
            raise
        except Exception as exc:
            ending = f'failed: {exc!r}'
            raise
        finally:
            self._log_request(call_state, ending)

    def find_route(self, call: Call, path: str) -> Route:
        """Return the route of a call.

        Raises
        ------
        RequestError
            If no configuration is in force yet, or it has no such route.
        """
        routes = self.configuration.routes
        if routes is None:
            raise _no_configuration()
        route = routes.find_route(call.host, path)
        if route is None:
            version = self.configuration.catalog.version if self.configuration.catalog else 0
            bound = logger.bind(request_id=call.request_id, host=call.host, path=path, version=version)
            bound.bind(store_age_seconds=self._store_age()).info('no_route')
            raise RequestError('no route leads there', step='route', code='not_found', status=HTTPStatus.NOT_FOUND)
        return route

    def _require_time(self, call: Call, route: Route) -> None:
        """Refuse a stream that cannot end before this entry stops.

        Raises
        ------
        RequestError
            If the stream is expected to last longer than that; it did not run.
        """
        now = BOOT_CLOCK.monotonic()
        expected = self._expect_run(call, route)
        if now + expected <= self.stops_at:
            return
        logger.bind(request_id=call.request_id, route=route.name, expected_seconds=round(expected, 1)).info(
            'stops_before_end'
        )
        raise RequestError(
            'this entry stops before the answer would end',
            step='route',
            code='stopping',
            status=HTTPStatus.SERVICE_UNAVAILABLE,
            retry_after=STOP_RETRY_SECONDS,
        )

    def refuse_late_starts(self) -> None:
        """Refuse the calls that wait and cannot end before this entry stops."""
        self.dispatcher.refuse_late_starts(
            self.stops_at, lambda call_state: self._expect_run(call_state.call, call_state.route)
        )

    def _expect_run(self, call: Call, route: Route) -> float:
        """Return how many seconds a call is expected to run; 0 if that is not known, or short."""
        return self.run_times.expect(route.name, call.answer_tokens) if route.streaming else 0

    def _store_age(self) -> float:
        return round(self.configuration.store_age_seconds(), 3)

    def _log_request(self, call_state: CallState, ending: str) -> None:
        call = call_state.call
        route = call_state.route
        now = BOOT_CLOCK.monotonic()
        kind = 'stream' if route.streaming else 'plain'
        if route.streaming and ending == 'answered':
            self.run_times.record(route.name, call.answer_tokens, now - call.received_at)
        self.metrics.count('requests', kind=kind, ending=ending.partition(' ')[0])
        self.metrics.observe('request', now - call.received_at, kind=kind)
        first_event = call_state.first_event_at - call.received_at if call_state.first_event_at else 0.0
        if first_event:
            self.metrics.observe('first_event', first_event)
            self.metrics.observe('longest_pause', call_state.longest_pause_seconds)
        logger.bind(
            request_id=call.request_id,
            route=route.name,
            service=call_state.service,
            version=call_state.configuration_version,
            store_age_seconds=self._store_age(),
            customer=call.customer or '',
            adapter=call_state.adapter_key(),
            prompt_parts=','.join(call.prompt_parts),
            fingerprint=call.fingerprint,
            target=call_state.target_name,
            attempts=call_state.send_count,
            waited_ms=round(MS_PER_SECOND * call_state.waited_seconds),
            first_event_ms=round(MS_PER_SECOND * first_event),
            longest_pause_ms=round(MS_PER_SECOND * call_state.longest_pause_seconds),
            total_ms=round(MS_PER_SECOND * (now - call.received_at)),
            left_ms=round(MS_PER_SECOND * (call.deadline - now)),
            framing=call_state.answer_framing,
            answer_end=call_state.answer_end,
            partial_event_bytes=call_state.partial_event_bytes,
            notes=' | '.join(call_state.notes),
            ending=ending,
        ).info('request')


def bound_call(call: Call, route: Route, service: Service | None) -> Call:
    """Return the call with its limits applied.

    The deadline is at most the time-out of the route after arrival, the prompt length is at most
    `MAX_PROMPT_TOKENS`, and a call to a plain service has no model, adapter and prompt parts.
    """
    deadline = min(call.deadline, call.received_at + route.timeout_seconds)
    bounded = replace(call, deadline=deadline, prompt_tokens=min(call.prompt_tokens, MAX_PROMPT_TOKENS))
    if service is None or service.engine is None:
        return replace(bounded, model='', adapter='', prompt_parts=())
    return bounded


def _no_configuration() -> RequestError:
    return RequestError(
        'no configuration is in force yet',
        step='route',
        code='no_configuration',
        retry_after=NO_CONFIGURATION_RETRY_SECONDS,
    )
