"""What all stand-ins share: an HTTP server and a control page that sets faults."""

import json
from collections.abc import Awaitable, Callable
from typing import Any

from tamarackfield.core import Application
from tamarackfield.core.settings import ADDRESS_SCHEMA
from tamarackfield.observe.operations import answer_error
from tamarackfield.web import HttpRequest, HttpServer, Responder

#: Path on which tests set faults and read witnesses.
CONTROL_PATH = '/control'

Route = Callable[[HttpRequest, Responder], Awaitable[None]]


def standin_schema(properties: dict[str, Any]) -> dict[str, Any]:
    """Return the schema of a stand-in's settings."""
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
    """One stand-in: an application with an HTTP server.

    Parameters
    ----------
    settings : dict
        Checked settings.
    route : callable
        Answers every request but those to the control page.
    faults : dict
        Fault settings, changed by ``POST /control``.
    witness : callable
        Returns what ``GET /control`` shows.
    """

    def __init__(
        self,
        settings: dict[str, Any],
        route: Route,
        faults: dict[str, Any],
        witness: Callable[[], dict[str, Any]],
    ) -> None:
        """Prepare; nothing listens yet."""
        self.settings = settings
        self.route = route
        self.faults = faults
        self.witness = witness
        self.application = Application(settings['instance'])
        self.server = HttpServer(self.handle, answer_error)
        self.application.on_start(self.start)
        self.application.on_stop(self.stop)

    async def start(self) -> None:
        """Listen."""
        await self.server.listen(self.settings['listen']['host'], self.settings['listen']['port'])

    async def stop(self) -> None:
        """Close at once; a stand-in has nothing to finish."""
        if self.server.server is not None:
            self.server.server.close()

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer the control page or pass the request on."""
        if request.path != CONTROL_PATH:
            await self.route(request, responder)
            return
        if request.method == 'POST':
            self.faults.update(json.loads(request.body))
        await responder.send_json(200, {'faults': self.faults, **self.witness()})
