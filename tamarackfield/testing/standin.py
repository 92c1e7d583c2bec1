"""Base of all stand-ins: an HTTP server and a control page that sets faults."""

import json
from collections.abc import Awaitable, Callable
from typing import Any

from tamarackfield.core import Application
from tamarackfield.core.settings import ADDRESS_SCHEMA
from tamarackfield.observe.operations import answer_error
from tamarackfield.web import HttpRequest, HttpServer, Responder

#: Path of the page on which tests set faults and read counts.
CONTROL_PATH = '/control'

Route = Callable[[HttpRequest, Responder], Awaitable[None]]


def standin_schema(properties: dict[str, Any]) -> dict[str, Any]:
    """Return the settings schema of a stand-in with the given properties of its own."""
    shared = {
        'instance': {'type': 'string', 'default': 'standin'},
        'listen': ADDRESS_SCHEMA,
        'log_level': {'type': 'string', 'default': 'WARNING'},
    }
    return {
        'type': 'object',
        'required': ['listen'],
        'additionalProperties': False,
        'properties': {**shared, **properties},
    }


class Standin:
    """Application with an HTTP server and a control page.

    Parameters
    ----------
    settings : dict
        Validated settings of the process.
    route : callable
        Coroutine function that answers every request except those to the control page.
    faults : dict
        Faults by name, updated by ``POST /control``.
    read_counts : callable
        Returns the counts that ``GET /control`` shows besides the faults.
    """

    def __init__(
        self,
        settings: dict[str, Any],
        route: Route,
        faults: dict[str, Any],
        read_counts: Callable[[], dict[str, Any]],
    ) -> None:
        """Create a stand-in that does not listen yet."""
        self.settings = settings
        self.route = route
        self.faults = faults
        self.read_counts = read_counts
        self.application = Application(settings['instance'])
        self.server = HttpServer(self.handle_request, answer_error)
        self.application.on_start(self.start)
        self.application.on_stop(self.stop)

    async def start(self) -> None:
        """Accept connections."""
        await self.server.listen(self.settings['listen']['host'], self.settings['listen']['port'])

    async def stop(self) -> None:
        """Close the server without connection draining, because a stand-in need not finish requests."""
        await self.server.close()

    async def handle_request(self, request: HttpRequest, responder: Responder) -> None:
        """Answer a request to the control page, or pass the request to the route."""
        if request.method == 'OPTIONS':
            await responder.send_json(200, {})
            return
        if request.path != CONTROL_PATH:
            await self.route(request, responder)
            return
        if request.method == 'POST':
            self.faults.update(json.loads(request.body))
        await responder.send_json(200, {'faults': self.faults, **self.read_counts()})
