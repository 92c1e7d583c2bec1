"""Instance list stand-in: shows each instance's state some seconds late."""

from typing import Any

from tamarackfield.core import SYSTEM_CLOCK, Application
from tamarackfield.testing.standin import Standin, standin_schema
from tamarackfield.web import HttpRequest, Responder

SETTINGS_SCHEMA = standin_schema(
    {
        'lag': {'type': 'number', 'default': 1, 'description': 'seconds until a change shows'},
    }
)


class InstanceList:
    """Lagging list of live and leaving instances.

    ``POST /control`` with ``{"instances": {NAME: {"address": ..., "state": ...}}}`` sets what is true.

    Parameters
    ----------
    settings : dict
        Checked settings.
    """

    def __init__(self, settings: dict[str, Any]) -> None:
        """Start with an empty list."""
        self.settings = settings
        self.faults: dict[str, Any] = {'instances': {}}
        self.history: list[tuple[float, dict[str, Any]]] = [(0.0, {})]
        self.standin = Standin(settings, self.route, self.faults, self.witness)

    def witness(self) -> dict[str, Any]:
        """Note the true state each time that it is set or read."""
        current = dict(self.faults['instances'])
        if current != self.history[-1][1]:
            self.history.append((SYSTEM_CLOCK.monotonic(), current))
        return {'changes': len(self.history) - 1}

    async def route(self, request: HttpRequest, responder: Responder) -> None:
        """Answer with the list as it was ``lag`` seconds ago."""
        visible_until = SYSTEM_CLOCK.monotonic() - self.settings['lag']
        shown = [state for changed_at, state in self.history if changed_at <= visible_until]
        listing = [{'name': name, **entry} for name, entry in shown[-1].items()]
        await responder.send_json(200, {'instances': listing})


def build(settings: dict[str, Any]) -> Application:
    """Build the application of an instance list stand-in."""
    return InstanceList(settings).standin.application
