"""Instance list stand-in that publishes the state of each instance with a delay."""

from typing import Any

from tamarackfield.core import SYSTEM_CLOCK, Application
from tamarackfield.testing.standin import Standin, standin_schema
from tamarackfield.web import HttpRequest, Responder

SETTINGS_SCHEMA = standin_schema(
    {
        'lag': {'type': 'number', 'default': 1, 'description': 'seconds until a change is visible'},
    }
)


class InstanceList:
    """Delayed list of live and leaving instances.

    ``POST /control`` with ``{"instances": {NAME: {"address": ..., "state": ...}}}`` sets the current state.

    Parameters
    ----------
    settings : dict
        Validated settings of the process.
    """

    def __init__(self, settings: dict[str, Any]) -> None:
        """Create an empty list."""
        self.settings = settings
        self.faults: dict[str, Any] = {'instances': {}}
        self.history: list[tuple[float, dict[str, Any]]] = [(0.0, {})]
        self.standin = Standin(settings, self.route, self.faults, self.read_counts)

    def read_counts(self) -> dict[str, Any]:
        """Record the current state, whenever the control page sets or reads it, and return the number of changes."""
        current = dict(self.faults['instances'])
        if current != self.history[-1][1]:
            self.history.append((SYSTEM_CLOCK.monotonic(), current))
        return {'changes': len(self.history) - 1}

    async def route(self, request: HttpRequest, responder: Responder) -> None:
        """Answer with the list as of ``lag`` seconds ago."""
        visible_until = SYSTEM_CLOCK.monotonic() - self.settings['lag']
        visible_states = [state for changed_at, state in self.history if changed_at <= visible_until]
        listing = [{'name': name, **entry} for name, entry in visible_states[-1].items()]
        await responder.send_json(200, {'instances': listing})


def build(settings: dict[str, Any]) -> Application:
    """Return the application of an instance list stand-in."""
    return InstanceList(settings).standin.application
