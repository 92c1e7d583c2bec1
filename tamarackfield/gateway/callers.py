"""Callers' requests: from what arrived to what is answered, with a log line for each."""

import random
from dataclasses import dataclass, replace
from http import HTTPStatus
from typing import Protocol

from loguru import logger

from tamarackfield.core import BOOT_CLOCK, RequestError
from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.gateway.configuration import Configuration
from tamarackfield.gateway.dispatch import Dispatcher
from tamarackfield.gateway.journey import Journey
from tamarackfield.gateway.matching import choose_service
from tamarackfield.gateway.model import Call, Route, Service
from tamarackfield.observe.series import Series
from tamarackfield.web import CallerGoneError, HttpRequest, Responder

#: Seconds after which a caller may come back to an entry that knows no configuration yet; the time
#: in which an entry reads it.
NO_CONFIGURATION_RETRY = 0.5
#: Longest prompt, in tokens, that is planned with; callers may state any length, and engines of the size that
#: is served read this in half a second.
MOST_PROMPT_TOKENS = 16_384


class CallReader(Protocol):
    """How callers' requests look."""

    def __call__(self, request: HttpRequest) -> Call:
        """Read a request; its deadline is infinite if the caller stated none."""


@dataclass(slots=True)
class CallerInterface:
    """Answers callers.

    Parameters
    ----------
    configuration : Configuration
        In force.
    dispatcher : Dispatcher
        Serves calls.
    read_call : CallReader
        How requests look.
    series : Series
        Counters.
    rng : random.Random
        Draws services by weight.
    """

    configuration: Configuration
    dispatcher: Dispatcher
    read_call: CallReader
    series: Series
    rng: random.Random

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one request.

        Raises
        ------
        RequestError
            With what the caller is told.
        """
        call = self.read_call(request)
        catalog = self.configuration.catalog
        if catalog is None:
            raise _no_configuration()
        route = self.find_route(call, request.path)
        service = choose_service(route, self.rng)
        call = bound_call(call, route, catalog.services.get(service))
        journey = Journey(call, route, service, catalog.version, last_event=call.last_event)
        ending = 'cut'
        try:
            await self.dispatcher.serve(journey, responder)
            ending = 'answered'
        except RequestError as exc:
            ending = f'{exc.status} {exc.outcome.value}: {exc.message}'
            raise
        except (CallerGoneError, OSError) as exc:
            journey.notes.append(str(exc))
            raise
        except Exception as exc:
            ending = f'failed: {exc!r}'
            raise
        finally:
            self._tell(journey, ending)

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
        route = routes.find(call.host, path)
        if route is None:
            version = self.configuration.catalog.version if self.configuration.catalog else 0
            logger.bind(request_id=call.request_id, host=call.host, path=path, version=version).info('no_route')
            raise RequestError('no route leads there', step='route', code='not_found', status=HTTPStatus.NOT_FOUND)
        return route

    def _tell(self, journey: Journey, ending: str) -> None:
        call = journey.call
        route = journey.route
        now = BOOT_CLOCK.monotonic()
        kind = 'stream' if route.streaming else 'plain'
        self.series.count('requests', kind=kind, ending=ending.partition(' ')[0])
        self.series.observe('request', now - call.received_at, kind=kind)
        first_event = journey.first_event_at - call.received_at if journey.first_event_at else 0.0
        if first_event:
            self.series.observe('first_event', first_event)
            self.series.observe('longest_pause', journey.longest_pause)
        logger.bind(
            request_id=call.request_id,
            route=route.name,
            service=journey.service,
            version=journey.version,
            adapter=journey.adapter_key(),
            target=journey.target_name,
            attempts=journey.arrivals,
            waited_ms=round(MS_PER_SECOND * journey.waited_seconds),
            first_event_ms=round(MS_PER_SECOND * first_event),
            longest_pause_ms=round(MS_PER_SECOND * journey.longest_pause),
            total_ms=round(MS_PER_SECOND * (now - call.received_at)),
            left_ms=round(MS_PER_SECOND * (call.deadline - now)),
            notes=' | '.join(journey.notes),
            ending=ending,
        ).info('request')


def bound_call(call: Call, route: Route, service: Service | None) -> Call:
    """Return a call as it is served.

    It ends within its route's time, its prompt counts as no longer than `MOST_PROMPT_TOKENS`, and at a
    plain service it has no adapter.
    """
    deadline = min(call.deadline, call.received_at + route.timeout_seconds)
    bounded = replace(call, deadline=deadline, prompt_tokens=min(call.prompt_tokens, MOST_PROMPT_TOKENS))
    if service is None or service.engine is None:
        return replace(bounded, model='', adapter='')
    return bounded


def _no_configuration() -> RequestError:
    return RequestError(
        'no configuration is in force yet',
        step='route',
        code='no_configuration',
        retry_after=NO_CONFIGURATION_RETRY,
    )
